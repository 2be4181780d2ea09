// A small fleet for the fault tests of the ledger: three nodes, an object store, a plain service
// and its callers, in virtual time. Faults strike at the n-th passage of a step.
//
// Index
//   FleetOptions   ablations inside and outside the library
//   LedgerFleet    runs one schedule; check() is the outside checker
//
// ledgerfleetactions.h holds what the store, the service and the callers do.
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
    LedgerAblation ablation;       // inside the library
    bool blindWrites = false;      // the store ignores the expected version
    bool releaseAfterSend = false; // a lost answer is reported as "not sent"
    bool noReminders = false;      // open grants are not repeated
};

class LedgerFleet
{
public:
    static constexpr int NodeCount = 3;
    static constexpr int KeyCount = 6;
    static constexpr int ResendsAfterwards = 2;       // of each caller, after its final answer
    static constexpr std::int64_t HorizonMs = 40'000; // faults have ended long before

    LedgerFleet(std::uint64_t seed, std::vector<Strike> strikes, FleetOptions options)
        : m_random(seed)
        , m_strikes(std::move(strikes))
        , m_options(options)
    {
        m_store.blindWrites = options.blindWrites;
    }

    /// Runs one schedule to its horizon.
    void run()
    {
        for (int node = 0; node < NodeCount; ++node)
            at(node == 0 ? 3'000 : 0, [this, node] { start(node); }); // one joins late
        for (int key = 0; key < KeyCount; ++key) {
            Caller caller;
            caller.order = OrderKey { "orders", "key-" + std::to_string(key) };
            m_callers.push_back(caller);
            at(1'000 + 500 * key, [this, key] { ask(key, 1 + key % 2); });
            if (key % 2 == 1) // submitted twice at two entry nodes
                at(1'003 + 500 * key, [this, key] { ask(key, 1 + (key + 1) % 2); });
        }
        while (!isSettled() && m_events.top().time <= HorizonMs) {
            const Event event = m_events.top();
            m_events.pop();
            m_work -= event.upkeep ? 0 : 1;
            m_now = event.time;
            event.action();
        }
    }

    /// @return what did not hold; empty when everything did
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
                    violations.push_back(key + " got an answer that is not its own");
            }
            if (caller.keyReused)
                violations.push_back(key + " was called reused");
            if (!caller.final)
                violations.push_back(key + " got no final answer");
        }
        for (const std::string &attempt : m_toldNotRun) {
            if (m_ranAttempts.contains(attempt))
                violations.push_back(attempt + " ran, and its caller was told that it had not");
        }
        return violations;
    }

    /// @return whether every fault met its step
    bool allStruck() const
    {
        for (const Strike &strike : m_strikes) {
            if (strike.passed < strike.passage)
                return false;
        }
        return true;
    }

    int unknownAnswers() const { return m_unknownAnswers; }
    const std::map<Step, int> &passages() const { return m_passages; }

private:
    using Faults = std::set<Fault>;

    struct Event
    {
        std::int64_t time = 0;
        std::uint64_t number = 0;
        bool upkeep = false; // a tick
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
        std::int64_t changedAt = -10'000; // when it went up or down
        std::int64_t frozenAt = 0;
        std::int64_t frozenUntil = 0;
        std::int64_t cutUntil = 0; // its availability zone is cut off
        std::unique_ptr<Ledger> ledger;
        std::unique_ptr<OrderClient> client;
        std::vector<NodeIdentity> view;
        std::map<std::string, int> callerOf; // by attempt
    };

    struct Caller
    {
        OrderKey order;
        bool final = false; // answered, recorded or unknown, each time that it asked
        bool keyReused = false;
        int resends = ResendsAfterwards;
        int pending = 0; // requests without an answer
        int lastNode = 0;
        std::vector<std::string> bodies;
    };

    // ---- Time -----------------------------------------------------------------------------------

    void at(std::int64_t time, std::function<void()> action, bool upkeep = false)
    {
        m_work += upkeep ? 0 : 1;
        m_events.push(Event { time, ++m_lastEvent, upkeep, std::move(action) });
    }

