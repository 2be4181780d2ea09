#include "placing/wantages.h"

namespace burdock {

Duration WantAges::onWant(const std::string &service, const std::string &copy, Instant now)
{
    const auto found = m_waits.find({ copy, service });
    if (found == m_waits.end() && m_waits.size() >= MaxEntries) {
        std::erase_if(m_waits, [&](const auto &entry) { return now >= entry.second.expiresAt; });
        if (m_waits.size() >= MaxEntries)
            return {};
    }
    Wait &wait = found == m_waits.end() ? m_waits[{ copy, service }] : found->second;
    if (now >= wait.expiresAt)
        wait.since = now;
    wait.expiresAt = now + m_lifetime;
    return now - wait.since;
}

void WantAges::onLoaded(const std::string &copy)
{
    const auto first = m_waits.lower_bound({ copy, "" });
    auto end = first;
    while (end != m_waits.end() && end->first.first == copy)
        ++end;
    m_waits.erase(first, end);
}

} // namespace burdock
