// The planning half of CopyPlacement: which copies are missing and where they go.
#include "placing/copyplacement.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace burdock {

namespace {

std::string adapterName(int number)
{
    return "a" + std::to_string(number);
}

} // namespace

// ---- Views --------------------------------------------------------------------------------------

struct CopyPlacement::ModelView
{
    const EngineModel *model = nullptr;
    double demand = 0.0;           // tokens a second
    bool wanted = false;           // a request waits for it
    int copies = 0;                // resident or coming, not leaving
    int ready = 0;                 // of these, resident
    int desired = 1;               // copies that the demand needs
    std::set<std::string> holders; // replicas of those copies
};

struct CopyPlacement::Plan
{
    const ServingService *service = nullptr;
    const EngineLimits *limits = nullptr;
    std::vector<EngineRecord *> engines;          // that may be ordered or hold something
    std::vector<ModelView> models;                // in the order of the configuration
    std::map<std::string, double> adapterDemand;  // "model/adapter"
    std::map<std::string, double> engineLoad;     // tokens a second by replica
    std::unordered_set<std::string> heldAdapters; // on any replica, or ordered
    std::set<std::string> keptFree; // replicas that have to take adapters, and no model

    /// @return tokens a second asked for of an adapter
    double demandOf(const std::string &model, const std::string &adapter) const
    {
        const auto demand = adapterDemand.find(copyName(model, adapter));
        return demand == adapterDemand.end() ? 0.0 : demand->second;
    }

    /// Counts a copy, once for each replica.
    void count(const EngineRecord &engine, const std::string &model, bool isReady)
    {
        ModelView *view = find(model);
        if (view == nullptr || engine.unloading.contains(model)
            || !view->holders.insert(engine.info.id).second)
            return;
        view->copies++;
        view->ready += isReady ? 1 : 0;
    }

    ModelView *find(const std::string &model)
    {
        const auto found = std::find_if(models.begin(), models.end(), [&](const ModelView &view) {
            return view.model->name == model;
        });
        return found == models.end() ? nullptr : &*found;
    }
};

CopyPlacement::Plan CopyPlacement::makePlan(const ServingService &service, Instant) const
{
    Plan plan;
    plan.service = &service;
    plan.limits = &*service.engine;
    for (const EngineModel &model : service.engine->models) {
        ModelView view;
        view.model = &model;
        plan.models.push_back(view);
    }
    for (const auto &[node, report] : m_demand) {
        for (const CopyDemand &demand : report.demand) {
            if (demand.service != service.name)
                continue;
            if (!demand.adapter.empty())
                plan.adapterDemand[copyName(demand.model, demand.adapter)] +=
                        demand.tokensPerSecond;
            else if (ModelView *view = plan.find(demand.model))
                view->demand += demand.tokensPerSecond;
        }
    }
    for (const auto &[key, want] : m_wants) {
        if (want.service != service.name)
            continue;
        if (ModelView *view = plan.find(want.model))
            view->wanted = true;
    }
    return plan;
}

void CopyPlacement::planService(const ServingService &service, Instant now)
{
    Plan plan = makePlan(service, now);
    for (auto &[id, engine] : m_engines) {
        if (engine.info.service != service.name || engine.info.draining)
            continue;
        plan.engines.push_back(&engine);
        for (const ModelCopy &copy : engine.info.models)
            plan.count(engine, copy.model, true);
        for (const auto &[model, until] : engine.loading)
            plan.count(engine, model, false);
        if (engine.open && engine.open->load && engine.open->adapter.empty())
            plan.count(engine, engine.open->model, false);
    }
    if (plan.engines.empty())
        return;
    for (ModelView &view : plan.models) {
        const double byDemand = std::ceil(view.demand / m_settings.tokensPerCopy);
        view.desired = std::max(1, static_cast<int>(byDemand));
        view.desired = std::min(view.desired, static_cast<int>(plan.engines.size()));
        for (const std::string &holder : view.holders)
            plan.engineLoad[holder] += view.demand / view.copies;
    }
    findHeldAdapters(plan);
    keepFreeForAdapters(plan, now);
    placeModels(plan, now);
    placeAdapters(plan, now);
}

