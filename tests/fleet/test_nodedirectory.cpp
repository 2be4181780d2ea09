#include "base/text.h"
#include "fleet/nodedirectory.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

NodeBeat beat(const std::string &name, const std::string &zone, std::uint64_t started = 1)
{
    NodeBeat made;
    made.sender = { name, "10.0.0." + name, zone };
    made.started = started;
    return made;
}

/// @return addresses of a heartbeat that goes to all
std::vector<std::string> allTargets(NodeDirectory &directory, Instant now)
{
    BeatTargets targets = directory.beatTargets(true, now);
    targets.near.insert(targets.near.end(), targets.far.begin(), targets.far.end());
    return targets.near;
}

/// A fleet in which every node hears what the others send.
struct Fleet
{
    Fleet(int count, int zones)
    {
        for (int number = 0; number < count; ++number) {
            const std::string name = "n" + std::to_string(number);
            const std::string zone = "z" + std::to_string(number % zones);
            nodes.push_back(std::make_unique<NodeDirectory>(NodeInfo { name, "ip-" + name, zone },
                                                            DirectorySettings {}, number));
            infos.push_back({ name, "ip-" + name, zone });
            rates.push_back(0.0);
        }
        // Each knows the first one only.
        for (auto &node : nodes)
            node->onHint(infos.front(), now);
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
        if (gone.contains(from))
            return;
        nodes[from]->tick(now);
        nodes[from]->setOwn(rates[from], true, now);
        const BeatTargets targets = nodes[from]->beatTargets(false, now);
        sent += targets.near.size() + targets.far.size();
        for (const bool far : { false, true }) {
            NodeBeat made;
            made.sender = infos[from];
            made.started = 1;
            made.requestsPerSecond = rates[from];
            made.others = nodes[from]->nodesToTell(far, now);
            for (std::size_t to = 0; to < nodes.size(); ++to) {
                if (contains(far ? targets.far : targets.near, infos[to].ip) && !gone.contains(to))
                    receive(from, to, made);
            }
        }
    }

    void receive(std::size_t from, std::size_t to, const NodeBeat &made)
    {
        if (!nodes[to]->onBeat(made, now))
            return;
        NodeBeat welcome;
        welcome.sender = infos[to];
        welcome.started = 1;
        welcome.requestsPerSecond = rates[to];
        welcome.others = nodes[to]->nodesToWelcome(infos[from].zone, now);
        sent++;
        nodes[from]->onBeat(welcome, now);
    }

    /// @return every address that any node of the zone gives its callers
    std::set<std::string> given(const std::string &zone)
    {
        std::set<std::string> addresses;
        for (std::size_t each = 0; each < nodes.size(); ++each) {
            if (infos[each].zone != zone || gone.contains(each))
                continue;
            for (const std::string &ip : nodes[each]->addressesFor(zone, true, now))
                addresses.insert(ip);
        }
        return addresses;
    }

    Instant now = Start;
    std::vector<std::unique_ptr<NodeDirectory>> nodes;
    std::vector<NodeInfo> infos;
    std::vector<double> rates; // requests a second
    std::set<std::size_t> gone;
    std::size_t sent = 0;
};

} // namespace

TEST_GROUP(NodeDirectory)
{
    NodeDirectory directory { { "1", "10.0.0.1", "a" }, {}, 5 };
};

TEST(NodeDirectory, CallersGetLiveNodesOfTheirZone)
{
    directory.onBeat(beat("2", "a"), Start);
    directory.onBeat(beat("3", "b"), Start);
    const auto addresses = directory.addressesFor("a", true, Start);
    CHECK_EQUAL(2, addresses.size());
    CHECK(contains(addresses, "10.0.0.2"));
}

TEST(NodeDirectory, OthersAreAddedWhereAZoneHasTooFew)
{
    directory.onBeat(beat("3", "b"), Start);
    directory.onBeat(beat("4", "b"), Start);
    CHECK_EQUAL(2, directory.addressesFor("a", true, Start).size());
    CHECK_EQUAL(2, directory.addressesFor("c", true, Start).size());
}

TEST(NodeDirectory, SilentAndLeavingNodesAreLeftOut)
{
    directory.onBeat(beat("2", "a"), Start);
    CHECK(!contains(directory.addressesFor("a", true, Start + 3s), "10.0.0.2"));
    NodeBeat leaving = beat("2", "a");
    leaving.leaving = true;
    directory.onBeat(leaving, Start + 3s);
    CHECK(!contains(directory.addressesFor("a", true, Start + 3s), "10.0.0.2"));
    CHECK(directory.addressesFor("a", false, Start + 3s).empty());
}

TEST(NodeDirectory, AnOldProcessDoesNotSpeakForTheNewOne)
{
    directory.onBeat(beat("2", "a", 20), Start);
    NodeBeat old = beat("2", "a", 10);
    old.leaving = true;
    directory.onBeat(old, Start);
    CHECK(directory.isLive("2", Start));
}

TEST(NodeDirectory, TheNewestHolderIsKnown)
{
    NodeBeat first = beat("2", "a");
    first.holder = { "2", "10.0.0.2", 3 };
    directory.onBeat(first, Start);
    NodeBeat stale = beat("3", "a");
    stale.holder = { "3", "10.0.0.3", 2 };
    directory.onBeat(stale, Start);
    CHECK_EQUAL(std::string("2"), directory.holder().name);
    CHECK(contains(allTargets(directory, Start), "10.0.0.2"));
}

