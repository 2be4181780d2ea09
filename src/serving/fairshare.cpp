#include "serving/fairshare.h"

#include <algorithm>
#include <cmath>

namespace burdock {

FairShare::FairShare(FairShareSettings settings)
    : m_settings(settings)
{
}

double FairShare::remaining(const Started &started, Instant now) const
{
    const double halfLives =
            double((now - started.at).count()) / double(m_settings.halfLife.count());
    return started.cost * std::exp2(-std::max(0.0, halfLives));
}

void FairShare::onStarted(const std::string &organisation, double cost, Instant now)
{
    Started &started = m_started[organisation];
    started.cost = remaining(started, now) + cost;
    started.at = now;
}

double FairShare::startedLately(const std::string &organisation, Instant now) const
{
    const auto found = m_started.find(organisation);
    if (found == m_started.end())
        return 0.0;
    const double cost = remaining(found->second, now);
    return cost < m_settings.negligibleTokens ? 0.0 : cost;
}

void FairShare::tick(Instant now)
{
    std::erase_if(m_started, [&](const auto &entry) {
        return remaining(entry.second, now) < m_settings.negligibleTokens;
    });
}

} // namespace burdock
