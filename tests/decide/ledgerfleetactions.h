// Behaviour of the store, the plain service and the callers of LedgerFleet. Included by
// ledgerfleet.h.
#pragma once

#include "ledgerfleet.h"

namespace burdock::testing {

// ---- Store --------------------------------------------------------------------------------------

inline std::optional<LedgerFleet::CallPlan> LedgerFleet::planCall(int node, Step step,
                                                                  const OrderKey &order)
{
    const Faults faults = injectAt(step);
    applyFleetFaults(faults, node, -1, order);
    const std::optional<std::int64_t> departsAt = departureTime(faults, node);
    if (!departsAt)
        return std::nullopt;
    CallPlan plan;
    plan.effectAt = *departsAt + latency();
    plan.responseAt = *plan.effectAt + latency();
    if (faults.contains(Fault::Duplicated))
        plan.repeatAt = *plan.effectAt + 1'500;
    const bool late = m_now < m_storeSlowUntil || faults.contains(Fault::Late);
    if (m_now < m_storeDownUntil) {
        plan.effectAt.reset();
        plan.status = ObjectStatus::Unavailable;
    } else if (late || faults.contains(Fault::Lost) || faults.contains(Fault::ResponseLost)
               || faults.contains(Fault::WriteDelayed)) {
        plan.status = ObjectStatus::Unknown;
        plan.responseAt = *departsAt + CallTimeoutMs;
    }
    if (late)
        plan.effectAt = *departsAt + CallTimeoutMs + 50 * latency();
    // A delayed write takes effect between the read-back and the next write.
    if (faults.contains(Fault::WriteDelayed))
        plan.effectAt = *departsAt + CallTimeoutMs + 2 * latency();
    if (faults.contains(Fault::Lost))
        plan.effectAt.reset();
    if (faults.contains(Fault::SenderKilledAfter))
        kill(node);
    return plan;
}

template <typename Effect, typename OnResult>
void LedgerFleet::call(int node, const std::optional<CallPlan> &plan, Effect effect,
                       OnResult onResult)
{
    if (!plan)
        return;
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    const auto status = std::make_shared<ObjectStatus>(ObjectStatus::Unknown);
    if (plan->effectAt)
        at(*plan->effectAt, [=] { *status = effect(); });
    if (plan->repeatAt)
        at(*plan->repeatAt, [=] { effect(); });
    const std::optional<ObjectStatus> fixed = plan->status;
    at(plan->responseAt, [=, this] {
        inProcess(node, incarnation, [=](Node &self) { onResult(self, fixed.value_or(*status)); });
    });
}

inline void LedgerFleet::act(int node, const ReadHead &action)
{
    const auto found = std::make_shared<StoredHead>();
    call(
            node, planCall(node, Step::HeadRead, {}),
            [=, this] { return m_store.readHead(action.name, *found); },
            [=, this](Node &self, ObjectStatus status) {
                self.ledger->onHead(action.call, action.shard, status, found->version, found->head,
                                    now());
            });
}

inline void LedgerFleet::act(int node, const WriteHead &action)
{
    const auto entry = m_store.heads().find(action.name);
    const bool takeover = entry == m_store.heads().end()
            || entry->second.head.ownerIncarnation != action.head.ownerIncarnation;
    const OrderKey order =
            action.head.recent.empty() ? OrderKey() : action.head.recent.back().order;
    const auto version = std::make_shared<std::uint64_t>(0);
    call(
            node, planCall(node, takeover ? Step::Takeover : Step::Commit, order),
            [=, this] { return m_store.writeHead(action, *version); },
            [=, this](Node &self, ObjectStatus status) {
                self.ledger->onWritten(action.call, action.shard, status, *version, now());
            });
}

inline void LedgerFleet::act(int node, const CreateSegment &action)
{
    call(
            node, planCall(node, Step::Segment, {}),
            [=, this] { return m_store.createSegment(action); },
            [=, this](Node &self, ObjectStatus status) {
                self.ledger->onWritten(action.call, action.shard, status, 1, now());
            });
}

inline void LedgerFleet::act(int node, const ReadSegment &action)
{
    const auto records = std::make_shared<std::vector<LedgerRecord>>();
    call(
            node, planCall(node, Step::SegmentRead, {}),
            [=, this] { return m_store.readSegment(action.name, *records); },
            [=, this](Node &self, ObjectStatus status) {
                self.ledger->onSegment(action.call, action.shard, status, *records, now());
            });
}

inline void LedgerFleet::act(int node, const ListSegments &action)
{
    const auto names = std::make_shared<std::vector<std::string>>();
    CallPlan plan;
    plan.effectAt = m_now + latency();
    plan.responseAt = m_now + 9;
    if (m_now < m_storeDownUntil)
        plan.status = ObjectStatus::Unavailable;
    call(
            node, plan,
            [=, this] {
                *names = m_store.segmentNames(action.prefix);
                return ObjectStatus::Done;
            },
            [=, this](Node &self, ObjectStatus status) {
                self.ledger->onSegmentList(action.call, action.shard, status, *names, now());
            });
}

inline void LedgerFleet::act(int node, const DeleteSegment &action)
{
    const std::optional<CallPlan> plan = planCall(node, Step::Delete, {});
    if (plan && plan->effectAt)
        at(*plan->effectAt, [=, this] { m_store.deleteSegment(action.name); });
}

// ---- Plain service ------------------------------------------------------------------------------

inline void LedgerFleet::act(int node, const RunOrder &action)
{
    const Faults faults = injectAt(Step::Run);
    applyFleetFaults(faults, node, -1, action.order);
    const std::optional<std::int64_t> departsAt = departureTime(faults, node);
    if (!departsAt)
        return;
    const std::uint64_t incarnation = m_nodes[node].incarnation;
    // In every schedule the first connection for one of the keys is refused.
    const bool refusedOnce =
            action.order.key == "key-2" && !std::exchange(m_connectRefusedOnce, true);
    if (faults.contains(Fault::ConnectRefused) || refusedOnce) {
        at(m_now + 2, [=, this] {
            inProcess(node, incarnation,
                      [=](Node &self) { self.client->onNotSent(action.attempt); });
        });
    } else {
        if (!faults.contains(Fault::Lost))
            at(*departsAt + latency(), [=, this] { runAtService(node, incarnation, action); });
        at(*departsAt + 1'500, [=, this] { onUpstreamTimeout(node, incarnation, action); });
    }
    if (faults.contains(Fault::SenderKilledAfter))
        kill(node);
}

inline bool LedgerFleet::isRunning(const Node &self, const std::string &attempt) const
{
    const auto entry = self.client->attempts().find(attempt);
    return entry != self.client->attempts().end() && entry->second.phase == AttemptPhase::Running;
}

inline void LedgerFleet::runAtService(int node, std::uint64_t incarnation, const RunOrder &action)
{
    const std::string body = action.order.key + " by " + action.attempt;
    m_runs[action.order].push_back(body);
    m_ranAttempts.insert(action.attempt);
    const Faults faults = injectAt(Step::Response);
    const bool killAfter = faults.contains(Fault::ReceiverKilledAfter);
    applyFleetFaults(faults, -1, node, action.order);
    if (faults.contains(Fault::Lost))
        return;
    at(m_now + (faults.contains(Fault::Late) ? 3'000 : 20 + latency()), [=, this] {
        inProcess(node, incarnation, [=, this](Node &self) {
            if (!isRunning(self, action.attempt))
                return;
            respondToCaller(self, action.attempt, body);
            self.client->onAnswered(action.attempt, { 200, "text/plain", body, false }, now());
            if (killAfter)
                kill(node);
        });
    });
}

inline void LedgerFleet::onUpstreamTimeout(int node, std::uint64_t incarnation,
                                           const RunOrder &action)
{
    inProcess(node, incarnation, [=, this](Node &self) {
        if (!isRunning(self, action.attempt))
            return;
        if (m_options.releaseAfterSend)
            self.client->onNotSent(action.attempt);
        else
            self.client->onLost(action.attempt, now());
    });
}

// ---- Callers ------------------------------------------------------------------------------------

inline void LedgerFleet::sendRequest(int caller, int node)
{
    Caller &row = m_callers[caller];
    if (row.hasFinalResponse)
        return;
    row.lastNode = node;
    if (!m_nodes[node].up) {
        resendLater(caller);
        return;
    }
    ++row.pending;
    const std::uint64_t request = ++m_lastRequest;
    m_openRequests.insert(request);
    at(m_now + 4'000, [=, this] { // the caller's own timeout
        if (m_openRequests.erase(request) == 1)
            onRequestEnded(caller);
    });
    inProcess(node, m_nodes[node].incarnation, [=, this](Node &self) {
        const Instant sendDeadline = now() + std::chrono::milliseconds(2'500);
        const std::string attempt =
                self.client->begin(m_callers[caller].order, 7, sendDeadline, now());
        self.callerOf[attempt] = caller;
        m_requestOf[attempt] = request;
    });
}

inline void LedgerFleet::onRequestEnded(int caller)
{
    --m_callers[caller].pending;
    resendLater(caller);
}

inline void LedgerFleet::resendLater(int caller)
{
    const int node = (m_callers[caller].lastNode + 1) % NodeCount;
    at(m_now + 800, [=, this] {
        if (m_callers[caller].pending == 0)
            sendRequest(caller, node);
    });
}

inline void LedgerFleet::resendElsewhere(const OrderKey &order)
{
    for (int caller = 0; caller < KeyCount; ++caller) {
        const int node = (m_callers[caller].lastNode + 1) % NodeCount;
        if (m_callers[caller].order == order || order.key.empty())
            at(m_now + 1, [=, this] { sendRequest(caller, node); });
    }
}

inline bool LedgerFleet::closeRequest(const std::string &attempt)
{
    const auto request = m_requestOf.find(attempt);
    return request != m_requestOf.end() && m_openRequests.erase(request->second) == 1;
}

inline void LedgerFleet::connectionLost(int caller, const std::string &attempt)
{
    if (closeRequest(attempt))
        onRequestEnded(caller);
}

inline void LedgerFleet::respondToCaller(Node &self, const std::string &attempt,
                                         const std::string &body)
{
    Caller &caller = m_callers[self.callerOf[attempt]];
    caller.bodies.push_back(body);
    if (closeRequest(attempt))
        recordFinalResponse(self.callerOf[attempt]);
}

inline void LedgerFleet::recordFinalResponse(int number)
{
    Caller &caller = m_callers[number];
    --caller.pending;
    const int node = (caller.lastNode + 1) % NodeCount;
    if (caller.resends-- > 0)
        at(m_now + 1'500, [=, this] { sendRequest(number, node); });
    else
        caller.hasFinalResponse = true;
}

inline void LedgerFleet::act(int node, const RespondToCaller &action)
{
    const int number = m_nodes[node].callerOf[action.attempt];
    Caller &caller = m_callers[number];
    const bool unknown = action.verdict == OrderVerdict::OutcomeUnknown;
    m_unknownOutcomes += unknown ? 1 : 0;
    if (action.verdict == OrderVerdict::NotRun)
        m_reportedNotRun.insert(action.attempt);
    if (action.verdict == OrderVerdict::KeyReused)
        caller.keyReused = true;
    if (action.verdict == OrderVerdict::Recorded)
        caller.bodies.push_back(action.answer.body);
    if (!closeRequest(action.attempt))
        return;
    if (unknown || action.verdict == OrderVerdict::Recorded)
        recordFinalResponse(number);
    else
        onRequestEnded(number);
}

} // namespace burdock::testing
