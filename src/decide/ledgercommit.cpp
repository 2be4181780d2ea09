// LedgerShard: requests, decisions on them, and group commit.
#include "decide/ledgershard.h"

#include <algorithm>
#include <cassert>

namespace burdock {

namespace {

/// Limit for the records in a head, because the store holds values of up to 1 MB. A larger head is
/// not written until a new segment has taken over its oldest records.
constexpr std::size_t MaxRecentBytes = 640 * 1024;

const OrderKey &orderOf(const std::variant<Admit, Outcome, Release> &message)
{
    return std::visit([](const auto &request) -> const OrderKey & { return request.order; },
                      message);
}

} // namespace

// ---- Requests -----------------------------------------------------------------------------------

bool LedgerShard::isOwner() const
{
    return m_phase == Phase::Serving || m_phase == Phase::Writing || m_phase == Phase::ReadingBack;
}

void LedgerShard::onAdmit(const Admit &message, Instant now)
{
    if (m_preferredOwner != m_context.self.node) {
        m_context.send(message.entry.node,
                       NotOwner { message.order, message.attempt, m_preferredOwner });
        return;
    }
    if (m_pendingAdmits.contains(message.attempt))
        return;
    if (isOwner() && !m_pendingCounts.contains(message.order) && replyFromIndex(message))
        return;
    // Admits are queued during a takeover backoff, but refused at once while the store is down.
    const bool storeBackoff = m_storeDown && now < m_retryAt;
    const bool full = m_queue.size() >= m_context.settings.maxQueuedRequests
            || m_index.size() >= m_context.settings.maxRecords;
    if (storeBackoff || full) {
        refuse(message, now);
        return;
    }
    m_pendingAdmits.insert(message.attempt);
    enqueue(message, now);
}

void LedgerShard::onOutcome(const Outcome &message, Instant now)
{
    if (m_preferredOwner != m_context.self.node) {
        m_context.send(message.entry.node,
                       NotOwner { message.order, message.attempt, m_preferredOwner });
        return;
    }
    // Entry nodes resend outcomes until they are acknowledged, so an outcome may be dropped when
    // the queue is full.
    if (!isOwner() || m_queue.size() >= 2 * m_context.settings.maxQueuedRequests)
        return;
    if (m_context.settings.ablation.ackBeforeCommit)
        m_context.send(message.entry.node, OutcomeAck { message.order, message.attempt });
    enqueue(message, now);
}

void LedgerShard::onRelease(const Release &message)
{
    if (!isOwner() || removeQueuedAdmit(message.attempt))
        return;
    const LedgerRecord *record = this->record(message.order);
    const bool granted = record != nullptr && record->attempt == message.attempt;
    if (granted || m_pendingAdmits.contains(message.attempt))
        enqueue(message, Instant());
}

bool LedgerShard::replyFromIndex(const Admit &message)
{
    const LedgerRecord *record = this->record(message.order);
    if (record == nullptr)
        return false;
    if (m_context.settings.ablation.regrantDeadNodes && !entryIsLive(*record))
        return false;
    m_context.send(message.entry.node, makeReply(message, *record));
    return true;
}

bool LedgerShard::removeQueuedAdmit(const std::string &attempt)
{
    if (!m_pendingAdmits.contains(attempt))
        return false;
    for (auto request = m_queue.begin(); request != m_queue.end(); ++request) {
        const Admit *admit = std::get_if<Admit>(&request->message);
        if (admit == nullptr || admit->attempt != attempt)
            continue;
        untrackRequest(*request);
        m_queue.erase(request);
        return true;
    }
    return false;
}

void LedgerShard::enqueue(Message message, Instant now)
{
    ++m_pendingCounts[orderOf(message)];
    m_queue.push_back(QueuedRequest { std::move(message), now + m_context.settings.maxAdmitWait });
}

void LedgerShard::untrackRequest(const QueuedRequest &request)
{
    const auto pending = m_pendingCounts.find(orderOf(request.message));
    assert(pending != m_pendingCounts.end()
           && "untrackRequest() must be called once for each enqueue()");
    if (--pending->second == 0)
        m_pendingCounts.erase(pending);
    if (const Admit *admit = std::get_if<Admit>(&request.message))
        m_pendingAdmits.erase(admit->attempt);
}

void LedgerShard::refuse(const Admit &message, Instant now)
{
    AdmitReply refusal;
    refusal.order = message.order;
    refusal.attempt = message.attempt;
    refusal.verdict = AdmitVerdict::Refused;
    refusal.retryAfter = m_context.settings.maxAdmitWait;
    if (m_storeDown) {
        // The number of waiting callers grows with the length of the outage, so the suggested delay
        // grows too.
        const auto quarter =
                std::chrono::duration_cast<std::chrono::milliseconds>((now - m_storeDownSince) / 4);
        refusal.retryAfter = std::clamp(quarter, m_context.settings.maxAdmitWait,
                                        m_context.settings.maxRetryAfter);
    }
    ++m_counters.refused;
    m_context.send(message.entry.node, std::move(refusal));
}

AdmitReply LedgerShard::makeReply(const Admit &message, const LedgerRecord &record) const
{
    AdmitReply reply;
    reply.order = message.order;
    reply.attempt = message.attempt;
    if (record.attempt == message.attempt && record.state == OrderState::Granted) {
        reply.verdict = AdmitVerdict::Granted;
        return reply;
    }
    if (record.fingerprint != message.fingerprint) {
        reply.verdict = AdmitVerdict::KeyReused;
        return reply;
    }
    reply.verdict = AdmitVerdict::Duplicate;
    reply.state = DuplicateState::OutcomeUnknown;
    if (record.state == OrderState::Answered) {
        reply.state = DuplicateState::Answered;
        reply.answer = record.answer;
    } else if (record.state == OrderState::Granted && entryIsLive(record)) {
        reply.state = DuplicateState::InProgress;
    }
    return reply;
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

void LedgerShard::appendRecord(Batch &batch, LedgerRecord record)
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
        batch.replies.push_back({ message.entry.node, makeReply(message, *known) });
        return;
    }
    LedgerRecord record;
    record.order = message.order;
    record.fingerprint = message.fingerprint;
    record.attempt = message.attempt;
    record.node = message.entry.node;
    record.nodeIncarnation = message.entry.incarnation;
    batch.replies.push_back({ message.entry.node, makeReply(message, record) });
    appendRecord(batch, std::move(record));
}

