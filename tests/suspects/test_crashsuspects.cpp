#include "suspects/crashsuspects.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };
constexpr std::uint64_t First = 1;
constexpr std::uint64_t Middle = 2;
constexpr std::uint64_t Last = 3;

struct FixedOwner : public TrialOwners
{
    bool isOwner(std::uint64_t, Instant) const override { return owns; }
    bool owns = true;
};

} // namespace

TEST_GROUP(CrashSuspects)
{
    CrashSuspects suspects;
    FixedOwner owner;
    std::uint64_t content = 1'000;

    SuspectRun runOf(const std::vector<std::uint64_t> &parts)
    {
        return { suspects.keysOf(++content, parts), {}, {}, {} };
    }

    bool start(SuspectRun & run, Instant now)
    {
        return suspects.tryStart(run, owner, now);
    }

    /// Starts a run that its replica does not survive.
    /// @return whether it was started
    bool crash(const std::vector<std::uint64_t> &parts, const std::string &process, Instant now)
    {
        SuspectRun run = runOf(parts);
        if (!start(run, now))
            return false;
        suspects.onCrash(process, run, now);
        suspects.onEnded(run);
        return true;
    }

    bool serve(const std::vector<std::uint64_t> &parts, Instant now)
    {
        SuspectRun run = runOf(parts);
        if (!start(run, now))
            return false;
        suspects.onServed(run, now);
        suspects.onEnded(run);
        return true;
    }

    bool isBlocked(const std::vector<std::uint64_t> &parts, Instant now)
    {
        return suspects.blockingKey(suspects.keysOf(++content, parts), owner, now).has_value();
    }
};

TEST(CrashSuspects, PartIsRefusedAfterTwoCrashesOfDifferentRequests)
{
    CHECK(crash({ First, Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ First, Middle, 11 }, "i-2/1", Start + 100ms));
    CHECK(suspects.isRefused(Middle));
    CHECK(isBlocked({ First, Middle, 12 }, Start + 200ms));
}

TEST(CrashSuspects, LastPartBelongsToTheRequestAlone)
{
    CHECK(crash({ Last }, "i-1/1", Start));
    CHECK(crash({ Last }, "i-2/1", Start));
    CHECK(!isBlocked({ Last }, Start));
}

TEST(CrashSuspects, OneReplicaCountsOnceWhateverItTookWithIt)
{
    SuspectRun left = runOf({ Middle, 10 });
    SuspectRun right = runOf({ Middle, 11 });
    CHECK(start(left, Start) && start(right, Start));
    suspects.onCrash("i-1/1", left, Start + 100ms);
    suspects.onCrash("i-1/1", right, Start + 100ms);
    CHECK(!suspects.isRefused(Middle));
}

TEST(CrashSuspects, RestartedProcessCountsAgain)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 11 }, "i-1/2", Start + 5s));
    CHECK(suspects.isRefused(Middle));
}

TEST(CrashSuspects, SuspectedPartIsSentOnceAtATime)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    SuspectRun run = runOf({ Middle, 11 });
    CHECK(start(run, Start + 1s));
    CHECK(isBlocked({ Middle, 12 }, Start + 1s));
    suspects.onEnded(run);
    CHECK(!isBlocked({ Middle, 12 }, Start + 1s));
}

TEST(CrashSuspects, RunFromBeforeTheCrashDoesNotEndTheTurnOfALaterOne)
{
    SuspectRun early = runOf({ Middle, 10 });
    CHECK(start(early, Start));
    CHECK(crash({ Middle, 11 }, "i-1/1", Start));
    SuspectRun later = runOf({ Middle, 12 });
    CHECK(start(later, Start + 1s));
    suspects.onEnded(early);
    CHECK(isBlocked({ Middle, 13 }, Start + 1s));
}

TEST(CrashSuspects, WholeAnswerClearsAPart)
{
    CHECK(crash({ First, Middle, 10 }, "i-1/1", Start));
    CHECK(serve({ First, 11 }, Start + 1s));
    CHECK(crash({ First, Middle, 12 }, "i-2/1", Start + 10s));
    CHECK(suspects.isRefused(Middle));
    CHECK(!suspects.isRefused(First));
    CHECK(serve({ First, 13 }, Start + 10s));
}

TEST(CrashSuspects, PartWithAnAnswerAMomentAgoIsNotSuspected)
{
    CHECK(serve({ First, 10 }, Start));
    suspects.takeChanges();
    for (int number = 1; number <= 5; ++number)
        CHECK(crash({ First, 10 }, "i-" + std::to_string(number) + "/1", Start + 500ms));
    CHECK(!isBlocked({ First, 11 }, Start + 500ms));
}

TEST(CrashSuspects, ServedPartThatBeginsToCrashReplicasIsRefusedAfterThree)
{
    CHECK(serve({ Middle, 10 }, Start));
    CHECK(crash({ Middle, 11 }, "i-1/1", Start + 60s));
    CHECK(crash({ Middle, 12 }, "i-2/1", Start + 61s));
    CHECK(!suspects.isRefused(Middle));
    CHECK(crash({ Middle, 13 }, "i-3/1", Start + 62s));
    CHECK(suspects.isRefused(Middle));
}

TEST(CrashSuspects, RefusedPartGetsABoundedNumberOfTrials)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    int trials = 0;
    for (Duration passed {}; passed < 12h; passed += 1s)
        trials +=
                crash({ Middle, 10 }, "t-" + std::to_string(trials) + "/1", Start + passed) ? 1 : 0;
    CHECK_EQUAL(2, trials);
    CHECK(!isBlocked({ Middle, 10 }, Start + 48h));
}

