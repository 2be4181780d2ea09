// The weight store's budget: loads a second and loads at once.
//
// Index
//   WeightBudget   a token bucket and a bound on loads under way
#pragma once

#include "base/instant.h"

#include <algorithm>

namespace burdock {

class WeightBudget
{
public:
    /// Sets the limits; the tokens at hand are kept.
    void setLimits(double loadsPerSecond, int loadsAtOnce)
    {
        m_rate = loadsPerSecond;
        m_atOnce = loadsAtOnce;
    }

    /// Assumes that an earlier holder has just spent everything.
    void assumeSpent(Instant now)
    {
        m_tokens = 0.0;
        m_refilledAt = now;
    }

    /// Spends one load, if there is one.
    /// @param underWay loads that are open now
    /// @return whether it may start
    bool take(int underWay, Instant now)
    {
        refill(now);
        if (m_tokens < 1.0 || underWay >= m_atOnce)
            return false;
        m_tokens -= 1.0;
        return true;
    }

    /// @return loads that may start now
    int available(int underWay, Instant now)
    {
        refill(now);
        return std::max(0, std::min(static_cast<int>(m_tokens), m_atOnce - underWay));
    }

private:
    // The bucket holds one second's loads, at least one.
    void refill(Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(std::max(1.0, m_rate), m_tokens + seconds * m_rate);
        m_refilledAt = now;
    }

    double m_rate = 1.0;
    int m_atOnce = 1;
    double m_tokens = 0.0;
    Instant m_refilledAt;
};

} // namespace burdock
