// Many nodes with their directories and shares, on a simulated network that loses, delays and cuts
// their messages, before a replica that states a limit, changes it and takes it back.
#include "base/hashing.h"
#include "base/random.h"
#include "fleet/nodedirectory.h"
#include "serving/requestlimits.h"
#include "support/limitjudge.h"

#include <algorithm>
#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr const char *Replica = "i-limited";
constexpr std::uint64_t ProcessStartMs = 7;
constexpr Duration Tick = 50ms;
constexpr Duration HeartbeatInterval = 500ms;
/// Disturbances of a node excuse it for this long after they end.
constexpr Duration ContactTime = 3s;

struct Schedule
{
    int nodes = 8;
    int zones = 4;
    double limit = 1.0;
    double requestsPerSecond = 4.0; // of callers, at each node
    Duration answerTime = 200ms;    // longest time until the head of an answer
    double loss = 0.03;             // share of lost messages between nodes
    Duration length = 60s;
};

/// What happens during a play, besides requests.
enum class Event { Kill, Leave, Freeze, Cut, ChangeLimit, TakeBack };

class FleetSimulation
{
public:
    FleetSimulation(Schedule schedule, std::uint64_t seed)
        : m_schedule(schedule)
        , m_random(seed)
    {
        for (int index = 0; index < schedule.nodes; ++index) {
            Node &node = m_nodes.emplace_back();
            node.info = { "edge-" + std::to_string(index), std::to_string(index),
                          "z" + std::to_string(index % schedule.zones) };
            start(node);
        }
    }

    /// Plays the schedule with events at random moments; the replica states its limit from the
    /// middle of the start-up on.
    void play(const std::vector<Event> &events)
    {
        at(LimitedFrom, [this] { m_limit = m_schedule.limit; });
        for (const Event event : events) {
            const auto span = std::uint64_t((m_schedule.length - LimitedFrom - 10s).count());
            at(LimitedFrom + 1s + Duration(std::int64_t(m_random.below(span))),
               [this, event] { carryOut(event); });
        }
        for (Node &node : m_nodes)
            arrive(node);
        for (Duration time = Tick; time < m_schedule.length; time += Tick)
            at(time, [this] { tick(); });
        while (!m_queue.empty() && m_queue.top().at < Start + m_schedule.length) {
            m_now = m_queue.top().at;
            const auto action = m_queue.top().action;
            m_queue.pop();
            action();
        }
        judgePeriod();
    }

    std::size_t worst = 0;  // requests in a window
    std::size_t excess = 0; // most requests beyond what a window allows
    std::size_t served = 0; // requests while limited

private:
    static constexpr Duration LimitedFrom = 12s;
    static constexpr Instant Start { 1h };

    struct Node
    {
        NodeInfo info;
        std::unique_ptr<NodeDirectory> directory;
        std::unique_ptr<RequestLimits> limits;
        std::uint64_t process = 0; // 0: it is down
        bool leaving = false;
        bool frozen = false;
        bool cut = false; // from all other nodes
        Instant excusedUntil;
        Instant nextHeartbeat;
        std::vector<std::function<void()>> held; // arrived while it was frozen
    };

