// Joins the coroutines that hold callers' connections to the dispatcher's decisions.
//
// Index
//   CallerLeft, RequestDecision   what a waiting request is told
//   RequestBoard                  submits requests, carries out actions, wakes the coroutines
#pragma once

#include "decide/dispatcher.h"
#include "net/awaitedvalue.h"
#include "net/decisionlog.h"
#include "net/httpclient.h"
#include "net/metrics.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <variant>

namespace burdock {

/// The caller is gone; nothing is to be done for the request any more.
struct CallerLeft
{
};

using RequestDecision = std::variant<SendRequest, FailRequest, CallerLeft>;

class RequestBoard
{
public:
    RequestBoard(boost::asio::io_context &io, Dispatcher &dispatcher, DecisionLog &log,
                 Metrics &metrics, std::string node);

    /// @return an id that no other request of this process has
    std::uint64_t newId() { return ++m_lastId; }

    /// @return the name under which callers, upstreams and the log know a request
    std::string requestName(std::uint64_t id) const;

    /// Counts a final answer that is no answer of an upstream.
    void countRefusal(ResultCode code);

    /// Hands a request to the dispatcher and waits for its decision.
    boost::asio::awaitable<RequestDecision> submit(QueuedRequest request);

    /// Waits for the next decision about a request, after an attempt of it failed.
    boost::asio::awaitable<RequestDecision> next(std::uint64_t id);

    /// Names the exchange that carries the current attempt, so that it can be cancelled.
    void setExchange(std::uint64_t id, std::shared_ptr<HttpExchange> exchange);

    /// The caller left: takes the request back, wherever it is.
    void cancel(std::uint64_t id);

    /// Ends the board's interest in a request.
    void forget(std::uint64_t id) { m_waiters.erase(id); }

    /// Carries out what the dispatcher decided. Call it after each event given to the dispatcher.
    void carryOut();

    /// Lets the dispatcher see the time.
    void tick();

    Dispatcher &dispatcher() { return m_dispatcher; }

private:
    struct Waiter
    {
        explicit Waiter(boost::asio::io_context &io)
            : decision(io)
        {
        }

        AwaitedValue<RequestDecision> decision; // not yet taken by the coroutine
        std::shared_ptr<HttpExchange> exchange; // of the current attempt
    };

    void decide(std::uint64_t id, RequestDecision decision);
    void logSend(const SendRequest &send);
    void logRefusal(const Refusal &refusal);

    boost::asio::io_context &m_io;
    Dispatcher &m_dispatcher;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::string m_node;
    std::uint64_t m_lastId = 0;
    std::map<std::uint64_t, std::shared_ptr<Waiter>> m_waiters;
};

} // namespace burdock
