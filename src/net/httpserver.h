// An HTTP/1.1 server on one thread, over Boost.Beast.
//
// Index
//   HttpLimits    bounds on what a caller may send and how long it may take
//   HttpRefusals  what the server itself refused, by limit
//   HttpReply     the answer to one request: whole, or streamed with back-pressure
//   HttpHandler   what a program does with a request
//   HttpServer    accepts connections and calls the handler
//
// Every request is read whole, within the limits, before the handler sees it. A streamed write
// completes only once the operating system took the bytes, so a slow caller slows its upstream.
//
// Answers the load of callers that do not keep to the limits. What all connections together hold of
// requests is bounded: buffers, heads by the memory that their fields take, and bodies. When the
// bound is reached, the connections that hold most for longest without progress are refused (503,
// not run) or, if idle, closed, not those that come and go. When all places for
// connections are taken, a new one takes the place of one that has sent no whole request for
// longest. Trailers are read within the bound of a head and dropped.
#pragma once

#include "base/instant.h"
#include "base/result.h"
#include "net/endpoint.h"
#include "net/httptypes.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace burdock {

// ---- Limits -------------------------------------------------------------------------------------

struct HttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;            // above it: 413
    std::size_t maxBodyBytes = 1024 * 1024;            // above it: 413
    std::size_t maxBytesOfAll = 256 * 1024 * 1024;     // held of all requests together
    std::chrono::milliseconds readTimeout { 10'000 };  // to read one request, first byte to last
    std::chrono::milliseconds idleTimeout { 60'000 };  // between requests of a connection
    std::chrono::milliseconds writeTimeout { 30'000 }; // for one write to make progress
    int maxConnections = 10'000;                       // at once
};

struct HttpRefusals
{
    std::uint64_t malformed = 0;   // 400
    std::uint64_t tooLarge = 0;    // 413
    std::uint64_t tooSlow = 0;     // 408
    std::uint64_t memory = 0;      // 503, for the bytes of all requests together
    std::uint64_t idle = 0;        // idle connections closed, for the bytes of all requests
    std::uint64_t connections = 0; // closed, for the place of a new connection
    std::uint64_t notAccepted = 0; // new connections closed, since all places were in use
};

// ---- Reply --------------------------------------------------------------------------------------

class HttpReply
{
public:
    virtual ~HttpReply() = default;

    /// Sends a whole answer.
    /// @param status HTTP status code
    /// @param headers further headers
    /// @param body the whole body
    /// @return false when the caller has left
    virtual boost::asio::awaitable<bool> send(int status, std::vector<HttpHeader> headers,
                                              std::string body) = 0;

    /// Begins a streamed answer.
    /// @return false when the caller has left
    virtual boost::asio::awaitable<bool> begin(int status, std::vector<HttpHeader> headers) = 0;

    /// Sends a part of a streamed answer; waits until the caller can take more.
    /// @return false when the caller has left
    virtual boost::asio::awaitable<bool> write(std::string_view part) = 0;

    /// Ends a streamed answer. Without it the connection is cut before the last chunk, and reset
    /// for a caller of HTTP/1.0, which knows no chunks: a part is never taken for the whole.
    virtual boost::asio::awaitable<bool> finish() = 0;

    /// Calls back once when the caller leaves before the answer has ended.
    /// @param callback what to do, e.g. cancel the work at the upstream; empty to forget it
    virtual void onCallerLeft(std::function<void()> callback) = 0;

    /// @return whether the caller is known to have left
    virtual bool callerLeft() const = 0;

    /// Looks at the connection itself: its close may have arrived and wait to be handled.
    /// @return whether the caller has left; if so, the callback of onCallerLeft() has been called
    virtual bool checkCallerLeft() = 0;

    /// @return whether a header was sent already
    virtual bool begun() const = 0;

    /// Ends the connection now, as if the caller had left: what is being sent fails.
    virtual void cut() = 0;
};

// ---- Handler ------------------------------------------------------------------------------------

class HttpHandler
{
public:
    virtual ~HttpHandler() = default;

    /// Answers one request. Must send a whole answer or begin a streamed one.
    /// @param request the request, read whole; lives until the coroutine ends
    /// @param reply where the answer goes
    virtual boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) = 0;
};

// ---- Server -------------------------------------------------------------------------------------

class HttpServer
{
public:
    /// @param io runs the server; must outlive it
    /// @param limits bounds for every connection
    /// @param handler answers the requests; must outlive the server
    HttpServer(boost::asio::io_context &io, HttpLimits limits, HttpHandler &handler);
    ~HttpServer();

    /// Binds and begins to accept.
    /// @param endpoint where to listen
    /// @return SettingsClash when the address cannot be bound
    Result<Done> listen(const Endpoint &endpoint);

    /// Replaces the limits; requests that are being read keep the earlier ones.
    void setLimits(const HttpLimits &limits);

    /// From now on each connection is closed after its next answer.
    void closeAfterAnswers();

    /// Stops accepting connections; those that are open go on.
    void stopAccepting();

    /// @return connections now open
    int connections() const;

    /// @return requests being answered now
    int requestsInProgress() const;

    /// @return bytes held of requests now
    std::size_t bytesHeld() const;

    /// @return what was refused since the start
    const HttpRefusals &refusals() const;

    struct State; // shared with the open connections; defined in httpserver.cpp

private:
    std::shared_ptr<State> m_state;
};

/// Sends an error as JSON: {"error":{"code":301,"name":"refused-overload","message":"..."}}.
/// @param reply where to
/// @param error the numbered error
/// @param retryAfter when to come back; zero for no Retry-After header
boost::asio::awaitable<bool> sendError(HttpReply &reply, const Error &error,
                                       std::chrono::milliseconds retryAfter = {});

/// @return the body that sendError sends
std::string errorBody(const Error &error);

} // namespace burdock
