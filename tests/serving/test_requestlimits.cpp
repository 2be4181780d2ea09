// One node's decisions before replicas that state a request limit for all nodes together.
#include "serving/requestlimits.h"
#include "serving/scheduler.h"
#include "support/replicas.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };
constexpr std::uint64_t Process = 1; // as in poolReplica()
constexpr Duration SettleTime = RequestLimitSettings().settleTime;

ServingRequest limitedRequest(std::uint64_t id, Instant now)
{
    ServingRequest request;
    request.id = id;
    request.service = "pool";
    request.arrivedAt = now;
    request.firstByteObjective = now + 1s;
    request.deadline = now + 3s;
    request.attempts = 2;
    return request;
}

/// A node among others that may be senders.
RequestLimits nodeAmong(const std::string &self, const std::vector<std::string> &names)
{
    RequestLimits limits;
    for (Duration time = -SettleTime; time <= 0s; time += 1s)
        limits.setNodes(self, names, names.size(), false, Start + time);
    return limits;
}

const std::vector<std::string> FourNodes { "n1", "n2", "n3", "n4" };

/// @return number of the nodes that are senders of replica r1 at that limit
int senders(double limit)
{
    int count = 0;
    for (const std::string &name : FourNodes) {
        RequestLimits limits = nodeAmong(name, FourNodes);
        limits.onAnswer("r1", Process, limit, Start, Start);
        count += *limits.share("r1", Start) > 0.0 ? 1 : 0;
    }
    return count;
}

} // namespace

// ---- Shares -------------------------------------------------------------------------------------

TEST_GROUP(RequestLimits)
{
    RequestLimits limits;

    void stated(std::optional<double> limit, Instant sentAt, Instant now)
    {
        limits.onAnswer("r1", Process, limit, sentAt, now);
    }
};

TEST(RequestLimits, OneNodeForEachWholeRequestASecondIsASender)
{
    CHECK_EQUAL(1, senders(0.0));
    CHECK_EQUAL(1, senders(0.3));
    CHECK_EQUAL(1, senders(1.0));
    CHECK_EQUAL(1, senders(1.9));
    CHECK_EQUAL(3, senders(3.5));
    CHECK_EQUAL(4, senders(50.0));
}

TEST(RequestLimits, TheSharesOfAllNodesMakeUpTheLimit)
{
    for (const double limit : { 0.3, 1.0, 3.5, 50.0 }) {
        double sum = 0.0;
        for (const std::string &name : FourNodes) {
            RequestLimits node = nodeAmong(name, FourNodes);
            node.onAnswer("r1", Process, limit, Start, Start);
            sum += *node.share("r1", Start);
        }
        DOUBLES_EQUAL(limit, sum, 1e-9);
    }
}

