#include "decide/demandtable.h"

#include <cmath>

namespace burdock {

// Models whose smoothed demand is below this value, in requests per second, are dropped.
constexpr double NegligibleDemand = 1e-4;

DemandTable::DemandTable(DemandSettings settings)
    : m_settings(settings)
{
}

void DemandTable::onReport(const DemandReport &report, Instant now)
{
    m_nodes[report.node] = NodeRow { report, now + m_settings.expiry };
}

void DemandTable::tick(Instant now)
{
    std::map<std::string, double> sums;
    for (const auto &[model, smoothed] : m_smoothed)
        sums[model] = 0.0;
    std::erase_if(m_nodes, [now](const auto &row) { return row.second.expiresAt <= now; });
    for (const auto &[node, row] : m_nodes) {
        for (const ModelDemand &demand : row.report.models)
            sums[demand.model] += demand.requestsPerSecond;
    }
    const double seconds = std::chrono::duration<double>(now - m_tickedAt).count();
    m_tickedAt = now;
    for (const auto &[model, sum] : sums) {
        double &smoothed = m_smoothed[model];
        const auto constant = sum > smoothed ? m_settings.attack : m_settings.decay;
        smoothed += (sum - smoothed) * (1.0 - std::exp(-seconds / constant.count()));
    }
    std::erase_if(m_smoothed, [](const auto &row) { return row.second < NegligibleDemand; });
}

double DemandTable::demandOf(const std::string &model) const
{
    const auto row = m_smoothed.find(model);
    return row == m_smoothed.end() ? 0.0 : row->second;
}

} // namespace burdock
