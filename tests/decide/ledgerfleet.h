// A simulated fleet for the fault tests of the ledger: three nodes, an object store, a plain
// service and its callers, in virtual time. A fault is injected at the n-th occurrence of a step.
//
// Index
//   FleetOptions   ablations in the library and in the simulation
//   LedgerFleet    runs one schedule; check() reports violations, independently of the ledger
//
// ledgerfleetactions.h implements the store, the service and the callers.
#pragma once

#include "base/random.h"
#include "decide/ledger.h"
#include "decide/orderclient.h"
#include "fakeledgerstore.h"
#include "ledgerfaultsteps.h"

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <utility>

namespace burdock::testing {

struct FleetOptions
{
    LedgerAblation ablation;       // mechanisms of the library to disable
    bool blindWrites = false;      // the store ignores the expected version
    bool releaseAfterSend = false; // report a lost response as "not sent"
    bool noReminders = false;      // send no reminders of open grants
};

class LedgerFleet
{
public:
    static constexpr int NodeCount = 3;
    static constexpr int KeyCount = 6;
    static constexpr int ResendsAfterFinalResponse = 2; // per caller
    static constexpr std::int64_t HorizonMs = 40'000;   // end of a schedule; all faults end earlier

    LedgerFleet(std::uint64_t seed, std::vector<InjectedFault> injectedFaults, FleetOptions options)
        : m_random(seed)
        , m_injectedFaults(std::move(injectedFaults))
        , m_options(options)
    {
        m_store.blindWrites = options.blindWrites;
    }

