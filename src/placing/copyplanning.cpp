// The planning part of CopyPlacement: which copies are missing and which replicas load them.
#include "placing/copyplacement.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <map>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace burdock {

namespace {

std::string adapterName(int number)
{
    return "a" + std::to_string(number);
}

bool isAdapterOf(const EngineModel &model, const std::string &adapter)
{
    for (int number = 1; number <= model.adapters; ++number) {
        if (adapter == adapterName(number))
            return true;
    }
    return false;
}

} // namespace

// ---- Plan ---------------------------------------------------------------------------------------

/// What a model load on a replica takes from requests for adapters, the least first.
enum class CopyPlacement::AdapterRole {
    None,      // no request waits for an adapter that it could take
    OneOfMany, // requests wait, and other replicas take orders for adapters of that model
    LastFree,  // it is the last one that takes such orders now; requests wait, or there is demand
    OnlyCopy,  // and it has the only copy of that model
};

struct CopyPlacement::EngineView
{
    EngineRecord *record = nullptr;
    double freeMb = 0.0;              // left for models
    double load = 0.0;                // tokens per second
    bool takesOrders = false;         // see canTakeOrder()
    bool reservedForAdapters = false; // requests wait for adapters that only it could take now
    /// Demand for adapters that no other replica could take; in tokens per second.
    double adapterDemand = 0.0;
    AdapterRole adapterRole = AdapterRole::None;

    const std::string &id() const { return record->info.id; }
};

struct CopyPlacement::ModelView
{
    const EngineModel *model = nullptr;
    double demand = 0.0;               // tokens per second
    bool isRequested = false;          // a request waits for the model
    int copies = 0;                    // resident or being loaded; without copies being unloaded
    int ready = 0;                     // number of these copies that are resident
    int needed = 1;                    // copies for the demand
    int desired = 1;                   // the same and spare copies
    std::vector<EngineView *> holders; // replicas that have the copies
    std::vector<EngineView *> listed;  // replicas that list the model
    std::vector<EngineView *> warm;    // replicas that need not read the weight store to load it

    bool isHeldBy(const EngineView &engine) const { return contains(holders, &engine); }
    bool wantsOnlySpare() const { return copies >= needed; }
    bool needsStore(const EngineView &engine) const { return !contains(warm, &engine); }
    double demandPerCopy() const { return copies == 0 ? 0.0 : demand / copies; }

private:
    static bool contains(const std::vector<EngineView *> &engines, const EngineView *engine)
    {
        return std::find(engines.begin(), engines.end(), engine) != engines.end();
    }
};

/// What one planning pass works on. Each replica and model is looked at once to build it; after
/// that only models that lack copies are compared with replicas.
struct CopyPlacement::Plan
{
    explicit Plan(const ServingService &planned)
        : service(planned)
        , limits(*planned.engine)
        , catalog(limits)
    {
    }

    const ServingService &service;
    const EngineLimits &limits;
    ModelCatalog catalog;
    std::vector<EngineView> engines; // replicas of the service that are not draining
    std::vector<ModelView> models;   // in the order of the configuration
    std::unordered_map<std::string, double> adapterDemand; // tokens per second by "model/adapter"
    std::unordered_set<std::string> heldAdapters;          // held by any replica, or ordered
    std::map<std::string, const char *> unplaced;          // why copies got no load, for the log
    int loadsInProgress = 0;
    int openAdapterOrders = 0;
    bool fitsAllModels = true; // the replicas can hold a copy of each model at the same time

    /// @return demand for an adapter in tokens per second
    double demandOf(const std::string &model, const std::string &adapter) const
    {
        const auto demand = adapterDemand.find(copyName(model, adapter));
        return demand == adapterDemand.end() ? 0.0 : demand->second;
    }

    ModelView *find(std::string_view model)
    {
        const auto index = catalog.indexOf(model);
        return index ? &models[*index] : nullptr;
    }

    /// Counts a copy of the model on the replica, at most once per replica.
    /// @param isReady the copy is resident
    void count(EngineView &engine, const std::string &model, bool isReady)
    {
        ModelView *view = find(model);
        if (view == nullptr || engine.record->unloading.contains(model) || view->isHeldBy(engine))
            return;
        view->holders.push_back(&engine);
        view->copies++;
        view->ready += isReady ? 1 : 0;
    }
};

