#include "decide/planner.h"

#include <algorithm>
#include <tuple>

namespace burdock {

// ---- Repair -------------------------------------------------------------------------------------

// A copy with an overdue unload cannot be relied upon; ordering the unload anew gives its memory
// back. Not if it may be the last copy that serves.
void Planner::finishUnloads()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (copy.state != PlannerCopyState::Vanishing || !copy.stuck || copy.pinned
            || !engine.serving || !engine.takesUnloads || !unloadsLeft())
            continue;
        if (copy.model != UnpublishedModel && m_counts[copy.model].readyCurrent == 0)
            continue;
        m_plan.moves.push_back({ false, copy.engine, copy.modelName, copy.version, copy.memoryMb,
                                 MoveReason::FinishUnload, 0.0 });
        ++m_unloads;
        m_comingMb[copy.engine] += copy.memoryMb;
    }
}

void Planner::unloadUnpublished()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        if (m_input.copies[index].model == UnpublishedModel && isRemovable(index) && unloadsLeft())
            addUnload(index, MoveReason::Unpublished);
    }
}

void Planner::repair()
{
    std::vector<std::size_t> missing;
    for (std::size_t model = 0; model < m_counts.size(); ++model) {
        const ModelCounts &counts = m_counts[model];
        if (counts.readyCurrent + counts.comingCurrent
            < std::max(1, m_input.models[model].minReplicas))
            missing.push_back(model);
    }
    const auto urgency = [this](std::size_t model) {
        const ModelCounts &counts = m_counts[model];
        return std::tuple(counts.readyAll + counts.comingCurrent > 0,
                          counts.readyCurrent + counts.comingCurrent > 0,
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
    while (counts.readyCurrent + counts.comingCurrent < wanted && loadsLeft()) {
        if (keepVanishing(model))
            continue;
        const std::size_t engine = bestEngine(model, false);
        if (engine == NoEngine) {
            findRoom(model);
            return;
        }
        addLoad(engine, model, MoveReason::Repair, 0.0);
    }
}

// An unload that has not been carried out yet is revoked by a newer load of the same copy.
bool Planner::keepVanishing(std::size_t model)
{
    for (const std::size_t index : m_counts[model].copies) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (copy.state != PlannerCopyState::Vanishing || !copy.cancellable || !isCurrent(copy)
            || !engine.serving || !engine.takesLoads || m_removed[index])
            continue;
        m_removed[index] = true;
        const std::int64_t free = m_freeMb[copy.engine];
        addLoad(copy.engine, model, MoveReason::KeepVanishing, 0.0);
        m_freeMb[copy.engine] = free; // the copy has its memory already
        m_comingMb[copy.engine] -= copy.memoryMb;
        return true;
    }
    return false;
}

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

// No engine has room. Waits for room under way, or unloads surplus copies, or moves another model.
void Planner::findRoom(std::size_t model)
{
    const std::int64_t needed = m_input.models[model].memoryMb;
    std::size_t best = NoEngine;
    std::int64_t bestMissing = 0;
    for (std::size_t engine = 0; engine < m_input.engines.size(); ++engine) {
        if (!mayHost(engine, model))
            continue;
        const std::int64_t missing = needed - m_freeMb[engine] - m_comingMb[engine];
        if (missing <= 0) {
            m_comingMb[engine] -= needed - m_freeMb[engine];
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
        return std::tuple(m_fill.shareOf(left), left) < std::tuple(m_fill.shareOf(right), right);
    });
    for (const std::size_t index : victims) {
        // Each unload changes what may go, so it is asked again for each.
        if (bestMissing <= 0 || !unloadsLeft())
            break;
        if (!isRemovable(index))
            continue;
        bestMissing -= m_input.copies[index].memoryMb;
        addUnload(index, MoveReason::MakeRoom);
    }
    m_comingMb[best] = std::max<std::int64_t>(0, m_comingMb[best] - needed);
}

// Copies one model of a full engine elsewhere, so that it becomes surplus there.
bool Planner::relocateFor(std::size_t model)
{
    const std::int64_t needed = m_input.models[model].memoryMb;
    std::size_t bestCopy = m_input.copies.size();
    std::size_t bestTarget = NoEngine;
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        const PlannerEngine &engine = m_input.engines[copy.engine];
        if (!isCurrent(copy) || copy.model == model || !isFirm(copy) || !engine.takesUnloads
            || !mayHost(copy.engine, model))
            continue;
        const std::int64_t gives = m_freeMb[copy.engine] + m_comingMb[copy.engine]
                + surplusMb(copy.engine, model) + (isRemovable(index) ? 0 : copy.memoryMb);
        const bool smaller =
                bestTarget == NoEngine || copy.memoryMb < m_input.copies[bestCopy].memoryMb;
        if (gives < needed || !smaller)
            continue;
        // A copy of it is on its way already; the room comes with it.
        if (m_counts[copy.model].comingCurrent > 0)
            return true;
        const std::size_t target = bestEngine(copy.model, false);
        if (target == NoEngine)
            continue;
        bestCopy = index;
        bestTarget = target;
    }
    if (bestTarget == NoEngine || !loadsLeft())
        return false;
    addLoad(bestTarget, m_input.copies[bestCopy].model, MoveReason::Relocate, 0.0);
    return true;
}

void Planner::unloadOldVersions()
{
    for (std::size_t index = 0; index < m_input.copies.size(); ++index) {
        const PlannerCopy &copy = m_input.copies[index];
        if (copy.model == UnpublishedModel || isCurrent(copy) || !unloadsLeft())
            continue;
        const bool served = m_fill.unservedOf(copy.model) < MinimumGain;
        if (served && !servesRollout(index) && isRemovable(index))
            addUnload(index, MoveReason::OldVersion);
    }
}

void Planner::spreadZones()
{
    for (std::size_t model = 0; model < m_counts.size() && loadsLeft(); ++model) {
        const ModelCounts &counts = m_counts[model];
        const auto wanted =
                static_cast<std::size_t>(std::max(1, m_input.models[model].minReplicas));
        const auto used = static_cast<std::size_t>(
                std::count_if(counts.perZone.begin(), counts.perZone.end(),
                              [](const auto &zone) { return zone.second > 0; }));
        if (used == 0 || used >= std::min(wanted, m_zones) || counts.comingCurrent > 0)
            continue;
        const std::size_t engine = bestEngine(model, true);
        if (engine == NoEngine)
            continue;
        addLoad(engine, model, MoveReason::ZoneSpread, 0.0);
        return;
    }
}

} // namespace burdock
