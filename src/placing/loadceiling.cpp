#include "placing/loadceiling.h"

#include <algorithm>

namespace burdock {

void LoadCeiling::refill(Instant now)
{
    const double seconds = double((now - m_refilledAt).count()) / 1e6;
    m_refilledAt = now;
    m_tokens = std::min(m_settings.burst, m_tokens + seconds * m_settings.loadsPerSecond);
}

void LoadCeiling::restart(Instant now, bool first)
{
    m_tokens = first ? m_settings.burst : 0.0;
    m_refilledAt = now;
}

bool LoadCeiling::mayLoad(Instant now)
{
    refill(now);
    return m_tokens >= 1.0;
}

void LoadCeiling::onLoad(Instant now)
{
    refill(now);
    m_tokens -= 1.0;
}

} // namespace burdock
