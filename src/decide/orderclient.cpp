#include "decide/orderclient.h"

#include <cassert>
#include <utility>

namespace burdock {

OrderClient::OrderClient(NodeIdentity self, OrderClientSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_prefix(m_self.node + "/" + hashToHex(m_self.incarnation) + "/")
    , m_owners(settings.shards)
{
}

// ---- Events -------------------------------------------------------------------------------------

void OrderClient::onLiveNodes(const std::vector<NodeIdentity> &live, Instant now)
{
    std::vector<std::string> names;
    names.reserve(live.size());
    for (const NodeIdentity &each : live)
        names.push_back(each.node);
    for (unsigned shard = 0; shard < m_settings.shards; ++shard) {
        const std::vector<std::string> order = rendezvousOrder(ledgerHeadName(shard), names);
        m_owners[shard] = order.empty() ? std::string() : order.front();
    }
    for (auto &[name, attempt] : m_attempts) {
        if (attempt.owner == ownerOf(attempt.order))
            continue;
        attempt.owner = ownerOf(attempt.order);
        attempt.resendAt = now;
    }
}

std::string OrderClient::begin(const OrderKey &order, std::uint64_t fingerprint, Instant giveUpAt,
                               Instant now)
{
    std::string name = m_prefix + std::to_string(++m_lastAttempt);
    if (m_attempts.size() >= m_settings.maxAttempts) {
        m_actions.emplace_back(
                AnswerCaller { name, OrderVerdict::NotRun, {}, m_settings.retryAfter });
        return name;
    }
    OrderAttempt attempt;
    attempt.order = order;
    attempt.fingerprint = fingerprint;
    attempt.giveUpAt = giveUpAt;
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
    if (answer.body.size() > m_settings.answerBytes) {
        answer.body.clear();
        answer.bodyOmitted = true;
    }
    report(attempt, OrderState::Answered, std::move(answer), now);
}

void OrderClient::onLost(const std::string &attempt, Instant now)
{
    m_actions.emplace_back(AnswerCaller { attempt, OrderVerdict::OutcomeUnknown, {}, {} });
    report(attempt, OrderState::OutcomeUnknown, {}, now);
}

void OrderClient::onNotSent(const std::string &attempt)
{
    assert(m_attempts.contains(attempt) && m_attempts[attempt].phase == AttemptPhase::Running
           && "report each RunOrder once");
    giveUp(attempt, OrderVerdict::NotRun, m_settings.retryAfter);
}

void OrderClient::onMessage(const LedgerMessage &message, Instant now)
{
    if (const AdmitReply *reply = std::get_if<AdmitReply>(&message))
        onReply(*reply, now);
    else if (const NotOwner *refusal = std::get_if<NotOwner>(&message))
        onNotOwner(*refusal, now);
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
        if (attempt.phase == AttemptPhase::Waiting && now >= attempt.giveUpAt)
            overdue.push_back(name);
        else if (now >= attempt.resendAt)
            send(name, attempt, now);
    }
    for (const std::string &name : overdue)
        giveUp(name, OrderVerdict::NotRun, m_settings.retryAfter);
}

std::vector<OrderAction> OrderClient::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- Messages -----------------------------------------------------------------------------------

void OrderClient::onReply(const AdmitReply &reply, Instant now)
{
    const auto entry = m_attempts.find(reply.attempt);
    const bool waiting = entry != m_attempts.end() && entry->second.phase == AttemptPhase::Waiting;
    if (reply.verdict == AdmitVerdict::Granted) {
        if (entry == m_attempts.end() && isOwn(reply.attempt))
            sendRelease(ownerOf(reply.order), reply.order, reply.attempt);
        else if (waiting && now >= entry->second.giveUpAt)
            giveUp(reply.attempt, OrderVerdict::NotRun, m_settings.retryAfter);
        else if (waiting) {
            entry->second.phase = AttemptPhase::Running;
            m_actions.emplace_back(RunOrder { reply.attempt, reply.order });
        }
        return;
    }
    if (!waiting)
        return;
    if (reply.verdict == AdmitVerdict::Refused) {
        giveUp(reply.attempt, OrderVerdict::NotRun, reply.retryAfter);
        return;
    }
    AnswerCaller answer { reply.attempt, OrderVerdict::KeyReused, {}, {} };
    if (reply.verdict == AdmitVerdict::Duplicate) {
        answer.verdict = OrderVerdict::OutcomeUnknown;
        if (reply.state == DuplicateState::InProgress)
            answer.verdict = OrderVerdict::InProgress;
        else if (reply.state == DuplicateState::Answered)
            answer.verdict = OrderVerdict::Recorded;
        answer.answer = reply.answer;
        answer.retryAfter = m_settings.retryAfter;
    }
    m_attempts.erase(entry);
    m_actions.emplace_back(std::move(answer));
}

void OrderClient::onNotOwner(const NotOwner &message, Instant now)
{
    const auto entry = m_attempts.find(message.attempt);
    if (entry == m_attempts.end() || entry->second.phase == AttemptPhase::Running)
        return;
    OrderAttempt &attempt = entry->second;
    const bool useful = !message.hint.empty() && message.hint != attempt.owner;
    attempt.owner = useful ? message.hint : ownerOf(attempt.order);
    // Half an interval keeps two nodes that point at each other from a tight loop.
    attempt.resendAt = now + m_settings.resendInterval / 2;
}

std::string OrderClient::ownerOf(const OrderKey &order) const
{
    return m_owners[ledgerShardOf(order, m_settings.shards)];
}

bool OrderClient::isOwn(const std::string &attempt) const
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

void OrderClient::giveUp(const std::string &name, OrderVerdict verdict,
                         std::chrono::milliseconds retryAfter)
{
    const auto entry = m_attempts.find(name);
    sendRelease(entry->second.owner, entry->second.order, name);
    m_attempts.erase(entry);
    m_actions.emplace_back(AnswerCaller { name, verdict, {}, retryAfter });
}

void OrderClient::report(const std::string &name, OrderState state, RecordedAnswer answer,
                         Instant now)
{
    const auto entry = m_attempts.find(name);
    assert(entry != m_attempts.end() && entry->second.phase == AttemptPhase::Running
           && "report each RunOrder once");
    OrderAttempt &attempt = entry->second;
    attempt.phase = AttemptPhase::Reporting;
    attempt.outcome =
            Outcome { attempt.order, attempt.fingerprint, name, m_self, state, std::move(answer) };
    send(name, attempt, now);
}

} // namespace burdock
