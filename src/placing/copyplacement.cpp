#include "placing/copyplacement.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace burdock {

namespace {

/// A model load counts as failed if the model is not listed within LoadTimeoutFactor times its
/// duration from the weight store, plus LoadTimeoutMargin.
constexpr int LoadTimeoutFactor = 4;
constexpr std::chrono::seconds LoadTimeoutMargin { 3 };

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
    m_unplaced.clear();
    for (const auto &[name, service] : config.services) {
        if (!service.engine || service.engine->models.empty())
            continue;
        m_services[name] = service;
        LoadRateLimiterSettings limiter;
        limiter.loadsPerSecond = service.engine->loadsPerSecond;
        limiter.burst = m_settings.loadBurst
                + double(m_settings.loadBurstTime.count()) / 1e6 * service.engine->loadsPerSecond;
        m_loadLimiters[name].configure(limiter);
    }
    std::erase_if(m_workTimeServices,
                  [&](const std::string &name) { return !m_services.contains(name); });
}

void CopyPlacement::onReplica(const ReplicaInfo &info, Instant now)
{
    EngineRecord &engine = m_engines[info.id];
    if (engine.info.id != info.id || engine.info.startedMs != info.startedMs
        || engine.info.address != info.address) {
        if (const auto removed = m_removedOrders.extract(info.id))
            engine.orders = std::move(removed.mapped());
        resetRecord(engine, info);
        m_lastNewReplicaAt = now;
        if (m_firstReplicaAt == Instant {})
            m_firstReplicaAt = now;
        return;
    }
    const bool draining = engine.info.draining || info.draining;
    engine.info = info;
    engine.info.draining = draining;
    std::erase_if(engine.droppedAdapters, [&](const auto &entry) { return now >= entry.second; });
    for (ModelCopy &copy : engine.info.models) {
        std::erase_if(copy.adapters, [&](const std::string &adapter) {
            return engine.droppedAdapters.contains(copyName(copy.model, adapter));
        });
    }
    for (const ModelCopy &copy : info.models)
        engine.loading.erase(copy.model);
    std::erase_if(engine.unloading,
                  [&](const std::string &model) { return listedCopy(engine, model) == nullptr; });
    std::erase_if(engine.listableAt, [&](const auto &entry) { return now >= entry.second; });
    std::erase_if(engine.unloadingAdapters, [&](const auto &entry) {
        return !engine.listableAt.contains(entry.first) && !holdsCopy(info.models, entry.first);
    });
    for (auto &[claimant, claim] : engine.slotClaims) {
        if (!engine.unloadingAdapters.contains(claim.victim))
            claim.victim.clear();
    }
    std::erase_if(engine.evictableAt, [&](const auto &entry) { return now >= entry.second; });
    if (engine.listedModels != info.models) {
        engine.listedModels = info.models;
        engine.listingChangedAt = now;
    }
    std::erase_if(engine.pendingAdapters, [&](const auto &entry) {
        return now - entry.second >= m_settings.adapterListingTimeout
                || holdsCopy(info.models, entry.first);
    });
}

void CopyPlacement::onSourceReverted(Instant now)
{
    for (auto &[id, engine] : m_engines) {
        keepKnownCopies(engine);
        engine.reportedAt = Instant::max();
        engine.orders.setUnknown();
        engine.nextReportAt = now;
    }
}

void CopyPlacement::onReplicaRemoved(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end())
        return;
    if (found->second.orders.hasUnanswered())
        m_removedOrders[id] = std::move(found->second.orders);
    m_engines.erase(found);
}

void CopyPlacement::onReplicaLeaving(const std::string &id, std::uint64_t startedMs)
{
    const auto found = m_engines.find(id);
    if (found != m_engines.end() && found->second.info.startedMs == startedMs)
        found->second.info.draining = true;
}

void CopyPlacement::onDemand(const std::string &node, const std::vector<CopyDemand> &demand,
                             Instant now)
{
    m_demand.onReport(node, demand, m_settings.demandLifetime, now);
    expireDemand(now);
}

