#include "decide/planner.h"

#include <algorithm>
#include <tuple>

namespace burdock {

// ---- Repair -------------------------------------------------------------------------------------

// Repeats overdue unloads. A copy with an overdue unload cannot be relied upon, and repeating the
// unload frees its memory. A copy that may be the last one to serve its model is left alone.
void Planner::finishUnloads()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (copy.state != PlannerCopyState::Unreliable || !copy.unloadOverdue || copy.pinned
            || !engine.serving || !engine.takesUnloads || !mayPlanUnload())
            continue;
        if (copy.model != UnpublishedModel && m_counts[copy.model].readyCurrent == 0)
            continue;
        m_plan.moves.push_back({ false, copy.engine, copy.modelName, copy.version, copy.memoryMb,
                                 MoveReason::FinishUnload, 0.0 });
        ++m_unloadCount;
        m_pendingFreeMb[copy.engine] += copy.memoryMb;
    }
}

void Planner::unloadUnpublished()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        if (m_input.copies[index].model == UnpublishedModel && isRemovable(index)
            && mayPlanUnload())
            addUnload(index, MoveReason::Unpublished);
    }
}

// Plans loads for models with fewer copies than their minimum: first models without any copy, then
// models without a copy of the published version, then by demand.
void Planner::repair()
{
    std::vector<std::size_t> missing;
    for (std::size_t model = 0; model < m_counts.size(); ++model) {
        const ModelCounts &counts = m_counts[model];
        if (counts.readyCurrent + counts.loadingCurrent
            < std::max(1, m_input.models[model].minReplicas))
            missing.push_back(model);
    }
    const auto urgency = [this](std::size_t model) {
        const ModelCounts &counts = m_counts[model];
        return std::tuple(counts.readyAll + counts.loadingCurrent > 0,
                          counts.readyCurrent + counts.loadingCurrent > 0,
                          -m_input.models[model].demand, model);
    };
    std::sort(missing.begin(), missing.end(), [&urgency](std::size_t left, std::size_t right) {
        return urgency(left) < urgency(right);
    });
    for (const std::size_t model : missing)
        repairModel(model);
}

void Planner::repairModel(std::size_t model)
{
    const int wanted = std::max(1, m_input.models[model].minReplicas);
    ModelCounts &counts = m_counts[model];
    while (counts.readyCurrent + counts.loadingCurrent < wanted && mayPlanLoad()) {
        if (revokeUnload(model))
            continue;
        const std::size_t engine = bestEngine(model, false);
        if (engine == NoEngine) {
            freeMemoryFor(model);
            return;
        }
        addLoad(engine, model, MoveReason::Repair, 0.0);
    }
}

// Keeps a copy whose unload is still open: a newer load of the same copy revokes the unload.
bool Planner::revokeUnload(std::size_t model)
{
    for (const std::size_t index : m_counts[model].copies) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (copy.state != PlannerCopyState::Unreliable || !copy.unloadRevocable || !isCurrent(copy)
            || !engine.serving || !engine.takesLoads || m_removed[index])
            continue;
        m_removed[index] = true;
        const std::int64_t free = m_freeMb[copy.engine];
        addLoad(copy.engine, model, MoveReason::RevokeUnload, 0.0);
        m_freeMb[copy.engine] = free; // the copy still occupies its memory
        m_pendingFreeMb[copy.engine] -= copy.memoryMb;
        return true;
    }
    return false;
}

// Memory in MB of the engine's removable copies, except the published version of one model.
std::int64_t Planner::surplusMb(std::size_t engine, std::size_t exceptModel) const
{
    std::int64_t sum = 0;
    for (const std::size_t index : m_engineCopies[engine]) {
        const PlannerCopy &copy = m_input.copies[index];
        if ((copy.model != exceptModel || !isCurrent(copy)) && isRemovable(index))
            sum += m_input.copies[index].memoryMb;
    }
    return sum;
}

