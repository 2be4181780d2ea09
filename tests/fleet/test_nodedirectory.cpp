#include "base/text.h"
#include "fleet/nodedirectory.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

NodeHeartbeat makeHeartbeat(const std::string &name, const std::string &zone,
                            std::uint64_t started = 1)
{
    NodeHeartbeat heartbeat;
    heartbeat.sender = { name, "10.0.0." + name, zone };
    heartbeat.started = started;
    return heartbeat;
}

/// @return all addresses that an urgent heartbeat goes to
std::vector<std::string> allTargets(NodeDirectory &directory, Instant now)
{
    HeartbeatTargets targets = directory.heartbeatTargets(true, now);
    targets.sameZone.insert(targets.sameZone.end(), targets.otherZones.begin(),
                            targets.otherZones.end());
    return targets.sameZone;
}

/// A simulated fleet in which heartbeats arrive without loss or delay, except at failed nodes.
struct Fleet
{
    /// @param strong how many of the nodes, the last ones, have four times the others' capacity
    Fleet(int count, int zones, int strong = 0)
    {
        for (int number = 0; number < count; ++number) {
            const std::string name = "n" + std::to_string(number);
            const std::string zone = "z" + std::to_string(number % zones);
            NodeInfo info { name, "ip-" + name, zone };
            if (strong > 0)
                info.capacity = number >= count - strong ? StrongCapacity : WeakCapacity;
            nodes.push_back(std::make_unique<NodeDirectory>(info, DirectorySettings {}, number));
            infos.push_back(info);
            rates.push_back(0.0);
        }
        // At the start each node knows only the first one.
        for (auto &node : nodes)
            node->onIndirectReport(infos.front(), now);
    }

    void run(Duration span)
    {
        for (const Instant end = now + span; now < end; now += 500ms) {
            for (std::size_t from = 0; from < nodes.size(); ++from)
                send(from);
        }
    }

    void send(std::size_t from)
    {
        if (failed.contains(from))
            return;
        nodes[from]->tick(now);
        nodes[from]->setOwnState(rates[from], true, now);
        const HeartbeatTargets targets = nodes[from]->heartbeatTargets(false, now);
        sent += targets.sameZone.size() + targets.otherZones.size();
        for (const bool toOtherZones : { false, true }) {
            NodeHeartbeat heartbeat;
            heartbeat.sender = infos[from];
            heartbeat.started = 1;
            heartbeat.requestsPerSecond = rates[from];
            heartbeat.others = nodes[from]->nodesToAnnounce(toOtherZones, now);
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (contains(toOtherZones ? targets.otherZones : targets.sameZone, infos[to].ip)
                    && !failed.contains(to))
                    receive(from, to, heartbeat);
            }
        }
    }

    void receive(std::size_t from, std::size_t to, const NodeHeartbeat &heartbeat)
    {
        if (!nodes[to]->onHeartbeat(heartbeat, now))
            return;
        NodeHeartbeat reply;
        reply.sender = infos[to];
        reply.started = 1;
        reply.requestsPerSecond = rates[to];
        reply.others = nodes[to]->nodesForNewPeer(infos[from].zone, now);
        sent++;
        nodes[from]->onHeartbeat(reply, now);
    }

    /// @return all addresses that nodes of the zone give to callers of the zone
    std::set<std::string> advertisedAddresses(const std::string &zone)
    {
        std::set<std::string> addresses;
        for (std::size_t each = 0; each < nodes.size(); ++each) {
            if (infos[each].zone != zone || failed.contains(each))
                continue;
            for (const std::string &ip : nodes[each]->addressesFor(zone, true, now))
                addresses.insert(ip);
        }
        return addresses;
    }

    Instant now = Start;
    std::vector<std::unique_ptr<NodeDirectory>> nodes;
    std::vector<NodeInfo> infos;
    std::vector<double> rates; // requests per second of each node
    std::set<std::size_t> failed;
    std::size_t sent = 0;

    static constexpr double WeakCapacity = 25.0;
    static constexpr double StrongCapacity = 100.0;
};

} // namespace

