// The planning part of CopyPlacement: which copies are missing and which replicas load them.
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

// ---- Plan ---------------------------------------------------------------------------------------

struct CopyPlacement::ModelView
{
    const EngineModel *model = nullptr;
    double demand = 0.0;           // tokens per second
    bool isRequested = false;      // a request waits for the model
    int copies = 0;                // resident or being loaded; without copies being unloaded
    int ready = 0;                 // number of these copies that are resident
    int desired = 1;               // copies needed for the demand
    std::set<std::string> holders; // replicas that have the copies
};

struct CopyPlacement::Plan
{
    const ServingService *service = nullptr;
    const EngineLimits *limits = nullptr;
    std::vector<EngineRecord *> engines;          // replicas of the service that are not draining
    std::vector<ModelView> models;                // in the order of the configuration
    std::map<std::string, double> adapterDemand;  // tokens per second by "model/adapter"
    std::map<std::string, double> engineLoad;     // tokens per second by replica
    std::unordered_set<std::string> heldAdapters; // held by any replica, or ordered
    /// Replicas that must take adapters and therefore get no model loads.
    std::set<std::string> reservedForAdapters;

    /// @return demand for an adapter in tokens per second
    double demandOf(const std::string &model, const std::string &adapter) const
    {
        const auto demand = adapterDemand.find(copyName(model, adapter));
        return demand == adapterDemand.end() ? 0.0 : demand->second;
    }