// Called when no engine has enough free memory for the model. Waits for open unloads if they free
// enough, else unloads surplus copies, else relocates another model; if nothing helps, reports the
// model as blocked.
void Planner::freeMemoryFor(std::size_t model)
{
    const std::int64_t needed = m_input.models[model].memoryMb;
    std::size_t best = NoEngine;
    std::int64_t bestMissing = 0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        if (!mayHost(engine, model))
            continue;
        const std::int64_t missing = needed - m_freeMb[engine] - m_pendingFreeMb[engine];
        if (missing <= 0) {
            m_pendingFreeMb[engine] -= needed - m_freeMb[engine];
            m_freeMb[engine] = 0;
            return;
        }
        if (missing > surplusMb(engine, model))
            continue;
        if (best == NoEngine || missing < bestMissing) {
            best = engine;
            bestMissing = missing;
        }
    }
    if (best == NoEngine) {
        if (!relocateFor(model))
            m_plan.blocked.push_back({ m_input.models[model].name, needed });
        return;
    }
    std::vector<std::size_t> victims;
    for (const std::size_t index : m_engineCopies[best]) {
        const PlannerCopy &copy = m_input.copies[index];
        if (copy.model != model || !isCurrent(copy))
            victims.push_back(index);
    }
    std::sort(victims.begin(), victims.end(), [this](std::size_t left, std::size_t right) {
        return std::tuple(m_fill.loadOf(left), left) < std::tuple(m_fill.loadOf(right), right);
    });
    for (const std::size_t index : victims) {
        // Each planned unload changes which copies are removable, so this is checked again each
        // time.
        if (bestMissing <= 0 || !mayPlanUnload())
            break;
        if (!isRemovable(index))
            continue;
        bestMissing -= m_input.copies[index].memoryMb;
        addUnload(index, MoveReason::FreeMemory);
    }
    m_pendingFreeMb[best] = std::max<std::int64_t>(0, m_pendingFreeMb[best] - needed);
}

// Loads another model that is on a full engine onto a second engine, so that its copy on the full
// engine becomes surplus. Chooses the smallest such copy.
// @return whether such a load is planned or under way
bool Planner::relocateFor(std::size_t model)
{
    const std::int64_t needed = m_input.models[model].memoryMb;
    std::size_t bestCopy = m_input.copies.size();
    std::size_t bestTarget = NoEngine;
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (!isCurrent(copy) || copy.model == model || !isServing(copy) || !engine.takesUnloads
            || !mayHost(copy.engine, model))
            continue;
        const std::int64_t gives = m_freeMb[copy.engine] + m_pendingFreeMb[copy.engine]
                + surplusMb(copy.engine, model) + (isRemovable(index) ? 0 : copy.memoryMb);
        const bool isSmaller =
                bestTarget == NoEngine || copy.memoryMb < m_input.copies[bestCopy].memoryMb;
        if (gives < needed || !isSmaller)
            continue;
        // A load of that model is already under way; this copy becomes surplus once it is ready.
        if (m_counts[copy.model].loadingCurrent > 0)
            return true;
        const std::size_t target = bestEngine(copy.model, false);
        if (target == NoEngine)
            continue;
        bestCopy = index;
        bestTarget = target;
    }
    if (bestTarget == NoEngine || !mayPlanLoad())
        return false;
    addLoad(bestTarget, m_input.copies[bestCopy].model, MoveReason::Relocate, 0.0);
    return true;
}

void Planner::unloadOldVersions()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        if (copy.model == UnpublishedModel || isCurrent(copy) || !mayPlanUnload())
            continue;
        const bool served = m_fill.unservedOf(copy.model) < MinGain;
        if (served && !isNeededForRollout(index) && isRemovable(index))
            addUnload(index, MoveReason::OldVersion);
    }
}

// Plans at most one load per plan, for a model whose copies are in fewer availability zones than
// its minimum number of copies allows.
void Planner::spreadZones()
{
    for (std::size_t model = 0; model < m_counts.size() && mayPlanLoad(); ++model) {
        const ModelCounts &counts = m_counts[model];
        const auto wanted =
                static_cast<std::size_t>(std::max(1, m_input.models[model].minReplicas));
        const auto used = static_cast<std::size_t>(
                std::count_if(counts.perZone.begin(), counts.perZone.end(),
                              [](const auto &zone) { return zone.second > 0; }));
        if (used == 0 || used >= std::min(wanted, m_zoneCount) || counts.loadingCurrent > 0)
            continue;
        const std::size_t engine = bestEngine(model, true);
        if (engine == NoEngine)
            continue;
        addLoad(engine, model, MoveReason::ZoneSpread, 0.0);
        return;
    }
}

} // namespace burdock
