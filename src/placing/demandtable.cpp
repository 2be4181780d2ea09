#include "placing/demandtable.h"

#include "serving/replicatable.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

/// Totals are kept by adding and subtracting; what is left of rounding counts as none.
constexpr double NoDemand = 1e-3; // tokens per second

} // namespace

std::string demandKey(const CopyDemand &row)
{
    return row.service + "/" + copyName(row.model, row.adapter);
}

// ---- Reports ------------------------------------------------------------------------------------

std::vector<CopyDemand> DemandReporter::next(const std::vector<CopyDemand> &rows,
                                             std::size_t maxRows, Instant now)
{
    struct Candidate
    {
        const CopyDemand *row = nullptr;
        Reported *reported = nullptr;
        double change = 0.0;
        bool isDue = false;
    };
    std::unordered_map<std::string, Reported> kept;
    std::vector<Candidate> candidates;
    candidates.reserve(rows.size());
    kept.reserve(rows.size());
    for (const CopyDemand &row : rows) {
        std::string key = demandKey(row);
        const auto earlier = m_reported.find(key);
        const Reported reported = earlier == m_reported.end() ? Reported {} : earlier->second;
        Reported &entry = kept.emplace(std::move(key), reported).first->second;
        candidates.push_back({ &row, &entry,
                               std::abs(row.tokensPerSecond - reported.tokensPerSecond),
                               reported.refreshAt != Instant {} && now >= reported.refreshAt });
    }
    m_reported = std::move(kept);
    std::sort(candidates.begin(), candidates.end(),
              [](const Candidate &left, const Candidate &right) {
                  if (left.isDue != right.isDue)
                      return left.isDue;
                  return left.change > right.change;
              });
    if (candidates.size() > maxRows)
        candidates.resize(maxRows);
    std::vector<CopyDemand> report;
    report.reserve(candidates.size());
    for (const Candidate &each : candidates) {
        *each.reported = { each.row->tokensPerSecond, now + m_refreshTime };
        report.push_back(*each.row);
    }
    return report;
}

// ---- Totals -------------------------------------------------------------------------------------

void DemandTable::add(const std::string &key, double tokensPerSecond)
{
    const auto total = m_totals.find(key);
    if (total == m_totals.end())
        return;
    total->second.tokensPerSecond += tokensPerSecond;
    if (total->second.tokensPerSecond < NoDemand)
        m_totals.erase(total);
}

void DemandTable::onReport(const std::string &node, const std::vector<CopyDemand> &rows,
                           Duration lifetime, Instant now)
{
    auto &kept = m_nodes[node];
    for (const CopyDemand &row : rows) {
        const std::string key = demandKey(row);
        Row &entry = kept[key];
        m_totals.try_emplace(key, CopyDemand { row.service, row.model, row.adapter, 0.0 });
        add(key, row.tokensPerSecond - entry.tokensPerSecond);
        entry = { row.tokensPerSecond, now + lifetime };
    }
}

void DemandTable::expire(Instant now)
{
    for (auto node = m_nodes.begin(); node != m_nodes.end();) {
        auto &rows = node->second;
        for (auto row = rows.begin(); row != rows.end();) {
            if (now < row->second.expiresAt) {
                ++row;
                continue;
            }
            add(row->first, -row->second.tokensPerSecond);
            row = rows.erase(row);
        }
        node = rows.empty() ? m_nodes.erase(node) : std::next(node);
    }
}

} // namespace burdock