    /// Counts a copy of the model on the replica, at most once per replica.
    /// @param isReady the copy is resident
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
    for (const auto &[key, request] : m_requestedCopies) {
        if (request.service != service.name)
            continue;
        if (ModelView *view = plan.find(request.model))
            view->isRequested = true;
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
        for (const auto &[model, expiresAt] : engine.loading)
            plan.count(engine, model, false);
        if (engine.openOrder && engine.openOrder->load && engine.openOrder->adapter.empty())
            plan.count(engine, engine.openOrder->model, false);
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
    collectHeldAdapters(plan);
    reserveForAdapters(plan, now);
    placeModels(plan, now);
    placeAdapters(plan, now);
}

void CopyPlacement::collectHeldAdapters(Plan &plan) const
{
    for (const EngineRecord *engine : plan.engines) {
        for (const auto *held : { &engine->info.models, &engine->reported }) {
            for (const ModelCopy &copy : *held) {
                for (const std::string &adapter : copy.adapters)
                    plan.heldAdapters.insert(copyName(copy.model, adapter));
            }
        }
        for (const auto &[name, orderedAt] : engine->pendingAdapters)
            plan.heldAdapters.insert(name);
    }
}

/// Excludes replicas from model loads if requests wait for an adapter that no other replica could
/// take: a model load makes its replica refuse all other orders for seconds.
void CopyPlacement::reserveForAdapters(Plan &plan, Instant now) const
{
    const auto canTake = [&](const EngineRecord &engine) {
        if (maxHeldAdapters(engine) < plan.limits->adapterSlots)
            return true;
        const auto loaded = loadedAdapters(engine, now);
        return std::any_of(loaded.begin(), loaded.end(), [&](const auto &held) {
            return plan.demandOf(held.first, held.second) < m_settings.idleAdapterDemand;
        });
    };
    for (const auto &[key, request] : m_requestedCopies) {
        if (request.service != plan.service->name || request.adapter.empty()
            || plan.heldAdapters.contains(copyName(request.model, request.adapter)))
            continue;
        const EngineRecord *only = nullptr;
        int holders = 0;
        for (const EngineRecord *engine : plan.engines) {
            if (listedCopy(*engine, request.model) == nullptr || !canTakeOrder(*engine)
                || !canTake(*engine))
                continue;
            only = engine;
            holders++;
        }
        if (holders == 1)
            plan.reservedForAdapters.insert(only->info.id);
    }
}

void CopyPlacement::placeModels(Plan &plan, Instant now)
{
    std::vector<ModelView *> order;
    for (ModelView &view : plan.models) {
        if (view.copies < view.desired)
            order.push_back(&view);
    }
    // Models without copies first, and among them those with requests or demand; then the models
    // with the highest demand per copy.
    std::stable_sort(order.begin(), order.end(), [](const ModelView *left, const ModelView *right) {
        const auto rank = [](const ModelView *view) {
            if (view->copies == 0)
                return view->isRequested || view->demand > 0.0 ? 0 : 1;
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
            evictForModel(plan, *view, now);
    }
}

bool CopyPlacement::placeModel(Plan &plan, ModelView &view, const char *reason, Instant now)
{
    LoadRateLimiter &limiter = m_loadLimiters[plan.service->name];
    const double loadSeconds = double(view.model->storeLoadTime.count()) / 1e3;
    const int maxLoads =
            std::max(2, static_cast<int>(std::ceil(plan.limits->loadsPerSecond * loadSeconds)));
    const bool canLoadFromStore =
            limiter.hasToken(now) && modelLoadsInProgress(plan.service->name) < maxLoads;

    EngineRecord *best = nullptr;
    double bestCost = 0.0;
    bool bestNeedsStore = true;
    for (EngineRecord *engine : plan.engines) {
        const std::string &id = engine->info.id;
        if (!canReceiveCopy(view, *engine, now) || plan.reservedForAdapters.contains(id)
            || freeMemory(*engine, *plan.limits, m_settings.usableMemoryShare)
                    < view.model->memoryMb)
            continue;
        const bool needsStore = loadsFromStore(*engine, view.model->name);
        if (needsStore && !canLoadFromStore)
            continue;
        int sameZone = 0;
        for (const EngineRecord *other : plan.engines) {
            if (other->info.zone == engine->info.zone && view.holders.contains(other->info.id))
                ++sameZone;
        }
        // Each copy that the zone already has costs a quarter of tokensPerCopy.
        const double cost = plan.engineLoad[id]
                + m_settings.tokensPerCopy
                        * (0.25 * sameZone + (needsStore ? m_settings.storeLoadPenalty : 0.0));
        if (best == nullptr || cost < bestCost) {
            best = engine;
            bestCost = cost;
            bestNeedsStore = needsStore;
        }
    }
    if (best == nullptr)
        return false;
    if (bestNeedsStore)
        limiter.takeToken(now);
    best->reservedFor.clear();
    EngineCommand command;
    command.model = view.model->name;
    send(*best, std::move(command), reason, view.demand, view.copies, now);
    best->openOrderUsesToken = bestNeedsStore;
    view.copies++;
    view.holders.insert(best->info.id);
    plan.engineLoad[best->info.id] += view.demand / view.copies;
    return true;
}

/// @return whether the replica may be ordered to load the model; does not check its memory
bool CopyPlacement::canReceiveCopy(const ModelView &view, const EngineRecord &engine,
                                   Instant now) const
{
    const std::string &model = view.model->name;
    const bool isReservedForOther = !engine.reservedFor.empty() && engine.reservedFor != model
            && now < engine.reservationExpiresAt;
    return canTakeOrder(engine) && !view.holders.contains(engine.info.id) && !isReservedForOther;
}

/// Unloads the copy whose loss costs least, so that the model fits on its replica.
/// @return whether an unload was ordered
bool CopyPlacement::evictForModel(Plan &plan, const ModelView &view, Instant now)
{
    const double modelDemandPerCopy = view.copies == 0 ? 0.0 : view.demand / view.copies;
    EngineRecord *best = nullptr;
    std::string victimModel;
    double bestCost = 0.0;
    const bool hasDemand = view.isRequested || view.demand > 0.0;
    for (const EngineRecord *engine : plan.engines) {
        if (engine->reservedFor == view.model->name && now < engine->reservationExpiresAt)
            return false; // a copy has been evicted for the model already
        const bool fitsInMemory = canReceiveCopy(view, *engine, now)
                && freeMemory(*engine, *plan.limits, m_settings.usableMemoryShare)
                        >= view.model->memoryMb;
        if (fitsInMemory)
            return false; // the model fits; the load only waits for the weight store's limits
    }
    for (EngineRecord *engine : plan.engines) {
        if (!canReceiveCopy(view, *engine, now)
            || plan.reservedForAdapters.contains(engine->info.id))
            continue;
        const double missing = view.model->memoryMb
                - freeMemory(*engine, *plan.limits, m_settings.usableMemoryShare);
        for (const ModelCopy &copy : engine->info.models) {
            const ModelView *victim = plan.find(copy.model);
            if (victim == nullptr || victim->model->memoryMb < missing || victim->ready < 2)
                continue;
            const auto evictable = engine->evictableAt.find(copy.model);
            const bool isProtected =
                    evictable != engine->evictableAt.end() && now < evictable->second;
            if (isProtected && view.copies > 0)
                continue;
            const double victimDemandPerCopy = victim->demand / victim->copies;
            const bool isSurplus = victim->copies > victim->desired;
            // A model without demand replaces only surplus copies.
            const bool isWorthEvicting = isSurplus || (view.copies == 0 && hasDemand)
                    || modelDemandPerCopy > m_settings.evictionDemandRatio * victimDemandPerCopy;
            if (!isWorthEvicting)
                continue;
            const bool needsStore = loadsFromStore(*engine, view.model->name);
            const double cost = victimDemandPerCopy + (isSurplus ? 0.0 : m_settings.tokensPerCopy)
                    + (needsStore ? m_settings.storeLoadPenalty * m_settings.tokensPerCopy : 0.0)
                    + double(copy.adapters.size()) - double(victim->copies);
            if (best == nullptr || cost < bestCost) {
                best = engine;
                victimModel = copy.model;
                bestCost = cost;
            }
        }
    }
    if (best == nullptr)
        return false;
    best->reservedFor = view.model->name;
    best->reservationExpiresAt = now + m_settings.reservationTime;
    EngineCommand command;
    command.load = false;
    command.model = victimModel;
    ModelView *victim = plan.find(victimModel);
    victim->copies--;
    victim->ready--;
    victim->holders.erase(best->info.id);
    m_actions.emplace_back(
            AnnounceCopyChange { best->info.id, victimModel, CopyChange::Unloading, {} });
    send(*best, std::move(command), "make_room", victim->demand, victim->copies + 1, now);
    return true;
}

// ---- Adapters -----------------------------------------------------------------------------------

void CopyPlacement::placeAdapters(Plan &plan, Instant now)
{
    for (const auto &[key, request] : m_requestedCopies) {
        if (request.service != plan.service->name || request.adapter.empty())
            continue;
        const EngineModel *model = findModel(*plan.limits, request.model);
        if (model != nullptr)
            placeAdapter(plan, *model, request.adapter, true, now);
    }
    preloadAdapters(plan, now);
}

/// Loads adapters that no request waits for, those with the highest demand first.
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
            if (plan.heldAdapters.contains(copy) || m_preloadAllowedAt.contains(copy))
                continue;
            missing.push_back({ view.model, adapter, plan.demandOf(view.model->name, adapter) });
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Missing &left, const Missing &right) {
        return left.demand > right.demand;
    });
    for (const Missing &each : missing) {
        if (openAdapterOrders() >= m_settings.maxOpenAdapterOrders)
            return;
        placeAdapter(plan, *each.model, each.adapter, false, now);
    }
}

