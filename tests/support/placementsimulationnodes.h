// Processes and message delivery of PlacementSimulation. Included by placementsimulation.h.
#pragma once

#include "support/placementsimulation.h"

namespace burdock::testing {

inline void PlacementSimulation::schedule(Instant when, std::function<void()> run)
{
    m_events.push({ when, ++m_eventCount, std::move(run) });
}

// ---- Time ---------------------------------------------------------------------------------------

inline void PlacementSimulation::step()
{
    const Instant end = m_now + TickInterval;
    while (!m_events.empty() && m_events.top().at <= end) {
        const Event event = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, event.at);
        event.run();
    }
    m_now = end;
    for (auto &node : m_nodes)
        tickNode(*node);
    checkNow();
}

inline void PlacementSimulation::tickNode(Node &node)
{
    if (!node.alive || m_now < node.suspendedUntil)
        return;
    // A resumed process first completes the work at which it was suspended.
    while (!node.onResume.empty()) {
        const auto run = node.onResume.front();
        node.onResume.pop_front();
        run();
    }
    if (m_now.time_since_epoch() % 1s == Duration(0)) {
        DemandReport report { node.name, {} };
        for (const auto &[model, demand] : m_demand)
            report.models.push_back({ model, demand });
        node.placement->onDemand(report, m_now);
        sendVmList(node);
    }
    if (node.placement->owns())
        pollEngines(node);
    node.placement->tick(m_now);
    executeActions(node);
    if (node.stopping && !node.placement->owns()) {
        node.stopping = false;
        kill(node);
    }
}

// ---- Processes ----------------------------------------------------------------------------------

inline void PlacementSimulation::startNode(Node &node)
{
    PlacementSettings settings;
    settings.region = "region";
    settings.node = node.name;
    settings.incarnation = ++node.incarnation;
    settings.unfencedPolicy = m_options.unfencedPolicy;
    settings.lease = { 4s, 3s, 1s, 1s, 5s, 1s, 500ms };
    settings.journal = { 1s, 250ms };
    settings.demand = { 1s, 3s, 3s };
    settings.planInterval = 500ms;
    settings.warmUp = 1'500ms;
    settings.maxReportAge = MaxReportAge;
    settings.orderTimeout = 2s;
    settings.loadTimeout = 11s;
    settings.minResidency = 2s;
    settings.unpublishGrace = 4s;
    settings.retireDelay = 4s;
    settings.preloadAdapters = false;
    node.placement = std::make_unique<Placement>(settings);
    node.placement->onControlNodes({ "control-0", "control-1", "control-2" }, m_now);
    node.placement->onCatalog(m_catalogs.back());
    node.catalogRevision = m_catalogs.back().revision;
    node.alive = true;
    node.suspendedUntil = Instant {};
    node.onResume.clear();
    node.loadsSent.clear();
}

inline void PlacementSimulation::kill(Node &node)
{
    if (!node.alive)
        return;
    trace("KILL", node.name);
    node.alive = false;
    schedule(m_now + 2s, [this, &node] { startNode(node); });
}

inline void PlacementSimulation::executeActions(Node &node)
{
    for (const PlacementAction &action : node.placement->takeActions()) {
        if (node.alive)
            execute(node, action);
    }
}

// Passes a response to the process that made the call, unless that incarnation has been killed.
inline void PlacementSimulation::deliver(Node &node, const std::function<void(Node &)> &run)
{
    const auto handle = [this, &node, run, incarnation = node.incarnation] {
        if (!node.alive || node.incarnation != incarnation)
            return;
        run(node);
        executeActions(node);
    };
    if (m_now < node.suspendedUntil)
        node.onResume.push_back(handle);
    else
        handle();
}

inline void PlacementSimulation::applySenderFault(Node &node, const Delivery &delivery)
{
    if (delivery.killAfter)
        kill(node);
    if (delivery.suspendAfter) {
        trace("SUSPEND", node.name);
        node.suspendedUntil = m_now + SuspensionTime;
        node.wasSuspended = true;
    }
}

// ---- Messages -----------------------------------------------------------------------------------

