// Limits the rate of model loads from the weight store, so that no window of time exceeds the
// store's limit.
//
// A token bucket: each load takes one token, and tokens are refilled at the store's rate. A new
// lease holder does not know which loads the previous one started, so it starts with an empty
// bucket: the loads of both holders together then stay below the store's limit.
#pragma once

#include "base/instant.h"

namespace burdock {

struct LoadRateLimiterSettings
{
    double loadsPerSecond = 1.0; // limit of the weight store
    double burst = 2.0;          // maximum loads at once after a pause; the store's limit allows 3
};

class LoadRateLimiter
{
public:
    void configure(const LoadRateLimiterSettings &settings) { m_settings = settings; }

    /// Resets the bucket for a new lease holder.
    /// @param isFirstTerm whether no node has started loads before; the bucket then starts full,
    ///        otherwise empty
    void reset(Instant now, bool isFirstTerm);

    /// @return whether as many loads may start now
    bool hasTokens(double count, Instant now);

    /// Takes the token of a load that starts now.
    void takeToken(Instant now);

    /// Returns the token of a load that has certainly not started.
    void refundToken() { m_tokens += 1.0; }

private:
    void refill(Instant now);

    LoadRateLimiterSettings m_settings;
    double m_tokens = 0.0;
    Instant m_lastRefillAt {};
};

} // namespace burdock