/// @param isRequested a request waits for the adapter; if all slots are in use, an idle adapter is
///        evicted
/// @return whether the adapter is held or ordered
bool CopyPlacement::placeAdapter(Plan &plan, const EngineModel &model, const std::string &adapter,
                                 bool isRequested, Instant now)
{
    EngineRecord *best = nullptr;
    int bestCount = 0;
    for (EngineRecord *engine : plan.engines) {
        if (hasAdapter(*engine, model.name, adapter))
            return true;
        if (engine->openOrder && engine->openOrder->model == model.name
            && engine->openOrder->adapter == adapter)
            return true;
        if (listedCopy(*engine, model.name) == nullptr || !canTakeAdapter(*engine, now))
            continue;
        const int count = maxHeldAdapters(*engine);
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
        send(*best, std::move(command), isRequested ? "wanted" : "preload",
             plan.demandOf(model.name, adapter), 0, now);
        return true;
    }
    if (isRequested)
        evictIdleAdapter(plan, model, now);
    return false;
}

/// @return model and adapter names of all loaded adapters, listed or not
std::vector<std::pair<std::string, std::string>>
CopyPlacement::loadedAdapters(const EngineRecord &engine, Instant now) const
{
    std::vector<std::pair<std::string, std::string>> loaded;
    for (const ModelCopy &copy : engine.info.models) {
        for (const std::string &adapter : copy.adapters)
            loaded.emplace_back(copy.model, adapter);
    }
    for (const auto &[name, orderedAt] : engine.pendingAdapters) {
        const auto slash = name.find('/');
        if (now - orderedAt >= 2 * m_settings.adapterLoadTime && slash != std::string::npos)
            loaded.emplace_back(name.substr(0, slash), name.substr(slash + 1));
    }
    return loaded;
}

/// Unloads the idle adapter with the lowest demand, on the replicas that hold the model. Adapters
/// in use stay: a replica would refuse other orders until their last request has ended.
void CopyPlacement::evictIdleAdapter(Plan &plan, const EngineModel &model, Instant now)
{
    EngineRecord *best = nullptr;
    std::string victimModel;
    std::string victim;
    double lowestDemand = m_settings.idleAdapterDemand;
    for (EngineRecord *engine : plan.engines) {
        if (listedCopy(*engine, model.name) == nullptr || !canTakeAdapter(*engine, now))
            continue;
        for (const auto &[heldModel, held] : loadedAdapters(*engine, now)) {
            const double demand = plan.demandOf(heldModel, held);
            if (demand >= lowestDemand)
                continue;
            best = engine;
            victimModel = heldModel;
            victim = held;
            lowestDemand = demand;
        }
    }
    if (best == nullptr)
        return;
    const std::string copy = copyName(victimModel, victim);
    m_preloadAllowedAt[copy] = now + m_settings.preloadCooldown;
    m_actions.emplace_back(AnnounceCopyChange { best->info.id, copy, CopyChange::Unloading, {} });
    EngineCommand command;
    command.load = false;
    command.model = victimModel;
    command.adapter = victim;
    send(*best, std::move(command), "make_room", lowestDemand, 1, now);
}

} // namespace burdock
