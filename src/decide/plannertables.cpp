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
        m_comingMb.push_back(engine.comingMb);
    }
    for (const PlannerModel &model : input.models)
        m_largestModelMb = std::max(m_largestModelMb, model.memoryMb);
    count();
}

// ---- Tables -------------------------------------------------------------------------------------

bool Planner::isCurrent(const PlannerCopy &copy) const
{
    return copy.model != UnpublishedModel && copy.version == m_input.models[copy.model].version;
}

bool Planner::isFirm(const PlannerCopy &copy) const
{
    return copy.state == PlannerCopyState::Ready && m_input.engines[copy.engine].serving;
}

void Planner::count()
{
    std::set<std::string> zones;
    for (const PlannerEngine &engine : m_input.engines) {
        if (engine.serving)
            zones.insert(engine.zone);
    }
    m_zones = zones.size();
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        m_engineCopies[copy.engine].push_back(index);
        if (copy.model == UnpublishedModel)
            continue;
        ModelCounts &counts = m_counts[copy.model];
        counts.copies.push_back(index);
        if (isFirm(copy))
            ++counts.readyAll;
        if (!isCurrent(copy))
            continue;
        m_occupied.emplace(copy.engine, copy.model);
        const PlannerEngine &engine = m_input.engines[copy.engine];
        const bool coming = copy.state == PlannerCopyState::Coming && engine.serving;
        if (isFirm(copy))
            ++counts.readyCurrent;
        if (coming)
            ++counts.comingCurrent;
        if (coming || isFirm(copy))
            ++counts.perZone[engine.zone];
    }
}

// A copy may go if the model keeps its wanted number of firm copies: a copy of the published
// version if that many of it stay, one of an old version if that many of any version stay. Copies
// that are loading or may vanish do not count.
bool Planner::isRemovable(std::size_t index) const
{
    const PlannerCopy &copy = m_input.copies[index];
    const PlannerEngine &engine = m_input.engines[copy.engine];
    if (m_removed[index] || copy.pinned || !engine.serving || !engine.takesUnloads
        || copy.state != PlannerCopyState::Ready)
        return false;
    if (copy.model == UnpublishedModel)
        return !copy.recent;
    const ModelCounts &counts = m_counts[copy.model];
    const int wanted = std::max(1, m_input.models[copy.model].minReplicas);
    if (isCurrent(copy))
        return !copy.recent && counts.readyCurrent - 1 >= wanted;
    return counts.readyAll - 1 >= wanted;
}

// An old version carries the model's load until the published one serves.
bool Planner::servesRollout(std::size_t index) const
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

// Memory that a load of the model would take beyond what is reserved for it already.
std::int64_t Planner::neededMb(std::size_t engine, std::size_t model) const
{
    const PlannerModel &row = m_input.models[model];
    const auto &reserved = m_input.engines[engine].reservedFor;
    const bool isReserved = !reserved.empty() && reserved.count({ row.name, row.version }) > 0;
    return isReserved ? 0 : row.memoryMb;
}

bool Planner::hasRoom(std::size_t engine, std::size_t model) const
{
    const std::int64_t needed = neededMb(engine, model);
    return needed == 0 || m_freeMb[engine] >= needed;
}

// Memory of an engine that never unloads is spent for good, so a load that could be done without
// leaves room there for one copy of the largest model.
bool Planner::hasRoomToSpare(std::size_t engine, std::size_t model) const
{
    const std::int64_t kept = m_input.engines[engine].takesUnloads ? 0 : m_largestModelMb;
    return m_freeMb[engine] - neededMb(engine, model) >= kept;
}

int Planner::zoneCopies(std::size_t engine, std::size_t model) const
{
    const auto zone = m_counts[model].perZone.find(m_input.engines[engine].zone);
    return zone == m_counts[model].perZone.end() ? 0 : zone->second;
}

// Among the engines with room: the zone with fewest copies, then the most spare capacity.
std::size_t Planner::bestEngine(std::size_t model, bool newZoneOnly) const
{
    std::size_t best = NoEngine;
    int bestZone = 0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        if (!mayHost(engine, model) || !hasRoom(engine, model))
            continue;
        const int zone = zoneCopies(engine, model);
        if (newZoneOnly && (zone > 0 || !hasRoomToSpare(engine, model)))
            continue;
        const bool better = best == NoEngine || zone < bestZone
                || (zone == bestZone && m_fill.spare(engine) > m_fill.spare(best));
        if (better) {
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
    ++m_loads;
    m_freeMb[engine] -= neededMb(engine, model);
    m_occupied.emplace(engine, model);
    ModelCounts &counts = m_counts[model];
    ++counts.comingCurrent;
    ++counts.perZone[m_input.engines[engine].zone];
}

void Planner::addUnload(std::size_t index, MoveReason reason)
{
    const PlannerCopy &copy = m_input.copies[index];
    m_plan.moves.push_back(
            { false, copy.engine, copy.modelName, copy.version, copy.memoryMb, reason, 0.0 });
    ++m_unloads;
    m_removed[index] = true;
    m_comingMb[copy.engine] += copy.memoryMb;
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
