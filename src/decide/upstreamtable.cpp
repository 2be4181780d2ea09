#include "decide/upstreamtable.h"

#include <algorithm>
#include <cassert>

namespace burdock {

// ---- Names --------------------------------------------------------------------------------------

std::string upstreamStateName(UpstreamState state)
{
    switch (state) {
    case UpstreamState::Reachable:
        return "reachable";
    case UpstreamState::Leaving:
        return "leaving";
    case UpstreamState::Unreachable:
        return "unreachable";
    case UpstreamState::Probing:
        return "probing";
    }
    return "unreachable";
}

std::string servingKey(const std::string &model, const std::string &version)
{
    return model + "@" + version;
}

// ---- Rows and index -----------------------------------------------------------------------------

UpstreamTable::UpstreamTable(UpstreamTableSettings settings)
    : m_settings(settings)
{
}

void UpstreamTable::onAnnounced(const UpstreamInfo &info, Instant now)
{
    UpstreamRow &row = m_rows[info.name];
    const bool isNew = row.number == 0;
    const bool restarted = !isNew && row.info.incarnation != info.incarnation;
    if (!isNew)
        removeFromIndex(row);
    if (restarted)
        endAdapterLoads(row, row.ownAdapterLoads);
    if (isNew || restarted) {
        m_byNumber.erase(row.number);
        row = UpstreamRow();
        row.number = m_nextNumber++;
        m_byNumber[row.number] = &row;
        row.probeAt = now;
    }
    row.info = info;
    addToIndex(row);
}

void UpstreamTable::addToIndex(const UpstreamRow &row)
{
    std::vector<std::string> keys;
    if (!row.info.group.empty())
        keys.push_back(row.info.group);
    for (const ResidentModel &each : row.info.resident)
        keys.push_back(servingKey(each.model, each.version));

    for (const std::string &key : keys) {
        std::vector<const UpstreamRow *> &holders = m_holders[key];
        const auto position =
                std::lower_bound(holders.begin(), holders.end(), &row,
                                 [](const UpstreamRow *left, const UpstreamRow *right) {
                                     return left->info.name < right->info.name;
                                 });
        if (position == holders.end() || *position != &row)
            holders.insert(position, &row);
    }
}

void UpstreamTable::removeFromIndex(const UpstreamRow &row)
{
    std::vector<std::string> keys = { row.info.group };
    for (const ResidentModel &each : row.info.resident)
        keys.push_back(servingKey(each.model, each.version));

    for (const std::string &key : keys) {
        const auto entry = m_holders.find(key);
        if (entry == m_holders.end())
            continue;
        std::erase(entry->second, &row);
        if (entry->second.empty())
            m_holders.erase(entry);
    }
}

void UpstreamTable::onLeaving(const std::string &name)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr)
        return;
    row->leaving = true;
    row->state = UpstreamState::Leaving;
}

void UpstreamTable::onRemoved(const std::string &name)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr)
        return;
    endAdapterLoads(*row, row->ownAdapterLoads);
    removeFromIndex(*row);
    m_byNumber.erase(row->number);
    m_rows.erase(name);
}

const std::vector<const UpstreamRow *> &UpstreamTable::holders(const std::string &key) const
{
    static const std::vector<const UpstreamRow *> none;
    const auto entry = m_holders.find(key);
    return entry == m_holders.end() ? none : entry->second;
}

const UpstreamRow *UpstreamTable::find(const std::string &name) const
{
    const auto entry = m_rows.find(name);
    return entry == m_rows.end() ? nullptr : &entry->second;
}

const UpstreamRow *UpstreamTable::findByNumber(std::uint32_t number) const
{
    const auto entry = m_byNumber.find(number);
    return entry == m_byNumber.end() ? nullptr : entry->second;
}

bool UpstreamTable::holdsKey(const UpstreamRow &row, const std::string &key) const
{
    const std::vector<const UpstreamRow *> &rows = holders(key);
    return std::find(rows.begin(), rows.end(), &row) != rows.end();
}

UpstreamRow *UpstreamTable::findRow(const std::string &name)
{
    const auto entry = m_rows.find(name);
    return entry == m_rows.end() ? nullptr : &entry->second;
}

// ---- Load ---------------------------------------------------------------------------------------

void UpstreamTable::onLoadReport(const LoadReport &report, Instant now)
{
    UpstreamRow *row = findRow(report.upstream);
    if (row == nullptr || (row->hasReport && report.sequence <= row->report.sequence))
        return;
    row->hasReport = true;
    row->report = report;
    row->reportMeasuredAt = now - report.age;
    dropChangesUntil(*row, row->reportMeasuredAt); // the report includes them
}