void CopyPlacement::findHeldAdapters(Plan &plan) const
{
    for (const EngineRecord *engine : plan.engines) {
        for (const auto *held : { &engine->info.models, &engine->reported }) {
            for (const ModelCopy &copy : *held) {
                for (const std::string &adapter : copy.adapters)
                    plan.heldAdapters.insert(copyName(copy.model, adapter));
            }
        }
        for (const auto &[name, at] : engine->pendingAdapters)
            plan.heldAdapters.insert(name);
    }
}

/// A load of a model makes its replica refuse all other orders for seconds: not where requests wait
/// for an adapter that no other replica could take.
void CopyPlacement::keepFreeForAdapters(Plan &plan, Instant now) const
{
    const auto canTake = [&](const EngineRecord &engine) {
        if (adaptersOn(engine) < plan.limits->adapterSlots)
            return true;
        const auto settled = settledAdapters(engine, now);
        return std::any_of(settled.begin(), settled.end(), [&](const auto &held) {
            return plan.demandOf(held.first, held.second) < m_settings.adapterIdle;
        });
    };
    for (const auto &[key, want] : m_wants) {
        if (want.service != plan.service->name || want.adapter.empty()
            || plan.heldAdapters.contains(copyName(want.model, want.adapter)))
            continue;
        const EngineRecord *only = nullptr;
        int holders = 0;
        for (const EngineRecord *engine : plan.engines) {
            if (copyOn(*engine, want.model) == nullptr || !mayOrder(*engine) || !canTake(*engine))
                continue;
            only = engine;
            holders++;
        }
        if (holders == 1)
            plan.keptFree.insert(only->info.id);
    }
}

void CopyPlacement::placeModels(Plan &plan, Instant now)
{
    std::vector<ModelView *> order;
    for (ModelView &view : plan.models) {
        if (view.copies < view.desired)
            order.push_back(&view);
    }
    // Unreachable models first, those that somebody waits for before the rest; then the ones whose
    // copies are asked for most.
    std::stable_sort(order.begin(), order.end(), [](const ModelView *left, const ModelView *right) {
        const auto rank = [](const ModelView *view) {
            if (view->copies == 0)
                return view->wanted || view->demand > 0.0 ? 0 : 1;
            return 2;
        };
        if (rank(left) != rank(right))
            return rank(left) < rank(right);
        return left->demand / std::max(1, left->copies)
                > right->demand / std::max(1, right->copies);
    });
    for (ModelView *view : order) {
        const char *reason = view->copies == 0 ? "missing" : "demand";
        if (!placeModel(plan, *view, reason, now))
            makeRoom(plan, *view, now);
    }
}

bool CopyPlacement::placeModel(Plan &plan, ModelView &view, const char *reason, Instant now)
{
    LoadCeiling &ceiling = m_ceilings[plan.service->name];
    const double loadSeconds = double(view.model->storeLoadTime.count()) / 1e3;
    const int atOnce =
            std::max(2, static_cast<int>(std::ceil(plan.limits->loadsPerSecond * loadSeconds)));
    const bool storeFree = ceiling.mayLoad(now) && storeLoadsUnderWay(plan.service->name) < atOnce;

    EngineRecord *best = nullptr;
    double bestCost = 0.0;
    bool bestFromStore = true;
    for (EngineRecord *engine : plan.engines) {
        const std::string &id = engine->info.id;
        if (!isOpenFor(view, *engine, now) || plan.keptFree.contains(id)
            || freeMemory(*engine, *plan.limits, m_settings.memoryMargin) < view.model->memoryMb)
            continue;
        const bool fromStore = loadsFromStore(*engine, view.model->name);
        if (fromStore && !storeFree)
            continue;
        int sameZone = 0;
        for (const EngineRecord *other : plan.engines) {
            if (other->info.zone == engine->info.zone && view.holders.contains(other->info.id))
                ++sameZone;
        }
        // A copy in the zone already counts like a quarter of a copy's load.
        const double cost = plan.engineLoad[id]
                + m_settings.tokensPerCopy
                        * (0.25 * sameZone + (fromStore ? m_settings.storeLoadCost : 0.0));
        if (best == nullptr || cost < bestCost) {
            best = engine;
            bestCost = cost;
            bestFromStore = fromStore;
        }
    }
    if (best == nullptr)
        return false;
    if (bestFromStore)
        ceiling.onLoad(now);
    best->roomFor.clear();
    EngineCommand command;
    command.model = view.model->name;
    send(*best, std::move(command), reason, view.demand, view.copies, now);
    best->openTakesStoreLoad = bestFromStore;
    view.copies++;
    view.holders.insert(best->info.id);
    plan.engineLoad[best->info.id] += view.demand / view.copies;
    return true;
}

