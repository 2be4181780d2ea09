// An HTTP/1.1 client on one thread, over Boost.Beast.
//
// Index
//   CallFailure     why a call failed, and whether any byte of it was sent
//   HttpResponse    a whole answer, and a check whether it was cut off
//   SendCheck       has the last word before a request leaves
//   HttpExchange    one request over one connection, its answer read part by part
//   readBody        the rest of an answer, within a bound
//   BodyMemory      a bound on all bodies that are read whole, until they were passed on
//   BodyHold        what one of them holds
//   HttpSession     several calls over one and the same connection
//   CallOptions     which kept connection a call may take, and how long its head may take
//   ConnectOutcome  what came of a new connection
//   HttpClientSettings
//   HttpClient      keeps idle connections and makes exchanges and whole calls
//
// Servers in trouble send answers without end: every read ends by its deadline, also while bytes
// keep arriving, and heads, whole bodies and what is buffered between them are bounded.
//
// Servers in trouble also send bytes that are no answer, and parts of one. A head counts only if
// its status is that of a final answer and its framing is one that this client knows; interim
// answers are passed over. A body that ends with its connection is whole only if the connection was
// closed by its server after the whole request had been written: a reset looks like that end to a
// read once a write has been told of it.
//
// A connection can go silent for good without a sign of it on the socket. So a time-out says
// nothing about the server: it ends its own connection and all idle ones to that endpoint that have
// not been in use since, and the next call opens a new one.
//
// What failed matters: a request whose first byte was never written has certainly not run; once a
// byte was written, a missing answer says nothing about that.
#pragma once

#include "base/instant.h"
#include "base/result.h"
#include "net/endpoint.h"
#include "net/httptypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <set>
#include <variant>

namespace burdock {

// ---- Failures -----------------------------------------------------------------------------------

struct CallFailure
{
    bool bytesSent = false;      // whether a byte of the request may have left this process
    bool timedOut = false;       // the deadline passed
    bool keptConnection = false; // on a kept connection, before any byte of the answer
    bool refused = false;        // nobody listens there
    std::string message;         // what the operating system or the parser said
};

template <typename T>
using CallResult = std::variant<T, CallFailure>;

/// A whole answer.
struct HttpResponse
{
    HttpResponseHead head; // status and headers
    std::string body;      // whole body
};

/// A sender that crashes closes its connection like one that has finished, so the body of a
/// close-delimited answer may be short. This finds the case that the body itself shows.
/// @return whether the answer is close-delimited JSON that ends before its value does
bool isVisiblyTruncated(const HttpResponseHead &head, std::string_view body);

/// How logs name that case.
constexpr const char *TruncatedBody = "the connection closed before the end of the body";

// ---- Exchange -----------------------------------------------------------------------------------

/// Asked right before the first byte of a request leaves, once its connection is open.
class SendCheck
{
public:
    virtual ~SendCheck() = default;

    /// @return whether the request is still to be sent; if not, nothing of it leaves
    virtual bool mayStillSend() = 0;
};

class HttpExchange
{
public:
    virtual ~HttpExchange() = default;

    /// Sends the request and reads the final answer's head. Nothing is sent once the deadline has
    /// passed.
    /// @param request what to send
    /// @param deadline when to give up
    /// @param check has the last word; null: the request is sent in any case
    virtual boost::asio::awaitable<CallResult<HttpResponseHead>>
    start(HttpRequest request, Instant deadline, SendCheck *check) = 0;

    /// Reads the next part of the body.
    /// @param deadline when to give up
    /// @return the part; empty at the proper end of the body
    virtual boost::asio::awaitable<CallResult<std::string>> readPart(Instant deadline) = 0;

    /// Ends the exchange now; a pending read fails. The upstream sees the connection close.
    virtual void cancel() = 0;

    /// Ends the exchange as if its deadline had passed: the other side was silent, and a pending
    /// read fails as timed out.
    virtual void expire() = 0;
};

/// Reads the body of an answer whose head was read. If it is too long or late, the exchange ends.
/// @param maxBytes longest body that is taken
boost::asio::awaitable<CallResult<std::string>> readBody(HttpExchange &exchange, Instant deadline,
                                                         std::size_t maxBytes);

struct BodyMemoryLimits
{
    std::size_t maxBytes = 16 * 1024 * 1024;      // of one body
    std::size_t maxBytesOfAll = 32 * 1024 * 1024; // of all together
    std::size_t alwaysAllowed = 64 * 1024;        // of each, whatever the others take
    std::chrono::milliseconds sendTime { 1'000 }; // a receiver that takes longer may be cut
};

class BodyHold;

/// Bounds the memory of bodies that are read whole, until they were passed on: servers in trouble
/// may send them without end, and receivers may never take them. When the bound is reached, the
/// receivers that have kept most for longest are cut; bodies that are still arriving are refused
/// if that is not enough.
class BodyMemory
{
public:
    explicit BodyMemory(BodyMemoryLimits limits = {})
        : m_limits(limits)
    {
    }
    BodyMemory(const BodyMemory &) = delete;
    BodyMemory &operator=(const BodyMemory &) = delete;