TEST(RequestLimits, SpacesRequests)
{
    stated(2.0, Start, Start);
    CHECK(!limits.maySend("r1", Start + 499ms));
    CHECK(limits.maySend("r1", Start + 500ms));
    limits.onSent("r1", Start + 700ms);
    limits.onHead("r1");
    CHECK(!limits.maySend("r1", Start + 1'199ms));
    CHECK(limits.nextSendAt("r1", Start + 700ms) == Start + 1'200ms);
    CHECK(limits.maySend("r1", Start + 1'200ms));
}

// A replica that answers late may have lowered its limit meanwhile.
TEST(RequestLimits, HoldsRequestsBackWhileEarlierOnesAreUnanswered)
{
    stated(1.0, Start, Start);
    limits.onSent("r1", Start + 1s);
    CHECK(!limits.maySend("r1", Start + 10s));
    limits.onHead("r1");
    CHECK(limits.maySend("r1", Start + 10s));
}

TEST(RequestLimits, AWithdrawnRequestGivesItsPlaceBack)
{
    stated(1.0, Start, Start);
    limits.onSent("r1", Start + 1s);
    limits.onWithdrawn("r1");
    CHECK(limits.maySend("r1", Start + 1s));
}

TEST(RequestLimits, ALimitOfNothingLetsSingleRequestsThrough)
{
    stated(0.0, Start, Start);
    CHECK(!limits.maySend("r1", Start + 9s));
    CHECK(limits.maySend("r1", Start + 10s));
}

TEST(RequestLimits, AChangedLimitHoldsAtOnce)
{
    stated(0.1, Start, Start);
    stated(10.0, Start, Start + 1s);
    CHECK(limits.maySend("r1", Start + 1'100ms));
    stated(0.1, Start, Start + 2s);
    limits.onSent("r1", Start + 2s);
    limits.onHead("r1");
    CHECK(!limits.maySend("r1", Start + 11s));
}

TEST(RequestLimits, ANodeThatHasJustStartedUsesNoShare)
{
    limits.setNodes("n1", { "n1" }, 1, false, Start);
    stated(5.0, Start, Start);
    CHECK(!limits.maySend("r1", Start + 4s));
    for (Duration time = 1s; time <= SettleTime; time += 1s)
        limits.setNodes("n1", { "n1" }, 1, false, Start + time);
    CHECK(limits.maySend("r1", Start + SettleTime));
}

TEST(RequestLimits, ANodeThatWasSuspendedUsesNoShareUntilItKnowsTheOthers)
{
    limits = nodeAmong("n1", { "n1" });
    stated(5.0, Start, Start);
    CHECK(limits.maySend("r1", Start + 1s));
    limits.setNodes("n1", { "n1" }, 1, false, Start + 4s);
    CHECK(!limits.maySend("r1", Start + 4s));
}

TEST(RequestLimits, ANodeThatIsCutOffUsesNoShare)
{
    limits = nodeAmong("n1", { "n1", "n2" });
    stated(50.0, Start, Start);
    CHECK(limits.maySend("r1", Start + 1s));
    limits.setNodes("n1", { "n1", "n2" }, 2, true, Start + 1s);
    CHECK(!limits.maySend("r1", Start + 1s));
    CHECK(limits.nextSendAt("r1", Start + 1s) == Instant::max());
}

TEST(RequestLimits, OrdersAndReportRequestsAreRareAndDoNotHoldEachOtherBack)
{
    CHECK(limits.mayCommand("r1", CommandKind::Order, Start));
    stated(1.0, Start, Start);
    CHECK(limits.mayCommand("r1", CommandKind::Order, Start));
    limits.onCommand("r1", CommandKind::Order, Start);
    CHECK(!limits.mayCommand("r1", CommandKind::Order, Start + 4s));
    CHECK(limits.mayCommand("r1", CommandKind::Report, Start + 4s));
    CHECK(limits.mayCommand("r1", CommandKind::Order, Start + 4'500ms));
}

// ---- News ---------------------------------------------------------------------------------------

TEST(RequestLimits, ALimitIsLiftedOnceAnswersHaveBeenWithoutItForAWhile)
{
    stated(1.0, Start, Start);
    stated(std::nullopt, Start + 1s, Start + 1'100ms);
    CHECK(limits.limit("r1").has_value());
    stated(std::nullopt, Start + 2s, Start + 2'050ms);
    CHECK(limits.limit("r1").has_value()); // sent less than a second after the first such answer
    stated(std::nullopt, Start + 2'200ms, Start + 2'250ms);
    CHECK(!limits.limit("r1").has_value());
    CHECK(limits.maySend("r1", Start + 2'250ms));
}

TEST(RequestLimits, AnAnswerMadeBeforeTheLimitDoesNotLiftIt)
{
    stated(1.0, Start, Start + 1s);
    stated(std::nullopt, Start, Start + 5s);
    stated(std::nullopt, Start + 500ms, Start + 9s);
    CHECK(limits.limit("r1").has_value());
}

TEST(RequestLimits, AnAnswerWithTheLimitInBetweenKeepsIt)
{
    stated(1.0, Start, Start);
    stated(std::nullopt, Start + 1s, Start + 1s);
    stated(1.0, Start + 2s, Start + 2s);
    stated(std::nullopt, Start + 3s, Start + 3s);
    CHECK(limits.limit("r1").has_value());
}

TEST(RequestLimits, ANewProcessOfTheReplicaHasNoLimitYet)
{
    stated(1.0, Start, Start);
    limits.onReplicaStarted("r1", Process);
    CHECK(limits.limit("r1").has_value());
    limits.onReplicaStarted("r1", Process + 1);
    CHECK(!limits.limit("r1").has_value());
    limits.onAnswer("r1", Process + 1, 3.0, Start, Start);
    stated(1.0, Start, Start); // a late answer of the process before
    CHECK(!limits.onNote({ "r1", Process, std::nullopt }, Start));
    DOUBLES_EQUAL(3.0, *limits.limit("r1"), 1e-9);
}

TEST(RequestLimits, TellsTheOthersOfNewsAtOnceAndRepeatsItNotTooOften)
{
    const auto noted = [&](std::optional<double> limit, Duration time) {
        return limits.onAnswer("r1", Process, limit, Start + time, Start + time).note.has_value();
    };
    CHECK(noted(1.0, 0s));
    CHECK(!noted(1.0, 900ms));
    CHECK(noted(1.0, 1s));
    CHECK(noted(2.0, 1'100ms));
    CHECK(!noted(std::nullopt, 2s));
    CHECK(noted(std::nullopt, 3s));
}

TEST(RequestLimits, WhatAnotherNodeLearnedHoldsLikeAnAnswer)
{
    CHECK(limits.onNote({ "r1", Process, 1.0 }, Start));
    CHECK(!limits.onNote({ "r1", Process, 1.0 }, Start + 500ms));
    CHECK(!limits.maySend("r1", Start + 500ms));
    CHECK(limits.maySend("r1", Start + 1s));
}

TEST(RequestLimits, AfterAnotherNodesWordThatItWasLiftedOneRequestGoesFirst)
{
    limits.onNote({ "r1", Process, 1.0 }, Start);
    CHECK(limits.onNote({ "r1", Process, std::nullopt }, Start + 5s));
    const Instant release = limits.nextSendAt("r1", Start + 5s);
    CHECK(release < Start + 6s);
    CHECK(limits.maySend("r1", release));
    limits.onSent("r1", release);
    CHECK(!limits.maySend("r1", release + 1s));
    limits.onHead("r1");
    stated(std::nullopt, release, release + 1s);
    CHECK(!limits.limit("r1").has_value());
}

TEST(RequestLimits, ANodeThatIsNoSenderSendsSingleRequestsWhenItHearsNothing)
{
    for (const std::string &name : FourNodes) {
        limits = nodeAmong(name, FourNodes);
        stated(1.0, Start, Start);
        if (*limits.share("r1", Start) > 0.0)
            continue;
        CHECK(!limits.maySend("r1", Start + 4'900ms));
        limits.onNote({ "r1", Process, 1.0 }, Start + 4s);
        CHECK(!limits.maySend("r1", Start + 8'900ms));
        CHECK(limits.maySend("r1", Start + 14s));
        CHECK(limits.wantsNews("r1", Start + 14s));
        limits.onSent("r1", Start + 14s);
        limits.onHead("r1");
        CHECK(!limits.maySend("r1", Start + 18'900ms));
    }
}

// ---- Scheduler ----------------------------------------------------------------------------------

TEST_GROUP(LimitedScheduler)
{
    ReplicaTable table;
    ReplicaChooser chooser { table, {}, 7 };
    RequestScheduler scheduler { table, chooser };

    void setup() override
    {
        table.onAnnounced(poolReplica("r1", {}, 8), Start);
    }

    void stated(double limit)
    {
        table.limits().onAnswer("r1", Process, limit, Start, Start);
    }

    /// Submits a request and returns what is decided at once, if anything.
    std::vector<SchedulerAction> submit(std::uint64_t id, Instant now, bool isRetry = false)
    {
        scheduler.submit(limitedRequest(id, now), {}, isRetry, now);
        return scheduler.takeActions();
    }
};

TEST(LimitedScheduler, RequestsGoToOthersWhileTheShareIsSpent)
{
    table.onAnnounced(poolReplica("r2", {}, 8), Start);
    stated(1.0);
    for (std::uint64_t id = 1; id <= 4; ++id) {
        const auto actions = submit(id, Start + 10ms);
        CHECK_EQUAL(std::string("r2"), std::get<StartRequest>(actions.at(0)).choice.id);
    }
}

TEST(LimitedScheduler, ARequestWaitsForItsShare)
{
    stated(2.0);
    CHECK(submit(1, Start + 100ms).empty());
    scheduler.tick(Start + 490ms);
    CHECK(scheduler.takeActions().empty());
    scheduler.tick(Start + 500ms);
    CHECK_EQUAL(1, scheduler.takeActions().size());
}

TEST(LimitedScheduler, RepeatsTakeTheirPlaceInTheShareToo)
{
    stated(2.0);
    CHECK_EQUAL(1, submit(1, Start + 500ms, true).size());
    table.limits().onHead("r1");
    CHECK(submit(2, Start + 510ms, true).empty());
    scheduler.tick(Start + 990ms);
    CHECK(scheduler.takeActions().empty());
}

TEST(LimitedScheduler, ARequestWhoseShareComesTooLateIsRefusedAtOnceWithThatTime)
{
    stated(0.2); // every 5 s
    const auto actions = submit(1, Start + 500ms);
    const auto &refusal = std::get<RefuseRequest>(actions.at(0));
    CHECK_EQUAL(std::string("limited"), refusal.reason);
    CHECK(refusal.retryAfter >= 4'500ms);
    CHECK(refusal.retryAfter <= 6'750ms); // spread by a half
}

TEST(LimitedScheduler, RequestsQueuedBeforeItCountForTheTimeOfItsShare)
{
    stated(2.0);
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 20; ++id)
        refused += submit(id, Start + 10ms).size();
    // The queue deadline is 2.1 s away, so four requests are started until then.
    CHECK_EQUAL(16, refused);
    for (Instant now = Start + 20ms; now < Start + 2'200ms; now += 10ms) {
        scheduler.tick(now);
        for (const SchedulerAction &action : scheduler.takeActions()) {
            CHECK(std::holds_alternative<StartRequest>(action));
            table.limits().onHead("r1");
        }
    }
    CHECK_EQUAL(0, scheduler.queued());
}

TEST(LimitedScheduler, ANodeThatIsNoSenderRefusesAtOnce)
{
    int refusals = 0;
    for (const std::string &name : FourNodes) {
        table.limits() = nodeAmong(name, FourNodes);
        stated(1.0);
        const auto actions = submit(1, Start + 500ms);
        if (actions.empty()) {
            scheduler.cancel(1);
            continue;
        }
        refusals++;
        CHECK(std::get<RefuseRequest>(actions.at(0)).retryAfter >= 1s);
    }
    CHECK_EQUAL(3, refusals);
}
