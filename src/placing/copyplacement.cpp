#include "placing/copyplacement.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace burdock {

namespace {

constexpr std::uint64_t FirstTerm = 1;

/// A load that is not listed after this many times its usual duration has failed.
constexpr int LoadPatience = 4;
constexpr std::chrono::seconds LoadPatienceExtra { 3 };

} // namespace

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

void CopyPlacement::onReplica(const ReplicaInfo &info, Instant now)
{
    EngineRecord &engine = m_engines[info.id];
    if (engine.info.id != info.id || engine.info.startedMs != info.startedMs
        || engine.info.address != info.address) {
        restart(engine, info);
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
                || holdsCopy(info.models, entry.first);
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
        const Duration usual = model == nullptr ? Duration(0) : Duration(model->storeLoadTime);
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
        restart(engine, info);
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
            restart(engine, info); // another holder may have given orders since
        }
    }
    m_holder = holder;
    m_term = term;
}

// ---- What replicas can do -----------------------------------------------------------------------

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

// ---- Time ---------------------------------------------------------------------------------------

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
