#include "load/placementdriver.h"

#include "decide/demandtable.h"
#include "decide/placementplanner.h"

#include <algorithm>
#include <map>
#include <set>

namespace burdock {

using namespace std::chrono_literals;

namespace {

std::int64_t freeMb(const EngineView &engine)
{
    return engine.alive ? engine.memoryMb - engine.usedMb : 0;
}

bool holds(const std::vector<CopyRow> &copies, std::size_t engine, std::size_t model)
{
    return std::any_of(copies.begin(), copies.end(), [&](const CopyRow &each) {
        return each.engine == engine && each.model == model;
    });
}

/// @return the engine with room that has least assigned, or none
std::optional<std::size_t> bestEngine(const std::vector<EngineView> &engines,
                                      const std::vector<CopyRow> &copies, std::size_t model,
                                      std::int64_t memoryMb, const std::vector<double> &assigned)
{
    std::set<std::string> zones; // that have a copy
    for (const CopyRow &each : copies) {
        if (each.model == model)
            zones.insert(engines[each.engine].zone);
    }
    std::optional<std::size_t> best;
    const auto score = [&](std::size_t engine) {
        const bool sameZone = zones.count(engines[engine].zone) > 0;
        return assigned[engine] + (sameZone ? 1e6 : 0.0);
    };
    for (std::size_t engine = 0; engine < engines.size(); ++engine) {
        if (freeMb(engines[engine]) < memoryMb || holds(copies, engine, model))
            continue;
        if (!best || score(engine) < score(*best))
            best = engine;
    }
    return best;
}

} // namespace

// ---- Start --------------------------------------------------------------------------------------

std::vector<CopyRow> initialCopies(const DemandModels &models,
                                   const std::vector<EngineView> &engines)
{
    std::vector<EngineView> rows = engines;
    std::vector<double> assigned(rows.size());
    std::vector<CopyRow> copies;
    std::vector<int> count(models.size());
    const auto add = [&](std::size_t model) {
        const auto engine = bestEngine(rows, copies, model, models[model].memoryMb, assigned);
        if (!engine)
            return false;
        copies.push_back({ *engine, model, true, false, Instant() });
        rows[*engine].usedMb += models[model].memoryMb;
        count[model]++;
        assigned[*engine] += models[model].share / count[model];
        return true;
    };
    for (int copy = 0; copy < MinCopies; ++copy) {
        for (std::size_t model = 0; model < models.size(); ++model)
            add(model);
    }
    std::set<std::size_t> open; // models for which there may be room
    for (std::size_t model = 0; model < models.size(); ++model)
        open.insert(model);
    while (!open.empty()) {
        const std::size_t hottest = *std::max_element(
                open.begin(), open.end(), [&](std::size_t left, std::size_t right) {
                    return models[left].share / (1 + count[left])
                            < models[right].share / (1 + count[right]);
                });
        if (!add(hottest))
            open.erase(hottest);
    }
    return copies;
}

// ---- Static -------------------------------------------------------------------------------------

namespace {

class StaticPlacement : public PlacementDriver
{
public:
    explicit StaticPlacement(std::vector<CopyRow> initial)
        : m_initial(std::move(initial))
    {
    }

    std::vector<FleetMove> tick(const FleetView &view) override
    {
        std::vector<FleetMove> moves;
        for (const CopyRow &each : m_initial) {
            if (view.engines[each.engine].alive && !holds(view.copies, each.engine, each.model))
                moves.push_back({ true, each.engine, each.model });
        }
        return moves;
    }

private:
    std::vector<CopyRow> m_initial;
};

// ---- Reactive -----------------------------------------------------------------------------------

class ReactivePlacement : public PlacementDriver
{
public:
    explicit ReactivePlacement(const DemandModels &models)
        : m_models(models)
    {
    }