    /// Runs one schedule until it is quiescent or reaches its horizon.
    void run()
    {
        for (int node = 0; node < NodeCount; ++node)
            at(node == 0 ? 3'000 : 0, [this, node] { start(node); }); // node 0 joins late
        for (int key = 0; key < KeyCount; ++key) {
            Caller caller;
            caller.order = OrderKey { "orders", "key-" + std::to_string(key) };
            m_callers.push_back(caller);
            at(1'000 + 500 * key, [this, key] { sendRequest(key, 1 + key % 2); });
            if (key % 2 == 1) // the order is submitted to two entry nodes
                at(1'003 + 500 * key, [this, key] { sendRequest(key, 1 + (key + 1) % 2); });
        }
        while (!isQuiescent() && m_events.top().time <= HorizonMs) {
            const Event event = m_events.top();
            m_events.pop();
            m_eventsBesidesTicks -= event.isTick ? 0 : 1;
            m_now = event.time;
            event.action();
        }
    }

    /// @return the violations; empty if there are none
    std::vector<std::string> check() const
    {
        std::vector<std::string> violations;
        for (const Caller &caller : m_callers) {
            const auto runs = m_runs.find(caller.order);
            const std::size_t count = runs == m_runs.end() ? 0 : runs->second.size();
            const std::string &key = caller.order.key;
            if (count > 1)
                violations.push_back(key + " ran " + std::to_string(count) + " times");
            for (const std::string &body : caller.bodies) {
                if (count == 0 || body != runs->second.front())
                    violations.push_back(key + " got a response that is not its own");
            }
            if (caller.keyReused)
                violations.push_back(key + " was rejected as a reused key");
            if (!caller.hasFinalResponse)
                violations.push_back(key + " got no final response");
        }
        for (const std::string &attempt : m_reportedNotRun) {
            if (m_ranAttempts.contains(attempt))
                violations.push_back(attempt + " ran, but its caller received the verdict NotRun");
        }
        return violations;
    }

    /// @return whether every fault was injected
    bool allFaultsInjected() const
    {
        for (const InjectedFault &injected : m_injectedFaults) {
            if (injected.occurrencesSeen < injected.occurrence)
                return false;
        }
        return true;
    }

    int unknownOutcomes() const { return m_unknownOutcomes; }
    const std::map<Step, int> &stepCounts() const { return m_stepCounts; }

private:
    using Faults = std::set<Fault>;

    struct Event
    {
        std::int64_t time = 0;
        std::uint64_t number = 0;
        bool isTick = false; // whether the event belongs to a periodic tick
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    struct Node
    {
        std::string name;
        std::uint64_t incarnation = 0;
        bool up = false;
        std::int64_t changedAt = -10'000; // time of the last start or stop
        std::int64_t suspendedAt = 0;
        std::int64_t suspendedUntil = 0;
        std::int64_t isolatedUntil = 0; // end of the partition of its availability zone
        std::unique_ptr<Ledger> ledger;
        std::unique_ptr<OrderClient> client;
        std::vector<NodeIdentity> view;
        std::map<std::string, int> callerOf; // caller index by attempt
    };

    struct Caller
    {
        OrderKey order;
        bool hasFinalResponse = false; // whether each request and resend had a final response
        bool keyReused = false;
        int resends = ResendsAfterFinalResponse;
        int pending = 0; // number of requests without a response
        int lastNode = 0;
        std::vector<std::string> bodies;
    };

    // ---- Time -----------------------------------------------------------------------------------

    void at(std::int64_t time, std::function<void()> action, bool isTick = false)
    {
        m_eventsBesidesTicks += isTick ? 0 : 1;
        m_events.push(Event { time, ++m_lastEvent, isTick, std::move(action) });
    }

    /// @return whether only ticks can still happen
    bool isQuiescent() const
    {
        if (m_eventsBesidesTicks > 0)
            return false;
        for (const Caller &caller : m_callers) {
            if (!caller.hasFinalResponse)
                return false;
        }
        for (const Node &node : m_nodes) {
            if (node.up && !node.client->attempts().empty())
                return false;
        }
        return true;
    }

    Instant now() const { return Instant(std::chrono::milliseconds(m_now)); }
    std::int64_t latency() { return 1 + static_cast<std::int64_t>(m_random.below(4)); }
    bool isSuspended(int node) const { return m_now < m_nodes[node].suspendedUntil; }

    /// Runs an action in a process: after its suspension if it is suspended, and not at all if the
    /// incarnation has ended.
    void inProcess(int node, std::uint64_t incarnation, const std::function<void(Node &)> &action,
                   bool isTick = false)
    {
        Node &self = m_nodes[node];
        if (!self.up || self.incarnation != incarnation)
            return;
        if (isSuspended(node)) {
            at(
                    self.suspendedUntil,
                    [=, this] { inProcess(node, incarnation, action, isTick); }, isTick);
            return;
        }
        action(self);
        carryOut(node);
    }

    // ---- Processes ------------------------------------------------------------------------------

    void start(int node)
    {
        Node &self = m_nodes[node];
        self.name = "node-" + std::to_string(node);
        self.incarnation = ++m_lastIncarnation;
        self.up = true;
        self.changedAt = m_now;
        self.suspendedUntil = 0;
        self.view.clear();
        self.callerOf.clear();
        LedgerSettings settings;
        settings.shards = 2;
        settings.segmentThresholdBytes = 150; // low, so that a short run creates segments
        settings.segmentThresholdBatches = 0;
        if (m_options.noReminders)
            settings.remindInterval = std::chrono::hours(1);
        settings.ablation = m_options.ablation;
        OrderClientSettings clientSettings;
        clientSettings.shards = settings.shards;
        const NodeIdentity identity { self.name, self.incarnation };
        self.ledger = std::make_unique<Ledger>(identity, settings);
        self.client = std::make_unique<OrderClient>(identity, clientSettings);
        tick(node, self.incarnation);
    }

    void kill(int node)
    {
        Node &self = m_nodes[node];
        if (!self.up)
            return;
        self.up = false;
        self.changedAt = m_now;
        for (const auto &[attempt, caller] : self.callerOf)
            connectionLost(caller, attempt);
        at(m_now + 2'000, [this, node] { start(node); });
    }

    void suspend(int node)
    {
        if (!isSuspended(node))
            m_nodes[node].suspendedAt = m_now;
        m_nodes[node].suspendedUntil = m_now + 5'000;
    }

    void tick(int node, std::uint64_t incarnation)
    {
        const auto handle = [=, this](Node &self) {
            const std::vector<NodeIdentity> view = viewOf(node);
            if (view != self.view) {
                self.view = view;
                self.ledger->onLiveNodes(view, now());
                self.client->onLiveNodes(view, now());
            }
            self.ledger->tick(now(), std::chrono::seconds(m_now / 1'000));
            self.client->tick(now());
            at(
                    m_now + 100, [=, this] { tick(node, incarnation); }, true);
        };
        inProcess(node, incarnation, handle, true);
    }

    /// @return the membership as heartbeats would report it, with their delay
    std::vector<NodeIdentity> viewOf(int node) const
    {
        std::vector<NodeIdentity> view;
        for (int other = 0; other < NodeCount; ++other) {
            const Node &row = m_nodes[other];
            const bool separatedBySplit = m_now < m_splitUntil && (node == 0) != (other == 0);
            const bool cut = m_now < row.isolatedUntil || m_now < m_nodes[node].isolatedUntil;
            const bool missesHeartbeats = isSuspended(other) && m_now > row.suspendedAt + 1'000;
            // Node 2 learns of changes later than the others.
            const std::int64_t lag = node == 2 ? 500 : 0;
            const bool seen = row.up ? m_now >= row.changedAt + 300 + lag
                                     : m_now < row.changedAt + 1'000 + lag;
            if (other == node || (seen && !separatedBySplit && !cut && !missesHeartbeats))
                view.push_back({ row.name, row.incarnation });
        }
        return view;
    }

    // ---- Faults ---------------------------------------------------------------------------------

    Faults injectAt(Step step)
    {
        ++m_stepCounts[step];
        Faults faults;
        for (InjectedFault &injected : m_injectedFaults) {
            if (injected.step == step && ++injected.occurrencesSeen == injected.occurrence)
                faults.insert(injected.fault);
        }
        return faults;
    }

    /// Applies the effects of faults that go beyond the step itself. A sender or receiver of -1 is
    /// the service or the store.
    void applyFleetFaults(const Faults &faults, int sender, int receiver, const OrderKey &order)
    {
        if (faults.contains(Fault::StoreDown))
            m_storeDownUntil = m_now + 4'000;
        if (faults.contains(Fault::StoreSlow))
            m_storeSlowUntil = m_now + 4'000;
        if (faults.contains(Fault::SplitMembership))
            m_splitUntil = m_now + 5'000;
        if (faults.contains(Fault::ZoneCut))
            m_nodes[sender >= 0 ? sender : receiver].isolatedUntil = m_now + 5'000;
        if (faults.contains(Fault::LinkCut))
            m_linkCutUntil[{ sender, receiver }] = m_now + 5'000;
        if (faults.contains(Fault::CallerResends))
            resendElsewhere(order);
        if (faults.contains(Fault::SenderSuspendedBefore)
            || faults.contains(Fault::SenderSuspendedAfter))
            suspend(sender);
        if (faults.contains(Fault::ReceiverSuspended))
            suspend(receiver);
        if (faults.contains(Fault::ReceiverKilledBefore))
            kill(receiver);
    }

    /// @return the time at which a message leaves its sender, or nullopt if it never does
    std::optional<std::int64_t> departureTime(const Faults &faults, int sender)
    {
        if (faults.contains(Fault::SenderKilledBefore)) {
            kill(sender);
            return std::nullopt;
        }
        if (faults.contains(Fault::SenderSuspendedBefore))
            return m_nodes[sender].suspendedUntil;
        return faults.contains(Fault::Late) ? m_now + 3'000 : m_now;
    }

    bool isLinkUp(int sender, int receiver) const
    {
        if (sender == receiver)
            return true;
        const auto cut = m_linkCutUntil.find({ sender, receiver });
        return m_now >= m_nodes[sender].isolatedUntil && m_now >= m_nodes[receiver].isolatedUntil
                && (cut == m_linkCutUntil.end() || m_now >= cut->second);
    }

    // ---- Messages -------------------------------------------------------------------------------

    void carryOut(int node)
    {
        const std::uint64_t incarnation = m_nodes[node].incarnation;
        const std::vector<LedgerAction> ledgerActions = m_nodes[node].ledger->takeActions();
        const std::vector<OrderAction> orderActions = m_nodes[node].client->takeActions();
        const auto carryOutOne = [&](const auto &action) {
            if (m_nodes[node].up && m_nodes[node].incarnation == incarnation)
                act(node, action);
        };
        for (const LedgerAction &action : ledgerActions)
            std::visit(carryOutOne, action);
        for (const OrderAction &action : orderActions)
            std::visit(carryOutOne, action);
    }

    void act(int sender, const SendToNode &action)
    {
        const int receiver = action.node.back() - '0';
        const LedgerMessage &message = action.message;
        const OrderKey order =
                std::visit([](const auto &alternative) { return alternative.order; }, message);
        const Faults faults = injectAt(static_cast<Step>(message.index()));
        applyFleetFaults(faults, sender, receiver, order);
        const std::optional<std::int64_t> departsAt = departureTime(faults, sender);
        if (!departsAt)
            return;
        if (!faults.contains(Fault::Lost))
            deliver(sender, receiver, *departsAt + latency(), message,
                    faults.contains(Fault::ReceiverKilledAfter));
        if (faults.contains(Fault::Duplicated))
            deliver(sender, receiver, *departsAt + 2'500, message, false);
        if (faults.contains(Fault::SenderKilledAfter))
            kill(sender);
    }

    void deliver(int sender, int receiver, std::int64_t time, const LedgerMessage &message,
                 bool killAfter)
    {
        const auto handle = [=, this](Node &self) {
            if (const Admit *admit = std::get_if<Admit>(&message))
                self.ledger->onAdmit(*admit, now());
            else if (const Outcome *outcome = std::get_if<Outcome>(&message))
                self.ledger->onOutcome(*outcome, now());
            else if (const Release *release = std::get_if<Release>(&message))
                self.ledger->onRelease(*release, now());
            else
                self.client->onMessage(message, now());
            if (killAfter)
                kill(receiver);
        };
        at(time, [=, this] {
            if (isLinkUp(sender, receiver))
                inProcess(receiver, m_nodes[receiver].incarnation, handle);
        });
    }

    // ---- Store ----------------------------------------------------------------------------------

    struct CallPlan // times of the effect and the response of a store call
    {
        std::optional<std::int64_t> effectAt; // nullopt: the call has no effect
        std::optional<std::int64_t> repeatAt; // nullopt: the call takes effect at most once
        std::int64_t responseAt = 0;
        std::optional<ObjectStatus> status; // nullopt: the actual result of the call
    };

    static constexpr std::int64_t CallTimeoutMs = 500;

    std::optional<CallPlan> planCall(int node, Step step, const OrderKey &order);
    template <typename Effect, typename OnResult>
    void call(int node, const std::optional<CallPlan> &plan, Effect effect, OnResult onResult);
    void act(int node, const ReadHead &action);
    void act(int node, const WriteHead &action);
    void act(int node, const CreateSegment &action);
    void act(int node, const ReadSegment &action);
    void act(int node, const ListSegments &action);
    void act(int node, const DeleteSegment &action);

    // ---- Plain service --------------------------------------------------------------------------

    void act(int node, const RunOrder &action);
    bool isRunning(const Node &self, const std::string &attempt) const;
    void runAtService(int node, std::uint64_t incarnation, const RunOrder &action);
    void onUpstreamTimeout(int node, std::uint64_t incarnation, const RunOrder &action);

    // ---- Callers --------------------------------------------------------------------------------

    void sendRequest(int caller, int node);
    void onRequestEnded(int caller);
    void resendLater(int caller);
    void resendElsewhere(const OrderKey &order);
    /// Ends the request of an attempt.
    /// @return whether the caller was still waiting for it
    bool closeRequest(const std::string &attempt);
    void connectionLost(int caller, const std::string &attempt);
    void respondToCaller(Node &self, const std::string &attempt, const std::string &body);
    /// Records a final response. The caller then resends the order a few times, which must not run
    /// it again.
    void recordFinalResponse(int number);
    void act(int node, const RespondToCaller &action);

    Random m_random;
    std::vector<InjectedFault> m_injectedFaults;
    FleetOptions m_options;
    FakeLedgerStore m_store;
    std::int64_t m_now = 0;
    std::uint64_t m_lastEvent = 0;
    int m_eventsBesidesTicks = 0; // number of queued events that are not ticks
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastRequest = 0;
    std::priority_queue<Event> m_events;
    std::array<Node, NodeCount> m_nodes;
    std::vector<Caller> m_callers;
    std::map<Step, int> m_stepCounts;
    std::int64_t m_storeDownUntil = 0;
    std::int64_t m_storeSlowUntil = 0;
    std::int64_t m_splitUntil = 0;
    std::map<std::pair<int, int>, std::int64_t> m_linkCutUntil;
    bool m_connectRefusedOnce = false;
    // Response bodies of the runs of each order, recorded by the service itself.
    std::map<OrderKey, std::vector<std::string>> m_runs;
    std::set<std::string> m_ranAttempts;
    std::set<std::string> m_reportedNotRun;
    std::map<std::string, std::uint64_t> m_requestOf; // request number by attempt
    std::set<std::uint64_t> m_openRequests;
    int m_unknownOutcomes = 0;
};

} // namespace burdock::testing

#include "ledgerfleetactions.h" // IWYU pragma: export