void CopyPlacement::addDemand(Plan &plan) const
{
    for (const auto &[key, demand] : m_demand.totals()) {
        if (demand.service != plan.service.name)
            continue;
        if (!demand.adapter.empty())
            plan.adapterDemand[copyName(demand.model, demand.adapter)] = demand.tokensPerSecond;
        else if (ModelView *view = plan.find(demand.model))
            view->demand = demand.tokensPerSecond;
    }
    for (const auto &[key, request] : m_requestedCopies) {
        if (request.service != plan.service.name)
            continue;
        if (ModelView *view = plan.find(request.model))
            view->isRequested = true;
    }
}

void CopyPlacement::addEngines(Plan &plan)
{
    for (auto &[id, engine] : m_engines) {
        if (engine.info.service != plan.service.name)
            continue;
        const bool isLoading = engine.openOrder && engine.openOrder->load;
        plan.loadsInProgress += static_cast<int>(engine.loading.size());
        plan.loadsInProgress += isLoading && engine.openOrder->adapter.empty() ? 1 : 0;
        plan.openAdapterOrders += engine.openOrder && !engine.openOrder->adapter.empty() ? 1 : 0;
        if (!engine.info.draining)
            plan.engines.push_back({ &engine });
    }
    for (EngineView &view : plan.engines) {
        const EngineRecord &engine = *view.record;
        view.freeMb = freeMemory(engine, plan.catalog, m_settings.usableMemoryShare);
        view.takesOrders = canTakeOrder(engine);
        for (const ModelCopy &copy : engine.info.models) {
            plan.count(view, copy.model, true);
            if (ModelView *model = plan.find(copy.model))
                model->listed.push_back(&view);
        }
        for (const auto &[model, expiresAt] : engine.loading)
            plan.count(view, model, false);
        if (engine.openOrder && engine.openOrder->load && engine.openOrder->adapter.empty())
            plan.count(view, engine.openOrder->model, false);
    }
}

void CopyPlacement::planService(const ServingService &service, Instant now)
{
    Plan plan(service);
    plan.models.resize(plan.limits.models.size());
    for (std::size_t index = 0; index < plan.models.size(); ++index)
        plan.models[index].model = &plan.limits.models[index];
    addDemand(plan);
    addEngines(plan);
    if (plan.engines.empty())
        return;
    setDesiredCopies(plan);
    for (ModelView &view : plan.models) {
        for (EngineView *holder : view.holders)
            holder->load += view.demand / view.copies;
    }
    plan.fitsAllModels = fitsAllModels(plan);
    collectHeldAdapters(plan);
    reserveForAdapters(plan, now);
    placeModels(plan, now);
    placeAdapters(plan, now);
    noteUnplaced(plan, now);
}

void CopyPlacement::setDesiredCopies(Plan &plan) const
{
    double rate = m_settings.tokensPerCopy;
    if (m_workTimeServices.contains(plan.service.name)) {
        double demand = 0.0;
        for (const ModelView &view : plan.models)
            demand += view.demand;
        const double used =
                demand / (m_settings.tokensPerReplica * static_cast<double>(plan.engines.size()));
        const double usedSpare = (used - m_settings.spareCapacityShare)
                / (m_settings.usedCapacityShare - m_settings.spareCapacityShare);
        rate = std::lerp(m_settings.spareTokensPerCopy, m_settings.tokensPerCopy,
                         std::clamp(usedSpare, 0.0, 1.0));
    }
    const auto copiesAt = [&](const ModelView &view, double tokensPerSecond) {
        const int byDemand = static_cast<int>(std::ceil(view.demand / tokensPerSecond));
        return std::clamp(byDemand, 1, static_cast<int>(plan.engines.size()));
    };
    for (ModelView &view : plan.models) {
        view.needed = copiesAt(view, m_settings.tokensPerCopy);
        view.desired = std::max(view.needed, copiesAt(view, rate));
    }
}

