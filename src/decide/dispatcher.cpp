#include "decide/dispatcher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

Dispatcher::Dispatcher(UpstreamTable &table, PrefixIndex &prefixes, RoutingPolicy &policy,
                       DispatcherSettings settings)
    : m_table(table)
    , m_prefixes(prefixes)
    , m_policy(policy)
    , m_settings(settings)
    , m_admission(settings.admission)
    , m_retries(settings.retries)
{
}

std::vector<DispatchAction> Dispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- Arrival and start --------------------------------------------------------------------------

bool Dispatcher::hasUpstream(const RoutingRequest &request, Instant now) const
{
    const std::vector<const UpstreamRow *> &holders = m_table.holders(request.key);
    return std::any_of(holders.begin(), holders.end(), [&](const UpstreamRow *row) {
        return mayReceive(m_table, *row, request, now);
    });
}

void Dispatcher::onRequest(const QueuedRequest &request, Instant now)
{
    assert(m_active.count(request.routing.id) == 0 && "give each request an id of its own");
    queueRequest(request, now);
}

void Dispatcher::queueRequest(const QueuedRequest &request, Instant now)
{
    const bool mayWait = request.routing.requestClass == RequestClass::MayWait;
    if (!mayWait && !hasUpstream(request.routing, now)) {
        failRequest(request, ResultCode::RefusedNoUpstream, "no_upstream");
        return;
    }
    if (m_admission.offer(request, now))
        m_admission.startQueuedForKey(request.routing.key, *this, now);
    collectRefusals();
}

StartResult Dispatcher::tryStart(const QueuedRequest &request, Instant now)
{
    const RoutingResult result = m_policy.choose(request.routing, now);
    if (const auto *none = std::get_if<NoRoute>(&result))
        return *none == NoRoute::NoFreeSlot ? StartResult::NoFreeSlot : StartResult::NoUpstream;

    const RoutingChoice &choice = std::get<RoutingChoice>(result);
    const UpstreamRow *row = m_table.find(choice.upstream);
    assert(row != nullptr && "RoutingPolicy::choose() must return an upstream of the table");
    m_prefixes.onSent(row->number, request.routing.prefix);
    m_table.onSent(choice.upstream, choice.loadsAdapter, now);

    ActiveRequest active { request, choice.upstream, row->number, choice.loadsAdapter, false };
    active.request.attempt++;
    const auto retry = m_queuedRetries.find(request.routing.id);
    if (retry != m_queuedRetries.end()) {
        active.responseBegan = retry->second;
        m_queuedRetries.erase(retry);
    }
    SendRequest send;
    send.id = request.routing.id;
    send.attempt = active.request.attempt;
    send.choice = choice;
    send.reason = describeRouting(request.routing, result);
    send.resumes = active.responseBegan;
    m_actions.emplace_back(std::move(send));
    m_active[request.routing.id] = std::move(active);
    return StartResult::Started;
}

// ---- Events of an attempt -----------------------------------------------------------------------

ActiveRequest *Dispatcher::findAttempt(std::uint64_t id, int attempt)
{
    const auto entry = m_active.find(id);
    if (entry == m_active.end() || entry->second.request.attempt != attempt)
        return nullptr; // an event of an earlier attempt
    return &entry->second;
}

bool Dispatcher::isSameUpstream(const ActiveRequest &active) const
{
    const UpstreamRow *row = m_table.find(active.upstream);
    return row != nullptr && row->number == active.number;
}

void Dispatcher::recordAttemptEnd(const ActiveRequest &active, bool failed, Instant now)
{
    if (!isSameUpstream(active))
        return; // the table dropped the counts of the earlier incarnation
    const RoutingRequest &routing = active.request.routing;
    if (active.loadsAdapter)
        m_table.onAdapterLoaded(active.upstream, routing.key, failed ? "" : routing.adapter);
    m_table.onFinished(active.upstream, now);
}

void Dispatcher::onFirstByte(std::uint64_t id, int attempt, Instant now)
{
    ActiveRequest *active = findAttempt(id, attempt);
    if (active == nullptr)
        return;
    active->responseBegan = true;
    if (!isSameUpstream(*active))
        return;
    m_table.onConnected(active->upstream);
    if (!std::exchange(active->loadsAdapter, false))
        return;
    const RoutingRequest &routing = active->request.routing;
    m_table.onAdapterLoaded(active->upstream, routing.key, routing.adapter);
    m_admission.startQueuedForKey(routing.key, *this, now);
}

