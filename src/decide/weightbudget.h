// Limits how many loads of model weights are started on the weight store: loads per second and
// concurrent loads.
//
// Index
//   WeightBudget   a token bucket and a maximum of open loads
#pragma once

#include "base/instant.h"

#include <algorithm>

namespace burdock {

class WeightBudget
{
public:
    /// Sets the limits and keeps the tokens that are in the bucket.
    void setLimits(double loadsPerSecond, int loadsAtOnce)
    {
        m_loadsPerSecond = loadsPerSecond;
        m_maxOpenLoads = loadsAtOnce;
    }

    /// Empties the bucket, because a previous lease holder may just have spent all tokens.
    void assumeSpent(Instant now)
    {
        m_tokens = 0.0;
        m_refilledAt = now;
    }

    /// Takes one token if a load may start now.
    /// @param openLoads number of loads that are open now
    /// @return whether the load may start
    bool take(int openLoads, Instant now)
    {
        refill(now);
        if (m_tokens < 1.0 || openLoads >= m_maxOpenLoads)
            return false;
        m_tokens -= 1.0;
        return true;
    }

    /// @param openLoads number of loads that are open now
    /// @return number of loads that may start now
    int available(int openLoads, Instant now)
    {
        refill(now);
        return std::max(0, std::min(static_cast<int>(m_tokens), m_maxOpenLoads - openLoads));
    }

private:
    // The bucket holds at most the tokens of one second, but at least one token.
    void refill(Instant now)
    {
        const double seconds = std::chrono::duration<double>(now - m_refilledAt).count();
        m_tokens = std::min(std::max(1.0, m_loadsPerSecond), m_tokens + seconds * m_loadsPerSecond);
        m_refilledAt = now;
    }

    double m_loadsPerSecond = 1.0;
    int m_maxOpenLoads = 1;
    double m_tokens = 0.0;
    Instant m_refilledAt;
};

} // namespace burdock
