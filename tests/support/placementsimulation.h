// Simulation of the environment of placement: the two stored objects, engines, a VM list, operators
// and three control processes. A checker observes the engines from outside, and one or two faults
// are injected at a chosen message.
//
// Index
//   SimulationChecks     counts of violations and of orders
//   PlacementSimulation  the simulation; run() plays one schedule
//
// This file contains the scenario and the faults, placementsimulationnodes.h the processes and the
// delivery of messages, placementsimulationchecks.h the checker. With the environment variable
// BURDOCK_TRACE set, every event is written to stderr.
#pragma once

#include "base/random.h"
#include "decide/placement.h"
#include "support/fakeengine.h"
#include "support/placementfaults.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace burdock::testing {

using namespace std::chrono_literals;

// ---- Checks -------------------------------------------------------------------------------------

struct SimulationChecks
{
    // Violations. Only `excused` and `outOfMemory` are counted without being one.
    int memoryExceeded = 0;          // an engine held more copies than its memory allows
    int lastCopyRemoved = 0;         // an unload removed the last ready copy of a published model
    int excused = 0;                 // the same, but a crash or stop had just taken another copy
    int loadRateExceeded = 0;        // a running holder sent loads faster than the store allows
    int concurrentLoadsExceeded = 0; // more concurrent loads than the weight store allows
    int multipleActive = 0;          // two running holders were active at the same time
    int modelUnreachable = 0;        // a published model has no ready copy at the end
    int outOfMemory = 0;             // the same, but engines that never unload have no free memory
    int versionNotReady = 0;         // the version in force has no ready copy at the end

    // Orders.
    int loads = 0;   // loads accepted by engines
    int unloads = 0; // unloads accepted by engines
    int refused = 0; // orders refused because of their fencing number

    int violations() const
    {
        return memoryExceeded + lastCopyRemoved + loadRateExceeded + concurrentLoadsExceeded
                + multipleActive + modelUnreachable + versionNotReady;
    }
};

// ---- Simulation ---------------------------------------------------------------------------------

