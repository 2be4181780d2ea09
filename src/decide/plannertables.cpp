#include "decide/planner.h"

#include <algorithm>

namespace burdock {

Planner::Planner(const PlacementInput &input)
    : m_input(input)
    , m_engineCopies(input.engines.size())
    , m_counts(input.models.size())
    , m_removed(input.copies.size(), false)
    , m_fill(input)
{
    for (const PlannerEngine &engine : input.engines) {
        m_freeMb.push_back(engine.freeMb);
        m_pendingFreeMb.push_back(engine.pendingFreeMb);
    }
    for (const PlannerModel &model : input.models)
        m_largestModelMb = std::max(m_largestModelMb, model.memoryMb);
    countCopies();
}

// ---- Tables -------------------------------------------------------------------------------------

bool Planner::isCurrent(const PlannerCopy &copy) const
{
    return copy.model != UnpublishedModel && copy.version == m_input.models[copy.model].version;
}

bool Planner::isServing(const PlannerCopy &copy) const
{
    return copy.state == PlannerCopyState::Ready && m_input.engines[copy.engine].serving;
}

void Planner::countCopies()
{
    std::set<std::string> zones;
    for (const PlannerEngine &engine : m_input.engines) {
        if (engine.serving)
            zones.insert(engine.zone);
    }
    m_zoneCount = zones.size();
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        m_engineCopies[copy.engine].push_back(index);
        if (copy.model == UnpublishedModel)
            continue;
        ModelCounts &counts = m_counts[copy.model];
        counts.copies.push_back(index);
        if (isServing(copy))
            ++counts.readyAll;
        if (!isCurrent(copy))
            continue;
        m_occupied.emplace(copy.engine, copy.model);
        const PlannerEngine &engine = m_input.engines[copy.engine];
        const bool isLoading = copy.state == PlannerCopyState::Loading && engine.serving;
        if (isServing(copy))
            ++counts.readyCurrent;
        if (isLoading)
            ++counts.loadingCurrent;
        if (isLoading || isServing(copy))
            ++counts.perZone[engine.zone];
    }
}

// A copy may be unloaded if the model keeps its minimum number of serving copies: for a copy of the
// published version, copies of that version count; for an old version, copies of any version count.
// Copies that are loading or unreliable do not count.
bool Planner::isRemovable(std::size_t index) const
{
    const PlannerCopy &copy = m_input.copies[index];
    const PlannerEngine &engine = m_input.engines[copy.engine];
    if (m_removed[index] || copy.pinned || !engine.serving || !engine.takesUnloads
        || copy.state != PlannerCopyState::Ready)
        return false;
    if (copy.model == UnpublishedModel)
        return !copy.retained;
    const ModelCounts &counts = m_counts[copy.model];
    const int wanted = std::max(1, m_input.models[copy.model].minReplicas);
    if (isCurrent(copy))
        return !copy.retained && counts.readyCurrent - 1 >= wanted;
    return counts.readyAll - 1 >= wanted;
}

// Whether the copy is an old version that serves the model's requests, because no copy of the
// published version serves yet.
bool Planner::isNeededForRollout(std::size_t index) const
{
    const PlannerCopy &copy = m_input.copies[index];
    return copy.model != UnpublishedModel && !isCurrent(copy)
            && m_counts[copy.model].readyCurrent == 0;
}

bool Planner::mayHost(std::size_t engine, std::size_t model) const
{
    const PlannerEngine &row = m_input.engines[engine];
    return row.serving && row.takesLoads && m_occupied.count({ engine, model }) == 0;
}

// Memory in MB that a load of the model needs in addition to what is already reserved for it.
std::int64_t Planner::neededMb(std::size_t engine, std::size_t model) const
{
    const PlannerModel &row = m_input.models[model];
    const auto &reserved = m_input.engines[engine].reservedFor;
    const bool isReserved = !reserved.empty() && reserved.count({ row.name, row.version }) > 0;
    return isReserved ? 0 : row.memoryMb;
}

bool Planner::hasMemory(std::size_t engine, std::size_t model) const
{
    const std::int64_t needed = neededMb(engine, model);
    return needed == 0 || m_freeMb[engine] >= needed;
}

// Memory of an engine that cannot reuse what unloads free is used up permanently. Loads for
// demand or zone spread therefore leave enough free memory there for one copy of the largest model.
bool Planner::hasMemoryBeyondReserve(std::size_t engine, std::size_t model) const
{
    const std::int64_t kept = m_input.engines[engine].takesUnloads ? 0 : m_largestModelMb;
    return m_freeMb[engine] - neededMb(engine, model) >= kept;
}

int Planner::copiesInZone(std::size_t engine, std::size_t model) const
{
    const auto zone = m_counts[model].perZone.find(m_input.engines[engine].zone);
    return zone == m_counts[model].perZone.end() ? 0 : zone->second;
}

// Among the engines with enough free memory, prefers the zone with the fewest copies of the model,
// then the engine with the most spare capacity.
std::size_t Planner::bestEngine(std::size_t model, bool newZoneOnly) const
{
    std::size_t best = NoEngine;
    int bestZone = 0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        if (!mayHost(engine, model) || !hasMemory(engine, model))
            continue;
        const int zone = copiesInZone(engine, model);
        if (newZoneOnly && (zone > 0 || !hasMemoryBeyondReserve(engine, model)))
            continue;
        const bool isBetter = best == NoEngine || zone < bestZone
                || (zone == bestZone && m_fill.spareCapacity(engine) > m_fill.spareCapacity(best));
        if (isBetter) {
            best = engine;
            bestZone = zone;
        }
    }
    return best;
}

void Planner::addLoad(std::size_t engine, std::size_t model, MoveReason reason, double gain)
{
    const PlannerModel &row = m_input.models[model];
    m_plan.moves.push_back({ true, engine, row.name, row.version, row.memoryMb, reason, gain });
    ++m_loadCount;
    m_freeMb[engine] -= neededMb(engine, model);
    m_occupied.emplace(engine, model);
    ModelCounts &counts = m_counts[model];
    ++counts.loadingCurrent;
    ++counts.perZone[m_input.engines[engine].zone];
}

void Planner::addUnload(std::size_t index, MoveReason reason)
{
    const PlannerCopy &copy = m_input.copies[index];
    m_plan.moves.push_back(
            { false, copy.engine, copy.modelName, copy.version, copy.memoryMb, reason, 0.0 });
    ++m_unloadCount;
    m_removed[index] = true;
    m_pendingFreeMb[copy.engine] += copy.memoryMb;
    if (copy.model == UnpublishedModel)
        return;
    ModelCounts &counts = m_counts[copy.model];
    --counts.readyAll;
    if (!isCurrent(copy))
        return;
    --counts.readyCurrent;
    --counts.perZone[m_input.engines[copy.engine].zone];
}

} // namespace burdock