    std::size_t used() const { return m_used; }
    const BodyMemoryLimits &limits() const { return m_limits; }

private:
    friend class BodyHold;

    bool tryAdd(std::size_t earlier, std::size_t bytes);
    /// Cuts the receiver that has kept most for longest.
    /// @return whether there was one
    bool reclaim();

    BodyMemoryLimits m_limits;
    std::size_t m_used = 0;
    std::set<BodyHold *> m_sending;
};

/// What one body holds of the memory; given back at its end.
class BodyHold
{
public:
    /// @param memory has to outlive it
    explicit BodyHold(BodyMemory &memory)
        : m_memory(&memory)
    {
    }
    ~BodyHold() { release(); }
    BodyHold(const BodyHold &) = delete;
    BodyHold &operator=(const BodyHold &) = delete;

    /// Counts further bytes of the body.
    /// @return false if they must not be kept; they are not counted then
    bool tryAdd(std::size_t bytes);

    /// The body is whole and is being sent on.
    /// @param cut ends that, if the memory is needed for others
    void beginSending(std::function<void()> cut);

    std::size_t bytes() const { return m_bytes; }

private:
    friend class BodyMemory;

    void release();

    BodyMemory *m_memory;
    std::size_t m_bytes = 0;
    Instant m_sendingFrom;
    std::function<void()> m_cut;
};

/// The same within the limits of a memory; the body stays counted as long as `hold` lives.
boost::asio::awaitable<CallResult<std::string>> readBody(HttpExchange &exchange, Instant deadline,
                                                         BodyHold &hold);

// ---- Session ------------------------------------------------------------------------------------

/// Calls that must reach the same process: a connection does not survive the other side's restart.
class HttpSession
{
public:
    virtual ~HttpSession() = default;

    /// Sends a request over the session's connection, which the first call opens, and reads the
    /// whole answer. Once a call has failed, all later ones do, without a byte sent.
    virtual boost::asio::awaitable<CallResult<HttpResponse>> call(const HttpRequest &request,
                                                                  Instant deadline) = 0;
};

// ---- Client -------------------------------------------------------------------------------------

/// A server that holds a call back on purpose looks like a silent connection until its time is
/// over. Such a call takes only a connection that was alive a moment ago.
struct CallOptions
{
    Instant usedSince;                     // a kept connection was in use after it; zero: any
    Instant headDeadline = Instant::max(); // to give up without the head; the deadline if later
    SendCheck *check = nullptr;            // has the last word before the request leaves
};

enum class ConnectOutcome {
    Accepted,
    Refused, // nobody listens there
    Failed,  // not in time, or for another reason that says nothing about the upstream
};

struct HttpClientSettings
{
    std::chrono::milliseconds connectTimeout { 60'000 }; // to open a connection
    std::chrono::milliseconds idleLimit { 60'000 }; // kept for reuse; less if the server says so,
                                                    // or if kept connections turn out dead
    std::chrono::milliseconds idleLeast { 50 };     // the least it is lowered to
    std::chrono::milliseconds silenceTimeout { 0 }; // unacknowledged data or probes; 0: off
    std::size_t maxBodyBytes = 16 * 1024 * 1024;    // of a whole answer
};

class HttpClient
{
public:
    /// @param io runs the client; must outlive it
    explicit HttpClient(boost::asio::io_context &io, HttpClientSettings settings = {});
    ~HttpClient();

    /// Makes an exchange with an upstream.
    /// @param endpoint where to
    /// @param freshConnection whether to open a connection for it alone: on a kept connection that
    ///        the upstream has just closed, it is uncertain whether the request arrived
    std::shared_ptr<HttpExchange> exchange(const Endpoint &endpoint, bool freshConnection);

    /// @return a session with an upstream
    std::shared_ptr<HttpSession> session(const Endpoint &endpoint);

    /// Sends a request and reads the whole answer.
    /// @param endpoint where to
    /// @param request what to send
    /// @param deadline when to give up
    boost::asio::awaitable<CallResult<HttpResponse>>
    call(Endpoint endpoint, HttpRequest request, Instant deadline, CallOptions options = {});

    /// Opens a connection and keeps it for a later call.
    /// @param deadline when to give up
    boost::asio::awaitable<ConnectOutcome> tryConnect(Endpoint endpoint, Instant deadline);

    /// @return whether a connection to the upstream is kept that a request may use
    bool hasIdleConnection(const Endpoint &endpoint) const;

    /// @return connections opened so far
    std::uint64_t connectionsOpened() const;

    struct State; // shared with the exchanges; defined in httpclient.cpp

private:
    std::shared_ptr<State> m_state;
};

} // namespace burdock
