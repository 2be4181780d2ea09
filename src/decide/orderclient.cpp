#include "decide/orderclient.h"

#include <cassert>
#include <utility>

namespace burdock {

OrderClient::OrderClient(NodeIdentity self, OrderClientSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_prefix(m_self.node + "/" + hashToHex(m_self.incarnation) + "/")
    , m_preferredOwners(settings.shards)
{
}

// ---- Events -------------------------------------------------------------------------------------

void OrderClient::onLiveNodes(const std::vector<NodeIdentity> &live, Instant now)
{
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const NodeIdentity &node : live)
        names.push_back(node.node);
    for (unsigned shard = 0; shard < m_settings.shards; ++shard) {
        const std::vector<std::string> order = rendezvousOrder(ledgerHeadName(shard), names);
        m_preferredOwners[shard] = order.empty() ? std::string() : order.front();
    }
    for (auto &[name, attempt] : m_attempts) {
        if (attempt.owner == ownerOf(attempt.order))
            continue;
        attempt.owner = ownerOf(attempt.order);
        attempt.resendAt = now;
    }
}

std::string OrderClient::begin(const OrderKey &order, std::uint64_t fingerprint,
                               Instant sendDeadline, Instant now)
{
    std::string name = m_prefix + std::to_string(++m_lastAttempt);
    if (m_attempts.size() >= m_settings.maxAttempts) {
        m_actions.emplace_back(
                RespondToCaller { name, OrderVerdict::NotRun, {}, m_settings.retryAfter });
        return name;
    }
    OrderAttempt attempt;
    attempt.order = order;
    attempt.fingerprint = fingerprint;
    attempt.sendDeadline = sendDeadline;
    attempt.owner = ownerOf(order);
    send(name, m_attempts.emplace(name, attempt).first->second, now);
    return name;
}

void OrderClient::onCallerLeft(const std::string &attempt)
{
    const auto entry = m_attempts.find(attempt);
    if (entry == m_attempts.end() || entry->second.phase != AttemptPhase::Waiting)
        return;
    sendRelease(entry->second.owner, entry->second.order, attempt);
    m_attempts.erase(entry);
}

void OrderClient::onAnswered(const std::string &attempt, RecordedAnswer answer, Instant now)
{
    if (answer.body.size() > m_settings.maxRecordedBodyBytes) {
        answer.body.clear();
        answer.bodyOmitted = true;
    }
    report(attempt, OrderState::Answered, std::move(answer), now);
}

void OrderClient::onLost(const std::string &attempt, Instant now)
{
    m_actions.emplace_back(RespondToCaller { attempt, OrderVerdict::OutcomeUnknown, {}, {} });
    report(attempt, OrderState::OutcomeUnknown, {}, now);
}

void OrderClient::onNotSent(const std::string &attempt)
{
    assert(m_attempts.contains(attempt) && m_attempts[attempt].phase == AttemptPhase::Running
           && "onNotSent() is valid once, for an attempt that is running");
    abandon(attempt, OrderVerdict::NotRun, m_settings.retryAfter);
}

void OrderClient::onMessage(const LedgerMessage &message, Instant now)
{
    if (const AdmitReply *reply = std::get_if<AdmitReply>(&message))
        onAdmitReply(*reply, now);
    else if (const NotOwner *notOwner = std::get_if<NotOwner>(&message))
        onNotOwner(*notOwner, now);
    else if (const OutcomeAck *ack = std::get_if<OutcomeAck>(&message)) {
        const auto entry = m_attempts.find(ack->attempt);
        if (entry != m_attempts.end() && entry->second.phase == AttemptPhase::Reporting)
            m_attempts.erase(entry);
    }
}

void OrderClient::tick(Instant now)
{
    std::vector<std::string> overdue;
    for (auto &[name, attempt] : m_attempts) {
        if (attempt.phase == AttemptPhase::Running)
            continue;
        if (attempt.phase == AttemptPhase::Waiting && now >= attempt.sendDeadline)
            overdue.push_back(name);
        else if (now >= attempt.resendAt)
            send(name, attempt, now);
    }
    for (const std::string &name : overdue)
        abandon(name, OrderVerdict::NotRun, m_settings.retryAfter);
}

std::vector<OrderAction> OrderClient::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- Messages -----------------------------------------------------------------------------------

void OrderClient::onAdmitReply(const AdmitReply &reply, Instant now)
{
    const auto entry = m_attempts.find(reply.attempt);
    const bool waiting = entry != m_attempts.end() && entry->second.phase == AttemptPhase::Waiting;
    if (reply.verdict == AdmitVerdict::Granted) {
        if (entry == m_attempts.end() && isFromThisProcess(reply.attempt))
            sendRelease(ownerOf(reply.order), reply.order, reply.attempt);
        else if (waiting && now >= entry->second.sendDeadline)
            abandon(reply.attempt, OrderVerdict::NotRun, m_settings.retryAfter);
        else if (waiting) {
            entry->second.phase = AttemptPhase::Running;
            m_actions.emplace_back(RunOrder { reply.attempt, reply.order });
        }
        return;
    }
    if (!waiting)
        return;
    if (reply.verdict == AdmitVerdict::Refused) {
        abandon(reply.attempt, OrderVerdict::NotRun, reply.retryAfter);
        return;
    }
    RespondToCaller response { reply.attempt, OrderVerdict::KeyReused, {}, {} };
    if (reply.verdict == AdmitVerdict::Duplicate) {
        response.verdict = OrderVerdict::OutcomeUnknown;
        if (reply.state == DuplicateState::InProgress)
            response.verdict = OrderVerdict::InProgress;
        else if (reply.state == DuplicateState::Answered)
            response.verdict = OrderVerdict::Recorded;
        response.answer = reply.answer;
        response.retryAfter = m_settings.retryAfter;
    }
    m_attempts.erase(entry);
    m_actions.emplace_back(std::move(response));
}

void OrderClient::onNotOwner(const NotOwner &message, Instant now)
{
    const auto entry = m_attempts.find(message.attempt);
    if (entry == m_attempts.end() || entry->second.phase == AttemptPhase::Running)
        return;
    OrderAttempt &attempt = entry->second;
    const bool isNewHint = !message.hint.empty() && message.hint != attempt.owner;
    attempt.owner = isNewHint ? message.hint : ownerOf(attempt.order);
    // Waiting half an interval prevents a tight loop when two nodes name each other as the owner.
    attempt.resendAt = now + m_settings.resendInterval / 2;
}

std::string OrderClient::ownerOf(const OrderKey &order) const
{
    return m_preferredOwners[ledgerShardOf(order, m_settings.shards)];
}

bool OrderClient::isFromThisProcess(const std::string &attempt) const
{
    return attempt.starts_with(m_prefix);
}

void OrderClient::send(const std::string &name, OrderAttempt &attempt, Instant now)
{
    attempt.resendAt = now + m_settings.resendInterval;
    if (attempt.owner.empty())
        attempt.owner = ownerOf(attempt.order);
    if (attempt.owner.empty())
        return;
    if (attempt.phase == AttemptPhase::Reporting) {
        m_actions.emplace_back(SendToNode { attempt.owner, attempt.outcome });
        return;
    }
    m_actions.emplace_back(SendToNode {
            attempt.owner, Admit { attempt.order, attempt.fingerprint, name, m_self } });
}

void OrderClient::sendRelease(const std::string &owner, const OrderKey &order,
                              const std::string &attempt)
{
    if (!owner.empty())
        m_actions.emplace_back(SendToNode { owner, Release { order, attempt } });
}

void OrderClient::abandon(const std::string &name, OrderVerdict verdict,
                          std::chrono::milliseconds retryAfter)
{
    const auto entry = m_attempts.find(name);
    sendRelease(entry->second.owner, entry->second.order, name);
    m_attempts.erase(entry);
    m_actions.emplace_back(RespondToCaller { name, verdict, {}, retryAfter });
}

void OrderClient::report(const std::string &name, OrderState state, RecordedAnswer answer,
                         Instant now)
{
    const auto entry = m_attempts.find(name);
    assert(entry != m_attempts.end() && entry->second.phase == AttemptPhase::Running
           && "the result of an attempt must be reported once, while it is running");
    OrderAttempt &attempt = entry->second;
    attempt.phase = AttemptPhase::Reporting;
    attempt.outcome =
            Outcome { attempt.order, attempt.fingerprint, name, m_self, state, std::move(answer) };
    send(name, attempt, now);
}

} // namespace burdock