/// Notes the copies that this pass could not place: at once if the reason is new, else at
/// intervals.
void CopyPlacement::noteUnplaced(Plan &plan, Instant now)
{
    std::erase_if(m_unplaced, [&](const auto &entry) {
        return entry.first.first == plan.service.name
                && !plan.unplaced.contains(entry.first.second);
    });
    const auto replicas = static_cast<int>(
            std::count_if(plan.engines.begin(), plan.engines.end(),
                          [](const EngineView &engine) { return engine.takesOrders; }));
    for (const auto &[copy, reason] : plan.unplaced) {
        Unplaced &unplaced =
                m_unplaced
                        .try_emplace(std::pair(plan.service.name, copy), Unplaced { "", now, now })
                        .first->second;
        const bool isNew = unplaced.reason[0] == '\0';
        const Duration interval = unplaced.reason == std::string_view(reason)
                ? m_settings.unplacedNoteInterval
                : m_settings.minUnplacedNoteInterval;
        if (!isNew && now < unplaced.notedAt + interval)
            continue;
        unplaced.reason = reason;
        unplaced.notedAt = now;
        const ModelView *model = plan.find(copy);
        const auto adapter = plan.adapterDemand.find(copy);
        double demand = model == nullptr ? 0.0 : model->demand;
        if (adapter != plan.adapterDemand.end())
            demand = adapter->second;
        m_actions.emplace_back(NoteUnplaced { plan.service.name, copy, reason, demand, replicas,
                                              now - unplaced.since });
    }
}

/// By the mean size of the models: which of them share a replica is not known in advance.
bool CopyPlacement::fitsAllModels(const Plan &plan) const
{
    double modelsMb = 0.0;
    for (const ModelView &view : plan.models)
        modelsMb += view.model->memoryMb;
    const auto modelCount = static_cast<double>(plan.models.size());
    const double usableMb =
            plan.limits.weightsMb * m_settings.usableMemoryShare - plan.catalog.adapterSlotsMb();
    const double perReplica = std::floor(std::max(0.0, usableMb) * modelCount / modelsMb);
    return perReplica * static_cast<double>(plan.engines.size()) >= modelCount;
}

void CopyPlacement::collectHeldAdapters(Plan &plan) const
{
    for (const EngineView &view : plan.engines) {
        const EngineRecord &engine = *view.record;
        for (const auto *held : { &engine.info.models, &engine.reported }) {
            for (const ModelCopy &copy : *held) {
                for (const std::string &adapter : copy.adapters) {
                    std::string name = copyName(copy.model, adapter);
                    if (!engine.unloadingAdapters.contains(name))
                        plan.heldAdapters.insert(std::move(name));
                }
            }
        }
        for (const auto &[name, orderedAt] : engine.pendingAdapters)
            plan.heldAdapters.insert(name);
        if (engine.openOrder && engine.openOrder->load && !engine.openOrder->adapter.empty())
            plan.heldAdapters.insert(copyName(engine.openOrder->model, engine.openOrder->adapter));
    }
}

/// Notes which replicas requests for adapters depend on: a model load makes its replica refuse all
/// other orders for seconds. To be repeated after each such order.
void CopyPlacement::reserveForAdapters(Plan &plan, Instant now) const
{
    for (EngineView &engine : plan.engines) {
        engine.reservedForAdapters = false;
        engine.adapterDemand = 0.0;
        engine.adapterRole = AdapterRole::None;
    }
    const auto canTake = [&](const EngineRecord &engine) {
        if (maxHeldAdapters(engine) < plan.limits.adapterSlots)
            return true;
        const auto loaded = loadedAdapters(engine, now);
        return std::any_of(loaded.begin(), loaded.end(), [&](const auto &held) {
            return plan.demandOf(held.first, held.second) < m_settings.idleAdapterDemand;
        });
    };
    std::unordered_set<const ModelView *> waitedFor; // requests wait for adapters of these models
    for (const auto &[key, request] : m_requestedCopies) {
        const ModelView *model = request.service == plan.service.name && !request.adapter.empty()
                        && !plan.heldAdapters.contains(copyName(request.model, request.adapter))
                ? plan.find(request.model)
                : nullptr;
        if (model == nullptr)
            continue;
        waitedFor.insert(model);
        EngineView *only = nullptr;
        int holders = 0;
        for (EngineView *engine : model->listed) {
            if (!engine->takesOrders || !canTake(*engine->record))
                continue;
            only = engine;
            holders++;
        }
        if (holders == 1)
            only->reservedForAdapters = true;
    }
    std::unordered_map<const ModelView *, double> demandByModel;
    for (const auto &[copy, demand] : plan.adapterDemand) {
        if (const ModelView *model = plan.find(std::string_view(copy).substr(0, copy.find('/'))))
            demandByModel[model] += demand;
    }
    for (const ModelView *model : waitedFor)
        demandByModel.try_emplace(model, 0.0);
    for (const auto &[model, demand] : demandByModel) {
        const bool isWaitedFor = waitedFor.contains(model);
        const bool isNeeded = isWaitedFor || demand >= m_settings.idleAdapterDemand;
        const auto free = std::count_if(model->listed.begin(), model->listed.end(),
                                        [](const EngineView *each) { return each->takesOrders; });
        for (EngineView *engine : model->listed) {
            if (!engine->takesOrders)
                continue;
            AdapterRole role = isWaitedFor ? AdapterRole::OneOfMany : AdapterRole::None;
            if (free == 1) {
                engine->adapterDemand += demand;
                if (isNeeded)
                    role = model->copies <= 1 ? AdapterRole::OnlyCopy : AdapterRole::LastFree;
            }
            engine->adapterRole = std::max(engine->adapterRole, role);
        }
    }
}

