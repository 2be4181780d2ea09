#include "decide/ledgershard.h"

namespace burdock {

namespace {

/// Number of unconfirmed writes at which the shard is abandoned and loaded again.
constexpr std::size_t MaxUnconfirmedWrites = 8;

} // namespace

LedgerShard::LedgerShard(unsigned shard, LedgerContext &context)
    : m_shard(shard)
    , m_context(context)
{
    m_counters.shard = shard;
}

// ---- Events -------------------------------------------------------------------------------------

void LedgerShard::onLiveNodes(Instant now)
{
    const std::vector<std::string> order =
            rendezvousOrder(ledgerHeadName(m_shard), m_context.names);
    m_preferredOwner = order.empty() ? std::string() : order.front();
    if (m_preferredOwner != m_context.self.node && m_phase != Phase::Idle)
        abandonShard(m_preferredOwner, now);
}

void LedgerShard::onHead(std::uint64_t call, ObjectStatus status, std::uint64_t version,
                         const LedgerHead &head, Instant now)
{
    if (call != m_awaitedCall)
        return;
    m_awaitedCall = 0;
    if (m_phase == Phase::ReadingHead)
        onHeadLoaded(status, version, head, now);
    else if (m_phase == Phase::ReadingBack)
        onReadBack(status, version, head, now);
}

void LedgerShard::onSegment(std::uint64_t call, ObjectStatus status,
                            const std::vector<LedgerRecord> &records, Instant now)
{
    if (call != m_awaitedCall || m_phase != Phase::ReadingSegments)
        return;
    m_awaitedCall = 0;
    if (status != ObjectStatus::Done) {
        // A segment is missing if a newer owner has replaced it: the head that was read is stale.
        backOffFromStore(now);
        return;
    }
    for (const LedgerRecord &record : records)
        addToIndex(record, now);
    const SegmentRef &segment = m_head.segments[m_nextSegment];
    if (segment.bytes < m_context.settings.maxSegmentBytes / 2)
        m_mergeableSegments[segment.name] = records;
    ++m_nextSegment;
    readNextSegment(now);
}

void LedgerShard::onSegmentList(std::uint64_t call, ObjectStatus status,
                                const std::vector<std::string> &names)
{
    if (call != m_awaitedListCall)
        return;
    m_awaitedListCall = 0;
    if (status == ObjectStatus::Done && isOwner())
        m_orphans = names;
}

void LedgerShard::onWritten(std::uint64_t call, ObjectStatus status, std::uint64_t version,
                            Instant now)
{
    if (m_pendingSegment && call == m_pendingSegment->call) {
        onSegmentWritten(status);
        return;
    }
    if (call != m_awaitedCall)
        return;
    m_awaitedCall = 0;
    if (m_phase == Phase::TakingOver)
        onTakeoverWritten(status, version, now);
    else if (m_phase == Phase::Writing)
        onBatchWritten(status, version, now);
}

void LedgerShard::tick(Instant now)
{
    refuseQueuedAdmits(false, now);
    if (m_phase == Phase::Idle) {
        if (m_preferredOwner == m_context.self.node && now >= m_retryAt)
            startLoading();
        return;
    }
    if (m_phase == Phase::ReadingBack && m_awaitedCall == 0 && now >= m_retryAt)
        readBackHead();
    if (!isOwner())
        return;
    sendReminders(now);
    expireRecords(now);
    startSegment();
    startOrphanScan(now);
    if (m_phase == Phase::Serving && now >= m_nextCommitAt && now >= m_retryAt)
        commit(now);
}

// ---- Ownership ----------------------------------------------------------------------------------

void LedgerShard::startLoading()
{
    m_phase = Phase::ReadingHead;
    m_awaitedCall = m_context.nextCall();
    m_context.actions.emplace_back(ReadHead { m_awaitedCall, m_shard, ledgerHeadName(m_shard) });
}

void LedgerShard::onHeadLoaded(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                               Instant now)
{
    if (status != ObjectStatus::Done && status != ObjectStatus::Missing) {
        backOffFromStore(now);
        return;
    }
    const bool found = status == ObjectStatus::Done;
    m_head = found ? head : LedgerHead();
    m_version = found ? version : 0;
    m_index.clear();
    m_openGrants.clear();
    m_mergeableSegments.clear();
    m_nextSegment = 0;
    m_phase = Phase::ReadingSegments;
    readNextSegment(now);
}

void LedgerShard::readNextSegment(Instant now)
{
    while (m_nextSegment < m_head.segments.size() && isExpired(m_head.segments[m_nextSegment]))
        ++m_nextSegment;
    if (m_nextSegment == m_head.segments.size()) {
        takeOver(now);
        return;
    }
    m_awaitedCall = m_context.nextCall();
    m_context.actions.emplace_back(
            ReadSegment { m_awaitedCall, m_shard, m_head.segments[m_nextSegment].name });
}

void LedgerShard::takeOver(Instant now)
{
    for (const LedgerRecord &record : m_head.recent)
        addToIndex(record, now);
    m_recentBytes = recordBytes(m_head.recent);
    m_head.owner = m_context.self.node;
    m_head.ownerIncarnation = m_context.self.incarnation;
    m_head.batch = ++m_context.lastBatch;
    m_phase = Phase::TakingOver;
    m_awaitedCall = m_context.nextCall();
    m_context.actions.emplace_back(
            WriteHead { m_awaitedCall, m_shard, ledgerHeadName(m_shard), m_version, m_head });
}

void LedgerShard::onTakeoverWritten(ObjectStatus status, std::uint64_t version, Instant now)
{
    if (status == ObjectStatus::Done) {
        m_version = version;
        m_storeDown = false;
        m_phase = Phase::Serving;
        m_nextScanAt = now;
        ++m_counters.commits;
        ++m_counters.takeovers;
        return;
    }
    // An unconfirmed takeover needs no read-back: the shard is loaded again, and the next takeover
    // writes on the version read then, so an earlier write can no longer take effect after it.
    if (status == ObjectStatus::Conflict)
        abandonShard(std::string(), now + m_context.settings.takeoverBackoff);
    else
        backOffFromStore(now);
}

void LedgerShard::onBatchWritten(ObjectStatus status, std::uint64_t version, Instant now)
{
    if (status == ObjectStatus::Done) {
        completeBatch(m_unconfirmedWrites.size() - 1, version, now);
        return;
    }
    Batch &batch = m_unconfirmedWrites.back();
    if (m_context.settings.ablation.trustUnknownWrites && status == ObjectStatus::Unknown)
        sendReplies(batch);
    requeue(batch);
    if (status != ObjectStatus::Unknown)
        m_unconfirmedWrites.pop_back();
    if (status == ObjectStatus::Unavailable) {
        m_phase = Phase::Serving;
        backOffFromStore(now);
        return;
    }
    if (m_unconfirmedWrites.size() >= MaxUnconfirmedWrites) {
        // The next takeover is one write on the current version; once it succeeds, none of the
        // unconfirmed writes can take effect.
        abandonShard(std::string(), now + m_context.settings.retryInterval);
        return;
    }
    m_phase = Phase::ReadingBack;
    readBackHead();
}

void LedgerShard::readBackHead()
{
    ++m_counters.readBacks;
    m_awaitedCall = m_context.nextCall();
    m_context.actions.emplace_back(ReadHead { m_awaitedCall, m_shard, ledgerHeadName(m_shard) });
}

void LedgerShard::onReadBack(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                             Instant now)
{
    if (status == ObjectStatus::Unavailable || status == ObjectStatus::Unknown) {
        backOffFromStore(now);
        return;
    }
    m_storeDown = false;
    if (status == ObjectStatus::Done && version == m_version) {
        // No unconfirmed write has taken effect so far. The next write uses this version too, so at
        // most one of them can succeed.
        m_phase = Phase::Serving;
        return;
    }
    const NodeIdentity owner { head.owner, head.ownerIncarnation };
    for (std::size_t index = 0; index < m_unconfirmedWrites.size(); ++index) {
        if (owner == m_context.self && m_unconfirmedWrites[index].head.batch == head.batch) {
            completeBatch(index, version, now);
            return;
        }
    }
    abandonShard(head.owner, now + m_context.settings.takeoverBackoff);
}

void LedgerShard::backOffFromStore(Instant now)
{
    if (!m_storeDown)
        m_storeDownSince = now;
    m_storeDown = true;
    m_retryAt = now + m_context.settings.retryInterval;
    refuseQueuedAdmits(true, now);
    if (!isOwner())
        abandonShard(std::string(), m_retryAt);
}

void LedgerShard::abandonShard(const std::string &hint, Instant retryAt)
{
    for (Batch &batch : m_unconfirmedWrites)
        requeue(batch);
    for (const QueuedRequest &request : m_queue) {
        if (const Admit *admit = std::get_if<Admit>(&request.message))
            m_context.send(admit->entry.node, NotOwner { admit->order, admit->attempt, hint });
    }
    m_queue.clear();
    m_pendingCounts.clear();
    m_pendingAdmits.clear();
    m_unconfirmedWrites.clear();
    m_index.clear();
    m_openGrants.clear();
    m_mergeableSegments.clear();
    m_orphans.clear();
    m_pendingSegment.reset();
    m_head = LedgerHead();
    m_recentBytes = 0;
    m_version = 0;
    m_awaitedCall = 0;
    m_awaitedListCall = 0;
    m_retryAt = retryAt;
    m_phase = Phase::Idle;
}

void LedgerShard::refuseQueuedAdmits(bool all, Instant now)
{
    if (m_queue.empty())
        return;
    std::deque<QueuedRequest> kept;
    for (QueuedRequest &request : m_queue) {
        const Admit *admit = std::get_if<Admit>(&request.message);
        if (admit == nullptr || (!all && now < request.refuseAt)) {
            kept.push_back(std::move(request));
            continue;
        }
        refuse(*admit, now);
        untrackRequest(request);
    }
    m_queue = std::move(kept);
}

bool LedgerShard::entryIsLive(const LedgerRecord &record) const
{
    return m_context.live.contains(NodeIdentity { record.node, record.nodeIncarnation });
}

// ---- Status -------------------------------------------------------------------------------------

LedgerShardRow LedgerShard::row() const
{
    static constexpr const char *PhaseNames[] = { "idle",    "loading", "loading", "taking",
                                                  "serving", "writing", "settling" };
    LedgerShardRow row = m_counters;
    row.phase = PhaseNames[static_cast<std::size_t>(m_phase)];
    row.preferredOwner = m_preferredOwner;
    row.version = m_version;
    row.records = m_index.size();
    row.openGrants = m_openGrants.size();
    row.queued = m_queue.size();
    row.recentBytes = m_recentBytes;
    row.segments = m_head.segments.size();
    return row;
}

const LedgerRecord *LedgerShard::record(const OrderKey &order) const
{
    const auto entry = m_index.find(order);
    return isOwner() && entry != m_index.end() ? &entry->second : nullptr;
}

} // namespace burdock