TEST(CrashSuspects, TrialsThatTellNothingAreBoundedToo)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    int trials = 0;
    for (Duration passed {}; passed < 12h; passed += 1s) {
        SuspectRun run = runOf({ Middle, 10 });
        trials += start(run, Start + passed) ? 1 : 0;
        suspects.onEnded(run);
    }
    CHECK_EQUAL(3, trials);
}

TEST(CrashSuspects, OnlyTheOwnerSendsTrials)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    owner.owns = false;
    CHECK(isBlocked({ Middle, 10 }, Start + 6s));
    owner.owns = true;
    CHECK(!isBlocked({ Middle, 10 }, Start + 6s));
}

TEST(CrashSuspects, TrialOfTwoRefusedPartsWouldShowNothing)
{
    CHECK(crash({ First, Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ First, Middle, 11 }, "i-2/1", Start));
    CHECK(isBlocked({ First, Middle, 12 }, Start + 6s));
    CHECK(serve({ First, 13 }, Start + 6s));
    CHECK(!suspects.isRefused(First));
    CHECK(suspects.isRefused(Middle));
}

TEST(CrashSuspects, CrashOfATrialCountsOnlyAgainstItsPart)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    CHECK(crash({ First, Middle, 10 }, "i-3/1", Start + 6s));
    CHECK(!isBlocked({ First, 11 }, Start + 6s));
    SuspectRun run = runOf({ First, 11 });
    CHECK(start(run, Start + 6s));
    CHECK(!isBlocked({ First, 12 }, Start + 6s));
}

// Both trials ran on one replica at the same time, and its crash counted against the sound part.
TEST(CrashSuspects, PartThatWasServedIsTriedBeforeOneThatNeverWas)
{
    CHECK(serve({ First, 10 }, Start));
    for (int number = 1; number <= 3; ++number)
        crash({ First, Middle, 10 }, "i-" + std::to_string(number) + "/1", Start + 10s);
    crash({ First, 11 }, "i-4/1", Start + 10s);
    CHECK(suspects.isRefused(First));
    CHECK(suspects.isRefused(Middle));
    CHECK(!isBlocked({ First, 12 }, Start + 12s));
    CHECK(isBlocked({ Middle, 12 }, Start + 12s));
    CHECK(!isBlocked({ Middle, 12 }, Start + 16s));
}

TEST(CrashSuspects, RefusalDoesNotExpire)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    owner.owns = false;
    CHECK(isBlocked({ Middle, 10 }, Start + 1'000h));
}

TEST(CrashSuspects, RepeatedRequestIsRefusedAfterThreeCrashes)
{
    const auto keys = suspects.keysOf(77, {});
    for (int number = 1; number <= 3; ++number) {
        SuspectRun run { keys, {}, {}, {} };
        CHECK(start(run, Start));
        suspects.onCrash("i-" + std::to_string(number) + "/1", run, Start);
        suspects.onEnded(run);
    }
    CHECK(suspects.isRefused(77));
}

TEST(CrashSuspects, NotesAddUpInAnyOrderAndOften)
{
    CrashSuspects other;
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    const auto one = suspects.takeChanges();
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    const auto two = suspects.takeChanges();
    for (int repeat = 0; repeat < 2; ++repeat) {
        for (const auto &notes : { two, one }) {
            for (const SuspectNote &note : notes)
                other.onNote(note, Start);
        }
    }
    CHECK(other.isRefused(Middle));
    CHECK(other.takeChanges().empty());
}

TEST(CrashSuspects, NodeThatMissedAWholeAnswerIsTold)
{
    CrashSuspects other;
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    const auto outdated = suspects.takeChanges();
    for (const SuspectNote &note : outdated)
        other.onNote(note, Start);
    CHECK(serve({ Middle, 10 }, Start + 6s));
    suspects.takeChanges(); // lost
    for (const SuspectNote &note : other.notesToRepeat(10))
        suspects.onNote(note, Start + 7s);
    CHECK(!suspects.isRefused(Middle));
    for (const SuspectNote &note : suspects.takeChanges())
        other.onNote(note, Start + 7s);
    CHECK(!other.isRefused(Middle));
}

// A node that starts sent a refused part for seconds, until its turn among many suspected keys
// came.
TEST(CrashSuspects, RefusedPartIsRepeatedEachTime)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    for (std::uint64_t part = 100'000; part < 100'500; ++part)
        crash({ part, 10 }, "i-3/1", Start);
    for (int repeat = 0; repeat < 3; ++repeat) {
        CrashSuspects other;
        for (const SuspectNote &note : suspects.notesToRepeat(16))
            other.onNote(note, Start);
        CHECK(other.isRefused(Middle));
        CHECK_EQUAL(16, other.size());
    }
}

TEST(CrashSuspects, ManyPartsDoNotPushOutRefusedOnes)
{
    CHECK(crash({ Middle, 10 }, "i-1/1", Start));
    CHECK(crash({ Middle, 10 }, "i-2/1", Start));
    for (std::uint64_t part = 100'000; part < 130'000; ++part)
        CHECK(serve({ part, 10 }, Start + 1s));
    CHECK(suspects.isRefused(Middle));
    CHECK(suspects.size() <= SuspectSettings().maxRows);
}
