#include "serving/replicatable.h"
#include "support/replicas.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

ReplicaInfo replica(const std::string &id, std::vector<ModelCopy> models = {})
{
    return poolReplica(id, std::move(models), 8);
}

} // namespace

TEST_GROUP(ReplicaTable)
{
    ReplicaTable table;
};

TEST(ReplicaTable, KeepsAReplicaThatVanishesWhileItsSourceIsDisturbed)
{
    table.onAnnounced(replica("r1"), Start);
    table.onMissing("r1", true, Start);
    table.tick(Start + 1s);
    CHECK(table.find("r1") != nullptr);
    CHECK(table.usable(*table.find("r1"), Start + 1s));
    const auto dropped = table.tick(Start + 2s); // placement counted on its copies without this
    CHECK_EQUAL(1, dropped.size());
    CHECK_EQUAL(std::string("r1"), dropped.at(0).first);
    CHECK(table.find("r1") == nullptr);
}

TEST(ReplicaTable, KeepsItAsLongAsTheSourceIsAway)
{
    table.onAnnounced(replica("r1"), Start);
    table.onMissing("r1", true, Start);
    for (int second = 0; second < 10; ++second) {
        table.holdMissing(Start + second * 1s);
        table.tick(Start + second * 1s);
    }
    CHECK(table.find("r1") != nullptr);
}

TEST(ReplicaTable, DropsAtOnceWhatACalmSourceDoesNotList)
{
    table.onAnnounced(replica("r1"), Start);
    table.onMissing("r1", false, Start);
    CHECK(table.find("r1") == nullptr);
    CHECK(table.ofService("pool").empty());
}

TEST(ReplicaTable, DrainingIsNotTakenBack)
{
    ReplicaInfo info = replica("r1");
    info.draining = true;
    table.onAnnounced(info, Start);
    info.draining = false;
    table.onAnnounced(info, Start + 1s);
    CHECK(!table.usable(*table.find("r1"), Start + 1s));
}

TEST(ReplicaTable, ARestartUnderTheSameIdIsANewProcess)
{
    table.onAnnounced(replica("r1"), Start);
    const auto generation = table.find("r1")->generation;
    table.onSent("r1", 100, Start);
    ReplicaInfo again = replica("r1");
    again.startedMs = 2;
    table.onAnnounced(again, Start + 1s);
    CHECK(table.find("r1")->generation != generation);
    CHECK_EQUAL(0, table.find("r1")->inFlight);
    table.onFinished("r1", generation, ReplicaOutcome::Served, Start + 2s); // of the process before
    CHECK_EQUAL(0, table.find("r1")->inFlight);
}

// Requests were sent again to a copy that waited for its last runs, and rejected.
TEST(ReplicaTable, ACopyOrderedOutGetsNothingWhileItIsStillListed)
{
    const ReplicaInfo listed = replica("r1", { { "m1", { "a1" } } });
    table.onAnnounced(listed, Start);
    table.onCopyLeaving("r1", "m1", Start);
    table.onAnnounced(listed, Start + 3s);
    CHECK(!table.holds(*table.find("r1"), "m1", "", Start + 3s));
    table.onAnnounced(replica("r1"), Start + 4s);
    table.onAnnounced(listed, Start + 6s); // loaded anew
    CHECK(table.holds(*table.find("r1"), "m1", "", Start + 6s));
}

TEST(ReplicaTable, AnAdapterIsUsableOnceItIsLoadedThoughNotListed)
{
    table.onAnnounced(replica("r1", { { "m1", {} } }), Start);
    table.onCopyAdded("r1", "m1/a1", Start + 40ms);
    CHECK(!table.holds(*table.find("r1"), "m1", "a1", Start));
    CHECK(table.holds(*table.find("r1"), "m1", "a1", Start + 40ms));
}

TEST(ReplicaTable, PromptsOfAllNodesAddUp)
{
    table.onAnnounced(replica("r1"), Start);
    table.onSent("r1", 1'800, Start);
    table.onPrompt("r1", 1'800, Start); // told by another node
    const auto one = table.prefillTime(*table.find("r1"), 1'800);
    CHECK(table.prefillAhead(*table.find("r1"), Start) == 2 * one);
    CHECK(table.prefillAhead(*table.find("r1"), Start + one) == one);
    CHECK_EQUAL(1, table.find("r1")->inFlight);
}

TEST(ReplicaTable, OldLoadReadingsGiveWayToOwnCounts)
{
    table.onAnnounced(replica("r1"), Start);
    table.onLoad("r1", { 6, 2, 8 }, Start);
    CHECK(table.estimatedLoad(*table.find("r1"), Start) > 7.9);
    CHECK(table.estimatedLoad(*table.find("r1"), Start + 10s) < 0.1);
}

TEST(ReplicaTable, TellsWhenACopyIsExpected)
{
    table.onAnnounced(replica("r1"), Start);
    CHECK(table.copyExpectedAt("pool", "m1", Start) == Instant::max());
    table.onCopyComing("r1", "m1", Start + 2s);
    CHECK(table.copyExpectedAt("pool", "m1", Start) == Start + 2s);
    CHECK(table.copyExpectedAt("pool", "m1", Start + 7s) == Instant::max()); // it failed
}