    std::vector<FleetMove> tick(const FleetView &view) override
    {
        constexpr double Hot = 0.5;  // of an engine's capacity, for one copy
        constexpr double Cold = 0.2; //
        const std::size_t models = m_models.size();
        std::vector<int> copies(models);
        std::vector<int> serving(models);
        std::vector<double> assigned(view.engines.size());
        for (const CopyRow &each : view.copies) {
            copies[each.model] += each.leaving ? 0 : 1;
            serving[each.model] += each.ready && !each.leaving ? 1 : 0;
        }
        for (const CopyRow &each : view.copies)
            assigned[each.engine] += view.demand[each.model] / std::max(1, copies[each.model]);

        std::vector<FleetMove> moves;
        for (std::size_t model = 0; model < models; ++model) {
            const double perCopy =
                    view.demand[model] / std::max(1, copies[model]) / view.engineCapacity;
            if (copies[model] >= MinCopies && perCopy < Hot)
                continue;
            const auto engine = bestEngine(view.engines, view.copies, model,
                                           m_models[model].memoryMb, assigned);
            if (engine)
                moves.push_back({ true, *engine, model });
            else if (view.loadsAvailable > 0)
                makeRoom(view, serving, Cold, moves);
        }
        return moves;
    }

private:
    void makeRoom(const FleetView &view, std::vector<int> &serving, double cold,
                  std::vector<FleetMove> &moves) const
    {
        for (const CopyRow &each : view.copies) {
            const double perCopy = view.demand[each.model] / std::max(1, serving[each.model] - 1)
                    / view.engineCapacity;
            if (!each.ready || each.leaving || serving[each.model] <= MinCopies || perCopy > cold)
                continue;
            moves.push_back({ false, each.engine, each.model });
            serving[each.model]--;
            return;
        }
    }

    DemandModels m_models;
};

// ---- Planned ------------------------------------------------------------------------------------

class PlannedPlacement : public PlacementDriver
{
public:
    PlannedPlacement(const DemandModels &models, double moveWeight)
        : m_models(models)
        , m_moveWeight(moveWeight)
        , m_demand(DemandSettings())
    {
    }

    std::vector<FleetMove> tick(const FleetView &view) override
    {
        DemandReport report { "all", {} };
        for (std::size_t model = 0; model < m_models.size(); ++model)
            report.models.push_back({ m_models[model].name, view.demand[model] });
        m_demand.onReport(report, view.now);
        m_demand.tick(view.now);

        std::map<std::string, std::size_t> index;
        for (std::size_t model = 0; model < m_models.size(); ++model)
            index[m_models[model].name] = model;
        std::vector<FleetMove> moves;
        for (const PlannedMove &each : plan(input(view)).moves)
            moves.push_back({ each.load, each.engine, index[each.model] });
        return moves;
    }

private:
    PlacementInput input(const FleetView &view) const
    {
        constexpr Duration KeepFor = 120s; // a copy that was just loaded stays this long
        PlacementInput made;
        made.settings.moveWeight = m_moveWeight;
        made.settings.maxLoads = static_cast<std::size_t>(view.loadsAvailable);
        for (const EngineView &each : view.engines) {
            PlannerEngine engine;
            engine.name = each.name;
            engine.zone = each.zone;
            engine.freeMb = freeMb(each);
            engine.capacity = view.engineCapacity;
            engine.serving = each.alive;
            made.engines.push_back(engine);
        }
        for (const DemandModel &each : m_models) {
            PlannerModel model;
            model.name = each.name;
            model.version = "1";
            model.memoryMb = each.memoryMb;
            model.minReplicas = MinCopies;
            model.demand = m_demand.demandOf(each.name);
            made.models.push_back(model);
        }
        for (const CopyRow &each : view.copies) {
            PlannerCopy copy;
            copy.engine = each.engine;
            copy.model = each.model;
            copy.modelName = m_models[each.model].name;
            copy.version = "1";
            copy.memoryMb = m_models[each.model].memoryMb;
            copy.state = each.leaving ? PlannerCopyState::Unreliable
                    : each.ready      ? PlannerCopyState::Ready
                                      : PlannerCopyState::Loading;
            copy.retained = each.ready && each.readySince != Instant()
                    && view.now - each.readySince < KeepFor;
            if (each.leaving)
                made.engines[each.engine].pendingFreeMb += copy.memoryMb;
            made.copies.push_back(copy);
        }
        return made;
    }

    DemandModels m_models;
    double m_moveWeight;
    DemandTable m_demand;
};

} // namespace

std::unique_ptr<PlacementDriver> makeStaticPlacement(std::vector<CopyRow> initial)
{
    return std::make_unique<StaticPlacement>(std::move(initial));
}

std::unique_ptr<PlacementDriver> makeReactivePlacement(const DemandModels &models)
{
    return std::make_unique<ReactivePlacement>(models);
}

std::unique_ptr<PlacementDriver> makePlannedPlacement(const DemandModels &models, double moveWeight)
{
    return std::make_unique<PlannedPlacement>(models, moveWeight);
}

} // namespace burdock