void CopyPlacement::onWorkTimeStated(const std::string &service)
{
    if (m_services.contains(service))
        m_workTimeServices.insert(service);
}

void CopyPlacement::onCopyRequest(const std::string &service, const std::string &model,
                                  const std::string &adapter, Instant now, Duration waited)
{
    m_requestedCopies[service + "/" + copyName(model, adapter)] = {
        service, model, adapter, now + m_settings.requestLifetime
    };
    if (adapter.empty())
        return;
    AdapterWait &wait =
            m_adapterWaits
                    .try_emplace({ service, copyName(model, adapter) }, AdapterWait { now, now })
                    .first->second;
    if (now < m_waitsKnownAt)
        wait.since = std::min<Instant>(wait.since, now - waited);
    wait.expiresAt = now + m_settings.adapterWaitLifetime;
}

void CopyPlacement::onOrderResult(const EngineCommand &command, OrderResult result, Instant now)
{
    const auto found = m_engines.find(command.replica);
    if (found == m_engines.end())
        return;
    EngineRecord &engine = found->second;
    const bool isOpen = engine.openOrder
            && engine.openOrder->ordersAccepted == command.ordersAccepted
            && engine.openOrder->model == command.model
            && engine.openOrder->adapter == command.adapter
            && engine.openOrder->load == command.load;
    if (!isOpen)
        return; // the order has timed out, or the replica has restarted
    engine.openOrder.reset();

    const bool isAdapterUnload = !command.load && !command.adapter.empty();
    const bool isUnloaded = result == OrderResult::AlreadyDone && isAdapterUnload;
    if (result != OrderResult::Accepted && !isUnloaded) {
        const bool isNotExecuted = result == OrderResult::Conflict || result == OrderResult::Invalid
                || result == OrderResult::Fenced || result == OrderResult::OtherReplica;
        if (isNotExecuted && engine.openOrderUsesToken)
            m_loadLimiters[engine.info.service].refundToken();
        if (result == OrderResult::Unanswered)
            engine.orders.onUnanswered(command, now + m_settings.lateOrderLifetime);
        engine.orders.setUnknown();
        engine.nextReportAt =
                result == OrderResult::Conflict ? now + m_settings.conflictReportDelay : now;
        return;
    }
    if (!isUnloaded)
        engine.orders.onAccepted(command);
    else if (!engine.orders.onAlreadyDone(command))
        engine.nextReportAt = now;
    engine.lastOrderAt = now;
    if (isAdapterUnload && !engine.openOrderClaimant.empty()) {
        // An adapter without requests is unloaded at once.
        const bool isInUse = result == OrderResult::Accepted;
        engine.slotClaims[engine.openOrderClaimant] = {
            isInUse ? copyName(command.model, command.adapter) : "", now,
            now + m_settings.reservationTime
        };
    }
    if (command.adapter.empty() && command.load) {
        const auto service = m_services.find(engine.info.service);
        const EngineModel *model = service == m_services.end()
                ? nullptr
                : findModel(*service->second.engine, command.model);
        const Duration expectedTime =
                model == nullptr ? Duration(0) : Duration(model->storeLoadTime);
        engine.loading[command.model] = now + expectedTime * LoadTimeoutFactor + LoadTimeoutMargin;
        m_actions.emplace_back(AnnounceCopyChange { engine.info.id, command.model,
                                                    CopyChange::Loading, loadTime(engine, model) });
        engine.evictableAt[command.model] = now + expectedTime + m_settings.minResidencyTime;
    } else if (command.adapter.empty()) {
        engine.unloading.insert(command.model);
        std::erase_if(engine.pendingAdapters, [&](const auto &entry) {
            return entry.first.starts_with(command.model + "/");
        });
        std::erase_if(engine.reported,
                      [&](const ModelCopy &copy) { return copy.model == command.model; });
    } else if (command.load) {
        const std::string copy = copyName(command.model, command.adapter);
        engine.pendingAdapters[copy] = now;
        engine.listableAt[copy] = now + m_settings.adapterListingTimeout;
        m_actions.emplace_back(AnnounceCopyChange { engine.info.id, copy, CopyChange::Usable,
                                                    m_settings.adapterLoadTime });
    } else if (result == OrderResult::Accepted) {
        // In use: it takes its slot until its requests have ended, which the listing shows.
        engine.unloadingAdapters.emplace(copyName(command.model, command.adapter), now);
    } else {
        const std::string copy = copyName(command.model, command.adapter);
        engine.pendingAdapters.erase(copy);
        engine.droppedAdapters[copy] = now + m_settings.adapterListingTimeout;
        for (auto *held : { &engine.info.models, &engine.reported }) {
            for (ModelCopy &each : *held) {
                if (each.model == command.model)
                    std::erase(each.adapters, command.adapter);
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
    engine.nextReportAt = now + m_settings.reportTimeout;
    engine.reportOpen = false;
    if (!report) {
        const int doublings = std::min(engine.failedReportRequests++, 3);
        engine.nextReportAt = now
                + std::min(m_settings.reportTimeout * (1 << doublings), m_settings.maxReportDelay);
        return;
    }
    engine.failedReportRequests = 0;
    if (engine.openOrder)
        return;
    if (report->startedMs != engine.info.startedMs) {
        ReplicaInfo info = engine.info; // restarted without models; its new listing is due
        info.startedMs = report->startedMs;
        info.models.clear();
        resetRecord(engine, info);
    }
    const bool mayBeStale = now - engine.lastOrderAt < m_settings.staleReportWindow;
    if (report->ordersAccepted < engine.orders.accepted() && mayBeStale)
        return; // a stale report; a later one will include the accepted orders
    engine.orders.onReport(*report);
    std::erase_if(engine.droppedAdapters,
                  [&](const auto &entry) { return holdsCopy(report->models, entry.first); });
    engine.reported = report->models;
    engine.reportedAt = now;
    // Ordered by an earlier holder, or by an order that took effect late.
    for (const std::string &copy : report->pendingAdapters) {
        if (engine.pendingAdapters.try_emplace(copy, now).second)
            m_actions.emplace_back(AnnounceCopyChange { replica, copy, CopyChange::Usable,
                                                        m_settings.adapterLoadTime });
    }
}

void CopyPlacement::setHolder(bool isHolder, std::uint64_t term, bool hasPredecessor, Instant now)
{
    if (isHolder && !m_isHolder && hasPredecessor) {
        m_demandKnownAt = now + m_settings.demandSettleTime;
        m_waitsKnownAt = now + m_settings.waitHandoverTime;
    }
    if (isHolder && (!m_isHolder || term != m_term)) {
        for (auto &[service, limiter] : m_loadLimiters)
            limiter.reset(now, !hasPredecessor);
        for (auto &[id, engine] : m_engines) {
            const ReplicaInfo info = engine.info;
            resetRecord(engine, info); // another holder may have issued orders since
        }
    }
    m_isHolder = isHolder;
    m_term = term;
}

// ---- Capacity for orders ------------------------------------------------------------------------

bool CopyPlacement::canTakeAdapter(const EngineRecord &engine, Instant now) const
{
    const auto inTransit = std::count_if(
            engine.pendingAdapters.begin(), engine.pendingAdapters.end(),
            [&](const auto &entry) { return now - entry.second < 2 * m_settings.adapterLoadTime; });
    return canTakeOrder(engine) && inTransit < m_settings.maxAdapterLoadsPerReplica;
}

// ---- Expiry -------------------------------------------------------------------------------------

void CopyPlacement::expireDemand(Instant now)
{
    if (now < m_nextDemandExpiry)
        return;
    m_nextDemandExpiry = now + m_settings.demandExpiryInterval;
    m_demand.expire(now);
}

void CopyPlacement::expire(Instant now)
{
    expireDemand(now);
    std::erase_if(m_requestedCopies,
                  [&](const auto &entry) { return now >= entry.second.expiresAt; });
    std::erase_if(m_heldBackLoads,
                  [&](const auto &entry) { return now >= entry.second.expiresAt; });
    std::erase_if(m_preloadAllowedAt, [&](const auto &entry) { return now >= entry.second; });
    for (auto &[id, orders] : m_removedOrders)
        orders.expire(now);
    std::erase_if(m_removedOrders, [](const auto &entry) { return !entry.second.hasUnanswered(); });
    int openReports = 0;
    for (auto &[id, engine] : m_engines) {
        if (engine.openOrder && now >= engine.openOrderDeadline) {
            engine.orders.onUnanswered(*engine.openOrder, now + m_settings.lateOrderLifetime);
            engine.openOrder.reset();
            engine.nextReportAt = now;
        }
        engine.orders.expire(now);
        if (std::erase_if(engine.loading, [&](const auto &entry) { return now >= entry.second; })
            > 0) {
            engine.orders.setUnknown(); // the load failed, or listings do not arrive
            engine.nextReportAt = now;
        }
        std::erase_if(engine.slotClaims,
                      [&](const auto &entry) { return now >= entry.second.expiresAt; });
        // A listing without a change since says nothing new: it may be that of an older copy, or of
        // a replica that cannot reach the registry.
        if (engine.listingChangedAt >= engine.reportedAt
            && now >= engine.reportedAt + m_settings.maxListingLag)
            engine.reported.clear();
        if (now >= engine.nextReportAt)
            engine.reportOpen = false;
        openReports += engine.reportOpen ? 1 : 0;
    }
    requestReports(openReports, now);
}

/// Requests reports of replicas whose number of orders is unknown, those with the longest wait
/// first.
void CopyPlacement::requestReports(int open, Instant now)
{
    std::vector<EngineRecord *> due;
    for (auto &[id, engine] : m_engines) {
        if (!engine.orders.isKnown() && !engine.info.draining && now >= engine.nextReportAt
            && m_services.contains(engine.info.service))
            due.push_back(&engine);
    }
    const auto room = static_cast<std::size_t>(std::max(0, m_settings.maxOpenReports - open));
    if (due.size() > room) {
        std::stable_sort(due.begin(), due.end(),
                         [](const EngineRecord *left, const EngineRecord *right) {
                             return left->nextReportAt < right->nextReportAt;
                         });
        due.resize(room);
    }
    for (EngineRecord *engine : due) {
        engine->nextReportAt = now + m_settings.reportTimeout;
        engine->reportOpen = true;
        m_actions.emplace_back(RequestReport { engine->info.id, engine->info.address });
    }
}

// ---- Orders -------------------------------------------------------------------------------------

void CopyPlacement::send(EngineRecord &engine, EngineCommand command, const char *reason,
                         double demand, int copies, Instant now)
{
    command.replica = engine.info.id;
    command.ordersAccepted = engine.orders.accepted();
    command.holder = m_settings.node;
    command.term = m_term;
    engine.openOrder = command;
    engine.openOrderDeadline = now + m_settings.orderTimeout;
    engine.openOrderUsesToken = false;
    engine.openOrderClaimant.clear();
    if (command.load)
        engine.droppedAdapters.erase(copyName(command.model, command.adapter));
    m_actions.emplace_back(
            SendCommand { std::move(command), engine.info.address, reason, demand, copies });
}

void CopyPlacement::tick(Instant now)
{
    if (!m_isHolder)
        return;
    expire(now);
    // Planning waits until the list of replicas is complete: models of replicas that are not listed
    // yet would count as missing.
    const bool isListComplete = now >= m_lastNewReplicaAt + m_settings.listSettleTime
            || now >= m_firstReplicaAt + m_settings.maxListWait;
    if (m_firstReplicaAt == Instant {} || !isListComplete)
        return;
    for (const auto &[name, service] : m_services)
        planService(service, now);
}

} // namespace burdock