/// @return whether the replica is kept free of a load of the model, for the sake of adapters
bool CopyPlacement::isReserved(const ModelView &view, const EngineView &engine, Instant now)
{
    const bool isForDemand = engine.adapterDemand >= m_settings.idleAdapterDemand
            && (view.copies > 0 || view.demand < engine.adapterDemand);
    if (!engine.reservedForAdapters && !isForDemand)
        return false;
    const HeldBackLoad &load = heldBackLoad(engine.record->info.service, view, now);
    return now < load.since
            + (view.copies == 0 ? m_settings.maxHeldBackTime : m_settings.maxHeldBackCopyTime);
}

// ---- Models -------------------------------------------------------------------------------------

void CopyPlacement::placeModels(Plan &plan, Instant now)
{
    std::vector<ModelView *> order;
    for (ModelView &view : plan.models) {
        if (view.copies < view.desired)
            order.push_back(&view);
    }
    noteMissing(plan, now);
    if (order.empty())
        return;
    for (EngineView &engine : plan.engines) {
        for (const auto *kept :
             { &engine.record->info.inHostMemory, &engine.record->info.onDisk }) {
            for (const std::string &model : *kept) {
                ModelView *view = plan.find(model);
                if (view != nullptr && (view->warm.empty() || view->warm.back() != &engine))
                    view->warm.push_back(&engine);
            }
        }
    }
    // Models without copies first, and among them those with requests or demand; then the models
    // with the highest demand per copy; spare copies last.
    std::stable_sort(order.begin(), order.end(), [](const ModelView *left, const ModelView *right) {
        const auto rank = [](const ModelView *view) {
            if (view->copies == 0)
                return view->isRequested || view->demand > 0.0 ? 0 : 1;
            return view->wantsOnlySpare() ? 3 : 2;
        };
        if (rank(left) != rank(right))
            return rank(left) < rank(right);
        return left->demand / std::max(1, left->copies)
                > right->demand / std::max(1, right->copies);
    });
    const auto noteMissingCopy = [&](const ModelView &view, const char *reason) {
        if (view.copies == 0 && (view.isRequested || view.demand > 0.0))
            plan.unplaced[view.model->name] = reason;
    };
    std::vector<const ModelView *> withoutMemory;
    for (ModelView *view : order) {
        if (now < m_demandKnownAt && !view->isRequested)
            continue;
        const char *reason = view->copies == 0 ? "missing" : "demand";
        const PlaceResult result = placeModel(plan, *view, reason, now);
        if (result == PlaceResult::NoMemory)
            withoutMemory.push_back(view);
        else if (result == PlaceResult::Waits)
            noteMissingCopy(*view, "load_limits");
    }
    // Models that nobody asks for come last: they replace surplus copies only.
    std::stable_partition(withoutMemory.begin(), withoutMemory.end(), [](const ModelView *view) {
        return view->isRequested || view->demand > 0.0;
    });
    for (const ModelView *view : withoutMemory)
        noteMissingCopy(*view, "no_memory");
    if (now < m_demandKnownAt)
        return;
    if (withoutMemory.size() > m_settings.maxEvictionsTried)
        withoutMemory.resize(m_settings.maxEvictionsTried);
    for (const ModelView *view : withoutMemory)
        noteMissingCopy(*view, evictForModel(plan, *view, now));
}

/// Keeps since when each model has been requested without having a copy.
void CopyPlacement::noteMissing(Plan &plan, Instant now)
{
    std::erase_if(m_missingSince, [&](const auto &entry) {
        const auto &[service, model] = entry.first;
        const ModelView *view = service == plan.service.name ? plan.find(model) : nullptr;
        return view != nullptr && (view->copies > 0 || (!view->isRequested && view->demand <= 0.0));
    });
    for (const auto &[key, request] : m_requestedCopies) {
        const ModelView *view =
                request.service == plan.service.name ? plan.find(request.model) : nullptr;
        if (view != nullptr && view->copies == 0)
            m_missingSince.emplace(std::pair(request.service, request.model), now);
    }
}

