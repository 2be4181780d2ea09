#include "placing/loadratelimiter.h"

#include <algorithm>

namespace burdock {

void LoadRateLimiter::refill(Instant now)
{
    const double seconds = double((now - m_lastRefillAt).count()) / 1e6;
    m_lastRefillAt = now;
    m_tokens = std::min(m_settings.burst, m_tokens + seconds * m_settings.loadsPerSecond);
}

void LoadRateLimiter::reset(Instant now, bool isFirstTerm)
{
    m_tokens = isFirstTerm ? m_settings.burst : 0.0;
    m_lastRefillAt = now;
}

bool LoadRateLimiter::hasTokens(double count, Instant now)
{
    refill(now);
    return m_tokens >= count;
}

void LoadRateLimiter::takeToken(Instant now)
{
    refill(now);
    m_tokens -= 1.0;
}

} // namespace burdock
