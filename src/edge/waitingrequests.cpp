#include "edge/waitingrequests.h"

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
    const auto waiter = std::make_shared<AwaitedValue<SchedulingDecision>>(m_io);
    m_waiters[id] = waiter;
    m_scheduler.submit(request, std::move(excluded), attempted, steadyNow());
    carryOut();
    SchedulingDecision decision = co_await waiter->take();
    m_waiters.erase(id);
    co_return decision;
}

void WaitingRequests::decide(std::uint64_t id, SchedulingDecision decision)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end() || found->second->isSet())
        return;
    found->second->set(std::move(decision));
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
        if (!waiter->isSet())
            ids.push_back(id);
    }
    for (const std::uint64_t id : ids)
        refuse(id, reason, retryAfter);
}

void WaitingRequests::refuse(std::uint64_t id, const char *reason,
                             std::chrono::milliseconds retryAfter)
{
    m_scheduler.cancel(id);
    decide(id, RefuseRequest { id, reason, retryAfter });
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
        else if (onCopyRequest)
            onCopyRequest(std::get<CopyRequest>(action));
    }
}

} // namespace burdock
