// LedgerShard: segments, reminders of open grants, and expiry of records.
#include "decide/ledgershard.h"

#include <algorithm>

namespace burdock {

namespace {

/// Maximum number of index entries that one sweep checks for expiry.
constexpr int MaxRecordsPerSweep = 4'096;

/// Time between two sweeps.
constexpr std::chrono::seconds SweepInterval { 1 };

/// Maximum number of reminders that one shard sends per check of its open grants.
constexpr int MaxRemindersPerPass = 64;

} // namespace

void LedgerShard::addToIndex(const LedgerRecord &record, Instant now)
{
    applyRecord(m_index, record);
    if (record.state == OrderState::Granted)
        m_openGrants.insert_or_assign(record.order, now + m_context.settings.remindInterval);
    else
        m_openGrants.erase(record.order);
}

// ---- Segments -----------------------------------------------------------------------------------

void LedgerShard::startSegment()
{
    // A segment collects the records of several writes; one segment per write would double the
    // number of writes under load.
    const LedgerSettings &settings = m_context.settings;
    const std::size_t limit = std::max(settings.segmentThresholdBytes,
                                       settings.segmentThresholdBatches * m_lastBatchBytes);
    if (m_pendingSegment || m_recentBytes < limit || m_storeDown)
        return;
    PendingSegment newSegment;
    newSegment.recentCount = m_head.recent.size();
    newSegment.records = mergeRecords({}, m_head.recent);
    // Only segments of similar size are merged, so that a record is rewritten only a few times.
    for (auto segment = m_head.segments.rbegin(); segment != m_head.segments.rend(); ++segment) {
        const auto mergeable = m_mergeableSegments.find(segment->name);
        const std::size_t bytes = recordBytes(newSegment.records);
        if (mergeable == m_mergeableSegments.end() || segment->bytes > bytes * 3 / 2
            || segment->bytes + bytes > m_context.settings.maxSegmentBytes)
            break;
        newSegment.records = mergeRecords(mergeable->second, newSegment.records);
        newSegment.replaced.insert(segment->name);
    }
    newSegment.name = ledgerSegmentPrefix(m_shard) + m_context.self.node + "-"
            + hashToHex(m_context.self.incarnation) + "-" + std::to_string(++m_context.lastSegment);
    newSegment.call = m_context.nextCall();
    m_context.actions.emplace_back(
            CreateSegment { newSegment.call, m_shard, newSegment.name, newSegment.records });
    m_pendingSegment = std::move(newSegment);
}

void LedgerShard::onSegmentWritten(ObjectStatus status)
{
    // If the creation failed or is unconfirmed, the next attempt uses another name. A segment that
    // was created nevertheless is an orphan, which the orphan scan deletes.
    if (status == ObjectStatus::Done)
        m_pendingSegment->created = true;
    else
        m_pendingSegment.reset();
}

void LedgerShard::startOrphanScan(Instant now)
{
    if (m_awaitedListCall != 0 || now < m_nextScanAt || m_storeDown)
        return;
    m_nextScanAt = now + m_context.settings.orphanScanInterval;
    m_awaitedListCall = m_context.nextCall();
    m_context.actions.emplace_back(
            ListSegments { m_awaitedListCall, m_shard, ledgerSegmentPrefix(m_shard) });
}

void LedgerShard::deleteOrphans(const std::vector<std::string> &names)
{
    // The names were listed before the write that has just succeeded. That write proves that no
    // other owner has written the head since then, so no other head can list one of them.
    for (const std::string &name : names) {
        const bool listed =
                std::any_of(m_head.segments.begin(), m_head.segments.end(),
                            [&](const SegmentRef &segment) { return segment.name == name; });
        if (!listed && !(m_pendingSegment && m_pendingSegment->name == name))
            m_context.actions.emplace_back(DeleteSegment { m_shard, name });
    }
}

bool LedgerShard::isExpired(const SegmentRef &segment) const
{
    return segment.newestAt + m_context.settings.retention < m_context.wallClock;
}

// ---- Reminders and expiry -----------------------------------------------------------------------

void LedgerShard::sendReminders(Instant now)
{
    if (now < m_nextReminderAt)
        return;
    m_nextReminderAt = now + m_context.settings.remindInterval / 4;
    int count = 0;
    for (auto &[order, remindAt] : m_openGrants) {
        const LedgerRecord &record = m_index.at(order);
        if (now < remindAt || m_pendingCounts.contains(order) || !entryIsLive(record))
            continue;
        if (++count > MaxRemindersPerPass)
            return;
        remindAt = now + m_context.settings.remindInterval;
        AdmitReply grant;
        grant.order = order;
        grant.attempt = record.attempt;
        grant.verdict = AdmitVerdict::Granted;
        m_context.send(record.node, std::move(grant));
    }
}

void LedgerShard::expireRecords(Instant now)
{
    if (now < m_nextSweepAt)
        return;
    m_nextSweepAt = now + SweepInterval;
    auto entry = m_index.upper_bound(m_lastSweptOrder);
    for (int count = 0; count < MaxRecordsPerSweep && entry != m_index.end(); ++count) {
        m_lastSweptOrder = entry->first;
        const bool expired =
                entry->second.recordedAt + m_context.settings.retention < m_context.wallClock;
        if (!expired) {
            ++entry;
            continue;
        }
        m_openGrants.erase(entry->first);
        entry = m_index.erase(entry);
    }
    if (entry == m_index.end())
        m_lastSweptOrder = OrderKey();
}

} // namespace burdock