void Dispatcher::onFinished(std::uint64_t id, int attempt, Instant now)
{
    ActiveRequest *active = findAttempt(id, attempt);
    if (active == nullptr)
        return;
    if (isSameUpstream(*active))
        m_table.onConnected(active->upstream);
    recordAttemptEnd(*active, false, now);
    m_retries.onSuccess();
    m_active.erase(id);
    m_admission.startQueued(*this, now);
    collectRefusals();
}

void Dispatcher::onCancelled(std::uint64_t id, Instant now)
{
    m_queuedRetries.erase(id);
    if (m_admission.cancel(id))
        return;
    const auto entry = m_active.find(id);
    if (entry == m_active.end())
        return;
    const ActiveRequest active = entry->second;
    m_active.erase(entry);
    m_actions.emplace_back(CancelAttempt { id, active.request.attempt, active.upstream });
    recordAttemptEnd(active, true, now);
    m_admission.startQueued(*this, now);
    collectRefusals();
}

void Dispatcher::onConnectFailed(std::uint64_t id, int attempt, Instant now)
{
    const ActiveRequest *found = findAttempt(id, attempt);
    if (found == nullptr)
        return;
    const ActiveRequest active = *found;
    m_active.erase(id);
    if (isSameUpstream(active))
        m_table.onConnectFailed(active.upstream, now);
    recordAttemptEnd(active, true, now);
    retryOrFail(active, true, now);
}

void Dispatcher::onUpstreamFailed(std::uint64_t id, int attempt, bool retryAllowed, Instant now)
{
    const ActiveRequest *found = findAttempt(id, attempt);
    if (found == nullptr)
        return;
    ActiveRequest active = *found;
    m_active.erase(id);
    recordAttemptEnd(active, true, now);
    active.request.mayHaveRun = true;
    active.request.routing.preferIdleUpstream = true; // it may have crashed its upstream
    retryOrFail(std::move(active), retryAllowed, now);
}

// ---- Retries and failed requests ----------------------------------------------------------------

void Dispatcher::retryOrFail(ActiveRequest active, bool retryAllowed, Instant now)
{
    QueuedRequest &request = active.request;
    if (request.routing.requestClass == RequestClass::AtMostOnce) {
        failRequest(request,
                    request.mayHaveRun ? ResultCode::OutcomeUnknown : ResultCode::RefusedNoUpstream,
                    "sent_once");
        return;
    }
    if (!retryAllowed || request.attempt >= m_settings.maxAttempts) {
        failRequest(request, ResultCode::UpstreamFailed, "attempts_spent");
        return;
    }
    if (!m_retries.trySpend()) {
        failRequest(request, ResultCode::UpstreamFailed, "retry_budget_spent");
        return;
    }
    request.routing.excluded.push_back(active.upstream);
    if (!hasUpstream(request.routing, now))
        request.routing.excluded.clear(); // no other upstream: retry at the same one
    m_queuedRetries[request.routing.id] = active.responseBegan;
    queueRequest(request, now);
}

void Dispatcher::failRequest(const QueuedRequest &request, ResultCode code,
                             const std::string &reason)
{
    FailRequest failure;
    failure.refusal.id = request.routing.id;
    failure.refusal.notRun = !request.mayHaveRun;
    failure.refusal.code = code;
    if (request.mayHaveRun && code == ResultCode::RefusedNoUpstream)
        failure.refusal.code = ResultCode::UpstreamFailed; // RefusedNoUpstream means "not run"
    failure.refusal.reason = reason;
    m_queuedRetries.erase(request.routing.id);
    m_actions.emplace_back(std::move(failure));
}

void Dispatcher::collectRefusals()
{
    for (Refusal &refusal : m_admission.takeRefusals()) {
        m_queuedRetries.erase(refusal.id);
        m_actions.emplace_back(FailRequest { std::move(refusal) });
    }
}

void Dispatcher::tick(Instant now)
{
    m_admission.tick(now);
    m_admission.startQueued(*this, now);
    collectRefusals();
}

} // namespace burdock
