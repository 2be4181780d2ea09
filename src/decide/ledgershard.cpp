#include "decide/ledgershard.h"

namespace burdock {

namespace {

/// Writes without an answer that are remembered for adoption.
constexpr std::size_t MaxUnsettled = 8;

} // namespace

LedgerShard::LedgerShard(unsigned shard, LedgerContext &context)
    : m_shard(shard)
    , m_context(context)
{
    m_counts.shard = shard;
}

// ---- Events -------------------------------------------------------------------------------------

void LedgerShard::onLiveNodes(Instant now)
{
    const std::vector<std::string> order =
            rendezvousOrder(ledgerHeadName(m_shard), m_context.names);
    m_preferred = order.empty() ? std::string() : order.front();
    if (m_preferred != m_context.self.node && m_phase != Phase::Idle)
        leave(m_preferred, now);
}

void LedgerShard::onHead(std::uint64_t call, ObjectStatus status, std::uint64_t version,
                         const LedgerHead &head, Instant now)
{
    if (call != m_call)
        return;
    m_call = 0;
    if (m_phase == Phase::ReadingHead)
        onHeadLoaded(status, version, head, now);
    else if (m_phase == Phase::Settling)
        onReadBack(status, version, head, now);
}

void LedgerShard::onSegment(std::uint64_t call, ObjectStatus status,
                            const std::vector<LedgerRecord> &records, Instant now)
{
    if (call != m_call || m_phase != Phase::ReadingSegments)
        return;
    m_call = 0;
    if (status != ObjectStatus::Done) {
        // A missing segment was replaced by a newer owner: the head that was read is out of date.
        pauseForStore(now);
        return;
    }
    for (const LedgerRecord &record : records)
        apply(record, now);
    const SegmentRef &segment = m_head.segments[m_loading];
    if (segment.bytes < m_context.settings.segmentBytes / 2)
        m_small[segment.name] = records;
    ++m_loading;
    readNextSegment(now);
}

void LedgerShard::onSegmentList(std::uint64_t call, ObjectStatus status,
                                const std::vector<std::string> &names)
{
    if (call != m_listCall)
        return;
    m_listCall = 0;
    if (status == ObjectStatus::Done && owning())
        m_orphans = names;
}

void LedgerShard::onWritten(std::uint64_t call, ObjectStatus status, std::uint64_t version,
                            Instant now)
{
    if (m_roll && call == m_roll->call) {
        onRollWritten(status);
        return;
    }
    if (call != m_call)
        return;
    m_call = 0;
    if (m_phase == Phase::Taking)
        onTakeoverWritten(status, version, now);
    else if (m_phase == Phase::Writing)
        onBatchWritten(status, version, now);
}

void LedgerShard::tick(Instant now)
{
    refuseWaiting(false, now);
    if (m_phase == Phase::Idle) {
        if (m_preferred == m_context.self.node && now >= m_retryAt)
            startLoading();
        return;
    }
    if (m_phase == Phase::Settling && m_call == 0 && now >= m_retryAt)
        settle();
    if (!owning())
        return;
    remind(now);
    expireRecords(now);
    startRoll();
    startScan(now);
    if (m_phase == Phase::Serving && now >= m_commitAt && now >= m_retryAt)
        commit(now);
}

// ---- Ownership ----------------------------------------------------------------------------------

void LedgerShard::startLoading()
{
    m_phase = Phase::ReadingHead;
    m_call = m_context.nextCall();
    m_context.actions.emplace_back(ReadHead { m_call, m_shard, ledgerHeadName(m_shard) });
}

void LedgerShard::onHeadLoaded(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                               Instant now)
{
    if (status != ObjectStatus::Done && status != ObjectStatus::Missing) {
        pauseForStore(now);
        return;
    }
    const bool found = status == ObjectStatus::Done;
    m_head = found ? head : LedgerHead();
    m_version = found ? version : 0;
    m_index.clear();
    m_open.clear();
    m_small.clear();
    m_loading = 0;
    m_phase = Phase::ReadingSegments;
    readNextSegment(now);
}

void LedgerShard::readNextSegment(Instant now)
{
    while (m_loading < m_head.segments.size() && isExpired(m_head.segments[m_loading]))
        ++m_loading;
    if (m_loading == m_head.segments.size()) {
        takeOver(now);
        return;
    }
    m_call = m_context.nextCall();
    m_context.actions.emplace_back(
            ReadSegment { m_call, m_shard, m_head.segments[m_loading].name });
}

void LedgerShard::takeOver(Instant now)
{
    for (const LedgerRecord &record : m_head.recent)
        apply(record, now);
    m_recentBytes = recordBytes(m_head.recent);
    m_head.owner = m_context.self.node;
    m_head.ownerIncarnation = m_context.self.incarnation;
    m_head.batch = ++m_context.lastBatch;
    m_phase = Phase::Taking;
    m_call = m_context.nextCall();
    m_context.actions.emplace_back(
            WriteHead { m_call, m_shard, ledgerHeadName(m_shard), m_version, m_head });
}

void LedgerShard::onTakeoverWritten(ObjectStatus status, std::uint64_t version, Instant now)
{
    if (status == ObjectStatus::Done) {
        m_version = version;
        m_storeDown = false;
        m_phase = Phase::Serving;
        m_scanAt = now;
        ++m_counts.commits;
        ++m_counts.takeovers;
        return;
    }
    // A lost answer needs no read-back: loading again writes on the version that it reads, which
    // shuts the lost write out.
    if (status == ObjectStatus::Conflict)
        leave(std::string(), now + m_context.settings.takeoverPause);
    else
        pauseForStore(now);
}

void LedgerShard::onBatchWritten(ObjectStatus status, std::uint64_t version, Instant now)
{
    if (status == ObjectStatus::Done) {
        finishBatch(m_unsettled.size() - 1, version, now);
        return;
    }
    Batch &batch = m_unsettled.back();
    if (m_context.settings.ablation.trustUnknownWrites && status == ObjectStatus::Unknown)
        sendReplies(batch);
    requeue(batch);
    if (status != ObjectStatus::Unknown)
        m_unsettled.pop_back();
    if (status == ObjectStatus::Unavailable) {
        m_phase = Phase::Serving;
        pauseForStore(now);
        return;
    }
    if (m_unsettled.size() >= MaxUnsettled) {
        // Loading again shuts all of them out with one write.
        leave(std::string(), now + m_context.settings.retryInterval);
        return;
    }
    m_phase = Phase::Settling;
    settle();
}

void LedgerShard::settle()
{
    ++m_counts.readBacks;
    m_call = m_context.nextCall();
    m_context.actions.emplace_back(ReadHead { m_call, m_shard, ledgerHeadName(m_shard) });
}

void LedgerShard::onReadBack(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                             Instant now)
{
    if (status == ObjectStatus::Unavailable || status == ObjectStatus::Unknown) {
        pauseForStore(now);
        return;
    }
    m_storeDown = false;
    if (status == ObjectStatus::Done && version == m_version) {
        // Nothing was carried out so far. The next write is on this version too, so that at most
        // one of it and the unsettled ones can succeed.
        m_phase = Phase::Serving;
        return;
    }
    const NodeIdentity owner { head.owner, head.ownerIncarnation };
    for (std::size_t number = 0; number < m_unsettled.size(); ++number) {
        if (owner == m_context.self && m_unsettled[number].head.batch == head.batch) {
            finishBatch(number, version, now);
            return;
        }
    }
    leave(head.owner, now + m_context.settings.takeoverPause);
}

void LedgerShard::pauseForStore(Instant now)
{
    if (!m_storeDown)
        m_storeDownSince = now;
    m_storeDown = true;
    m_retryAt = now + m_context.settings.retryInterval;
    refuseWaiting(true, now);
    if (!owning())
        leave(std::string(), m_retryAt);
}

void LedgerShard::leave(const std::string &hint, Instant retryAt)
{
    for (Batch &batch : m_unsettled)
        requeue(batch);
    for (const Request &request : m_queue) {
        if (const Admit *admit = std::get_if<Admit>(&request.message))
            m_context.send(admit->entry.node, NotOwner { admit->order, admit->attempt, hint });
    }
    m_queue.clear();
    m_waiting.clear();
    m_waitingAdmits.clear();
    m_unsettled.clear();
    m_index.clear();
    m_open.clear();
    m_small.clear();
    m_orphans.clear();
    m_roll.reset();
    m_head = LedgerHead();
    m_recentBytes = 0;
    m_version = 0;
    m_call = 0;
    m_listCall = 0;
    m_retryAt = retryAt;
    m_phase = Phase::Idle;
}

void LedgerShard::refuseWaiting(bool all, Instant now)
{
    if (m_queue.empty())
        return;
    std::deque<Request> kept;
    for (Request &request : m_queue) {
        const Admit *admit = std::get_if<Admit>(&request.message);
        if (admit == nullptr || (!all && now < request.refuseAt)) {
            kept.push_back(std::move(request));
            continue;
        }
        refuse(*admit, now);
        forgetRequest(request);
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
    LedgerShardRow row = m_counts;
    row.phase = PhaseNames[static_cast<std::size_t>(m_phase)];
    row.preferredOwner = m_preferred;
    row.version = m_version;
    row.records = m_index.size();
    row.openGrants = m_open.size();
    row.queued = m_queue.size();
    row.recentBytes = m_recentBytes;
    row.segments = m_head.segments.size();
    return row;
}

const LedgerRecord *LedgerShard::record(const OrderKey &order) const
{
    const auto entry = m_index.find(order);
    return owning() && entry != m_index.end() ? &entry->second : nullptr;
}

} // namespace burdock