    struct Action
    {
        Instant at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator<(const Action &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(Duration time, std::function<void()> action)
    {
        schedule(Start + time, std::move(action));
    }
    void in(Duration time, std::function<void()> action)
    {
        schedule(m_now + time, std::move(action));
    }
    void schedule(Instant time, std::function<void()> action)
    {
        m_queue.push({ time, m_order++, std::move(action) });
    }
    Duration upTo(Duration most)
    {
        return Duration(std::int64_t(m_random.below(std::uint64_t(most.count()) + 1)));
    }

    /// Runs the action at the node's process, later if it is frozen, not at all in another process.
    void atNode(Node &node, std::uint64_t process, const std::function<void()> &action)
    {
        if (node.process != process || process == 0)
            return;
        if (node.frozen)
            node.held.push_back([this, &node, process, action] { atNode(node, process, action); });
        else
            action();
    }

    void start(Node &node)
    {
        node.process = ++m_processes;
        node.leaving = false;
        node.frozen = false;
        node.held.clear();
        node.directory = std::make_unique<NodeDirectory>(node.info, DirectorySettings {},
                                                         hashText(node.info.name) + node.process);
        node.limits = std::make_unique<RequestLimits>();
        node.nextHeartbeat = m_now + upTo(HeartbeatInterval);
    }

    void carryOut(Event event)
    {
        Node &node = m_nodes[m_random.below(m_nodes.size())];
        if (event == Event::ChangeLimit) {
            static constexpr double Limits[] = { 0.0, 0.2, 1.0, 1.9, 5.0, 30.0 };
            judgePeriod();
            if (m_limit)
                m_limit = Limits[m_random.below(std::size(Limits))];
            m_judge = {}; // nodes that know only the earlier limit cannot keep this one
            return;
        }
        if (event == Event::TakeBack) {
            judgePeriod();
            m_limit.reset();
            m_judge = {};
            in(3s + upTo(6s), [this] { m_limit = m_limit.value_or(m_schedule.limit); });
            return;
        }
        if (node.process == 0 || node.frozen || node.cut || node.leaving)
            return;
        disturb(node, event, upTo(event == Event::Cut ? 20s : 6s));
    }

    void disturb(Node &node, Event event, Duration time)
    {
        node.excusedUntil = m_now + time + ContactTime;
        if (event == Event::Kill) {
            node.process = 0;
            in(time, [this, &node] { start(node); });
        } else if (event == Event::Leave) {
            node.leaving = true;
            node.nextHeartbeat = m_now;
            node.excusedUntil = m_now + 4s + time + ContactTime;
            in(4s, [&node] { node.process = 0; });
            in(4s + time, [this, &node] { start(node); });
        } else if (event == Event::Freeze) {
            node.frozen = true;
            const std::uint64_t process = node.process;
            in(time, [&node, process] {
                if (node.process != process)
                    return;
                node.frozen = false;
                for (const auto &action : std::exchange(node.held, {}))
                    action();
            });
        } else {
            node.cut = true;
            in(time, [&node] { node.cut = false; });
        }
    }

    // ---- Replica ----

    /// Judges the period in which the replica stated one limit.
    void judgePeriod()
    {
        if (!m_limit)
            return;
        const std::size_t most = m_judge.worstWindow();
        worst = std::max(worst, most);
        const std::size_t allowed = LimitJudge::allowed(*m_limit);
        excess = std::max(excess, most > allowed ? most - allowed : 0);
        m_judge.counted.clear();
    }

    void send(Node &node)
    {
        const std::uint64_t process = node.process;
        const Instant sentAt = m_now;
        node.limits->onSent(Replica, m_now);
        in(upTo(5ms), [this, &node, process, sentAt] {
            if (m_now >= node.excusedUntil)
                m_judge.onArrived(node.info.name, m_now);
            served += m_limit ? 1 : 0;
            const std::optional<double> stated = m_limit;
            in(upTo(m_schedule.answerTime), [this, &node, process, sentAt, stated] {
                atNode(node, process,
                       [this, &node, sentAt, stated] { takeAnswer(node, sentAt, stated); });
            });
        });
    }

    void takeAnswer(Node &node, Instant sentAt, std::optional<double> stated)
    {
        node.limits->onHead(Replica);
        const LimitChange change =
                node.limits->onAnswer(Replica, ProcessStartMs, stated, sentAt, m_now);
        if (stated && m_limit)
            m_judge.onTold(node.info.name, m_now);
        if (!change.note)
            return;
        for (const std::string &ip : node.directory->ingressAddresses(m_now))
            deliver(node, ip,
                    [this, note = *change.note](Node &to) { to.limits->onNote(note, m_now); });
    }

    // ---- Nodes ----

    void arrive(Node &node)
    {
        const double gap = 1e6 / m_schedule.requestsPerSecond * (0.2 + 1.6 * m_random.unit());
        in(Duration(std::int64_t(gap)), [this, &node] {
            if (node.process != 0 && !node.frozen && node.limits->maySend(Replica, m_now))
                send(node);
            arrive(node);
        });
    }

    void deliver(Node &from, const std::string &ip, const std::function<void(Node &)> &action)
    {
        Node &to = m_nodes[std::size_t(std::stoi(ip))];
        if (from.cut || to.cut || m_random.unit() < m_schedule.loss)
            return;
        const std::uint64_t process = to.process;
        in(1ms + upTo(20ms), [this, &to, process, action] {
            if (!to.cut)
                atNode(to, process, [&to, action] { action(to); });
        });
    }

    void tick()
    {
        for (Node &node : m_nodes) {
            if (node.process == 0 || node.frozen)
                continue;
            node.directory->tick(m_now);
            node.limits->tick(m_now);
            if (m_now >= node.nextHeartbeat) {
                node.nextHeartbeat = m_now + HeartbeatInterval;
                sendHeartbeat(node);
            }
        }
    }

    void sendHeartbeat(Node &node)
    {
        node.directory->setOwnState(m_schedule.requestsPerSecond, true, m_now);
        node.limits->setNodes(node.info.name, node.directory->senderCandidates(m_now),
                              node.directory->nodeCount(), node.directory->isCutOff(m_now), m_now);
        HeartbeatTargets targets = node.directory->heartbeatTargets(node.leaving, m_now);
        if (node.directory->isAlone(m_now)) {
            for (std::size_t seed = 0; seed < std::min<std::size_t>(3, m_nodes.size()); ++seed) {
                if (&m_nodes[seed] != &node)
                    targets.otherZones.push_back(m_nodes[seed].info.ip);
            }
        }
        const auto sendTo = [&](const std::vector<std::string> &ips, bool toOtherZones) {
            NodeHeartbeat heartbeat { node.info, node.process, node.leaving, {}, {} };
            heartbeat.others = node.directory->nodesToAnnounce(toOtherZones, m_now);
            heartbeat.requestsPerSecond = m_schedule.requestsPerSecond;
            for (const std::string &ip : ips)
                deliver(node, ip, [this, heartbeat](Node &to) { takeHeartbeat(to, heartbeat); });
        };
        sendTo(targets.otherZones, true);
        sendTo(targets.sameZone, false);
    }

    void takeHeartbeat(Node &to, const NodeHeartbeat &heartbeat)
    {
        const bool isNews = to.directory->onHeartbeat(heartbeat, m_now);
        if (!isNews || !to.directory->isLive(heartbeat.sender.name, m_now))
            return;
        NodeHeartbeat welcome { to.info, to.process, to.leaving, {}, {} };
        welcome.others = to.directory->nodesForNewPeer(heartbeat.sender.zone, m_now);
        welcome.requestsPerSecond = m_schedule.requestsPerSecond;
        deliver(to, heartbeat.sender.ip,
                [this, welcome](Node &sender) { sender.directory->onHeartbeat(welcome, m_now); });
    }

    Schedule m_schedule;
    Random m_random;
    std::deque<Node> m_nodes;
    std::priority_queue<Action> m_queue;
    std::uint64_t m_order = 0;
    std::uint64_t m_processes = 0;
    Instant m_now = Start;
    std::optional<double> m_limit;
    LimitJudge m_judge;
};

/// Seeds of a schedule; BURDOCK_LIMIT_SEEDS asks for more.
std::uint64_t seedCount()
{
    constexpr std::uint64_t Usual = 12;
    const char *text = std::getenv("BURDOCK_LIMIT_SEEDS");
    return text == nullptr ? Usual : std::strtoull(text, nullptr, 10);
}

void keepsTheLimit(const Schedule &schedule, const std::vector<Event> &events)
{
    // Large fleets take about a second a play.
    const std::uint64_t seeds = std::max<std::uint64_t>(2, seedCount() * 8 / schedule.nodes);
    for (std::uint64_t seed = 1; seed <= std::min(seeds, seedCount()); ++seed) {
        FleetSimulation fleet(schedule, seed);
        fleet.play(events);
        const std::string where = "seed " + std::to_string(seed) + ", worst window "
                + std::to_string(fleet.worst) + ", limit " + std::to_string(schedule.limit);
        CHECK_EQUAL_TEXT(std::size_t(0), fleet.excess, where.c_str());
    }
}

const double Limits[] = { 0.0, 0.1, 0.5, 1.0, 1.9, 3.0, 8.0, 40.0 };

} // namespace

TEST_GROUP(FleetRequestLimits) {};

TEST(FleetRequestLimits, HoldOnACalmFleetOfAnySize)
{
    for (const double limit : Limits) {
        for (const int nodes : { 1, 2, 8, 40 }) {
            Schedule schedule;
            schedule.nodes = nodes;
            schedule.limit = limit;
            schedule.length = 40s;
            keepsTheLimit(schedule, {});
        }
    }
}

TEST(FleetRequestLimits, HoldWhileNodesStartStopFreezeAndAreCutOff)
{
    const std::vector<Event> events { Event::Kill, Event::Leave, Event::Freeze, Event::Cut,
                                      Event::Kill, Event::Leave, Event::Freeze, Event::Cut };
    for (const double limit : Limits) {
        Schedule schedule;
        schedule.limit = limit;
        schedule.loss = 0.1;
        keepsTheLimit(schedule, events);
    }
}

TEST(FleetRequestLimits, HoldWhileAnswersComeLate)
{
    for (const double limit : Limits) {
        Schedule schedule;
        schedule.limit = limit;
        schedule.answerTime = 3s;
        schedule.loss = 0.3;
        keepsTheLimit(schedule, { Event::Kill, Event::Freeze, Event::Cut });
    }
}

TEST(FleetRequestLimits, HoldWhenTheLimitChangesOrIsTakenBack)
{
    for (const double limit : Limits) {
        Schedule schedule;
        schedule.limit = limit;
        keepsTheLimit(schedule,
                      { Event::ChangeLimit, Event::TakeBack, Event::ChangeLimit, Event::TakeBack,
                        Event::Kill });
    }
}

TEST(FleetRequestLimits, HoldOnALargeFleet)
{
    for (const double limit : { 0.5, 1.0, 6.0 }) {
        Schedule schedule;
        schedule.nodes = 90;
        schedule.zones = 3;
        schedule.limit = limit;
        schedule.answerTime = 1s;
        schedule.requestsPerSecond = 3.0;
        keepsTheLimit(
                schedule,
                { Event::Kill, Event::Leave, Event::Freeze, Event::Cut, Event::Kill, Event::Kill });
    }
}

TEST(FleetRequestLimits, TheReplicaGetsMostOfWhatItTakes)
{
    for (const double limit : { 1.0, 4.0, 20.0 }) {
        Schedule schedule;
        schedule.limit = limit;
        FleetSimulation fleet(schedule, 1);
        fleet.play({});
        CHECK_COMPARE(double(fleet.served), >=, 0.7 * limit * 48.0); // limited for 48 s
    }
}