/// @return whether a copy of the model may be ordered there, memory apart
bool CopyPlacement::isOpenFor(const ModelView &view, const EngineRecord &engine, Instant now) const
{
    const std::string &model = view.model->name;
    const bool isKeptForOther =
            !engine.roomFor.empty() && engine.roomFor != model && now < engine.roomUntil;
    return mayOrder(engine) && !view.holders.contains(engine.info.id) && !isKeptForOther;
}

/// Takes out the copies that the demand needs least, on the one replica where that costs least.
bool CopyPlacement::makeRoom(Plan &plan, const ModelView &view, Instant now)
{
    const double need = view.copies == 0 ? 0.0 : view.demand / view.copies;
    EngineRecord *best = nullptr;
    std::string bestVictim;
    double bestCost = 0.0;
    const bool forDemand = view.wanted || view.demand > 0.0;
    for (const EngineRecord *engine : plan.engines) {
        if (engine->roomFor == view.model->name && now < engine->roomUntil)
            return false; // room is being made
        const bool hasRoom = isOpenFor(view, *engine, now)
                && freeMemory(*engine, *plan.limits, m_settings.memoryMargin)
                        >= view.model->memoryMb;
        if (hasRoom)
            return false; // it only waits for its turn at the weight store
    }
    for (EngineRecord *engine : plan.engines) {
        if (!isOpenFor(view, *engine, now) || plan.keptFree.contains(engine->info.id))
            continue;
        const double missing =
                view.model->memoryMb - freeMemory(*engine, *plan.limits, m_settings.memoryMargin);
        for (const ModelCopy &copy : engine->info.models) {
            const ModelView *victim = plan.find(copy.model);
            if (victim == nullptr || victim->model->memoryMb < missing || victim->ready < 2)
                continue;
            const auto keep = engine->keepUntil.find(copy.model);
            const bool isNew = keep != engine->keepUntil.end() && now < keep->second;
            if (isNew && view.copies > 0)
                continue;
            const double loss = victim->demand / victim->copies;
            const bool surplus = victim->copies > victim->desired;
            // A model that nobody asks for takes only places that nobody needs.
            const bool worthIt = surplus || (view.copies == 0 && forDemand)
                    || need > m_settings.surplusRatio * loss;
            if (!worthIt)
                continue;
            const bool fromStore = loadsFromStore(*engine, view.model->name);
            const double cost = loss + (surplus ? 0.0 : m_settings.tokensPerCopy)
                    + (fromStore ? m_settings.storeLoadCost * m_settings.tokensPerCopy : 0.0)
                    + double(copy.adapters.size()) - double(victim->copies);
            if (best == nullptr || cost < bestCost) {
                best = engine;
                bestVictim = copy.model;
                bestCost = cost;
            }
        }
    }
    if (best == nullptr)
        return false;
    best->roomFor = view.model->name;
    best->roomUntil = now + m_settings.roomKept;
    EngineCommand command;
    command.load = false;
    command.model = bestVictim;
    ModelView *victim = plan.find(bestVictim);
    victim->copies--;
    victim->ready--;
    victim->holders.erase(best->info.id);
    m_actions.emplace_back(CopyChanged { best->info.id, bestVictim, CopyChange::Leaving, {} });
    send(*best, std::move(command), "make_room", victim->demand, victim->copies + 1, now);
    return true;
}

// ---- Adapters -----------------------------------------------------------------------------------

void CopyPlacement::placeAdapters(Plan &plan, Instant now)
{
    for (const auto &[key, want] : m_wants) {
        if (want.service != plan.service->name || want.adapter.empty())
            continue;
        const EngineModel *model = findModel(*plan.limits, want.model);
        if (model != nullptr)
            placeAdapter(plan, *model, want.adapter, true, now);
    }
    preloadAdapters(plan, now);
}

