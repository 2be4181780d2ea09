#include "serving/suspects.h"

#include <algorithm>

namespace burdock {

SuspectRequests::SuspectRequests(SuspectSettings settings)
    : m_settings(settings)
{
}

bool SuspectRequests::onLost(std::uint64_t fingerprint, const std::string &replica, Instant now)
{
    const auto found = m_rows.find(fingerprint);
    if (found == m_rows.end() && m_rows.size() >= m_settings.mostRequests)
        return false;
    Row &row = m_rows[fingerprint];
    row.forgetAt = now + m_settings.remember;
    if (std::find(row.replicas.begin(), row.replicas.end(), replica) != row.replicas.end())
        return false;
    if (row.replicas.size() >= m_settings.lossesToRefuse)
        return false;
    row.replicas.push_back(replica);
    return true;
}

bool SuspectRequests::isRefused(std::uint64_t fingerprint, Instant now) const
{
    const auto row = m_rows.find(fingerprint);
    return row != m_rows.end() && now < row->second.forgetAt
            && row->second.replicas.size() >= m_settings.lossesToRefuse;
}

void SuspectRequests::tick(Instant now)
{
    std::erase_if(m_rows, [&](const auto &entry) { return now >= entry.second.forgetAt; });
}

} // namespace burdock
