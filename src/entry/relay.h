// Carries a request that was sent to an upstream, and its answer back to the caller.
//
// Index
//   AttemptEnd     how one attempt ended
//   relayWhole     a whole answer, buffered, so that nothing is shown of an answer that fails
//   StreamRelay    a streamed answer, event by event, over as many attempts as it takes
#pragma once

#include "entry/eventstream.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>

namespace burdock {

enum class AttemptEnd {
    Done,          // the whole answer has reached the caller
    ConnectFailed, // no byte of the request was sent
    Failed,        // bytes were sent, and the answer is missing or not whole
    CallerLeft,    // the caller does not want it any more
};

/// An answer that may be given to the caller.
struct WholeAnswer
{
    AttemptEnd end = AttemptEnd::Failed; // Done when the answer is whole
    HttpResponse response;               // for Done
    std::string failure;                 // for the log
};

/// Sends a request and reads the whole answer.
/// @param exchange carries it
/// @param request what to send
/// @param deadline when to give up
boost::asio::awaitable<WholeAnswer> readWhole(std::shared_ptr<HttpExchange> exchange,
                                              const HttpRequest &request, Instant deadline);

/// Relays a model's event stream. Only whole events are passed on, in order, each once; after a
/// broken attempt the next one goes on after the last event that the caller has.
class StreamRelay
{
public:
    StreamRelay(HttpReply &reply, std::string requestId);

    /// Runs one attempt.
    /// @param exchange carries it
    /// @param request the request without the resume header
    /// @param firstByteDeadline when the answer must have begun
    /// @param gapTimeout how long the upstream may be silent afterwards
    /// @param onFirstByte called when the answer begins
    boost::asio::awaitable<AttemptEnd> run(std::shared_ptr<HttpExchange> exchange,
                                           HttpRequest request, Instant firstByteDeadline,
                                           std::chrono::milliseconds gapTimeout,
                                           const std::function<void()> &onFirstByte);

    /// Ends a stream that cannot be completed: the caller is told that it is truncated.
    boost::asio::awaitable<void> truncate(const Error &error);

    /// @return whether the caller has been sent anything
    bool begun() const { return m_reply.begun(); }

    /// @return events that the caller has
    std::uint64_t delivered() const { return m_next; }

    const std::string &failure() const { return m_failure; }

private:
    boost::asio::awaitable<AttemptEnd> deliver(std::vector<StreamEvent> events);

    HttpReply &m_reply;
    std::string m_requestId;
    std::uint64_t m_next = 0; // index of the next event to deliver
    bool m_ended = false;     // the end mark was delivered
    std::string m_failure;
};

} // namespace burdock