/// Loads adapters that nobody waits for, those that are asked for most first.
void CopyPlacement::preloadAdapters(Plan &plan, Instant now)
{
    struct Missing
    {
        const EngineModel *model = nullptr;
        std::string adapter;
        double demand = 0.0;
    };
    std::vector<Missing> missing;
    for (const ModelView &view : plan.models) {
        for (int number = 1; view.ready > 0 && number <= view.model->adapters; ++number) {
            const std::string adapter = adapterName(number);
            const std::string copy = copyName(view.model->name, adapter);
            if (plan.heldAdapters.contains(copy) || m_noPreload.contains(copy))
                continue;
            missing.push_back({ view.model, adapter, plan.demandOf(view.model->name, adapter) });
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Missing &left, const Missing &right) {
        return left.demand > right.demand;
    });
    for (const Missing &each : missing) {
        if (adapterOrdersOpen() >= m_settings.adapterOrdersAtOnce)
            return;
        placeAdapter(plan, *each.model, each.adapter, false, now);
    }
}

/// @param wanted a request waits for it: an idle one gives way
bool CopyPlacement::placeAdapter(Plan &plan, const EngineModel &model, const std::string &adapter,
                                 bool wanted, Instant now)
{
    EngineRecord *best = nullptr;
    int bestCount = 0;
    for (EngineRecord *engine : plan.engines) {
        if (hasAdapter(*engine, model.name, adapter))
            return true;
        if (engine->open && engine->open->model == model.name && engine->open->adapter == adapter)
            return true;
        if (copyOn(*engine, model.name) == nullptr || !takesAdapters(*engine, now))
            continue;
        const int count = adaptersOn(*engine);
        if (count >= plan.limits->adapterSlots)
            continue;
        if (best == nullptr || count < bestCount) {
            best = engine;
            bestCount = count;
        }
    }
    if (best != nullptr) {
        EngineCommand command;
        command.model = model.name;
        command.adapter = adapter;
        send(*best, std::move(command), wanted ? "wanted" : "preload",
             plan.demandOf(model.name, adapter), 0, now);
        return true;
    }
    if (wanted)
        makeAdapterRoom(plan, model, now);
    return false;
}

/// @return model and adapter of those that are loaded, listed or not
std::vector<std::pair<std::string, std::string>>
CopyPlacement::settledAdapters(const EngineRecord &engine, Instant now) const
{
    std::vector<std::pair<std::string, std::string>> settled;
    for (const ModelCopy &copy : engine.info.models) {
        for (const std::string &adapter : copy.adapters)
            settled.emplace_back(copy.model, adapter);
    }
    for (const auto &[name, orderedAt] : engine.pendingAdapters) {
        const auto slash = name.find('/');
        if (now - orderedAt >= 2 * m_settings.adapterReady && slash != std::string::npos)
            settled.emplace_back(name.substr(0, slash), name.substr(slash + 1));
    }
    return settled;
}

/// Takes out the idle adapter that is asked for least, of the replicas that hold the model.
/// Adapters in use stay: a replica would refuse other orders until their last request has ended.
void CopyPlacement::makeAdapterRoom(Plan &plan, const EngineModel &model, Instant now)
{
    EngineRecord *best = nullptr;
    std::string victimModel;
    std::string victim;
    double least = m_settings.adapterIdle;
    for (EngineRecord *engine : plan.engines) {
        if (copyOn(*engine, model.name) == nullptr || !takesAdapters(*engine, now))
            continue;
        for (const auto &[heldModel, held] : settledAdapters(*engine, now)) {
            const double demand = plan.demandOf(heldModel, held);
            if (demand >= least)
                continue;
            best = engine;
            victimModel = heldModel;
            victim = held;
            least = demand;
        }
    }
    if (best == nullptr)
        return;
    const std::string copy = copyName(victimModel, victim);
    m_noPreload[copy] = now + m_settings.noPreloadFor;
    m_actions.emplace_back(CopyChanged { best->info.id, copy, CopyChange::Leaving, {} });
    EngineCommand command;
    command.load = false;
    command.model = victimModel;
    command.adapter = victim;
    send(*best, std::move(command), "make_room", least, 1, now);
}

} // namespace burdock
