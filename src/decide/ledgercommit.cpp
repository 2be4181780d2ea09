// The requests of a shard and their group commit.
#include "decide/ledgershard.h"

#include <algorithm>
#include <cassert>

namespace burdock {

namespace {

/// The store holds values up to a megabyte; a head that large waits for its segment.
constexpr std::size_t MaxRecentBytes = 640 * 1024;

const OrderKey &orderOf(const std::variant<Admit, Outcome, Release> &message)
{
    return std::visit([](const auto &each) -> const OrderKey & { return each.order; }, message);
}

} // namespace

// ---- Requests -----------------------------------------------------------------------------------

bool LedgerShard::owning() const
{
    return m_phase == Phase::Serving || m_phase == Phase::Writing || m_phase == Phase::Settling;
}

void LedgerShard::onAdmit(const Admit &message, Instant now)
{
    if (m_preferred != m_context.self.node) {
        m_context.send(message.entry.node,
                       NotOwner { message.order, message.attempt, m_preferred });
        return;
    }
    if (m_waitingAdmits.contains(message.attempt))
        return;
    if (owning() && !m_waiting.contains(message.order) && answerSettled(message))
        return;
    // While another owner is waited out the request may wait too; while the store is down it may
    // not.
    const bool pausing = m_storeDown && now < m_retryAt;
    const bool full = m_queue.size() >= m_context.settings.queuedRequests
            || m_index.size() >= m_context.settings.maxRecords;
    if (pausing || full) {
        refuse(message, now);
        return;
    }
    m_waitingAdmits.insert(message.attempt);
    enqueue(message, now);
}

void LedgerShard::onOutcome(const Outcome &message, Instant now)
{
    if (m_preferred != m_context.self.node) {
        m_context.send(message.entry.node,
                       NotOwner { message.order, message.attempt, m_preferred });
        return;
    }
    // Outcomes are sent again until they are acknowledged, so one that finds no room may go.
    if (!owning() || m_queue.size() >= 2 * m_context.settings.queuedRequests)
        return;
    if (m_context.settings.ablation.ackBeforeCommit)
        m_context.send(message.entry.node, OutcomeAck { message.order, message.attempt });
    enqueue(message, now);
}

void LedgerShard::onRelease(const Release &message)
{
    if (!owning() || removeQueuedAdmit(message.attempt))
        return;
    const LedgerRecord *record = this->record(message.order);
    const bool granted = record != nullptr && record->attempt == message.attempt;
    if (granted || m_waitingAdmits.contains(message.attempt))
        enqueue(message, Instant());
}

bool LedgerShard::answerSettled(const Admit &message)
{
    const LedgerRecord *record = this->record(message.order);
    if (record == nullptr)
        return false;
    if (m_context.settings.ablation.regrantDeadNodes && !entryIsLive(*record))
        return false;
    m_context.send(message.entry.node, reply(message, *record));
    return true;
}

bool LedgerShard::removeQueuedAdmit(const std::string &attempt)
{
    if (!m_waitingAdmits.contains(attempt))
        return false;
    for (auto request = m_queue.begin(); request != m_queue.end(); ++request) {
        const Admit *admit = std::get_if<Admit>(&request->message);
        if (admit == nullptr || admit->attempt != attempt)
            continue;
        forgetRequest(*request);
        m_queue.erase(request);
        return true;
    }
    return false;
}

void LedgerShard::enqueue(Message message, Instant now)
{
    ++m_waiting[orderOf(message)];
    m_queue.push_back(Request { std::move(message), now + m_context.settings.admitWait });
}

void LedgerShard::forgetRequest(const Request &request)
{
    const auto waiting = m_waiting.find(orderOf(request.message));
    assert(waiting != m_waiting.end() && "forget a request once, after enqueue()");
    if (--waiting->second == 0)
        m_waiting.erase(waiting);
    if (const Admit *admit = std::get_if<Admit>(&request.message))
        m_waitingAdmits.erase(admit->attempt);
}

void LedgerShard::refuse(const Admit &message, Instant now)
{
    AdmitReply refusal;
    refusal.order = message.order;
    refusal.attempt = message.attempt;
    refusal.verdict = AdmitVerdict::Refused;
    refusal.retryAfter = m_context.settings.admitWait;
    if (m_storeDown) {
        // The longer the store is down, the later callers come back: their number grows.
        const auto quarter =
                std::chrono::duration_cast<std::chrono::milliseconds>((now - m_storeDownSince) / 4);
        refusal.retryAfter =
                std::clamp(quarter, m_context.settings.admitWait, m_context.settings.retryAfterMax);
    }
    ++m_counts.refused;
    m_context.send(message.entry.node, std::move(refusal));
}

AdmitReply LedgerShard::reply(const Admit &message, const LedgerRecord &record) const
{
    AdmitReply answer;
    answer.order = message.order;
    answer.attempt = message.attempt;
    if (record.attempt == message.attempt && record.state == OrderState::Granted) {
        answer.verdict = AdmitVerdict::Granted;
        return answer;
    }
    if (record.fingerprint != message.fingerprint) {
        answer.verdict = AdmitVerdict::KeyReused;
        return answer;
    }
    answer.verdict = AdmitVerdict::Duplicate;
    answer.state = DuplicateState::OutcomeUnknown;
    if (record.state == OrderState::Answered) {
        answer.state = DuplicateState::Answered;
        answer.answer = record.answer;
    } else if (record.state == OrderState::Granted && entryIsLive(record)) {
        answer.state = DuplicateState::InProgress;
    }
    return answer;
}

// ---- Decisions ----------------------------------------------------------------------------------

const LedgerRecord *LedgerShard::recordIn(const Batch &batch, const OrderKey &order) const
{
    const auto changed = batch.overlay.find(order);
    if (changed != batch.overlay.end())
        return changed->second.state == OrderState::Released ? nullptr : &changed->second;
    const auto entry = m_index.find(order);
    return entry == m_index.end() ? nullptr : &entry->second;
}

void LedgerShard::append(Batch &batch, LedgerRecord record)
{
    record.recordedAt = m_context.wallClock;
    batch.overlay.insert_or_assign(record.order, record);
    batch.records.push_back(std::move(record));
}

void LedgerShard::decideAdmit(Batch &batch, const Admit &message)
{
    const LedgerRecord *known = recordIn(batch, message.order);
    const bool regrant = known != nullptr && m_context.settings.ablation.regrantDeadNodes
            && known->state == OrderState::Granted && !entryIsLive(*known);
    if (known != nullptr && !regrant) {
        batch.replies.push_back({ message.entry.node, reply(message, *known) });
        return;
    }
    LedgerRecord record;
    record.order = message.order;
    record.fingerprint = message.fingerprint;
    record.attempt = message.attempt;
    record.node = message.entry.node;
    record.nodeIncarnation = message.entry.incarnation;
    batch.replies.push_back({ message.entry.node, reply(message, record) });
    append(batch, std::move(record));
}

void LedgerShard::decideOutcome(Batch &batch, const Outcome &message)
{
    batch.replies.push_back({ message.entry.node, OutcomeAck { message.order, message.attempt } });
    const LedgerRecord *known = recordIn(batch, message.order);
    const bool same = known != nullptr && known->attempt == message.attempt;
    const bool settled =
            same && (known->state == OrderState::Answered || known->state == message.state);
    if (settled)
        return;
    // An outcome that does not fit is a sign that this owner may be superseded without knowing.
    // The acknowledgement lets the entry node forget, so it waits for a write that proves the
    // ownership.
    batch.mustWrite = true;
    if (known != nullptr && !same)
        return;
    LedgerRecord record;
    record.order = message.order;
    record.fingerprint = message.fingerprint;
    record.attempt = message.attempt;
    record.node = message.entry.node;
    record.nodeIncarnation = message.entry.incarnation;
    if (same)
        record.fingerprint = known->fingerprint;
    record.state = message.state;
    record.answer = message.answer;
    if (record.answer.body.size() > m_context.settings.answerBytes) {
        record.answer.body.clear();
        record.answer.bodyOmitted = true;
    }
    append(batch, std::move(record));
}

void LedgerShard::decideRelease(Batch &batch, const Release &message)
{
    const LedgerRecord *known = recordIn(batch, message.order);
    const bool held = known != nullptr && known->attempt == message.attempt
            && known->state == OrderState::Granted;
    if (!held)
        return;
    LedgerRecord record = *known;
    record.state = OrderState::Released;
    append(batch, std::move(record));
}

// ---- Group commit -------------------------------------------------------------------------------

void LedgerShard::commit(Instant now)
{
    Batch batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && bytes < m_context.settings.batchBytes) {
        const std::size_t before = batch.records.size();
        const Message &message = m_queue.front().message;
        if (const Admit *admit = std::get_if<Admit>(&message))
            decideAdmit(batch, *admit);
        else if (const Outcome *outcome = std::get_if<Outcome>(&message))
            decideOutcome(batch, *outcome);
        else
            decideRelease(batch, *std::get_if<Release>(&message));
        if (batch.records.size() > before)
            bytes += recordBytes(batch.records.back());
        batch.requests.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    fillHead(batch);
    const bool changed =
            !batch.records.empty() || batch.mustWrite || !batch.dropped.empty() || batch.rolled;
    if (changed) {
        write(std::move(batch), now);
        return;
    }
    sendReplies(batch);
    for (const Request &request : batch.requests)
        forgetRequest(request);
}

void LedgerShard::fillHead(Batch &batch)
{
    LedgerHead &head = batch.head;
    head.owner = m_context.self.node;
    head.ownerIncarnation = m_context.self.incarnation;
    batch.rolled = m_roll && m_roll->created;
    for (const SegmentRef &segment : m_head.segments) {
        const bool replaced = batch.rolled && m_roll->replaced.contains(segment.name);
        if (replaced || isExpired(segment))
            batch.dropped.push_back(segment.name);
        else
            head.segments.push_back(segment);
    }
    std::size_t first = 0;
    if (batch.rolled) {
        head.segments.push_back(
                { m_roll->name, recordBytes(m_roll->records), newestRecordAt(m_roll->records) });
        first = m_roll->recentCount;
    }
    head.recent.assign(m_head.recent.begin() + static_cast<std::ptrdiff_t>(first),
                       m_head.recent.end());
    head.recent.insert(head.recent.end(), batch.records.begin(), batch.records.end());
}

void LedgerShard::write(Batch batch, Instant now)
{
    batch.head.batch = ++m_context.lastBatch;
    if (recordBytes(batch.head.recent) > MaxRecentBytes) {
        requeue(batch);
        m_retryAt = now + m_context.settings.retryInterval;
        refuseWaiting(true, now);
        return;
    }
    batch.orphans = std::move(m_orphans);
    m_orphans.clear();
    m_phase = Phase::Writing;
    m_call = m_context.nextCall();
    m_commitAt = now + m_context.settings.commitInterval;
    m_context.actions.emplace_back(
            WriteHead { m_call, m_shard, ledgerHeadName(m_shard), m_version, batch.head });
    if (m_context.settings.ablation.grantBeforeCommit)
        sendReplies(batch);
    m_unsettled.push_back(std::move(batch));
}

void LedgerShard::sendReplies(const Batch &batch)
{
    for (const SendToNode &each : batch.replies)
        m_context.actions.emplace_back(each);
}

void LedgerShard::finishBatch(std::size_t number, std::uint64_t version, Instant now)
{
    Batch batch = std::move(m_unsettled[number]);
    m_unsettled.clear();
    m_version = version;
    m_storeDown = false;
    m_phase = Phase::Serving;
    ++m_counts.commits;
    for (const LedgerRecord &record : batch.records)
        apply(record, now);
    if (batch.rolled && m_roll) {
        if (recordBytes(m_roll->records) < m_context.settings.segmentBytes / 2)
            m_small[m_roll->name] = std::move(m_roll->records);
        m_roll.reset();
    }
    for (const std::string &name : batch.dropped) {
        m_small.erase(name);
        m_context.actions.emplace_back(DeleteSegment { m_shard, name });
    }
    m_batchBytes = recordBytes(batch.records);
    m_head = std::move(batch.head);
    m_recentBytes = recordBytes(m_head.recent);
    deleteOrphans(batch.orphans);
    sendReplies(batch);
    for (const Request &request : batch.requests)
        forgetRequest(request);
}

void LedgerShard::requeue(Batch &batch)
{
    while (!batch.requests.empty()) {
        m_queue.push_front(std::move(batch.requests.back()));
        batch.requests.pop_back();
    }
    batch.replies.clear();
}

} // namespace burdock