void LedgerShard::decideOutcome(Batch &batch, const Outcome &message)
{
    batch.replies.push_back({ message.entry.node, OutcomeAck { message.order, message.attempt } });
    const LedgerRecord *known = recordIn(batch, message.order);
    const bool sameAttempt = known != nullptr && known->attempt == message.attempt;
    const bool alreadyRecorded =
            sameAttempt && (known->state == OrderState::Answered || known->state == message.state);
    if (alreadyRecorded)
        return;
    // An outcome that contradicts the record may mean that another owner has superseded this one
    // unnoticed. After the acknowledgement the entry node discards the outcome, so the
    // acknowledgement waits for a write that proves that this node still owns the shard.
    batch.mustWrite = true;
    if (known != nullptr && !sameAttempt)
        return;
    LedgerRecord record;
    record.order = message.order;
    record.fingerprint = message.fingerprint;
    record.attempt = message.attempt;
    record.node = message.entry.node;
    record.nodeIncarnation = message.entry.incarnation;
    if (sameAttempt)
        record.fingerprint = known->fingerprint;
    record.state = message.state;
    record.answer = message.answer;
    if (record.answer.body.size() > m_context.settings.maxRecordedBodyBytes) {
        record.answer.body.clear();
        record.answer.bodyOmitted = true;
    }
    appendRecord(batch, std::move(record));
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
    appendRecord(batch, std::move(record));
}

