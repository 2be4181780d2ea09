// Paces loads from the weight store, so that every window of time stays below its ceiling.
//
// A bucket of tokens: each load takes one, and they come back at the store's rate. A new holder
// does not know what the one before it has loaded: it starts with an empty bucket, so that the two
// together stay below what one may do.
#pragma once

#include "base/instant.h"

namespace burdock {

struct LoadCeilingSettings
{
    double loadsPerSecond = 1.0; // of the weight store
    double burst = 2.0;          // loads at once after a pause; below the 3 that the ceiling allows
};

class LoadCeiling
{
public:
    void configure(const LoadCeilingSettings &settings) { m_settings = settings; }

    /// Empties the bucket, for a new holder.
    /// @param first nobody has loaded before: it begins full
    void restart(Instant now, bool first);

    /// @return whether a load may begin now
    bool mayLoad(Instant now);

    void onLoad(Instant now);

    /// The load has certainly not begun.
    void giveBack() { m_tokens += 1.0; }

private:
    void refill(Instant now);

    LoadCeilingSettings m_settings;
    double m_tokens = 0.0;
    Instant m_refilledAt {};
};

} // namespace burdock