// Messages a node must not grow with the fleet.
TEST(NodeDirectory, HeartbeatsGoToABoundedNumberOfNodes)
{
    for (int number = 2; number <= 380; ++number)
        directory.onBeat(beat(std::to_string(number), number % 8 == 0 ? "a" : "b"), Start);
    const DirectorySettings settings;
    const BeatTargets targets = directory.beatTargets(true, Start);
    CHECK(targets.near.size()
          <= settings.nearPeers + settings.ingressAtFirst + settings.spareHubs + 1);
    CHECK(targets.far.size() <= settings.farPeers + 1);
    CHECK(directory.nodesToTell(false, Start).size() <= settings.othersTold);
    CHECK(directory.addressesFor("b", true, Start).size() <= settings.addressesMost);
}

// Every node took callers and told all others of every prompt: 83 notes for one request.
TEST(NodeDirectory, AsManyNodesTakeCallersAsTheirTrafficNeeds)
{
    Fleet fleet(84, 5);
    fleet.run(5s);
    for (std::size_t each = 0; each < 5; ++each)
        fleet.rates[each] = 84.0; // one node of each zone has it all at first
    fleet.run(10s);
    for (const char *zone : { "z0", "z1", "z2", "z3", "z4" })
        CHECK_EQUAL(4, fleet.given(zone).size()); // 84 a second at 25 a node
    CHECK(fleet.nodes[0]->ingressAddresses(fleet.now).size() <= 25);
    fleet.sent = 0;
    fleet.run(10s);
    CHECK(fleet.sent / 84 / 10 <= 25); // datagrams a second and node
}

// An ingress node with a link of 10 Mbit/s watched the store for its zone: its own configuration
// came 3 s late.
TEST(NodeDirectory, WhoWatchesTheStoreTakesNoCallers)
{
    Fleet fleet(84, 5);
    fleet.run(5s);
    for (std::size_t each = 0; each < 84; ++each)
        fleet.rates[each] = 5.0;
    fleet.run(10s);
    const auto given = fleet.given("z0");
    std::set<std::string> watchers;
    for (std::size_t each = 0; each < 84; each += 5)
        watchers.insert(fleet.nodes[each]->firstOfZone(1, fleet.now).at(0).ip);
    CHECK_EQUAL(1, watchers.size());
    CHECK(!given.contains(*watchers.begin()));
}

TEST(NodeDirectory, AnotherNodeTakesThePlaceOfOneThatFailed)
{
    Fleet fleet(30, 3);
    fleet.run(5s);
    fleet.rates.assign(30, 2.0);
    fleet.run(10s);
    const auto before = fleet.given("z1");
    CHECK_EQUAL(3, before.size());
    for (std::size_t each = 0; each < 30; ++each) {
        if (before.contains(fleet.infos[each].ip))
            fleet.gone.insert(each);
    }
    fleet.run(4s);
    const auto after = fleet.given("z1");
    CHECK_EQUAL(3, after.size());
    for (const std::string &ip : after)
        CHECK(!before.contains(ip));
}

// With names of a few nodes only, each took itself for one of the first and read the lease.
TEST(NodeDirectory, FewTakeThemselvesForTheFirst)
{
    Fleet fleet(84, 5);
    fleet.run(10s);
    int candidates = 0;
    for (std::size_t each = 0; each < 84; ++each)
        candidates += contains(fleet.nodes[each]->firstNames(3, fleet.now), fleet.infos[each].name);
    CHECK(candidates >= 3);
    CHECK(candidates <= 6);
}

TEST(NodeDirectory, WhoDoesNotReachTheStoreIsNotAskedForIt)
{
    NodeBeat cut = beat("2", "a");
    cut.storeReached = false;
    directory.onBeat(cut, Start);
    directory.onBeat(beat("3", "a"), Start);
    for (const NodeInfo &first : directory.firstOfZone(2, Start))
        CHECK(first.name != "2");
    CHECK_EQUAL(3, directory.firstOfZone(3, Start).size());
    CHECK(!contains(directory.firstNames(2, Start), "2"));
}

// In an outage of the store all nodes are cut from it, and nobody was left to take the lease after
// it.
TEST(NodeDirectory, WhenNobodyReachesTheStoreSomebodyIsFirst)
{
    NodeBeat cut = beat("2", "a");
    cut.storeReached = false;
    directory.onBeat(cut, Start);
    directory.setOwn(0.0, false, Start);
    CHECK_EQUAL(2, directory.firstNames(3, Start).size());
}

// Each node heard only its ring neighbours, took itself for the first of its zone, and all watched
// the store.
TEST(NodeDirectory, AllNodesOfAZoneAgreeWhoIsFirst)
{
    NodeDirectory far { { "9", "10.0.0.9", "a" }, {}, 6 };
    NodeBeat told = beat("8", "a");
    told.others = { { "1", "10.0.0.1", "a" }, { "2", "10.0.0.2", "a" }, { "3", "10.0.0.3", "a" } };
    far.onBeat(told, Start);
    for (const char *name : { "2", "3", "8", "9" })
        directory.onBeat(beat(name, "a"), Start);
    const auto first = far.firstOfZone(2, Start);
    const auto agreed = directory.firstOfZone(2, Start);
    CHECK_EQUAL(agreed.at(0).name, first.at(0).name);
    CHECK_EQUAL(agreed.at(1).name, first.at(1).name);
    CHECK_EQUAL(1, far.firstOfZone(2, Start + 6s).size()); // nobody named them since
}

TEST(NodeDirectory, FindsNodesThatOthersName)
{
    NodeBeat told = beat("2", "b");
    told.others = { { "9", "10.0.0.9", "a" } };
    directory.onBeat(told, Start);
    CHECK(contains(allTargets(directory, Start), "10.0.0.9"));
    CHECK(!directory.isLive("9", Start)); // it has not been heard itself
}