CopyPlacement::PlaceResult CopyPlacement::placeModel(Plan &plan, ModelView &view,
                                                     const char *reason, Instant now)
{
    LoadRateLimiter &limiter = m_loadLimiters[plan.service.name];
    const double loadSeconds = double(view.model->storeLoadTime.count()) / 1e3;
    const int maxLoads =
            std::max(2, static_cast<int>(std::ceil(plan.limits.loadsPerSecond * loadSeconds)));
    // A spare copy leaves the store the load of a copy that is needed a moment later.
    const double tokens = view.wantsOnlySpare() ? 2.0 : 1.0;
    const bool canLoadFromStore = limiter.hasTokens(tokens, now) && plan.loadsInProgress < maxLoads;

    std::map<std::string_view, int> copiesByZone;
    for (const EngineView *holder : view.holders)
        copiesByZone[holder->record->info.zone]++;
    const bool isOtherAnswering = canWaitForAnswer(plan, view, now);
    EngineView *best = nullptr;
    double bestCost = 0.0;
    bool bestNeedsStore = true;
    bool fits = false;
    for (EngineView &engine : plan.engines) {
        if (!canReceiveCopy(view, engine, now) || engine.freeMb < view.model->memoryMb)
            continue;
        const bool isKeptFree = isReserved(view, engine, now);
        fits = fits || !isKeptFree || engine.reservedForAdapters;
        AdapterRole maxRole = AdapterRole::OnlyCopy;
        if (isOtherAnswering)
            maxRole = AdapterRole::OneOfMany;
        if (view.wantsOnlySpare())
            maxRole = AdapterRole::None;
        if (isKeptFree || engine.adapterRole > maxRole)
            continue;
        const bool needsStore = view.needsStore(engine);
        if (needsStore && !canLoadFromStore)
            continue;
        const auto sameZone = copiesByZone.find(engine.record->info.zone);
        const int zoneCopies = sameZone == copiesByZone.end() ? 0 : sameZone->second;
        // Each copy that the zone already has costs a quarter of tokensPerCopy.
        const double cost = engine.load
                + m_settings.tokensPerCopy
                        * (0.25 * zoneCopies + (needsStore ? m_settings.storeLoadPenalty : 0.0));
        if (best == nullptr
            || std::pair(engine.adapterRole, cost) < std::pair(best->adapterRole, bestCost)) {
            best = &engine;
            bestCost = cost;
            bestNeedsStore = needsStore;
        }
    }
    if (best == nullptr)
        return fits ? PlaceResult::Waits : PlaceResult::NoMemory;
    if (bestNeedsStore)
        limiter.takeToken(now);
    best->record->reservedFor.clear();
    EngineCommand command;
    command.model = view.model->name;
    send(*best->record, std::move(command), reason, view.demand, view.copies, now);
    best->record->openOrderUsesToken = bestNeedsStore;
    best->takesOrders = false;
    best->freeMb -= view.model->memoryMb;
    plan.loadsInProgress++;
    view.copies++;
    view.holders.push_back(best);
    best->load += view.demand / view.copies;
    reserveForAdapters(plan, now);
    return PlaceResult::Ordered;
}

/// @return whether a replica that no requests for adapters depend on has memory for the model, and
///         takes orders again within a round trip. It is waited for, for a bounded time.
bool CopyPlacement::canWaitForAnswer(const Plan &plan, const ModelView &view, Instant now)
{
    const bool isAny =
            std::any_of(plan.engines.begin(), plan.engines.end(), [&](const EngineView &engine) {
                const EngineRecord &record = *engine.record;
                const bool isAdapterOrder = record.openOrder && !record.openOrder->adapter.empty();
                return isAdapterOrder && record.loading.empty() && record.unloading.empty()
                        && engine.adapterRole < AdapterRole::LastFree && !view.isHeldBy(engine)
                        && engine.freeMb >= view.model->memoryMb;
            });
    if (!isAny)
        return false;
    const HeldBackLoad &load = heldBackLoad(plan.service.name, view, now);
    return now < load.since + m_settings.maxAnswerWait;
}