void UpstreamTable::onSent(const std::string &name, bool loadsAdapter, Instant now)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr)
        return;
    row->ownInFlight++;
    recordChange(*row, 1, now);
    if (loadsAdapter) {
        row->ownAdapterLoads++;
        m_ownAdapterLoads++;
    }
    if (row->state == UpstreamState::Unreachable)
        row->state = UpstreamState::Probing;
}

void UpstreamTable::onAdapterLoaded(const std::string &name, const std::string &key,
                                    const std::string &adapter)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr)
        return;
    endAdapterLoads(*row, std::min(1, row->ownAdapterLoads));
    if (adapter.empty() || hasAdapter(*row, key, adapter))
        return;
    for (ResidentModel &each : row->info.resident) {
        if (servingKey(each.model, each.version) == key)
            each.adapters.push_back(adapter);
    }
}

void UpstreamTable::endAdapterLoads(UpstreamRow &row, int count)
{
    row.ownAdapterLoads -= count;
    m_ownAdapterLoads -= count;
    assert(m_ownAdapterLoads >= 0 && "call onAdapterLoaded() once for each load onSent() counted");
}

void UpstreamTable::onFinished(const std::string &name, Instant now)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr || row->ownInFlight == 0)
        return; // the request was sent to an earlier incarnation
    row->ownInFlight--;
    recordChange(*row, -1, now);
    if (row->state == UpstreamState::Probing && row->ownInFlight == 0) {
        // The probe ended without a result, e.g. cancelled: another probe may be sent at once.
        row->state = UpstreamState::Unreachable;
        row->probeAt = now;
    }
}

void UpstreamTable::dropChangesUntil(UpstreamRow &row, Instant last)
{
    const auto kept = std::find_if(row.changes.begin(), row.changes.end(),
                                   [last](const LoadChange &each) { return each.at > last; });
    row.changes.erase(row.changes.begin(), kept);
}

void UpstreamTable::recordChange(UpstreamRow &row, int change, Instant now) const
{
    dropChangesUntil(row, now - m_settings.maxReportAge);
    row.changes.push_back({ now, change });
}

int UpstreamTable::estimatedLoad(const UpstreamRow &row, Instant now) const
{
    if (!row.hasReport || row.reportMeasuredAt + m_settings.maxReportAge < now)
        return row.ownInFlight;
    int load = row.report.running + row.report.waiting;
    for (const LoadChange &each : row.changes)
        load += each.at > row.reportMeasuredAt ? each.change : 0;
    return std::max(load, row.ownInFlight);
}

int UpstreamTable::slots(const UpstreamRow &row) const
{
    if (row.hasReport && row.report.slots > 0)
        return row.report.slots;
    return row.info.slots > 0 ? row.info.slots : m_settings.defaultSlots;
}

bool UpstreamTable::hasAdapter(const UpstreamRow &row, const std::string &key,
                               const std::string &adapter) const
{
    if (adapter.empty())
        return true;
    for (const ResidentModel &each : row.info.resident) {
        if (servingKey(each.model, each.version) != key)
            continue;
        return std::find(each.adapters.begin(), each.adapters.end(), adapter)
                != each.adapters.end();
    }
    return false;
}

// ---- Reachability -------------------------------------------------------------------------------

void UpstreamTable::onConnectFailed(const std::string &name, Instant now)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr || row->leaving)
        return;
    if (row->state == UpstreamState::Unreachable)
        return; // requests sent concurrently fail together and count as one failure
    Duration delay = m_settings.probeDelay;
    for (int failure = 0; failure < row->connectFailures && delay < m_settings.probeDelayMax;
         ++failure)
        delay *= 2;
    row->connectFailures++;
    row->state = UpstreamState::Unreachable;
    row->probeAt = now + std::min(delay, m_settings.probeDelayMax);
}

void UpstreamTable::onConnected(const std::string &name)
{
    UpstreamRow *row = findRow(name);
    if (row == nullptr || row->leaving)
        return;
    row->state = UpstreamState::Reachable;
    row->connectFailures = 0;
}

bool UpstreamTable::isSelectable(const UpstreamRow &row, Instant now) const
{
    if (row.leaving)
        return false;
    if (row.state == UpstreamState::Unreachable)
        return row.probeAt <= now;
    return row.state == UpstreamState::Reachable;
}

} // namespace burdock
