#include "decide/placementplanner.h"

#include "decide/planner.h"

#include <algorithm>
#include <chrono>

namespace burdock {

namespace {

// An eviction is likely to be paid for again by a later load.
constexpr double MovesOfAnEviction = 2.0;
// Models for which a plan searches the whole fleet for surplus copies that could give way.
constexpr std::size_t EvictionsTried = 8;
// A copy in a zone that has one already counts for this much less.
constexpr double ZonePenalty = 0.1;

} // namespace

PlacementPlan Planner::run()
{
    m_plan.demand = m_fill.demand();
    m_plan.unserved = m_fill.unserved();
    finishUnloads();
    unloadUnpublished();
    repair();
    unloadOldVersions();
    followDemand();
    spreadZones();
    return std::move(m_plan);
}

// ---- Demand -------------------------------------------------------------------------------------

void Planner::followDemand()
{
    const std::vector<std::size_t> order = m_fill.modelsByRelief();
    std::size_t evictions = 0;
    for (const std::size_t model : order) {
        while (loadsLeft() && addForDemand(model)) { }
        if (!loadsLeft() || !unloadsLeft() || evictions == EvictionsTried)
            continue;
        if (m_fill.relief(model) < MinimumGain)
            continue;
        ++evictions;
        evictForDemand(model);
    }
}

std::size_t Planner::bestEngineForDemand(std::size_t model) const
{
    const double relief = m_fill.relief(model);
    std::size_t best = NoEngine;
    double bestScore = 0.0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        if (!mayHost(engine, model) || !hasRoomToSpare(engine, model))
            continue;
        const double gain = std::min(relief, m_fill.spare(engine));
        const double score = gain / (1.0 + ZonePenalty * zoneCopies(engine, model));
        if (score > bestScore) {
            best = engine;
            bestScore = score;
        }
    }
    return best;
}

bool Planner::worth(double gain, double moves) const
{
    const double seconds = std::chrono::duration<double>(m_input.settings.horizon).count();
    return gain > MinimumGain && gain * seconds > m_input.settings.moveWeight * moves;
}

bool Planner::addForDemand(std::size_t model)
{
    const std::size_t engine = bestEngineForDemand(model);
    if (engine == NoEngine)
        return false;
    const double gain = m_fill.gain(model, engine);
    if (!worth(gain, 1.0))
        return false;
    addLoad(engine, model, MoveReason::Demand, gain);
    m_fill.addCopy(model, engine);
    return true;
}

// The cheapest surplus copies of one engine that make room for the model.
Planner::Eviction Planner::cheapestEviction(std::size_t model, std::size_t engine) const
{
    Eviction eviction;
    eviction.engine = engine;
    std::int64_t missing = m_input.models[model].memoryMb - m_freeMb[engine] - m_comingMb[engine];
    std::vector<std::pair<double, std::size_t>> victims;
    for (const std::size_t index : m_engineCopies[engine]) {
        if (m_input.copies[index].model != model && isRemovable(index) && !servesRollout(index))
            victims.emplace_back(m_fill.loss(index), index);
    }
    std::sort(victims.begin(), victims.end());
    for (const auto &[loss, index] : victims) {
        if (missing <= 0)
            break;
        missing -= m_input.copies[index].memoryMb;
        eviction.loss += loss;
        eviction.copies.push_back(index);
    }
    eviction.enough = missing <= 0;
    return eviction;
}

void Planner::evictForDemand(std::size_t model)
{
    const double relief = m_fill.relief(model);
    Eviction best;
    double bestNet = 0.0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        const double gain = std::min(relief, m_fill.spare(engine));
        if (gain <= bestNet || !mayHost(engine, model))
            continue;
        const Eviction eviction = cheapestEviction(model, engine);
        if (!eviction.enough || gain - eviction.loss <= bestNet)
            continue;
        bestNet = gain - eviction.loss;
        best = eviction;
    }
    const double moves = 1.0 + MovesOfAnEviction * static_cast<double>(best.copies.size());
    if (!best.enough || !worth(bestNet, moves))
        return;
    for (const std::size_t index : best.copies) {
        if (isRemovable(index) && unloadsLeft())
            addUnload(index, MoveReason::MakeRoom);
    }
    m_comingMb[best.engine] -= m_input.models[model].memoryMb - m_freeMb[best.engine];
    m_freeMb[best.engine] = 0;
}

// ---- Functions ----------------------------------------------------------------------------------

const char *moveReasonName(MoveReason reason)
{
    switch (reason) {
    case MoveReason::Unpublished:
        return "unpublished";
    case MoveReason::Repair:
        return "repair";
    case MoveReason::KeepVanishing:
        return "keep-vanishing";
    case MoveReason::ZoneSpread:
        return "zone-spread";
    case MoveReason::OldVersion:
        return "old-version";
    case MoveReason::Demand:
        return "demand";
    case MoveReason::FinishUnload:
        return "finish-unload";
    case MoveReason::MakeRoom:
        return "make-room";
    case MoveReason::Relocate:
        return "relocate";
    }
    return "unknown";
}

PlacementPlan plan(const PlacementInput &input)
{
    return Planner(input).run();
}

} // namespace burdock