TEST_GROUP(NodeDirectory)
{
    NodeDirectory directory { { "1", "10.0.0.1", "a" }, {}, 5 };
};

TEST(NodeDirectory, CallersGetLiveNodesOfTheirZone)
{
    directory.onHeartbeat(makeHeartbeat("2", "a"), Start);
    directory.onHeartbeat(makeHeartbeat("3", "b"), Start);
    const auto addresses = directory.addressesFor("a", true, Start);
    CHECK_EQUAL(2, addresses.size());
    CHECK(contains(addresses, "10.0.0.2"));
}

TEST(NodeDirectory, NodesOfOtherZonesAreAddedIfAZoneHasTooFew)
{
    directory.onHeartbeat(makeHeartbeat("3", "b"), Start);
    directory.onHeartbeat(makeHeartbeat("4", "b"), Start);
    CHECK_EQUAL(2, directory.addressesFor("a", true, Start).size());
    CHECK_EQUAL(2, directory.addressesFor("c", true, Start).size());
}

TEST(NodeDirectory, SilentAndLeavingNodesAreNotGivenToCallers)
{
    directory.onHeartbeat(makeHeartbeat("2", "a"), Start);
    CHECK(!contains(directory.addressesFor("a", true, Start + 3s), "10.0.0.2"));
    NodeHeartbeat leaving = makeHeartbeat("2", "a");
    leaving.leaving = true;
    directory.onHeartbeat(leaving, Start + 3s);
    CHECK(!contains(directory.addressesFor("a", true, Start + 3s), "10.0.0.2"));
    CHECK(directory.addressesFor("a", false, Start + 3s).empty());
}