// ---- Group commit -------------------------------------------------------------------------------

void LedgerShard::commit(Instant now)
{
    Batch batch;
    std::size_t bytes = 0;
    while (!m_queue.empty() && bytes < m_context.settings.maxBatchBytes) {
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
    const bool changed = !batch.records.empty() || batch.mustWrite || !batch.droppedSegments.empty()
            || batch.listsPendingSegment;
    if (changed) {
        startWrite(std::move(batch), now);
        return;
    }
    sendReplies(batch);
    for (const QueuedRequest &request : batch.requests)
        untrackRequest(request);
}

void LedgerShard::fillHead(Batch &batch)
{
    LedgerHead &head = batch.head;
    head.owner = m_context.self.node;
    head.ownerIncarnation = m_context.self.incarnation;
    batch.listsPendingSegment = m_pendingSegment && m_pendingSegment->created;
    for (const SegmentRef &segment : m_head.segments) {
        const bool replaced =
                batch.listsPendingSegment && m_pendingSegment->replaced.contains(segment.name);
        if (replaced || isExpired(segment))
            batch.droppedSegments.push_back(segment.name);
        else
            head.segments.push_back(segment);
    }
    std::size_t first = 0;
    if (batch.listsPendingSegment) {
        head.segments.push_back({ m_pendingSegment->name, recordBytes(m_pendingSegment->records),
                                  newestRecordAt(m_pendingSegment->records) });
        first = m_pendingSegment->recentCount;
    }
    head.recent.assign(m_head.recent.begin() + static_cast<std::ptrdiff_t>(first),
                       m_head.recent.end());
    head.recent.insert(head.recent.end(), batch.records.begin(), batch.records.end());
}

void LedgerShard::startWrite(Batch batch, Instant now)
{
    batch.head.batch = ++m_context.lastBatch;
    if (recordBytes(batch.head.recent) > MaxRecentBytes) {
        requeue(batch);
        m_retryAt = now + m_context.settings.retryInterval;
        refuseQueuedAdmits(true, now);
        return;
    }
    batch.orphans = std::move(m_orphans);
    m_orphans.clear();
    m_phase = Phase::Writing;
    m_awaitedCall = m_context.nextCall();
    m_nextCommitAt = now + m_context.settings.commitInterval;
    m_context.actions.emplace_back(
            WriteHead { m_awaitedCall, m_shard, ledgerHeadName(m_shard), m_version, batch.head });
    if (m_context.settings.ablation.grantBeforeCommit)
        sendReplies(batch);
    m_unconfirmedWrites.push_back(std::move(batch));
}

void LedgerShard::sendReplies(const Batch &batch)
{
    for (const SendToNode &reply : batch.replies)
        m_context.actions.emplace_back(reply);
}

void LedgerShard::completeBatch(std::size_t index, std::uint64_t version, Instant now)
{
    Batch batch = std::move(m_unconfirmedWrites[index]);
    m_unconfirmedWrites.clear();
    m_version = version;
    m_storeDown = false;
    m_phase = Phase::Serving;
    ++m_counters.commits;
    for (const LedgerRecord &record : batch.records)
        addToIndex(record, now);
    if (batch.listsPendingSegment && m_pendingSegment) {
        if (recordBytes(m_pendingSegment->records) < m_context.settings.maxSegmentBytes / 2)
            m_mergeableSegments[m_pendingSegment->name] = std::move(m_pendingSegment->records);
        m_pendingSegment.reset();
    }
    for (const std::string &name : batch.droppedSegments) {
        m_mergeableSegments.erase(name);
        m_context.actions.emplace_back(DeleteSegment { m_shard, name });
    }
    m_lastBatchBytes = recordBytes(batch.records);
    m_head = std::move(batch.head);
    m_recentBytes = recordBytes(m_head.recent);
    deleteOrphans(batch.orphans);
    sendReplies(batch);
    for (const QueuedRequest &request : batch.requests)
        untrackRequest(request);
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
