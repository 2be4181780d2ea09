#include "fleet/nodedirectory.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

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

bool contains(const std::vector<std::string> &list, const std::string &text)
{
    return std::find(list.begin(), list.end(), text) != list.end();
}

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
    CHECK(contains(directory.beatTargets(Start), "10.0.0.2"));
}

// Messages a node must not grow with the fleet.
TEST(NodeDirectory, HeartbeatsGoToABoundedNumberOfNodes)
{
    for (int number = 2; number <= 380; ++number)
        directory.onBeat(beat(std::to_string(number), number % 8 == 0 ? "a" : "b"), Start);
    const DirectorySettings settings;
    CHECK(directory.beatTargets(Start).size() <= settings.zonePeers + settings.otherPeers + 1);
    CHECK(directory.nodesToTell(Start).size() <= settings.othersTold);
    CHECK(directory.addressesFor("b", true, Start).size() <= settings.addressesMost);
}

// Each node heard only its ring neighbours, took itself for the first of its zone, and all watched
// the store.
TEST(NodeDirectory, AllNodesOfAZoneAgreeWhoIsFirst)
{
    NodeDirectory far { { "9", "10.0.0.9", "a" }, {}, 6 };
    NodeBeat told = beat("8", "a");
    told.others = { { "1", "10.0.0.1", "a" }, { "2", "10.0.0.2", "a" }, { "3", "10.0.0.3", "a" } };
    far.onBeat(told, Start);
    const auto first = far.firstOfZone(2, Start);
    CHECK_EQUAL(std::string("1"), first.at(0).name);
    CHECK_EQUAL(std::string("2"), first.at(1).name);
    CHECK_EQUAL(1, far.firstOfZone(2, Start + 6s).size()); // nobody named them since
}

TEST(NodeDirectory, FindsNodesThatOthersName)
{
    NodeBeat told = beat("2", "b");
    told.others = { { "9", "10.0.0.9", "a" } };
    directory.onBeat(told, Start);
    CHECK(contains(directory.beatTargets(Start), "10.0.0.9"));
    CHECK(!directory.isLive("9", Start)); // it has not been heard itself
}
