// Carries a request that was sent to an upstream, and its answer back to the caller.
//
// Index
//   AttemptEnd     how one attempt ended
//   readWhole      a whole answer, buffered, so that nothing is shown of an answer that fails
//   sendWhole      passes it on
//   StreamRelay    a streamed answer, event by event, over as many attempts as it takes
#pragma once

#include "decide/responsecheck.h"
#include "net/eventstream.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace burdock {

enum class AttemptEnd {
    Done,          // the whole answer has reached the caller
    ConnectFailed, // no byte of the request was sent
    Lost,          // bytes were sent, and the connection ended before the whole answer
    NotHeld,       // the upstream does not hold the model, and has not run the request
    Failed,        // bytes were sent, and the answer is late, refused or not whole
    CallerLeft,    // the caller does not want it any more
};

/// HTTP status with which an engine says that it does not hold a model.
constexpr int NotHeldStatus = 404;

/// An answer that may be given to the caller.
struct WholeAnswer
{
    AttemptEnd end = AttemptEnd::Failed; // Done when the answer is whole
    HttpResponse response;               // for Done
    std::string failure;                 // for the log
    std::unique_ptr<BodyHold> hold;      // counts the body until it was sent
};

/// Sends a request and reads the whole answer.
/// @param exchange carries it
/// @param request what to send
/// @param deadline when to give up
/// @param memory bounds this answer and all others; it has to outlive the answer
boost::asio::awaitable<WholeAnswer> readWhole(std::shared_ptr<HttpExchange> exchange,
                                              const HttpRequest &request, Instant deadline,
                                              BodyMemory &memory);

/// Sends a whole answer to the caller; its memory counts until the caller has taken it.
boost::asio::awaitable<bool> sendWhole(HttpReply &reply, WholeAnswer answer);

/// One attempt of a streamed answer.
struct StreamAttempt
{
    int number = 0;                             // from the dispatcher; grows with each attempt
    std::shared_ptr<HttpExchange> exchange;     // carries it
    HttpRequest request;                        // without the resume header
    Instant firstByteDeadline;                  // when the answer must have begun
    std::chrono::milliseconds gapTimeout { 0 }; // how long the upstream may be silent afterwards
    std::function<void()> onFirstByte;          // called when the answer begins
};

/// Relays a model's event stream. Only whole events are passed on, in order, each once; after a
/// broken attempt the next one goes on after the last event that the caller has.
class StreamRelay
{
public:
    /// @param reply where the answer goes
    /// @param request the request's number
    /// @param requestName the name under which upstreams know it
    StreamRelay(HttpReply &reply, std::uint64_t request, std::string requestName);

    /// Runs one attempt.
    boost::asio::awaitable<AttemptEnd> run(StreamAttempt attempt);

    /// Ends a stream that cannot be completed. The caller gets an error event, and its connection
    /// is cut without the end of a complete answer.
    boost::asio::awaitable<void> truncate(const Error &error);

    /// @return whether the caller has been sent anything
    bool begun() const { return m_reply.begun(); }

    /// @return whether no further attempt makes sense
    bool givenUp() const { return m_check.isTruncated(); }

    /// @return why the last attempt failed
    const std::string &failure() const { return m_failure; }

private:
    boost::asio::awaitable<AttemptEnd> relayEvents(StreamAttempt &attempt, ResponsePart part);
    boost::asio::awaitable<AttemptEnd> deliver(std::vector<StreamEvent> events, ResponsePart &part);
    boost::asio::awaitable<bool> writeText(const std::string &text);
    bool acceptHead(const HttpResponseHead &head, ResponsePart &part);
    AttemptEnd breakOff(int attempt, AttemptEnd end, std::string failure);

    HttpReply &m_reply;
    std::uint64_t m_request;
    std::string m_requestName;
    ResponseCheck m_check;
    std::string m_failure;
};

} // namespace burdock