/// @return the load of the model as one that is held back from now on, if it was not already
const CopyPlacement::HeldBackLoad &CopyPlacement::heldBackLoad(const std::string &service,
                                                               const ModelView &view, Instant now)
{
    HeldBackLoad &load =
            m_heldBackLoads.try_emplace({ service, view.model->name }, HeldBackLoad { now, now })
                    .first->second;
    load.expiresAt = now + m_settings.heldBackLoadLifetime;
    return load;
}

/// @return whether the replica may be ordered to load the model; does not check its memory
bool CopyPlacement::canReceiveCopy(const ModelView &view, const EngineView &engine,
                                   Instant now) const
{
    const EngineRecord &record = *engine.record;
    const bool isReservedForOther = !record.reservedFor.empty()
            && record.reservedFor != view.model->name && now < record.reservationExpiresAt;
    return engine.takesOrders && !isReservedForOther && !view.isHeldBy(engine);
}

/// @return whether the only copy of a model may make room for a requested model without one: never
///         if one copy of each fits; else if it is idle, or if callers have waited for long
bool CopyPlacement::mayReplaceLastCopy(const Plan &plan, const ModelView &view,
                                       const ModelView &victim, Instant now) const
{
    const bool isNeeded = view.isRequested || view.demand >= m_settings.idleModelDemand;
    if (plan.fitsAllModels || victim.isRequested || !isNeeded || view.copies > 0)
        return false;
    if (victim.demand < m_settings.idleModelDemand)
        return true;
    const auto since = m_missingSince.find(std::pair(plan.service.name, view.model->name));
    return since != m_missingSince.end() && now >= since->second + m_settings.maxMissingTime;
}

/// Unloads the copy whose loss costs least, so that the model fits on its replica.
/// @return the state of that for the log
const char *CopyPlacement::evictForModel(Plan &plan, const ModelView &view, Instant now)
{
    for (const EngineView &engine : plan.engines) {
        if (engine.record->reservedFor == view.model->name
            && now < engine.record->reservationExpiresAt)
            return "unload_pending"; // a copy has been evicted for the model already
    }
    const bool hasDemand = view.isRequested || view.demand > 0.0;
    EngineView *best = nullptr;
    ModelView *bestVictim = nullptr;
    double bestCost = 0.0;
    for (EngineView &engine : plan.engines) {
        if (!canReceiveCopy(view, engine, now) || isReserved(view, engine, now))
            continue;
        const double missing = view.model->memoryMb - engine.freeMb;
        const bool needsStore = view.needsStore(engine);
        for (const ModelCopy &copy : engine.record->info.models) {
            ModelView *victim = plan.find(copy.model);
            if (victim == nullptr || victim->model->memoryMb < missing || victim->ready < 1)
                continue;
            // A copy of a model with adapters takes its adapters with it: in simulated days, more
            // adapters were never served when spare copies replaced such copies.
            if (view.wantsOnlySpare() && victim->model->adapters > 0)
                continue;
            const bool isLast = victim->ready < 2;
            if (isProtected(*engine.record, copy.model, now) && (view.copies > 0 || isLast))
                continue;
            if (isLast && !mayReplaceLastCopy(plan, view, *victim, now))
                continue;
            const double victimDemandPerCopy = victim->demandPerCopy();
            // A spare copy replaces no other; copies that are needed replace spare ones.
            const bool isSurplus =
                    victim->copies > (view.wantsOnlySpare() ? victim->desired : victim->needed);
            // A model without demand replaces only surplus copies.
            const bool isWorthEvicting = isSurplus
                    || (!view.wantsOnlySpare()
                        && ((view.copies == 0 && hasDemand)
                            || view.demandPerCopy()
                                    > m_settings.evictionDemandRatio * victimDemandPerCopy));
            if (!isWorthEvicting)
                continue;
            const double cost = victimDemandPerCopy + (isSurplus ? 0.0 : m_settings.tokensPerCopy)
                    + (needsStore ? m_settings.storeLoadPenalty * m_settings.tokensPerCopy : 0.0)
                    + double(copy.adapters.size()) - double(victim->copies);
            if (best == nullptr
                || std::pair(engine.adapterRole, cost) < std::pair(best->adapterRole, bestCost)) {
                best = &engine;
                bestVictim = victim;
                bestCost = cost;
            }
        }
    }
    if (best == nullptr)
        return "no_victim";
    best->record->reservedFor = view.model->name;
    best->record->reservationExpiresAt = now + m_settings.reservationTime;
    best->takesOrders = false;
    EngineCommand command;
    command.load = false;
    command.model = bestVictim->model->name;
    bestVictim->copies--;
    bestVictim->ready--;
    std::erase(bestVictim->holders, best);
    m_actions.emplace_back(
            AnnounceCopyChange { best->id(), command.model, CopyChange::Unloading, {} });
    send(*best->record, std::move(command), "make_room", bestVictim->demand, bestVictim->copies + 1,
         now);
    reserveForAdapters(plan, now);
    return "unload_ordered";
}