// Injects the faults that are due at the step and delivers the message accordingly.
inline void PlacementSimulation::send(Node &node, PlacementStep step, const std::string &engine,
                                      const std::function<void(const Delivery &)> &arrive)
{
    const Delivery delivery = injectFaults(step, &node, engine);
    if (!delivery.lost)
        schedule(m_now + delivery.delay, [arrive, delivery] { arrive(delivery); });
    if (delivery.duplicated)
        schedule(m_now + delivery.delay + 2s + std::chrono::milliseconds(m_random.below(5'000)),
                 [arrive, delivery] { arrive(delivery); });
    applySenderFault(node, delivery);
}

inline void PlacementSimulation::execute(Node &node, const PlacementAction &action)
{
    // An earlier action of the same batch suspended the process: it sends the rest when it resumes.
    if (m_now < node.suspendedUntil) {
        node.onResume.push_back([this, &node, action] { execute(node, action); });
        return;
    }
    if (const auto *read = std::get_if<LeaseRead>(&action))
        callLease(node, *read);
    else if (const auto *write = std::get_if<LeaseWrite>(&action))
        callLease(node, *write);
    else if (const auto *journalRead = std::get_if<JournalRead>(&action))
        callJournal(node, *journalRead);
    else if (const auto *journalWrite = std::get_if<JournalWrite>(&action))
        callJournal(node, *journalWrite);
    else if (const auto *order = std::get_if<SendEngineOrder>(&action);
             order != nullptr && !m_options.ablations.sendBeforeJournal)
        sendOrder(node, order->order);
}

template <typename Write, typename Value>
WriteOutcome PlacementSimulation::writeObject(const Write &write, std::uint64_t &version,
                                              Value &value)
{
    if (m_now < m_storeUnavailableUntil)
        return WriteOutcome::Unavailable;
    if (write.expectedVersion != version && !m_options.ablations.unconditionalWrites)
        return WriteOutcome::Conflict;
    ++version;
    value = write.value;
    return WriteOutcome::Done;
}

inline void PlacementSimulation::callLease(Node &node, const LeaseAction &action)
{
    if (isPartitioned(node.zone))
        return;
    if (const auto *read = std::get_if<LeaseRead>(&action)) {
        const bool available = m_now >= m_storeUnavailableUntil;
        const LeaseReadResult result { read->callId, available, m_leaseVersion, m_lease };
        schedule(m_now + 5ms, [this, &node, result] {
            deliver(node,
                    [this, result](Node &self) { self.placement->onLeaseRead(result, m_now); });
        });
        return;
    }
    const auto write = std::get<LeaseWrite>(action);
    const bool renews = write.value.term == m_lease.term;
    send(node, renews ? PlacementStep::LeaseRenew : PlacementStep::LeaseTake, "",
         [this, &node, write](const Delivery &delivery) {
             const WriteOutcome status = writeObject(write, m_leaseVersion, m_lease);
             const LeaseWriteResult result { write.callId, status, m_leaseVersion };
             if (delivery.responseLost)
                 return;
             deliver(node,
                     [this, result](Node &self) { self.placement->onLeaseWritten(result, m_now); });
         });
}

inline void PlacementSimulation::callJournal(Node &node, const JournalAction &action)
{
    if (isPartitioned(node.zone))
        return;
    if (const auto *read = std::get_if<JournalRead>(&action)) {
        JournalReadResult result { read->callId, m_now >= m_storeUnavailableUntil, m_journalVersion,
                                   m_journal };
        if (m_options.ablations.ignoreInheritedOrders)
            result.value.orders.clear();
        schedule(m_now + 5ms, [this, &node, result] {
            deliver(node,
                    [this, result](Node &self) { self.placement->onJournalRead(result, m_now); });
        });
        return;
    }
    const auto write = std::get<JournalWrite>(action);
    if (m_options.ablations.sendBeforeJournal) {
        for (const EngineOrder &order : write.value.orders) {
            if (m_sentEarly.insert(order.number).second)
                sendOrder(node, order);
        }
        if (!node.alive)
            return;
    }
    const bool opens = write.value.term != m_journal.term;
    send(node, opens ? PlacementStep::JournalOpen : PlacementStep::JournalOrders, "",
         [this, &node, write](const Delivery &delivery) {
             const WriteOutcome status = writeObject(write, m_journalVersion, m_journal);
             const JournalWriteResult result { write.callId, status, m_journalVersion };
             if (delivery.responseLost)
                 return;
             deliver(node, [this, result](Node &self) {
                 self.placement->onJournalWritten(result, m_now);
             });
         });
}

// ---- Engines ------------------------------------------------------------------------------------

inline void PlacementSimulation::sendOrder(Node &node, const EngineOrder &order)
{
    if (order.kind == EngineOrderKind::Load)
        node.loadsSent.push_back(m_now);
    checkRate(node);
    const PlacementStep step = order.kind == EngineOrderKind::Load ? PlacementStep::LoadOrder
            : order.kind == EngineOrderKind::Unload                ? PlacementStep::UnloadOrder
                                                                   : PlacementStep::RaiseOrder;
    const Instant sentAt = m_now;
    const std::uint64_t revision = node.catalogRevision;
    trace(node.name, "sends", engineOrderKindName(order.kind), order.engine, order.model,
          order.version, order.number >> OrderCounterBits, order.number & 0xffff);
    send(node, step, order.engine, [this, &node, order, sentAt, revision](const Delivery &) {
        if (!isPartitioned(node.zone))
            receiveOrder(order, sentAt, revision);
    });
}

inline void PlacementSimulation::receiveOrder(const EngineOrder &order, Instant sentAt,
                                              std::uint64_t catalogRevision)
{
    FakeEngine &engine = m_engines[order.engine];
    if (isPartitioned(engine.state.zone) || isOneWayPartitioned(engine.state.zone, true))
        return;
    if (order.incarnation != engine.state.incarnation && !m_options.ablations.ignoreIncarnation)
        return;
    if (order.kind == EngineOrderKind::Unload)
        checkUnload(order, sentAt, catalogRevision);
    const bool accepted = engine.apply(order, m_now, LoadDuration);
    checkNow();
    m_checks.refused += accepted ? 0 : 1;
    m_checks.loads += accepted && order.kind == EngineOrderKind::Load ? 1 : 0;
    m_checks.unloads += accepted && order.kind == EngineOrderKind::Unload ? 1 : 0;
}

inline void PlacementSimulation::pollEngines(Node &node)
{
    const std::uint64_t epoch = node.placement->reportEpoch();
    for (auto &row : m_engines) {
        FakeEngine *engine = &row.second;
        // An engine changes only after an order, so engines without a recent order are polled less
        // often: every 2 s.
        const bool due = m_now < engine->orderedAt + 3s || m_now.time_since_epoch() % 2s == 0s
                || engine->state.epoch != epoch;
        if (!due || !engine->up || isPartitioned(engine->state.zone) || isPartitioned(node.zone))
            continue;
        send(node, PlacementStep::EngineReport, row.first,
             [this, &node, engine, epoch](const Delivery &) {
                 if (!engine->up || isOneWayPartitioned(engine->state.zone, false))
                     return;
                 engine->state.epoch = epoch;
                 EngineState state = engine->report(m_now, m_options.ablations.readyWhenOrdered);
                 // One report in 25 is delayed by up to 3 s, so it may arrive after a newer one.
                 const bool late = m_random.below(25) == 0;
                 const auto delay = std::chrono::milliseconds(late ? m_random.below(3'000) : 5);
                 schedule(m_now + delay, [this, &node, state] {
                     deliver(node, [this, state](Node &self) {
                         self.placement->onEngineState(state, m_now);
                     });
                 });
             });
    }
}

inline std::vector<PlacementVm> PlacementSimulation::vmList() const
{
    std::vector<PlacementVm> list;
    for (const auto &[name, engine] : m_engines) {
        if (engine.listed)
            list.push_back({ name, engine.leaving });
    }
    return list;
}

inline void PlacementSimulation::sendVmList(Node &node)
{
    const std::vector<PlacementVm> list = m_now < m_staleVmListUntil ? m_staleVmList : vmList();
    send(node, PlacementStep::VmList, "", [this, &node, list](const Delivery &) {
        deliver(node, [this, list](Node &self) { self.placement->onVmList(list, m_now); });
    });
}

} // namespace burdock::testing