// The start time comes from the time of day, which may have been set back before the restart.
TEST(NodeDirectory, NodeThatRestartedWithItsClockSetBackIsLiveAgain)
{
    directory.onHeartbeat(makeHeartbeat("2", "a", 20'000), Start);
    for (int number = 0; number < 20; ++number)
        directory.onHeartbeat(makeHeartbeat("2", "a", 10'000), Start + 4s + number * 500ms);
    CHECK(directory.isLive("2", Start + 14s));
}

TEST(NodeDirectory, HeartbeatOfAnEarlierProcessIsIgnored)
{
    directory.onHeartbeat(makeHeartbeat("2", "a", 20), Start);
    NodeHeartbeat old = makeHeartbeat("2", "a", 10);
    old.leaving = true;
    directory.onHeartbeat(old, Start);
    CHECK(directory.isLive("2", Start));
}

TEST(NodeDirectory, HolderClaimWithTheHighestTermIsKept)
{
    NodeHeartbeat first = makeHeartbeat("2", "a");
    first.holder = { "2", "10.0.0.2", 3 };
    directory.onHeartbeat(first, Start);
    NodeHeartbeat stale = makeHeartbeat("3", "a");
    stale.holder = { "3", "10.0.0.3", 2 };
    directory.onHeartbeat(stale, Start);
    CHECK_EQUAL(std::string("2"), directory.holder().name);
    CHECK(contains(allTargets(directory, Start), "10.0.0.2"));
}

// The number of messages per node must not grow with the fleet.
TEST(NodeDirectory, HeartbeatsGoToABoundedNumberOfNodes)
{
    for (int number = 2; number <= 380; ++number)
        directory.onHeartbeat(makeHeartbeat(std::to_string(number), number % 8 == 0 ? "a" : "b"),
                              Start);
    const DirectorySettings settings;
    const HeartbeatTargets targets = directory.heartbeatTargets(true, Start);
    CHECK(targets.sameZone.size()
          <= settings.maxSameZoneTargets + settings.initialIngressNodes + settings.spareHubs + 1);
    CHECK(targets.otherZones.size() <= settings.maxOtherZoneTargets + 1);
    CHECK(directory.nodesToAnnounce(false, Start).size() <= settings.maxAnnouncedNodes);
    CHECK(directory.addressesFor("b", true, Start).size() <= settings.maxAddresses);
}

// Guards against all nodes serving callers: each announced every prompt to all others, which took
// 83 messages for one request.
TEST(NodeDirectory, NumberOfIngressNodesFollowsTheTraffic)
{
    Fleet fleet(84, 5);
    fleet.run(5s);
    for (std::size_t each = 0; each < 5; ++each)
        fleet.rates[each] = 84.0; // at first one node of each zone has all of the zone's traffic
    fleet.run(10s);
    // 84 requests per second need four nodes at 25 requests per second each.
    for (const char *zone : { "z0", "z1", "z2", "z3", "z4" })
        CHECK_EQUAL(4, fleet.advertisedAddresses(zone).size());
    CHECK(fleet.nodes[0]->ingressAddresses(fleet.now).size() <= 25);
    fleet.sent = 0;
    fleet.run(10s);
    CHECK(fleet.sent / 84 / 10 <= 25); // datagrams per second and node
}

// Guards against overloaded links: an ingress node with a 10 Mbit/s link also watched the store for
// its zone, and received its own configuration 3 s late.
TEST(NodeDirectory, StoreWatcherIsNoIngressNode)
{
    Fleet fleet(84, 5);
    fleet.run(5s);
    for (std::size_t each = 0; each < 84; ++each)
        fleet.rates[each] = 5.0;
    fleet.run(10s);
    const auto addresses = fleet.advertisedAddresses("z0");
    std::set<std::string> watchers;
    for (std::size_t each = 0; each < 84; each += 5)
        watchers.insert(fleet.nodes[each]->storeWatchers(1, fleet.now).at(0).ip);
    CHECK_EQUAL(1, watchers.size());
    CHECK(!addresses.contains(*watchers.begin()));
}

TEST(NodeDirectory, FailedIngressNodesAreReplaced)
{
    Fleet fleet(30, 3);
    fleet.run(5s);
    fleet.rates.assign(30, 2.0);
    fleet.run(10s);
    const auto before = fleet.advertisedAddresses("z1");
    CHECK_EQUAL(3, before.size());
    for (std::size_t each = 0; each < 30; ++each) {
        if (before.contains(fleet.infos[each].ip))
            fleet.failed.insert(each);
    }
    fleet.run(4s);
    const auto after = fleet.advertisedAddresses("z1");
    CHECK_EQUAL(3, after.size());
    for (const std::string &ip : after)
        CHECK(!before.contains(ip));
}

// Guards against too many lease candidates: nodes that knew the names of only a few others each
// counted themselves among the candidates and read the lease.
TEST(NodeDirectory, FewNodesCountThemselvesAsLeaseCandidates)
{
    Fleet fleet(84, 5);
    fleet.run(10s);
    int candidates = 0;
    for (std::size_t each = 0; each < 84; ++each)
        candidates +=
                contains(fleet.nodes[each]->leaseCandidates(3, fleet.now), fleet.infos[each].name);
    CHECK(candidates >= 3);
    CHECK(candidates <= 6);
}

TEST(NodeDirectory, NodesThatDoNotReachTheStoreAreChosenLast)
{
    NodeHeartbeat disconnected = makeHeartbeat("2", "a");
    disconnected.storeReached = false;
    directory.onHeartbeat(disconnected, Start);
    directory.onHeartbeat(makeHeartbeat("3", "a"), Start);
    for (const NodeInfo &first : directory.storeWatchers(2, Start))
        CHECK(first.name != "2");
    CHECK_EQUAL(3, directory.storeWatchers(3, Start).size());
    CHECK(!contains(directory.leaseCandidates(2, Start), "2"));
}

// Guards against an empty list of candidates in an outage of the store, when no node reaches it: no
// candidate was left to take the lease when the outage ended.
TEST(NodeDirectory, LeaseCandidatesExistWhenNoNodeReachesTheStore)
{
    NodeHeartbeat disconnected = makeHeartbeat("2", "a");
    disconnected.storeReached = false;
    directory.onHeartbeat(disconnected, Start);
    directory.setOwnState(0.0, false, Start);
    CHECK_EQUAL(2, directory.leaseCandidates(3, Start).size());
}

// Guards against ranking only nodes that send heartbeats to this one. Each node received heartbeats
// only from its peers in a ring and ranked itself first in its zone, so that all nodes watched the
// store.
TEST(NodeDirectory, NodesOfAZoneChooseTheSameStoreWatchers)
{
    NodeDirectory indirect { { "9", "10.0.0.9", "a" }, {}, 6 };
    NodeHeartbeat announced = makeHeartbeat("8", "a");
    announced.others = { { "1", "10.0.0.1", "a" },
                         { "2", "10.0.0.2", "a" },
                         { "3", "10.0.0.3", "a" } };
    indirect.onHeartbeat(announced, Start);
    for (const char *name : { "2", "3", "8", "9" })
        directory.onHeartbeat(makeHeartbeat(name, "a"), Start);
    const auto first = indirect.storeWatchers(2, Start);
    const auto agreed = directory.storeWatchers(2, Start);
    CHECK_EQUAL(agreed.at(0).name, first.at(0).name);
    CHECK_EQUAL(agreed.at(1).name, first.at(1).name);
    // No heartbeat has named the others for longer than mentionTimeout.
    CHECK_EQUAL(1, indirect.storeWatchers(2, Start + 6s).size());
}

TEST(NodeDirectory, NodesNamedByOthersGetHeartbeatsButAreNotLive)
{
    NodeHeartbeat announced = makeHeartbeat("2", "b");
    announced.others = { { "9", "10.0.0.9", "a" } };
    directory.onHeartbeat(announced, Start);
    CHECK(contains(allTargets(directory, Start), "10.0.0.9"));
    CHECK(!directory.isLive("9", Start)); // it has sent no heartbeat itself
}

// The fleet of 295 nodes gave callers, the watch on the store and the lease to its smallest VMs,
// the first by a hash of the name, while 15 VMs with four times the processor were idle.
TEST(NodeDirectory, RolesGoToTheNodesWithTheMostCapacity)
{
    Fleet fleet(90, 3, 9);
    fleet.run(5s);
    fleet.rates.assign(90, 8.0); // 240 requests per second in each zone
    fleet.run(10s);
    const auto isStrong = [&](const std::string &ip) {
        return std::any_of(fleet.infos.end() - 9, fleet.infos.end(),
                           [&](const NodeInfo &info) { return info.ip == ip; });
    };
    for (const char *zone : { "z0", "z1", "z2" }) {
        const auto addresses = fleet.advertisedAddresses(zone);
        CHECK_EQUAL(3, addresses.size());
        CHECK(std::all_of(addresses.begin(), addresses.end(), isStrong));
    }
    CHECK(isStrong(fleet.nodes[0]->storeWatchers(1, fleet.now).at(0).ip));
    for (const std::string &name : fleet.nodes[0]->leaseCandidates(2, fleet.now))
        CHECK(isStrong("ip-" + name));
}

// The holder of the lease planned for 140 replicas while it also served callers, and sent a request
// 1.2 s after its deadline.
TEST(NodeDirectory, TheHolderTakesNoCallersWhileOthersCan)
{
    Fleet fleet(90, 3, 9);
    fleet.run(5s);
    const NodeInfo holder = fleet.infos.back();
    for (auto &node : fleet.nodes)
        node->setHolder({ holder.name, holder.ip, 1 });
    fleet.rates.assign(90, 8.0);
    fleet.run(10s);
    const auto addresses = fleet.advertisedAddresses(holder.zone);
    CHECK(!addresses.contains(holder.ip));
    CHECK_EQUAL(4, addresses.size()); // two with much capacity and two with little
    CHECK(fleet.nodes[89]->storeWatchers(1, fleet.now).at(0).ip != holder.ip);
}

TEST(NodeDirectory, TheHolderOfASmallZoneTakesCallersToo)
{
    directory.onHeartbeat(makeHeartbeat("2", "a"), Start);
    directory.onHeartbeat(makeHeartbeat("3", "a"), Start);
    directory.setHolder({ "2", "10.0.0.2", 1 });
    CHECK(contains(directory.addressesFor("a", true, Start), "10.0.0.2"));
}
