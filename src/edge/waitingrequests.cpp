#include "edge/waitingrequests.h"

#include "net/coroutines.h"

namespace burdock {

namespace asio = boost::asio;

WaitingRequests::WaitingRequests(asio::io_context &io, RequestScheduler &scheduler)
    : m_io(io)
    , m_scheduler(scheduler)
{
}

asio::awaitable<SchedulingDecision>
WaitingRequests::submit(ServingRequest request, std::vector<std::string> excluded, bool attempted)
{
    const std::uint64_t id = request.id;
    const auto waiter = std::make_shared<Waiter>(m_io);
    m_waiters[id] = waiter;
    m_scheduler.submit(request, std::move(excluded), attempted, steadyNow());
    carryOut();
    while (!waiter->decision) {
        boost::system::error_code ignored; // a cancelled wait is the wake-up
        waiter->wake.expires_at(asio::steady_timer::time_point::max());
        co_await waiter->wake.async_wait(withError(ignored));
    }
    m_waiters.erase(id);
    co_return std::move(*waiter->decision);
}

void WaitingRequests::decide(std::uint64_t id, SchedulingDecision decision)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end() || found->second->decision)
        return;
    found->second->decision = std::move(decision);
    found->second->wake.cancel();
}

void WaitingRequests::cancel(std::uint64_t id)
{
    m_scheduler.cancel(id);
    decide(id, CallerGone {});
}

void WaitingRequests::refuseAll(const char *reason, std::chrono::milliseconds retryAfter)
{
    std::vector<std::uint64_t> ids;
    for (const auto &[id, waiter] : m_waiters) {
        if (!waiter->decision)
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids) {
        m_scheduler.cancel(id);
        decide(id, RefuseRequest { id, reason, retryAfter });
    }
}

void WaitingRequests::pump()
{
    m_scheduler.pump(steadyNow());
    carryOut();
}

void WaitingRequests::tick()
{
    m_scheduler.tick(steadyNow());
    carryOut();
}

void WaitingRequests::carryOut()
{
    for (SchedulerAction &action : m_scheduler.takeActions()) {
        if (auto *start = std::get_if<StartRequest>(&action))
            decide(start->id, std::move(*start));
        else if (auto *refusal = std::get_if<RefuseRequest>(&action))
            decide(refusal->id, *refusal);
        else if (onWant)
            onWant(std::get<WantCopy>(action));
    }
}

} // namespace burdock