    /// @return whether nothing but ticks can happen any more
    bool isSettled() const
    {
        if (m_work > 0)
            return false;
        for (const Caller &caller : m_callers) {
            if (!caller.final)
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
    bool frozen(int node) const { return m_now < m_nodes[node].frozenUntil; }

    /// Runs something in a process: later if it is frozen, never if it is gone.
    void inProcess(int node, std::uint64_t incarnation, const std::function<void(Node &)> &action,
                   bool upkeep = false)
    {
        Node &self = m_nodes[node];
        if (!self.up || self.incarnation != incarnation)
            return;
        if (frozen(node)) {
            at(
                    self.frozenUntil, [=, this] { inProcess(node, incarnation, action, upkeep); },
                    upkeep);
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
        self.frozenUntil = 0;
        self.view.clear();
        self.callerOf.clear();
        LedgerSettings settings;
        settings.shards = 2;
        settings.recentBytes = 150; // so that segments are written in a short run
        settings.recentBatches = 0;
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

    void freeze(int node)
    {
        if (!frozen(node))
            m_nodes[node].frozenAt = m_now;
        m_nodes[node].frozenUntil = m_now + 5'000;
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

    /// Membership as heartbeats would show it: late.
    std::vector<NodeIdentity> viewOf(int node) const
    {
        std::vector<NodeIdentity> view;
        for (int other = 0; other < NodeCount; ++other) {
            const Node &row = m_nodes[other];
            const bool apart = m_now < m_splitUntil && (node == 0) != (other == 0);
            const bool cut = m_now < row.cutUntil || m_now < m_nodes[node].cutUntil;
            const bool silent = frozen(other) && m_now > row.frozenAt + 1'000;
            const std::int64_t lag = node == 2 ? 500 : 0; // one learns later than the others
            const bool seen = row.up ? m_now >= row.changedAt + 300 + lag
                                     : m_now < row.changedAt + 1'000 + lag;
            if (other == node || (seen && !apart && !cut && !silent))
                view.push_back({ row.name, row.incarnation });
        }
        return view;
    }

    // ---- Faults ---------------------------------------------------------------------------------

    Faults strike(Step step)
    {
        ++m_passages[step];
        Faults faults;
        for (Strike &each : m_strikes) {
            if (each.step == step && ++each.passed == each.passage)
                faults.insert(each.fault);
        }
        return faults;
    }

    /// Carries out what a fault does besides the step itself. A sender or receiver of -1 is the
    /// service or the store.
    void strikeFleet(const Faults &faults, int sender, int receiver, const OrderKey &order)
    {
        if (faults.contains(Fault::StoreDown))
            m_storeDownUntil = m_now + 4'000;
        if (faults.contains(Fault::StoreSlow))
            m_storeSlowUntil = m_now + 4'000;
        if (faults.contains(Fault::SplitMembership))
            m_splitUntil = m_now + 5'000;
        if (faults.contains(Fault::ZoneCut))
            m_nodes[sender >= 0 ? sender : receiver].cutUntil = m_now + 5'000;
        if (faults.contains(Fault::LinkCut))
            m_linkCutUntil[{ sender, receiver }] = m_now + 5'000;
        if (faults.contains(Fault::CallerResends))
            resendElsewhere(order);
        if (faults.contains(Fault::SenderFrozenBefore) || faults.contains(Fault::SenderFrozenAfter))
            freeze(sender);
        if (faults.contains(Fault::ReceiverFrozen))
            freeze(receiver);
        if (faults.contains(Fault::ReceiverKilledBefore))
            kill(receiver);
    }

    /// @return when something leaves its sender, or nothing if it never does
    std::optional<std::int64_t> departure(const Faults &faults, int sender)
    {
        if (faults.contains(Fault::SenderKilledBefore)) {
            kill(sender);
            return std::nullopt;
        }
        if (faults.contains(Fault::SenderFrozenBefore))
            return m_nodes[sender].frozenUntil;
        return faults.contains(Fault::Late) ? m_now + 3'000 : m_now;
    }

    bool linkUp(int sender, int receiver) const
    {
        if (sender == receiver)
            return true;
        const auto cut = m_linkCutUntil.find({ sender, receiver });
        return m_now >= m_nodes[sender].cutUntil && m_now >= m_nodes[receiver].cutUntil
                && (cut == m_linkCutUntil.end() || m_now >= cut->second);
    }

    // ---- Messages -------------------------------------------------------------------------------

    void carryOut(int node)
    {
        const std::uint64_t incarnation = m_nodes[node].incarnation;
        const std::vector<LedgerAction> ledgerActions = m_nodes[node].ledger->takeActions();
        const std::vector<OrderAction> orderActions = m_nodes[node].client->takeActions();
        const auto carryOutOne = [&](const auto &each) {
            if (m_nodes[node].up && m_nodes[node].incarnation == incarnation)
                act(node, each);
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
        const OrderKey order = std::visit([](const auto &each) { return each.order; }, message);
        const Faults faults = strike(static_cast<Step>(message.index()));
        strikeFleet(faults, sender, receiver, order);
        const std::optional<std::int64_t> leaves = departure(faults, sender);
        if (!leaves)
            return;
        if (!faults.contains(Fault::Lost))
            deliver(sender, receiver, *leaves + latency(), message,
                    faults.contains(Fault::ReceiverKilledAfter));
        if (faults.contains(Fault::Doubled))
            deliver(sender, receiver, *leaves + 2'500, message, false);
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
            if (linkUp(sender, receiver))
                inProcess(receiver, m_nodes[receiver].incarnation, handle);
        });
    }

    // ---- Store ----------------------------------------------------------------------------------

    struct CallPlan // when a call takes effect, and when and how it is answered
    {
        std::optional<std::int64_t> effectAt; // nothing: never
        std::optional<std::int64_t> againAt;  // when it takes effect a second time
        std::int64_t answerAt = 0;
        std::optional<ObjectStatus> status; // nothing: as carried out
    };

    static constexpr std::int64_t CallTimeoutMs = 500;

    std::optional<CallPlan> planCall(int node, Step step, const OrderKey &order);
    template <typename Effect, typename Answer>
    void call(int node, const std::optional<CallPlan> &plan, Effect effect, Answer answer);
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
    void upstreamTimeout(int node, std::uint64_t incarnation, const RunOrder &action);
    // ---- Callers --------------------------------------------------------------------------------

    void ask(int caller, int node);
    void requestEnded(int caller);
    void resendLater(int caller);
    void resendElsewhere(const OrderKey &order);
    /// @return whether the caller was still waiting for this attempt
    bool closeRequest(const std::string &attempt);
    void connectionLost(int caller, const std::string &attempt);
    void answerCaller(Node &self, const std::string &attempt, const std::string &body);
    /// A final answer; the caller still asks again, to see whether the order runs once more.
    void finish(int number);
    void act(int node, const AnswerCaller &action);
    Random m_random;
    std::vector<Strike> m_strikes;
    FleetOptions m_options;
    FakeLedgerStore m_store;
    std::int64_t m_now = 0;
    std::uint64_t m_lastEvent = 0;
    int m_work = 0; // events to come besides ticks
    std::uint64_t m_lastIncarnation = 0;
    std::uint64_t m_lastRequest = 0;
    std::priority_queue<Event> m_events;
    std::array<Node, NodeCount> m_nodes;
    std::vector<Caller> m_callers;
    std::map<Step, int> m_passages;
    std::int64_t m_storeDownUntil = 0;
    std::int64_t m_storeSlowUntil = 0;
    std::int64_t m_splitUntil = 0;
    std::map<std::pair<int, int>, std::int64_t> m_linkCutUntil;
    bool m_refused = false;
    std::map<OrderKey, std::vector<std::string>> m_runs; // the service's own count
    std::set<std::string> m_ranAttempts;
    std::set<std::string> m_toldNotRun;
    std::map<std::string, std::uint64_t> m_requestOf; // by attempt
    std::set<std::uint64_t> m_openRequests;
    int m_unknownAnswers = 0;
};

} // namespace burdock::testing

#include "ledgerfleetactions.h" // IWYU pragma: export
