// Time as the decision library sees it: points on a monotonic clock, handed in by the caller.
//
// Index
//   Instant     a point in time, in microseconds
//   Duration    a span between two points; held in settings and computed on the spot only
//   fromSteady  converts the operating system's monotonic clock
#pragma once

#include <chrono>

namespace burdock {

// ---- Types --------------------------------------------------------------------------------------

/// Marks time points that come from a driver: a real monotonic clock or a virtual one.
struct DecisionClock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::micro;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<DecisionClock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using Duration = std::chrono::microseconds;
using Instant = DecisionClock::time_point;

// ---- Conversion ---------------------------------------------------------------------------------

/// Converts a reading of the monotonic clock.
/// @param point the reading
/// @return the same point, in microseconds
inline Instant fromSteady(std::chrono::steady_clock::time_point point)
{
    return Instant(std::chrono::duration_cast<Duration>(point.time_since_epoch()));
}

/// @return the present on the monotonic clock. For shells only; the decision library is told the
/// time.
inline Instant steadyNow()
{
    return fromSteady(std::chrono::steady_clock::now());
}

} // namespace burdock
