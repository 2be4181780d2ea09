#include "serving/processingdelay.h"

#include <algorithm>

namespace burdock {

namespace {

/// Until the answer: the connection to the replica, its answer, and the caller's.
constexpr int EventsUntilAnswer = 3;
/// A delay that is over is forgotten within a few runs of the timer.
constexpr int DecayDivisor = 4;
/// Timers always run slightly late.
constexpr std::chrono::milliseconds TimerSlack { 5 };

} // namespace

void ProcessingDelay::onTimer(Instant dueAt, Instant now)
{
    const Duration late = std::max(Duration::zero(), now - dueAt - Duration(TimerSlack));
    m_delay = std::max(late, m_delay / DecayDivisor);
}

bool ProcessingDelay::canAnswer(Instant deadline, Instant now) const
{
    return now + EventsUntilAnswer * m_delay < deadline;
}

} // namespace burdock