// ---- Adapters -----------------------------------------------------------------------------------

void CopyPlacement::placeAdapters(Plan &plan, Instant now)
{
    forgetServedWaits(plan, now);
    placeClaimants(plan, now);
    const auto waitingSince = [&](const RequestedCopy *request) {
        const auto wait = m_adapterWaits.find(
                std::pair(request->service, copyName(request->model, request->adapter)));
        return wait == m_adapterWaits.end() ? now : wait->second.since;
    };
    std::vector<std::pair<Instant, const RequestedCopy *>> requests;
    for (const auto &[key, request] : m_requestedCopies) {
        if (request.service == plan.service.name && !request.adapter.empty())
            requests.emplace_back(waitingSince(&request), &request);
    }
    std::stable_sort(requests.begin(), requests.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    for (const auto &[since, request] : requests) {
        const bool mayReplaceUsed = now - since >= m_settings.maxAdapterWait;
        if (const ModelView *model = plan.find(request->model))
            placeAdapter(plan, *model, request->adapter,
                         mayReplaceUsed ? AdapterNeed::Overdue : AdapterNeed::Requested, now);
    }
    if (now >= m_demandKnownAt)
        preloadAdapters(plan, now);
}

void CopyPlacement::forgetServedWaits(const Plan &plan, Instant now)
{
    std::erase_if(m_adapterWaits, [&](const auto &entry) {
        const auto &[service, copy] = entry.first;
        return now >= entry.second.expiresAt
                || (service == plan.service.name && plan.heldAdapters.contains(copy));
    });
}

/// Loads the adapters for which slots were freed. Their requests may have been refused by now; when
/// their callers return, the adapter is there.
void CopyPlacement::placeClaimants(Plan &plan, Instant now)
{
    std::vector<std::pair<Instant, std::string>> claimants;
    for (const EngineView &engine : plan.engines) {
        std::erase_if(engine.record->slotClaims,
                      [&](const auto &entry) { return plan.heldAdapters.contains(entry.first); });
        for (const auto &[copy, claim] : engine.record->slotClaims)
            claimants.emplace_back(claim.claimedAt, copy);
    }
    std::sort(claimants.begin(), claimants.end());
    for (const auto &[claimedAt, copy] : claimants) {
        const auto slash = copy.find('/');
        const ModelView *model = plan.find(std::string_view(copy).substr(0, slash));
        if (model != nullptr && !plan.heldAdapters.contains(copy))
            loadAdapter(plan, *model, copy.substr(slash + 1), "claimed", now);
    }
}

/// Loads adapters that no request waits for, those with the highest demand first.
void CopyPlacement::preloadAdapters(Plan &plan, Instant now)
{
    struct Missing
    {
        const ModelView *model = nullptr;
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
            missing.push_back({ &view, adapter, plan.demandOf(view.model->name, adapter) });
        }
    }
    std::stable_sort(missing.begin(), missing.end(), [](const Missing &left, const Missing &right) {
        return left.demand > right.demand;
    });
    const int maxOpen = std::max(m_settings.maxOpenAdapterOrders,
                                 static_cast<int>(plan.engines.size())
                                         / m_settings.replicasPerOpenAdapterOrder);
    for (const Missing &each : missing) {
        if (plan.openAdapterOrders >= maxOpen)
            return;
        placeAdapter(plan, *each.model, each.adapter, AdapterNeed::None, now);
    }
}

/// @return whether the adapter is held or ordered
bool CopyPlacement::placeAdapter(Plan &plan, const ModelView &model, const std::string &adapter,
                                 AdapterNeed need, Instant now)
{
    const std::string copy = copyName(model.model->name, adapter);
    if (plan.heldAdapters.contains(copy))
        return true;
    if (!isAdapterOf(*model.model, adapter)) {
        plan.unplaced[copy] = "unknown_adapter";
        return false;
    }
    if (loadAdapter(plan, model, adapter, need == AdapterNeed::None ? "preload" : "wanted", now))
        return true;
    if (need != AdapterNeed::None)
        plan.unplaced[copy] = evictAdapter(plan, model, copy, need == AdapterNeed::Overdue, now);
    return false;
}

