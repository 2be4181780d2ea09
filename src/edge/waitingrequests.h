// Joins the coroutines that hold callers' connections to the scheduler's decisions.
#pragma once

#include "net/awaitedvalue.h"
#include "serving/scheduler.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>

namespace burdock {

/// The caller is gone; nothing is to be done for the request any more.
struct CallerGone
{
};

using SchedulingDecision = std::variant<StartRequest, RefuseRequest, CallerGone>;

class WaitingRequests
{
public:
    /// @param scheduler must outlive the object
    WaitingRequests(boost::asio::io_context &io, RequestScheduler &scheduler);

    /// Called with each model or adapter that is asked for and not there.
    std::function<void(const CopyRequest &)> onCopyRequest;

    /// Hands a request to the scheduler and waits for its decision.
    boost::asio::awaitable<SchedulingDecision>
    submit(ServingRequest request, std::vector<std::string> excluded, bool attempted);

    /// Refuses every request that waits.
    void refuseAll(const char *reason, std::chrono::milliseconds retryAfter);

    /// Refuses a request if it waits.
    void refuse(std::uint64_t id, const char *reason, std::chrono::milliseconds retryAfter);

    /// The caller left while its request waited.
    void cancel(std::uint64_t id);

    /// Starts what has room now. Call it after an attempt ended or replicas changed.
    void pump();

    /// Lets the scheduler see the time.
    void tick();

private:
    void carryOut();
    void decide(std::uint64_t id, SchedulingDecision decision);

    boost::asio::io_context &m_io;
    RequestScheduler &m_scheduler;
    std::unordered_map<std::uint64_t, std::shared_ptr<AwaitedValue<SchedulingDecision>>> m_waiters;
};

} // namespace burdock
