#include "placing/copyplacement.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace burdock {

const char *orderAnswerName(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::AlreadySo:
        return "already_so";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::Invalid:
        return "invalid";
    case OrderAnswer::OtherReplica:
        return "other_replica";
    case OrderAnswer::Unanswered:
        return "unanswered";
    }
    return "unknown";
}

namespace {

bool contains(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

bool isListed(const std::vector<ModelCopy> &copies, const std::string &name)
{
    return std::any_of(copies.begin(), copies.end(), [&](const ModelCopy &copy) {
        return std::any_of(copy.adapters.begin(), copy.adapters.end(), [&](const auto &adapter) {
            return copyName(copy.model, adapter) == name;
        });
    });
}

std::string adapterName(int number)
{
    return "a" + std::to_string(number);
}

constexpr std::uint64_t FirstTerm = 1;

/// A load that is not listed after this many times its usual duration has failed.
constexpr int LoadPatience = 4;
constexpr std::chrono::seconds LoadPatienceExtra { 3 };

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

CopyPlacement::CopyPlacement(CopyPlacementSettings settings)
    : m_settings(std::move(settings))
{
}

std::vector<PlacingAction> CopyPlacement::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- Events -------------------------------------------------------------------------------------

void CopyPlacement::onConfig(const ServingConfig &config)
{
    m_services.clear();
    for (const auto &[name, service] : config.services) {
        if (!service.engine || service.engine->models.empty())
            continue;
        m_services[name] = service;
        LoadCeilingSettings ceiling;
        ceiling.loadsPerSecond = service.engine->loadsPerSecond;
        m_ceilings[name].configure(ceiling);
    }
}

/// A new process of a replica knows nothing of the orders to the one before.
void CopyPlacement::forget(EngineRecord &engine, const ReplicaInfo &info)
{
    engine = EngineRecord {};
    engine.info = info;
}

void CopyPlacement::onReplica(const ReplicaInfo &info, Instant now)
{
    EngineRecord &engine = m_engines[info.id];
    if (engine.info.id != info.id || engine.info.startedMs != info.startedMs
        || engine.info.address != info.address) {
        forget(engine, info);
        m_newReplicaAt = now;
        if (m_firstReplicaAt == Instant {})
            m_firstReplicaAt = now;
        return;
    }
    const bool draining = engine.info.draining || info.draining;
    engine.info = info;
    engine.info.draining = draining;
    for (const ModelCopy &copy : info.models)
        engine.loading.erase(copy.model);
    std::erase_if(engine.unloading,
                  [&](const std::string &model) { return copyOn(engine, model) == nullptr; });
    if (now >= engine.reportedUntil)
        engine.reported.clear();
    std::erase_if(engine.pendingAdapters, [&](const auto &entry) {
        return now - entry.second >= m_settings.adapterPending
                || isListed(info.models, entry.first);
    });
}

void CopyPlacement::onReplicaGone(const std::string &id)
{
    m_engines.erase(id);
}

void CopyPlacement::onDemand(const std::string &node, std::vector<CopyDemand> demand, Instant now)
{
    m_demand[node] = { std::move(demand), now + m_settings.demandFresh };
}

void CopyPlacement::onWant(const std::string &service, const std::string &model,
                           const std::string &adapter, Instant now)
{
    m_wants[service + "/" + copyName(model, adapter)] = { service, model, adapter,
                                                          now + m_settings.wantFresh };
}

void CopyPlacement::onOrderAnswer(const EngineCommand &command, OrderAnswer answer, Instant now)
{
    const auto found = m_engines.find(command.replica);
    if (found == m_engines.end())
        return;
    EngineRecord &engine = found->second;
    const bool isOpen = engine.open && engine.open->ordersAccepted == command.ordersAccepted
            && engine.open->model == command.model && engine.open->adapter == command.adapter
            && engine.open->load == command.load;
    if (!isOpen)
        return; // it was given up, or the replica has restarted
    engine.open.reset();

    const bool adapterOut = !command.load && !command.adapter.empty();
    const bool accepted = answer == OrderAnswer::Accepted
            || (answer == OrderAnswer::AlreadySo && adapterOut); // carried out on the spot
    if (!accepted) {
        const bool certainlyNot = answer == OrderAnswer::Conflict || answer == OrderAnswer::Invalid
                || answer == OrderAnswer::Fenced || answer == OrderAnswer::OtherReplica;
        if (certainlyNot && engine.openTakesStoreLoad)
            m_ceilings[engine.info.service].giveBack();
        engine.trusted = false;
        engine.reportAt = answer == OrderAnswer::Conflict ? now + m_settings.reportPause : now;
        return;
    }
    engine.ordersAccepted = command.ordersAccepted + 1;
    engine.lastOrderAt = now;
    if (command.adapter.empty() && command.load) {
        const auto service = m_services.find(engine.info.service);
        const EngineModel *model = service == m_services.end()
                ? nullptr
                : findModel(*service->second.engine, command.model);
        const Duration usual = model == nullptr ? Duration(0) : Duration(model->storeLoad);
        engine.loading[command.model] = now + usual * LoadPatience + LoadPatienceExtra;
        m_actions.emplace_back(CopyChanged { engine.info.id, command.model, CopyChange::Coming,
                                             loadTime(engine, model) });
        engine.keepUntil[command.model] = now + usual + m_settings.keepFor;
    } else if (command.adapter.empty()) {
        engine.unloading.insert(command.model);
        std::erase_if(engine.reported,
                      [&](const ModelCopy &copy) { return copy.model == command.model; });
    } else if (command.load) {
        const std::string copy = copyName(command.model, command.adapter);
        engine.pendingAdapters[copy] = now;
        m_actions.emplace_back(
                CopyChanged { engine.info.id, copy, CopyChange::Usable, m_settings.adapterReady });
    } else {
        engine.pendingAdapters.erase(copyName(command.model, command.adapter));
        for (auto *held : { &engine.info.models, &engine.reported }) {
            for (ModelCopy &copy : *held) {
                if (copy.model == command.model)
                    std::erase(copy.adapters, command.adapter);
            }
        }
    }
}

void CopyPlacement::onReport(const std::string &replica, const std::optional<EngineReport> &report,
                             Instant now)
{
    const auto found = m_engines.find(replica);
    if (found == m_engines.end())
        return;
    EngineRecord &engine = found->second;
    engine.reportAt = now + m_settings.reportTimeout;
    if (!report) {
        const int doublings = std::min(engine.reportsUnanswered++, 3);
        engine.reportAt = now
                + std::min(m_settings.reportTimeout * (1 << doublings), m_settings.reportPauseMost);
        return;
    }
    engine.reportsUnanswered = 0;
    if (engine.open)
        return;
    if (report->startedMs != engine.info.startedMs) {
        ReplicaInfo info = engine.info; // it restarted, empty; the listing has yet to say so
        info.startedMs = report->startedMs;
        info.models.clear();
        forget(engine, info);
    }
    const bool mayLag = now - engine.lastOrderAt < m_settings.lowerAccepted;
    if (report->ordersAccepted < engine.ordersAccepted && mayLag)
        return; // reports lag behind; a later one will show the orders
    engine.ordersAccepted = report->ordersAccepted;
    engine.reported = report->models;
    engine.reportedUntil = now + m_settings.listingLag;
    // While an order is carried out, the report does not say what will be held after it.
    engine.trusted = !report->busy;
}

void CopyPlacement::setHolder(bool holder, std::uint64_t term, Instant now)
{
    if (holder && (!m_holder || term != m_term)) {
        for (auto &[service, ceiling] : m_ceilings)
            ceiling.restart(now, term == FirstTerm);
        for (auto &[id, engine] : m_engines) {
            const ReplicaInfo info = engine.info;
            forget(engine, info); // another holder may have given orders since
        }
    }
    m_holder = holder;
    m_term = term;
}

// ---- What replicas hold -------------------------------------------------------------------------

const ModelCopy *CopyPlacement::copyOn(const EngineRecord &engine, const std::string &model)
{
    const auto found = std::find_if(engine.info.models.begin(), engine.info.models.end(),
                                    [&](const ModelCopy &copy) { return copy.model == model; });
    return found == engine.info.models.end() ? nullptr : &*found;
}

bool CopyPlacement::hasAdapter(const EngineRecord &engine, const std::string &model,
                               const std::string &adapter)
{
    if (engine.pendingAdapters.contains(copyName(model, adapter)))
        return true;
    const std::string name = copyName(model, adapter);
    return isListed(engine.info.models, name) || isListed(engine.reported, name);
}

int CopyPlacement::adaptersOn(const EngineRecord &engine)
{
    std::set<std::string> names;
    for (const ModelCopy &copy : engine.info.models) {
        for (const std::string &adapter : copy.adapters)
            names.insert(copyName(copy.model, adapter));
    }
    for (const ModelCopy &copy : engine.reported) {
        for (const std::string &adapter : copy.adapters)
            names.insert(copyName(copy.model, adapter));
    }
    for (const auto &[copy, until] : engine.pendingAdapters)
        names.insert(copy);
    if (engine.open && engine.open->load && !engine.open->adapter.empty())
        names.insert(copyName(engine.open->model, engine.open->adapter));
    return static_cast<int>(names.size());
}

bool CopyPlacement::loadsFromStore(const EngineRecord &engine, const std::string &model)
{
    return !contains(engine.info.inHostMemory, model) && !contains(engine.info.onDisk, model);
}

Duration CopyPlacement::loadTime(const EngineRecord &engine, const EngineModel *model)
{
    if (model == nullptr)
        return {};
    if (contains(engine.info.inHostMemory, model->name))
        return model->hostCopyLoad;
    return contains(engine.info.onDisk, model->name) ? model->localDiskLoad : model->storeLoad;
}

double CopyPlacement::freeMemory(const EngineRecord &engine, const EngineLimits &limits) const
{
    double used = 0.0;
    double adapterMb = 0.0;
    std::set<std::string> models;
    for (const ModelCopy &copy : engine.info.models)
        models.insert(copy.model);
    for (const ModelCopy &copy : engine.reported)
        models.insert(copy.model);
    for (const auto &[model, until] : engine.loading)
        models.insert(model);
    if (engine.open && engine.open->load && engine.open->adapter.empty())
        models.insert(engine.open->model);
    for (const std::string &name : models) {
        const EngineModel *model = findModel(limits, name);
        if (model == nullptr)
            return 0.0; // its size is not known: nothing may be added
        used += model->memoryMb;
    }
    for (const EngineModel &model : limits.models)
        adapterMb = std::max(adapterMb, model.adapterMb);
    used += adapterMb * limits.adapterSlots; // adapters may come at any time
    return limits.weightsMb * m_settings.memoryMargin - used;
}

bool CopyPlacement::mayOrder(const EngineRecord &engine) const
{
    // A replica carries out one load or unload of a model at a time.
    return !engine.info.draining && engine.trusted && !engine.open && engine.unloading.empty()
            && engine.loading.empty();
}

bool CopyPlacement::takesAdapters(const EngineRecord &engine, Instant now) const
{
    const auto inTransit = std::count_if(
            engine.pendingAdapters.begin(), engine.pendingAdapters.end(),
            [&](const auto &entry) { return now - entry.second < 2 * m_settings.adapterReady; });
    return mayOrder(engine) && inTransit < m_settings.adaptersInTransit;
}

int CopyPlacement::adapterOrdersOpen() const
{
    return static_cast<int>(std::count_if(m_engines.begin(), m_engines.end(), [](const auto &each) {
        return each.second.open && !each.second.open->adapter.empty();
    }));
}

int CopyPlacement::storeLoadsUnderWay(const std::string &service) const
{
    int count = 0;
    for (const auto &[id, engine] : m_engines) {
        if (engine.info.service != service)
            continue;
        count += static_cast<int>(engine.loading.size());
        if (engine.open && engine.open->load && engine.open->adapter.empty())
            ++count;
    }
    return count;
}

// ---- Plan ---------------------------------------------------------------------------------------

void CopyPlacement::expire(Instant now)
{
    std::erase_if(m_demand, [&](const auto &entry) { return now >= entry.second.until; });
    std::erase_if(m_wants, [&](const auto &entry) { return now >= entry.second.until; });
    std::erase_if(m_noPreload, [&](const auto &entry) { return now >= entry.second; });
    for (auto &[id, engine] : m_engines) {
        if (engine.open && now >= engine.openUntil) {
            engine.open.reset();
            engine.trusted = false;
            engine.reportAt = now;
        }
        if (std::erase_if(engine.loading, [&](const auto &entry) { return now >= entry.second; })
            > 0) {
            engine.trusted = false; // it failed, or the listing does not come through
            engine.reportAt = now;
        }
        if (!engine.trusted && !engine.info.draining && now >= engine.reportAt
            && m_services.contains(engine.info.service)) {
            engine.reportAt = now + m_settings.reportTimeout;
            m_actions.emplace_back(AskReport { id, engine.info.address });
        }
    }
}

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
    placeModels(plan, now);
    placeAdapters(plan, now);
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
    const double loadSeconds = double(view.model->storeLoad.count()) / 1e3;
    const int atOnce =
            std::max(2, static_cast<int>(std::ceil(plan.limits->loadsPerSecond * loadSeconds)));
    const bool storeFree = ceiling.mayLoad(now) && storeLoadsUnderWay(plan.service->name) < atOnce;

    EngineRecord *best = nullptr;
    double bestCost = 0.0;
    bool bestFromStore = true;
    for (EngineRecord *engine : plan.engines) {
        const std::string &id = engine->info.id;
        if (!mayOrder(*engine) || view.holders.contains(id)
            || isKeptForOther(*engine, view.model->name, now)
            || freeMemory(*engine, *plan.limits) < view.model->memoryMb)
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

bool CopyPlacement::isKeptForOther(const EngineRecord &engine, const std::string &model,
                                   Instant now) const
{
    return !engine.roomFor.empty() && engine.roomFor != model && now < engine.roomUntil;
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
        const bool hasRoom = mayOrder(*engine) && !view.holders.contains(engine->info.id)
                && !isKeptForOther(*engine, view.model->name, now)
                && freeMemory(*engine, *plan.limits) >= view.model->memoryMb;
        if (hasRoom)
            return false; // it only waits for its turn at the weight store
    }
    for (EngineRecord *engine : plan.engines) {
        if (!mayOrder(*engine) || view.holders.contains(engine->info.id)
            || isKeptForOther(*engine, view.model->name, now))
            continue;
        const double missing = view.model->memoryMb - freeMemory(*engine, *plan.limits);
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
    for (const ModelView &view : plan.models) {
        if (view.ready == 0)
            continue;
        for (int number = 1; number <= view.model->adapters; ++number) {
            if (adapterOrdersOpen() >= m_settings.adapterOrdersAtOnce)
                return;
            const std::string adapter = adapterName(number);
            const std::string copy = copyName(view.model->name, adapter);
            if (!plan.heldAdapters.contains(copy) && !m_noPreload.contains(copy))
                placeAdapter(plan, *view.model, adapter, false, now);
        }
    }
}

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
             plan.adapterDemand[copyName(model.name, adapter)], 0, now);
        return true;
    }
    if (wanted)
        makeAdapterRoom(plan, model, now);
    return false;
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
        for (const ModelCopy &copy : engine->info.models) {
            for (const std::string &each : copy.adapters) {
                const double demand = plan.adapterDemand[copyName(copy.model, each)];
                if (demand >= least)
                    continue;
                best = engine;
                victimModel = copy.model;
                victim = each;
                least = demand;
            }
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

// ---- Orders -------------------------------------------------------------------------------------

void CopyPlacement::send(EngineRecord &engine, EngineCommand command, const char *reason,
                         double demand, int copies, Instant now)
{
    command.replica = engine.info.id;
    command.ordersAccepted = engine.ordersAccepted;
    command.holder = m_settings.node;
    command.term = m_term;
    engine.open = command;
    engine.openUntil = now + m_settings.orderTimeout;
    engine.openTakesStoreLoad = false;
    m_actions.emplace_back(
            SendCommand { std::move(command), engine.info.address, reason, demand, copies });
}

void CopyPlacement::tick(Instant now)
{
    if (!m_holder)
        return;
    expire(now);
    // Models of replicas that are not listed yet would look missing.
    const bool isSettled = now >= m_newReplicaAt + m_settings.listSettles
            || now >= m_firstReplicaAt + m_settings.listWaitMost;
    if (m_firstReplicaAt == Instant {} || !isSettled)
        return;
    for (const auto &[name, service] : m_services)
        planService(service, now);
}

} // namespace burdock