/// Orders the adapter to be loaded on the replica of its model with the most free slots.
/// @return whether a replica has a slot for it
bool CopyPlacement::loadAdapter(Plan &plan, const ModelView &model, const std::string &adapter,
                                const char *reason, Instant now)
{
    const std::string copy = copyName(model.model->name, adapter);
    EngineView *best = nullptr;
    int bestCount = 0;
    for (EngineView *engine : model.listed) {
        if (!engine->takesOrders || !canTakeAdapter(*engine->record, now)
            || engine->record->unloadingAdapters.contains(copy))
            continue;
        const int count =
                maxHeldAdapters(*engine->record) + slotsClaimedByOthers(*engine->record, copy, now);
        if (count >= plan.limits.adapterSlots)
            continue;
        if (best == nullptr || count < bestCount) {
            best = engine;
            bestCount = count;
        }
    }
    if (best == nullptr)
        return false;
    EngineCommand command;
    command.model = model.model->name;
    command.adapter = adapter;
    send(*best->record, std::move(command), reason, plan.demandOf(model.model->name, adapter), 0,
         now);
    if (reason != std::string_view("preload"))
        best->record->evictableAt[copy] =
                now + m_settings.adapterLoadTime + m_settings.minAdapterResidencyTime;
    best->takesOrders = false;
    plan.openAdapterOrders++;
    plan.heldAdapters.insert(copy);
    return true;
}

/// @return model and adapter names of all loaded adapters, listed or not, that stay loaded
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
    std::erase_if(loaded, [&](const auto &held) {
        return engine.unloadingAdapters.contains(copyName(held.first, held.second));
    });
    return loaded;
}

/// Unloads the adapter with the lowest demand, on the replicas that hold the model.
/// @param claimant "model/adapter" that the slot is freed for
/// @param mayBeInUse it need not be idle; its slot is free once its last request has ended
/// @return the state of that for the log
const char *CopyPlacement::evictAdapter(Plan &plan, const ModelView &model,
                                        const std::string &claimant, bool mayBeInUse, Instant now)
{
    if (model.listed.empty())
        return "model_not_resident";
    for (const EngineView *engine : model.listed) {
        const auto claim = engine->record->slotClaims.find(claimant);
        if (claim != engine->record->slotClaims.end()
            && now < claim->second.claimedAt + m_settings.maxAdapterUnloadWait)
            return "unload_pending";
    }
    EngineView *best = nullptr;
    bool isAnyFree = false; // to take orders
    std::string victimModel;
    std::string victim;
    const bool isSlotComing =
            std::any_of(model.listed.begin(), model.listed.end(), [&](const EngineView *engine) {
                const auto &unloading = engine->record->unloadingAdapters;
                return std::any_of(unloading.begin(), unloading.end(), [&](const auto &entry) {
                    return now < entry.second + m_settings.maxAdapterUnloadWait;
                });
            });
    double lowestDemand = mayBeInUse && !isSlotComing ? std::numeric_limits<double>::max()
                                                      : m_settings.idleAdapterDemand;
    for (EngineView *engine : model.listed) {
        if (!engine->takesOrders || !canTakeAdapter(*engine->record, now))
            continue;
        isAnyFree = true;
        for (const auto &[heldModel, held] : loadedAdapters(*engine->record, now)) {
            const double demand = plan.demandOf(heldModel, held);
            if (demand >= lowestDemand
                || isProtected(*engine->record, copyName(heldModel, held), now))
                continue;
            best = engine;
            victimModel = heldModel;
            victim = held;
            lowestDemand = demand;
        }
    }
    if (best == nullptr)
        return isAnyFree ? "adapters_in_use" : "replicas_busy";
    const std::string copy = copyName(victimModel, victim);
    m_preloadAllowedAt[copy] = now + m_settings.preloadCooldown;
    m_actions.emplace_back(AnnounceCopyChange { best->id(), copy, CopyChange::Unloading, {} });
    EngineCommand command;
    command.load = false;
    command.model = victimModel;
    command.adapter = victim;
    send(*best->record, std::move(command), "make_room", lowestDemand, 1, now);
    best->record->openOrderClaimant = claimant;
    best->takesOrders = false;
    return "unload_ordered";
}

} // namespace burdock
