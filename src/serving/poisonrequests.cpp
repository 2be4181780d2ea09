#include "serving/poisonrequests.h"

#include <algorithm>

namespace burdock {

PoisonRequests::PoisonRequests(PoisonRequestSettings settings)
    : m_settings(settings)
{
}

bool PoisonRequests::onReplicaLost(std::uint64_t fingerprint, const std::string &replica,
                                   Instant now)
{
    const auto found = m_rows.find(fingerprint);
    if (found == m_rows.end() && m_rows.size() >= m_settings.maxRequests)
        return false;
    Row &row = m_rows[fingerprint];
    row.expiresAt = now + m_settings.retention;
    if (std::find(row.replicas.begin(), row.replicas.end(), replica) != row.replicas.end())
        return false;
    if (row.replicas.size() >= m_settings.lossesToRefuse)
        return false;
    row.replicas.push_back(replica);
    return true;
}

bool PoisonRequests::isPoison(std::uint64_t fingerprint, Instant now) const
{
    const auto row = m_rows.find(fingerprint);
    return row != m_rows.end() && now < row->second.expiresAt
            && row->second.replicas.size() >= m_settings.lossesToRefuse;
}

void PoisonRequests::tick(Instant now)
{
    std::erase_if(m_rows, [&](const auto &entry) { return now >= entry.second.expiresAt; });
}

} // namespace burdock
