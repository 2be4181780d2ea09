#include "decide/placementplanner.h"

#include "decide/planner.h"

#include <algorithm>
#include <chrono>

namespace burdock {

namespace {

// Number of moves that one evicted copy costs: its unload and, probably, a later load of the same
// copy.
constexpr double MovesPerEviction = 2.0;
// Maximum number of models for which one plan searches all engines for surplus copies to evict.
constexpr std::size_t MaxEvictionSearches = 8;
// The gain on an engine is divided by 1 plus this value for each copy that its zone has already.
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
    addCopiesForDemand();
    spreadZones();
    return std::move(m_plan);
}

// ---- Demand -------------------------------------------------------------------------------------

// Adds copies of overloaded models. Where a model still lacks capacity, evicts surplus copies of
// other models, so that a later plan can load it.
void Planner::addCopiesForDemand()
{
    const std::vector<std::size_t> order = m_fill.modelsByRelief();
    std::size_t evictions = 0;
    for (const std::size_t model : order) {
        while (mayPlanLoad() && addCopyForDemand(model)) { }
        if (!mayPlanLoad() || !mayPlanUnload() || evictions == MaxEvictionSearches)
            continue;
        if (m_fill.relief(model) < MinGain)
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
        if (!mayHost(engine, model) || !hasMemoryBeyondReserve(engine, model))
            continue;
        const double gain = std::min(relief, m_fill.spareCapacity(engine));
        const double score = gain / (1.0 + ZonePenalty * copiesInZone(engine, model));
        if (score > bestScore) {
            best = engine;
            bestScore = score;
        }
    }
    return best;
}

// Whether the requests gained within the horizon outweigh the cost of the moves.
bool Planner::isWorthMoves(double gain, double moves) const
{
    const double seconds = std::chrono::duration<double>(m_input.settings.horizon).count();
    return gain > MinGain && gain * seconds > m_input.settings.moveWeight * moves;
}

bool Planner::addCopyForDemand(std::size_t model)
{
    const std::size_t engine = bestEngineForDemand(model);
    if (engine == NoEngine)
        return false;
    const double gain = m_fill.gain(model, engine);
    if (!isWorthMoves(gain, 1.0))
        return false;
    addLoad(engine, model, MoveReason::Demand, gain);
    m_fill.addCopy(model, engine);
    return true;
}

// Selects the surplus copies of one engine whose unloads free enough memory for the model, those
// with the least loss first.
Planner::Eviction Planner::cheapestEviction(std::size_t model, std::size_t engine) const
{
    Eviction eviction;
    eviction.engine = engine;
    std::int64_t missing =
            m_input.models[model].memoryMb - m_freeMb[engine] - m_pendingFreeMb[engine];
    std::vector<std::pair<double, std::size_t>> victims;
    for (const std::size_t index : m_engineCopies[engine]) {
        if (m_input.copies[index].model != model && isRemovable(index)
            && !isNeededForRollout(index))
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
    eviction.isSufficient = missing <= 0;
    return eviction;
}

void Planner::evictForDemand(std::size_t model)
{
    const double relief = m_fill.relief(model);
    Eviction best;
    double bestNet = 0.0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        const double gain = std::min(relief, m_fill.spareCapacity(engine));
        if (gain <= bestNet || !mayHost(engine, model))
            continue;
        const Eviction eviction = cheapestEviction(model, engine);
        if (!eviction.isSufficient || gain - eviction.loss <= bestNet)
            continue;
        bestNet = gain - eviction.loss;
        best = eviction;
    }
    const double moves = 1.0 + MovesPerEviction * static_cast<double>(best.copies.size());
    if (!best.isSufficient || !isWorthMoves(bestNet, moves))
        return;
    for (const std::size_t index : best.copies) {
        if (isRemovable(index) && mayPlanUnload())
            addUnload(index, MoveReason::FreeMemory);
    }
    // The memory is set aside for the load that follows in a later plan.
    m_pendingFreeMb[best.engine] -= m_input.models[model].memoryMb - m_freeMb[best.engine];
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
    case MoveReason::RevokeUnload:
        return "keep-vanishing";
    case MoveReason::ZoneSpread:
        return "zone-spread";
    case MoveReason::OldVersion:
        return "old-version";
    case MoveReason::Demand:
        return "demand";
    case MoveReason::FinishUnload:
        return "finish-unload";
    case MoveReason::FreeMemory:
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
