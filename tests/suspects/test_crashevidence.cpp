#include "suspects/crashevidence.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

BrokenRun brokenRun(const std::string &replica, bool isAnswered = false)
{
    BrokenRun broken;
    broken.replica = replica;
    broken.startedMs = 1;
    broken.isAnswered = isAnswered;
    return broken;
}

} // namespace

TEST_GROUP(CrashEvidence)
{
    CrashEvidence evidence;

    ReplicaFate onlyFate()
    {
        const auto verdicts = evidence.takeVerdicts();
        CHECK_EQUAL(1, verdicts.size());
        return verdicts.front().fate;
    }
};

TEST(CrashEvidence, RefusedConnectionShowsThatTheProcessEnded)
{
    CHECK(evidence.onConnectionEnded(brokenRun("i-1"), Start));
    CHECK(evidence.takeVerdicts().empty());
    evidence.onRefused("i-1");
    CHECK(onlyFate() == ReplicaFate::Ended);
}

TEST(CrashEvidence, ReplicaThatTakesConnectionsOnlyClosedOne)
{
    CHECK(evidence.onConnectionEnded(brokenRun("i-1"), Start));
    evidence.onAlive("i-1", Start + 1ms);
    CHECK(onlyFate() == ReplicaFate::Alive);
}

TEST(CrashEvidence, AnswerToARequestFromBeforeShowsNothing)
{
    CHECK(evidence.onConnectionEnded(brokenRun("i-1"), Start));
    evidence.onAlive("i-1", Start - 1ms);
    CHECK(evidence.takeVerdicts().empty());
}

TEST(CrashEvidence, DroppedEntryShowsThatTheProcessEnded)
{
    CHECK(evidence.onConnectionEnded(brokenRun("i-1"), Start));
    evidence.onDelisted("i-1");
    CHECK(onlyFate() == ReplicaFate::Ended);
}

TEST(CrashEvidence, AnswerThatEndedWithItsConnectionWaitsWithoutANewOne)
{
    CHECK(!evidence.onConnectionEnded(brokenRun("i-1", true), Start));
    CHECK(evidence.onConnectionEnded(brokenRun("i-1"), Start + 1ms));
    evidence.onRefused("i-1");
    CHECK_EQUAL(2, evidence.takeVerdicts().size());
}

TEST(CrashEvidence, OtherReplicasAreNotConcerned)
{
    evidence.onConnectionEnded(brokenRun("i-1"), Start);
    evidence.onRefused("i-2");
    CHECK(evidence.takeVerdicts().empty());
}

TEST(CrashEvidence, WithoutEvidenceNothingIsKnown)
{
    evidence.onConnectionEnded(brokenRun("i-1"), Start);
    evidence.tick(Start + 7s);
    CHECK(evidence.takeVerdicts().empty());
    evidence.tick(Start + 9s);
    CHECK(onlyFate() == ReplicaFate::Unknown);
}
