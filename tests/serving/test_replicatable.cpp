#include "serving/replicatable.h"
#include "support/replicas.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

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

TEST(ReplicaTable, KeepsUnlistedReplicaForGracePeriodIfSourceIsDisturbed)
{
    table.onAnnounced(replica("r1"), Start);
    table.onDelisted("r1", Start, Start);
    table.tick(Start + 1s);
    CHECK(table.find("r1") != nullptr);
    CHECK(table.isUsable(*table.find("r1"), Start + 1s));
    // Placement counted the copies of removed replicas as present when tick() did not return them.
    const auto removed = table.tick(Start + 2s);
    CHECK_EQUAL(1, removed.size());
    CHECK_EQUAL(std::string("r1"), removed.at(0).first);
    CHECK(table.find("r1") == nullptr);
}

TEST(ReplicaTable, GracePeriodRunsFromTheReturnOfTheSourceNotFromTheNews)
{
    table.onAnnounced(replica("r1"), Start);
    table.onAnnounced(replica("r2"), Start);
    table.onDelisted("r1", Start, Start + 1'700ms);
    CHECK(table.isUsable(*table.find("r1"), Start + 1'700ms));
    CHECK(!table.isUsable(*table.find("r1"), Start + 1'800ms)); // also before the next tick
    table.onDelisted("r2", Start, Start + 1'800ms);
    CHECK(table.find("r2") == nullptr);
}

TEST(ReplicaTable, KeepsUnlistedReplicaWhileSourceIsUnreachable)
{
    table.onAnnounced(replica("r1"), Start);
    table.onDelisted("r1", Start, Start);
    for (int second = 0; second < 10; ++second) {
        table.extendGracePeriods(Start + second * 1s);
        table.tick(Start + second * 1s);
    }
    CHECK(table.find("r1") != nullptr);
}

TEST(ReplicaTable, RemovesUnlistedReplicaAtOnceIfSourceIsStable)
{
    table.onAnnounced(replica("r1"), Start);
    table.onDelisted("r1", {}, Start);
    CHECK(table.find("r1") == nullptr);
    CHECK(table.replicasOfService("pool").empty());
}

TEST(ReplicaTable, IgnoresWithdrawnDrain)
{
    ReplicaInfo info = replica("r1");
    info.draining = true;
    table.onAnnounced(info, Start);
    info.draining = false;
    table.onAnnounced(info, Start + 1s);
    CHECK(!table.isUsable(*table.find("r1"), Start + 1s));
}

TEST(ReplicaTable, AnnouncedDrainHoldsWhenAnOlderListShowsTheReplicaAsReady)
{
    ReplicaInfo info = replica("r1");
    info.draining = true;
    table.onAnnounced(info, Start);
    table.onDelisted("r1", {}, Start + 1s);
    info.draining = false;
    table.onAnnounced(info, Start + 2s);
    CHECK(!table.isUsable(*table.find("r1"), Start + 2s));
    info.startedMs = 2;
    table.onAnnounced(info, Start + 3s);
    CHECK(table.isUsable(*table.find("r1"), Start + 3s));
}

TEST(ReplicaTable, RestartUnderTheSameIdGetsANewGeneration)
{
    table.onAnnounced(replica("r1"), Start);
    const auto generation = table.find("r1")->generation;
    table.onSent("r1", 100, Start);
    ReplicaInfo restarted = replica("r1");
    restarted.startedMs = 2;
    table.onAnnounced(restarted, Start + 1s);
    CHECK(table.find("r1")->generation != generation);
    CHECK_EQUAL(0, table.find("r1")->inFlight);
    // The request was sent to the previous process.
    table.onFinished("r1", generation, ReplicaOutcome::Served, Start + 2s);
    CHECK_EQUAL(0, table.find("r1")->inFlight);
}

// Guards against sending requests to a copy that is being unloaded: it stays listed until its last
// requests have finished, and rejects new ones.
TEST(ReplicaTable, CopyBeingUnloadedIsNotHeldWhileItIsListed)
{
    const ReplicaInfo listed = replica("r1", { { "m1", { "a1" } } });
    table.onAnnounced(listed, Start);
    table.onCopyUnloading("r1", "m1", Start);
    table.onAnnounced(listed, Start + 3s);
    CHECK(!table.holds(*table.find("r1"), "m1", "", Start + 3s));
    table.onAnnounced(replica("r1"), Start + 4s);
    table.onAnnounced(listed, Start + 6s); // loaded anew
    CHECK(table.holds(*table.find("r1"), "m1", "", Start + 6s));
}

TEST(ReplicaTable, LoadedAdapterIsHeldBeforeItIsListed)
{
    table.onAnnounced(replica("r1", { { "m1", {} } }), Start);
    table.onCopyAdded("r1", "m1/a1", Start + 40ms);
    CHECK(!table.holds(*table.find("r1"), "m1", "a1", Start));
    CHECK(table.holds(*table.find("r1"), "m1", "a1", Start + 40ms));
}

TEST(ReplicaTable, PrefillAheadIncludesPromptsOfAllNodes)
{
    table.onAnnounced(replica("r1"), Start);
    table.onSent("r1", 1'800, Start);
    table.onPromptAssigned("r1", 1'800, Start); // announced by a peer
    const auto readTime = table.prefillTime(*table.find("r1"), 1'800, Start);
    CHECK(table.prefillAhead(*table.find("r1"), Start) == 2 * readTime);
    CHECK(table.prefillAhead(*table.find("r1"), Start + readTime) == readTime);
    CHECK_EQUAL(1, table.find("r1")->inFlight);
}

TEST(ReplicaTable, OwnCountsReplaceOldLoadReports)
{
    table.onAnnounced(replica("r1"), Start);
    table.onLoadReport("r1", { 6, 2, 8 }, Start);
    CHECK(table.estimatedLoad(*table.find("r1"), Start) > 7.9);
    CHECK(table.estimatedLoad(*table.find("r1"), Start + 10s) < 0.1);
}

TEST(ReplicaTable, ReturnsWhenACopyIsExpected)
{
    table.onAnnounced(replica("r1"), Start);
    CHECK(table.copyExpectedAt("pool", "m1", Start) == Instant::max());
    table.onCopyLoading("r1", "m1", Start + 2s);
    CHECK(table.copyExpectedAt("pool", "m1", Start) == Start + 2s);
    CHECK(table.copyExpectedAt("pool", "m1", Start + 7s) == Instant::max()); // counts as failed
}

TEST(ReplicaTable, GetsNoRequestsUntilThePauseThatItAskedForEnds)
{
    table.onAnnounced(replica("r1"), Start);
    const std::uint64_t generation = table.find("r1")->generation;
    CHECK(table.onPauseRequested("r1", generation, 2s, Start) == Start + 2s);
    table.onPauseRequested("r1", generation, 1s, Start); // does not shorten the pause
    table.onFirstByte("r1", generation, 1.0, Start);
    CHECK(!table.isUsable(*table.find("r1"), Start + 1'999ms));
    CHECK(table.isUsable(*table.find("r1"), Start + 2s));
}

TEST(ReplicaTable, PlainReplicaThatWasSlowOnceIsNotPassedOverForGood)
{
    ReplicaInfo info = replica("r1");
    info.models.clear();
    table.onAnnounced(info, Start);
    table.onFirstByte("r1", table.find("r1")->generation, 30.0, Start);
    CHECK(table.slowness(*table.find("r1"), Start) > 2.0);
    CHECK(table.slowness(*table.find("r1"), Start + 2s) < 1.1);
}

TEST(ReplicaTable, APauseSurvivesTheListAndEndsWithTheProcess)
{
    table.onAnnounced(replica("r1"), Start);
    table.onPauseRequested("r1", table.find("r1")->generation, 2s, Start);
    table.onDelisted("r1", {}, Start);
    table.tick(Start + 100ms);
    table.onAnnounced(replica("r1"), Start + 1s);
    CHECK(table.isPaused("r1", Start + 1s));
    ReplicaInfo restarted = replica("r1");
    restarted.startedMs = 2;
    table.onAnnounced(restarted, Start + 1s);
    CHECK(!table.isPaused("r1", Start + 1s));
}

TEST(ReplicaTable, APauseIsBoundedAndIgnoredForAnEarlierProcess)
{
    table.onAnnounced(replica("r1"), Start);
    const std::uint64_t generation = table.find("r1")->generation;
    CHECK(table.onPauseRequested("r1", generation + 1, 2s, Start) == Instant {});
    CHECK(table.onPauseRequested("r1", generation, 24h, Start) == Start + 5min);
}

TEST(ReplicaTable, AReplicaThatSaidItLeavesGetsNoRequestsAfterItsDrainTime)
{
    table.onAnnounced(replica("r1"), Start);
    const std::uint64_t generation = table.find("r1")->generation;
    CHECK(table.onLeaving("r1", generation, Start + 2s, Start));
    CHECK(!table.onLeaving("r1", generation, Start + 3s, Start + 1s)); // the first answer counts
    table.onAnnounced(replica("r1"), Start + 1s);                      // still listed as ready
    CHECK(table.isUsable(*table.find("r1"), Start + 1'999ms));
    CHECK(!table.isUsable(*table.find("r1"), Start + 2s));
}

TEST(ReplicaTable, LeavingSurvivesTheListAndEndsWithTheProcess)
{
    table.onAnnounced(replica("r1"), Start);
    table.onLeaving("r1", table.find("r1")->generation, Start + 2s, Start);
    table.onDelisted("r1", {}, Start + 1s);
    table.tick(Start + 2s);
    table.onAnnounced(replica("r1"), Start + 3s);
    CHECK(!table.isUsable(*table.find("r1"), Start + 3s));
    ReplicaInfo restarted = replica("r1");
    restarted.startedMs = 2;
    table.onAnnounced(restarted, Start + 4s);
    CHECK(table.isUsable(*table.find("r1"), Start + 4s));
}

// With 240 replicas the choice looked at each of them for every request and every queued one.
TEST(ReplicaTable, OnlyReplicasThatMayHoldAModelAreLookedAt)
{
    for (int number = 0; number < 240; ++number)
        table.onAnnounced(replica("r" + std::to_string(number),
                                  { { "m" + std::to_string(number % 80), {} } }),
                          Start);
    CHECK_EQUAL(3, table.replicasOfModel("pool", "m7").size());
    CHECK(table.replicasOfModel("pool", "unknown").empty());
    CHECK_EQUAL(240, table.replicasOfModel("pool", "").size());
}

TEST(ReplicaTable, EveryReplicaThatHoldsAModelIsLookedAt)
{
    CHECK(rc::check("the index by model agrees with a search of all rows", [] {
        ReplicaTable checked;
        Instant now = Start;
        for (int step = 0; step < 80; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
            const std::string id = "r" + std::to_string(*rc::gen::inRange(0, 4));
            const std::string model = "m" + std::to_string(*rc::gen::inRange(0, 3));
            const std::string copy = copyName(model, *rc::gen::inRange(0, 2) == 0 ? "" : "a1");
            switch (*rc::gen::inRange(0, 6)) {
            case 0: {
                ReplicaInfo info = replica(id, { { model, { "a1" } }, { "m0", {} } });
                info.startedMs = static_cast<std::uint64_t>(*rc::gen::inRange(1, 3));
                checked.onAnnounced(info, now);
                break;
            }
            case 1:
                checked.onAnnounced(replica(id), now);
                break;
            case 2:
                checked.onDelisted(id, {}, now);
                break;
            case 3:
                checked.onCopyAdded(id, copy, now);
                break;
            case 4:
                checked.onCopyDenied(id, copy, now);
                break;
            default:
                checked.onCopyUnloading(id, copy, now);
                break;
            }
            for (const char *each : { "m0", "m1", "m2" }) {
                const auto &found = checked.replicasOfModel("pool", each);
                const std::set<std::string> ids(found.begin(), found.end());
                RC_ASSERT(ids.size() == found.size());
                for (const std::string &one : found)
                    RC_ASSERT(checked.find(one) != nullptr);
                for (const auto &[one, row] : checked.rows()) {
                    const bool holds = checked.holds(row, each, "", now)
                            || checked.holds(row, each, "a1", now);
                    RC_ASSERT(!holds || ids.contains(one));
                }
            }
        }
    }));
}

// Guards against one reading, an absurd one or an old one that decides over a replica's speed.
TEST(ReplicaTable, StatedWorkTimeIsSmoothedBoundedAndFades)
{
    table.onAnnounced(replica("r1"), Start);
    const auto ratio = [&](Instant now) {
        return table.workRatio(*table.find("r1"), now);
    };
    table.onLoadReport("r1", { 1, 0, 8 }, Start);
    CHECK_EQUAL(1.0, ratio(Start));
    table.onLoadReport("r1", { 1, 0, 8, 2'000'000'000 }, Start);
    CHECK(ratio(Start) > 1.5 && ratio(Start) < 2.0); // the weight of one report
    CHECK(ratio(Start + 4s) < 1.01);
    for (int i = 0; i < 1'000; ++i)
        table.onLoadReport("r1", { 1, 0, 8, 2'000'000'000 }, Start);
    CHECK(ratio(Start) <= 4.0);
    for (int i = 0; i < 1'000; ++i)
        table.onLoadReport("r1", { 1, 0, 8, 1 }, Start);
    CHECK(ratio(Start) >= 0.5);
    const std::uint64_t generation = table.find("r1")->generation;
    for (int i = 0; i < 100; ++i) // it states half of the usual time and takes three times that
        table.onFirstByte("r1", generation, 6.0, Start);
    CHECK(ratio(Start) > 2.9 && ratio(Start) < 3.1);
    CHECK(ratio(Start + 2s) > 2.0); // a slow replica is known as such for seconds, not for good
    CHECK(ratio(Start + 1min) < 1.01);
}

TEST(ReplicaTable, AWithdrawnPromptIsTakenBackAfterTheWorkTimeChanged)
{
    table.onAnnounced(replica("r1"), Start);
    table.onPromptAssigned("r1", 900, Start);
    const auto before = table.prefillAhead(*table.find("r1"), Start);
    table.onPromptAssigned("r1", 1'800, Start);
    table.onLoadReport("r1", { 1, 0, 8, 300 }, Start);
    table.onPromptWithdrawn("r1", 1'800, Start);
    CHECK(table.prefillAhead(*table.find("r1"), Start) == before);
    CHECK(table.recentPrefill(*table.find("r1"), 300ms, Start) == before);
    table.onPromptWithdrawn("r1", 700, Start); // never assigned
    CHECK(table.prefillAhead(*table.find("r1"), Start) == before);
}
