#include "entry/demandmeter.h"

namespace burdock {

DemandReport DemandMeter::report(const std::string &node, Instant now)
{
    const double seconds = std::chrono::duration<double>(now - m_since).count();
    DemandReport report;
    report.node = node;
    for (const auto &[model, count] : m_counts) {
        if (seconds > 0.0)
            report.models.push_back({ model, static_cast<double>(count) / seconds });
    }
    m_counts.clear();
    m_since = now;
    return report;
}

} // namespace burdock