class PlacementSimulation
{
public:
    static constexpr double LoadsPerSecond = 4.0;
    static constexpr int LoadsAtOnce = 4;
    static constexpr std::chrono::milliseconds TickInterval { 500 };
    static constexpr std::chrono::milliseconds LoadDuration { 1'200 };
    static constexpr Instant FaultsEnd { 25s };
    static constexpr std::chrono::milliseconds SuspensionTime { 5'000 };
    static constexpr std::chrono::milliseconds MaxReportAge { 3'000 };

    PlacementSimulation(SimulationOptions options, std::vector<FaultInjection> injections)
        : m_options(options)
        , m_random(options.seed)
        , m_injections(std::move(injections))
        , m_trace(std::getenv("BURDOCK_TRACE") != nullptr)
    {
        makeEngines();
        makeCatalog();
        for (int number = 0; number < 3; ++number) {
            m_nodes.push_back(std::make_unique<Node>());
            m_nodes.back()->name = "control-" + std::to_string(number);
            m_nodes.back()->zone = zoneName(number);
            startNode(*m_nodes.back());
        }
    }

    /// Plays the scenario: version changes, demand spikes, an engine that is replaced, a model that
    /// is withdrawn and published again, a planned stop of the lease holder. Faults are injected
    /// until FaultsEnd; then the simulation runs on without faults and makes the final checks.
    void run()
    {
        const auto jitter = [this] {
            return std::chrono::milliseconds(m_random.below(1'500));
        };
        schedule(Instant(6s) + jitter(), [this] { publishNextVersion(m_random.below(4)); });
        for (int second = 8; second < 26; second += 3)
            schedule(Instant(std::chrono::seconds(second)) + jitter(), [this] { spikeDemand(); });
        schedule(Instant(12s) + jitter(), [this] { replaceEngine(); });
        schedule(Instant(15s) + jitter(), [this] { withdrawAndRepublishModel(); });
        schedule(Instant(18s) + jitter(), [this] { stopLeaseHolder(); });
        schedule(Instant(21s) + jitter(), [this] { publishNextVersion(m_random.below(4)); });
        // No new faults: long enough for the last fault, a lease time and the longest order.
        while (m_now < FaultsEnd + 24s)
            step();
        checkEnd();
    }

    const SimulationChecks &checks() const { return m_checks; }
    const std::map<std::string, FakeEngine> &engines() const { return m_engines; }
    bool allInjected() const
    {
        return std::all_of(m_injections.begin(), m_injections.end(),
                           [](const FaultInjection &each) { return each.injected; });
    }

private:
    struct Node
    {
        std::unique_ptr<Placement> placement;
        std::string name;
        std::string zone;
        std::uint64_t incarnation = 0;
        bool alive = true;
        bool stopping = false;
        bool wasSuspended = false;
        Instant suspendedUntil;
        std::uint64_t catalogRevision = 0;
        std::deque<std::function<void()>> onResume; // run first when the suspension ends
        std::vector<Instant> loadsSent;
    };

    // How one message is delivered.
    struct Delivery
    {
        bool lost = false;
        bool responseLost = false;
        bool duplicated = false;
        bool killAfter = false;
        bool suspendAfter = false;
        Duration delay = 5ms;
    };

    struct Event
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Event &other) const
        {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    // ---- Scenario -------------------------------------------------------------------------------

    static std::string zoneName(int number) { return "zone-" + std::to_string(number % 3); }

    void makeEngines()
    {
        for (int number = 0; number < 6; ++number)
            addEngine(number);
    }

    void addEngine(int number)
    {
        FakeEngine engine;
        engine.checks = m_options.mix == EngineMix::Checked
                || (m_options.mix == EngineMix::Mixed && number % 2 == 0);
        engine.state.name = "engine-" + std::to_string(number);
        engine.state.group = "pool";
        engine.state.zone = zoneName(number);
        engine.state.incarnation = 1;
        engine.state.checksFencing = engine.checks || m_options.ablations.claimFencingChecks;
        engine.state.memoryMb = 100;
        engine.state.capacity = 5.0;
        m_engines[engine.state.name] = engine;
    }

    void makeCatalog()
    {
        Service service;
        service.name = "models";
        service.kind = ServiceKind::Models;
        service.upstreamGroup = "pool";
        service.placement.moveWeight = 50.0;
        service.placement.loadsPerSecond = LoadsPerSecond;
        service.placement.loadsAtOnce = LoadsAtOnce;
        const auto add = [&service](const std::string &name, std::int64_t memoryMb, int copies) {
            ModelEntry model;
            model.name = name;
            model.memoryMb = memoryMb;
            model.minReplicas = copies;
            service.models.push_back(model);
        };
        // Memory is scarce and demand high, so that wrong memory accounting causes violations.
        add("model-a", 40, 2);
        add("model-b", 35, 1);
        add("model-c", 45, 2);
        add("model-d", 30, 1);
        add("model-e", 25, 1);
        ServiceCatalog catalog;
        catalog.services["models"] = service;
        for (const ModelEntry &model : service.models)
            m_demand[model.name] = 2.0 + static_cast<double>(m_random.below(4));
        publish(catalog);
    }

    void publish(ServiceCatalog catalog)
    {
        catalog.revision = m_catalogs.size() + 1;
        m_catalogs.push_back(catalog);
        for (auto &node : m_nodes) {
            const std::size_t revision = catalog.revision;
            const Delivery delivery = injectFaults(PlacementStep::Catalog, nullptr, "");
            const Duration delay = std::chrono::milliseconds(m_random.below(1'000)) + delivery.delay
                    + (delivery.lost ? 3s : 0s); // a lost push is repaired by heartbeats
            schedule(m_now + delay,
                     [this, node = node.get(), revision] { deliverCatalog(*node, revision); });
        }
    }

    void deliverCatalog(Node &node, std::size_t revision)
    {
        deliver(node, [this, revision](Node &self) {
            self.placement->onCatalog(m_catalogs[revision - 1]);
            self.catalogRevision = std::max<std::uint64_t>(self.catalogRevision, revision);
        });
    }

    std::vector<ModelEntry> &models(ServiceCatalog &catalog)
    {
        return catalog.services["models"].models;
    }

    void publishNextVersion(std::size_t model)
    {
        ServiceCatalog catalog = m_catalogs.back();
        model %= models(catalog).size();
        std::string &version = models(catalog)[model].version;
        version = std::to_string(std::stoi(version) + 1);
        publish(catalog);
    }

    // Withdraws one model and publishes it again; nodes may receive the two catalogs in any order.
    void withdrawAndRepublishModel()
    {
        ServiceCatalog catalog = m_catalogs.back();
        const ModelEntry withdrawn = models(catalog).back();
        models(catalog).pop_back();
        publish(catalog);
        schedule(m_now + std::chrono::milliseconds(m_random.below(3'000)), [this, withdrawn] {
            ServiceCatalog again = m_catalogs.back();
            models(again).push_back(withdrawn);
            publish(again);
        });
    }

    void spikeDemand()
    {
        auto row = m_demand.begin();
        std::advance(row, m_random.below(m_demand.size()));
        const double before = std::min(row->second, 5.0);
        row->second = before * 10.0;
        schedule(m_now + 4s, [this, model = row->first, before] { m_demand[model] = before; });
    }

    void replaceEngine()
    {
        const int number = static_cast<int>(m_random.below(6));
        const std::string name = "engine-" + std::to_string(number);
        m_engines[name].leaving = true;
        schedule(m_now + 1s, [this] { addEngine(6); });
        schedule(m_now + 5s, [this, name] {
            recordCrashLosses(m_engines[name]);
            m_engines[name].up = false;
            m_engines[name].listed = false;
        });
    }

    void stopLeaseHolder()
    {
        for (auto &node : m_nodes) {
            if (!node->alive || !node->placement->owns())
                continue;
            node->stopping = true;
            node->placement->release(m_now);
        }
    }

    // ---- Faults ---------------------------------------------------------------------------------

    // Counts an occurrence of the step and injects the faults that are due at it.
    Delivery injectFaults(PlacementStep step, Node *node, const std::string &engine)
    {
        Delivery delivery;
        if (m_now < m_storeSlowUntil && step <= PlacementStep::JournalOrders)
            delivery.delay = 700ms;
        const int occurrence = ++m_occurrences[step];
        for (FaultInjection &injection : m_injections) {
            if (m_now >= FaultsEnd || injection.injected || injection.step != step
                || injection.occurrence != occurrence)
                continue;
            injection.injected = true;
            trace("FAULT ", faultName(injection.fault), stepName(step));
            injectFault(injection.fault, delivery, node, engine);
        }
        return delivery;
    }

    void injectFault(PlacementFault fault, Delivery &delivery, Node *node,
                     const std::string &engine)
    {
        switch (fault) {
        case PlacementFault::Lost:
            delivery.lost = true;
            break;
        case PlacementFault::Delayed:
            delivery.delay = 4s + std::chrono::milliseconds(m_random.below(5'000));
            break;
        case PlacementFault::Duplicated:
            delivery.duplicated = true;
            break;
        case PlacementFault::ResponseLost:
            delivery.responseLost = true;
            break;
        case PlacementFault::KilledBefore:
            delivery.lost = true;
            delivery.killAfter = true;
            break;
        case PlacementFault::KilledAfter:
            delivery.killAfter = true;
            break;
        case PlacementFault::SuspendedBefore:
            delivery.delay = SuspensionTime;
            delivery.suspendAfter = true;
            break;
        case PlacementFault::SuspendedAfter:
            delivery.suspendAfter = true;
            break;
        case PlacementFault::StoreUnavailable:
            m_storeUnavailableUntil = m_now + 6s;
            break;
        case PlacementFault::StoreSlow:
            m_storeSlowUntil = m_now + 5s;
            break;
        case PlacementFault::EngineCrash:
            crashEngine(engine);
            break;
        case PlacementFault::ZonePartition:
            m_partitionedZone = node != nullptr && m_random.below(2) == 0
                    ? node->zone
                    : zoneName(static_cast<int>(m_random.below(3)));
            m_zonePartitionUntil = m_now + 6s;
            break;
        case PlacementFault::OneWayPartition:
            m_oneWayPartitionZone = zoneName(static_cast<int>(m_random.below(3)));
            m_ordersLost = m_random.below(2) == 0;
            m_oneWayPartitionUntil = m_now + 6s;
            break;
        case PlacementFault::StaleVmList:
            m_staleVmList = vmList();
            m_staleVmListUntil = m_now + 6s;
            break;
        case PlacementFault::ConcurrentPublishes:
            publishNextVersion(m_random.below(5));
            withdrawAndRepublishModel();
            break;
        case PlacementFault::DemandSpike:
            spikeDemand();
            break;
        case PlacementFault::Count:
            break;
        }
    }

    void crashEngine(std::string name)
    {
        if (name.empty())
            name = "engine-" + std::to_string(m_random.below(6));
        FakeEngine &engine = m_engines[name];
        if (!engine.up)
            return;
        recordCrashLosses(engine);
        engine.restart();
        engine.up = false;
        schedule(m_now + 1s, [&engine] { engine.up = engine.listed; });
    }

    void recordCrashLosses(const FakeEngine &engine)
    {
        for (const auto &[key, copy] : engine.copies)
            m_lastCrashLossAt[key.first] = m_now;
    }

    bool isPartitioned(const std::string &zone) const
    {
        return m_now < m_zonePartitionUntil && zone == m_partitionedZone;
    }

    bool isOneWayPartitioned(const std::string &zone, bool orders) const
    {
        return m_now < m_oneWayPartitionUntil && zone == m_oneWayPartitionZone
                && orders == m_ordersLost;
    }

    template <typename... Words>
    void trace(const Words &...words) const
    {
        if (!m_trace)
            return;
        std::cerr << m_now.time_since_epoch().count() / 1'000 << " ms: ";
        ((std::cerr << words << ' '), ...);
        std::cerr << '\n';
    }

    // ---- Processes and messages, in placementsimulationnodes.h ----------------------------------

    void schedule(Instant when, std::function<void()> run);
    void step();
    void startNode(Node &node);
    void kill(Node &node);
    void tickNode(Node &node);
    void deliver(Node &node, const std::function<void(Node &)> &run);
    void executeActions(Node &node);
    void execute(Node &node, const PlacementAction &action);
    void send(Node &node, PlacementStep step, const std::string &engine,
              const std::function<void(const Delivery &)> &arrive);
    void applySenderFault(Node &node, const Delivery &delivery);
    void callLease(Node &node, const LeaseAction &action);
    void callJournal(Node &node, const JournalAction &action);
    template <typename Write, typename Value>
    WriteOutcome writeObject(const Write &write, std::uint64_t &version, Value &value);
    void sendOrder(Node &node, const EngineOrder &order);
    void receiveOrder(const EngineOrder &order, Instant sentAt, std::uint64_t catalogRevision);
    void pollEngines(Node &node);
    void sendVmList(Node &node);
    std::vector<PlacementVm> vmList() const;

    // ---- The checker, in placementsimulationchecks.h --------------------------------------------

    int readyCopies(const std::string &model, const std::string &version) const;
    void checkUnload(const EngineOrder &order, Instant sentAt, std::uint64_t catalogRevision);
    void checkRate(Node &node);
    void checkNow();
    bool hasFreeMemoryFor(std::int64_t memoryMb) const;
    void checkEnd();

    SimulationOptions m_options;
    Random m_random;
    std::vector<FaultInjection> m_injections;
    bool m_trace = false;
    std::map<PlacementStep, int> m_occurrences;
    Instant m_now { 1s };
    std::priority_queue<Event> m_events;
    std::uint64_t m_eventCount = 0;
    std::map<std::string, FakeEngine> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<ServiceCatalog> m_catalogs; // by revision - 1
    std::map<std::string, double> m_demand;
    std::map<std::string, Instant>
            m_lastCrashLossAt; // model: when a crash or stop last cost a copy
    std::uint64_t m_leaseVersion = 0;
    LeaseValue m_lease;
    std::uint64_t m_journalVersion = 0;
    JournalValue m_journal;
    Instant m_storeUnavailableUntil;
    Instant m_storeSlowUntil;
    Instant m_staleVmListUntil;
    Instant m_zonePartitionUntil;
    std::vector<PlacementVm> m_staleVmList;
    std::string m_partitionedZone;
    Instant m_oneWayPartitionUntil;
    std::string m_oneWayPartitionZone;
    bool m_ordersLost = false;           // true: orders are lost; false: reports are lost
    std::set<std::uint64_t> m_sentEarly; // see SimulationAblations::sendBeforeJournal
    SimulationChecks m_checks;
};

} // namespace burdock::testing

#include "support/placementsimulationchecks.h"
#include "support/placementsimulationnodes.h"
