// What a shard's owner does besides answering: segments, reminders, expiry.
#include "decide/ledgershard.h"

#include <algorithm>

namespace burdock {

namespace {

/// Index entries looked at in one search for expired ones.
constexpr int SweepCount = 4'096;

/// Time between these searches.
constexpr std::chrono::seconds SweepInterval { 1 };

/// Reminders of one shard in one look.
constexpr int MaxReminders = 64;

} // namespace

void LedgerShard::apply(const LedgerRecord &record, Instant now)
{
    applyRecord(m_index, record);
    if (record.state == OrderState::Granted)
        m_open.insert_or_assign(record.order, now + m_context.settings.remindInterval);
    else
        m_open.erase(record.order);
}

// ---- Segments -----------------------------------------------------------------------------------

void LedgerShard::startRoll()
{
    // Several batches go into a segment, so that segments do not double the writes under load.
    const LedgerSettings &settings = m_context.settings;
    const std::size_t limit = std::max(settings.recentBytes, settings.recentBatches * m_batchBytes);
    if (m_roll || m_recentBytes < limit || m_storeDown)
        return;
    Roll roll;
    roll.recentCount = m_head.recent.size();
    roll.records = mergeRecords({}, m_head.recent);
    // Segments of like size are merged, so that a record is rewritten only a few times.
    for (auto segment = m_head.segments.rbegin(); segment != m_head.segments.rend(); ++segment) {
        const auto small = m_small.find(segment->name);
        const std::size_t bytes = recordBytes(roll.records);
        if (small == m_small.end() || segment->bytes > bytes * 3 / 2
            || segment->bytes + bytes > m_context.settings.segmentBytes)
            break;
        roll.records = mergeRecords(small->second, roll.records);
        roll.replaced.insert(segment->name);
    }
    roll.name = ledgerSegmentPrefix(m_shard) + m_context.self.node + "-"
            + hashToHex(m_context.self.incarnation) + "-" + std::to_string(++m_context.lastSegment);
    roll.call = m_context.nextCall();
    m_context.actions.emplace_back(CreateSegment { roll.call, m_shard, roll.name, roll.records });
    m_roll = std::move(roll);
}

void LedgerShard::onRollWritten(ObjectStatus status)
{
    // A segment whose creation has no answer is left to the search for lost ones; the next try
    // takes another name.
    if (status == ObjectStatus::Done)
        m_roll->created = true;
    else
        m_roll.reset();
}

void LedgerShard::startScan(Instant now)
{
    if (m_listCall != 0 || now < m_scanAt || m_storeDown)
        return;
    m_scanAt = now + m_context.settings.orphanScanInterval;
    m_listCall = m_context.nextCall();
    m_context.actions.emplace_back(
            ListSegments { m_listCall, m_shard, ledgerSegmentPrefix(m_shard) });
}

void LedgerShard::deleteOrphans(const std::vector<std::string> &names)
{
    // The names were listed before the write that has just succeeded. That write proves that no
    // other owner had the shard in between, so none can still list one of them.
    for (const std::string &name : names) {
        const bool listed = std::any_of(m_head.segments.begin(), m_head.segments.end(),
                                        [&](const SegmentRef &each) { return each.name == name; });
        if (!listed && !(m_roll && m_roll->name == name))
            m_context.actions.emplace_back(DeleteSegment { m_shard, name });
    }
}

bool LedgerShard::isExpired(const SegmentRef &segment) const
{
    return segment.newestAt + m_context.settings.retention < m_context.wallClock;
}

// ---- Reminders and expiry -----------------------------------------------------------------------

void LedgerShard::remind(Instant now)
{
    if (now < m_remindAt)
        return;
    m_remindAt = now + m_context.settings.remindInterval / 4;
    int count = 0;
    for (auto &[order, remindAt] : m_open) {
        const LedgerRecord &record = m_index.at(order);
        if (now < remindAt || m_waiting.contains(order) || !entryIsLive(record))
            continue;
        if (++count > MaxReminders)
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
    if (now < m_sweepAt)
        return;
    m_sweepAt = now + SweepInterval;
    auto entry = m_index.upper_bound(m_sweptTo);
    for (int count = 0; count < SweepCount && entry != m_index.end(); ++count) {
        m_sweptTo = entry->first;
        const bool expired =
                entry->second.recordedAt + m_context.settings.retention < m_context.wallClock;
        if (!expired) {
            ++entry;
            continue;
        }
        m_open.erase(entry->first);
        entry = m_index.erase(entry);
    }
    if (entry == m_index.end())
        m_sweptTo = OrderKey();
}

} // namespace burdock
