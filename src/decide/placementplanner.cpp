#include "decide/placementplanner.h"

#include "decide/demandfill.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace burdock {

namespace {

// A gain below this share of a request per second is noise.
constexpr double MinimumGain = 1e-6;
// An eviction is likely to be paid for again by a later load.
constexpr double MovesOfAnEviction = 2.0;
// Models for which a plan searches the whole fleet for surplus copies that could give way.
constexpr std::size_t EvictionsTried = 8;
// A copy in a zone that has one already counts for this much less.
constexpr double ZonePenalty = 0.1;
constexpr std::size_t NoEngine = static_cast<std::size_t>(-1);

struct ModelCounts
{
    int readyCurrent = 0;               // firm copies of the published version
    int readyAll = 0;                   // firm copies of any version
    int comingCurrent = 0;              // loads under way of the published version
    std::vector<std::size_t> copies;    // indexes of all its copies
    std::map<std::string, int> perZone; // ready and coming copies of the published version
};

class Planner
{
public:
    explicit Planner(const PlacementInput &input);

    PlacementPlan run();

private:
    struct Eviction
    {
        std::size_t engine = NoEngine;   // where
        std::vector<std::size_t> copies; // what would go
        double loss = 0.0;               // served less without them
        bool enough = false;             // they make enough room
    };

    void count();
    void unloadUnpublished();
    void repair();
    void repairModel(std::size_t model);
    bool keepVanishing(std::size_t model);
    void findRoom(std::size_t model);
    bool relocateFor(std::size_t model);
    void unloadOldVersions();
    void spreadZones();
    void followDemand();
    std::size_t bestEngineForDemand(std::size_t model) const;
    bool worth(double gain, double moves) const;
    bool addForDemand(std::size_t model);
    Eviction cheapestEviction(std::size_t model, std::size_t engine) const;
    void evictForDemand(std::size_t model);

    bool isCurrent(const PlannerCopy &copy) const;
    bool isFirm(const PlannerCopy &copy) const;
    bool isRemovable(std::size_t copy) const;
    bool mayHost(std::size_t engine, std::size_t model) const;
    std::int64_t neededMb(std::size_t engine, std::size_t model) const;
    bool hasRoom(std::size_t engine, std::size_t model) const;
    int zoneCopies(std::size_t engine, std::size_t model) const;
    std::size_t bestEngine(std::size_t model, bool newZoneOnly) const;
    std::int64_t surplusMb(std::size_t engine, std::size_t exceptModel) const;
    void addLoad(std::size_t engine, std::size_t model, MoveReason reason, double gain);
    void addUnload(std::size_t copy, MoveReason reason);
    bool loadsLeft() const { return m_loads < m_input.settings.maxLoads; }
    bool unloadsLeft() const { return m_unloads < m_input.settings.maxUnloads; }

    const PlacementInput &m_input;
    PlacementPlan m_plan;
    std::vector<std::int64_t> m_freeMb;                       // of each engine
    std::vector<std::int64_t> m_comingMb;                     // of each engine
    std::vector<std::vector<std::size_t>> m_engineCopies;     // copies of each engine
    std::vector<ModelCounts> m_counts;                        // of each model
    std::vector<bool> m_removed;                              // copies with an unload planned
    std::set<std::pair<std::size_t, std::size_t>> m_occupied; // engine, model: no load there
    std::size_t m_zones = 0;                                  // zones with a serving engine
    std::size_t m_loads = 0;                                  // planned
    std::size_t m_unloads = 0;                                // planned
    DemandFill m_fill;
};

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
    count();
}

PlacementPlan Planner::run()
{
    m_plan.demand = m_fill.demand();
    m_plan.unserved = m_fill.unserved();
    unloadUnpublished();
    repair();
    unloadOldVersions();
    followDemand();
    spreadZones();
    return std::move(m_plan);
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

// A copy may go if the model keeps its wanted number of firm copies, and the published version at
// least one. Copies that are loading or may vanish do not count.
bool Planner::isRemovable(std::size_t index) const
{
    const PlannerCopy &copy = m_input.copies[index];
    const PlannerEngine &engine = m_input.engines[copy.engine];
    if (m_removed[index] || copy.pinned || !engine.serving || !engine.takesUnloads
        || copy.state != PlannerCopyState::Ready)
        return false;
    if (copy.model == UnpublishedModel)
        return true;
    const ModelCounts &counts = m_counts[copy.model];
    const int wanted = std::max(1, m_input.models[copy.model].minReplicas);
    if (isCurrent(copy))
        return !copy.recent && counts.readyCurrent - 1 >= wanted;
    return counts.readyCurrent >= 1 && counts.readyAll - 1 >= wanted;
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
        if (newZoneOnly && zone > 0)
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

// ---- Repair -------------------------------------------------------------------------------------

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
        if (m_input.copies[index].model != exceptModel && isRemovable(index))
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
        if (m_input.copies[index].model != model)
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
        if (served && isRemovable(index))
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
        if (!mayHost(engine, model) || !hasRoom(engine, model))
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
        if (m_input.copies[index].model != model && isRemovable(index))
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

} // namespace

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
