// Checks the guarantees of nextStep() as properties over arbitrary sequences of attempts.
#include "serving/attemptpolicy.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

AttemptResult arbitraryResult()
{
    return *rc::gen::element(AttemptResult::ConnectFailed, AttemptResult::NotRun,
                             AttemptResult::OtherReplica, AttemptResult::CopyAbsent,
                             AttemptResult::ErrorResponse, AttemptResult::Lost,
                             AttemptResult::StreamCut, AttemptResult::TimedOut);
}

bool mayHaveRun(AttemptResult result)
{
    return result == AttemptResult::ErrorResponse || result == AttemptResult::Lost
            || result == AttemptResult::StreamCut || result == AttemptResult::TimedOut;
}

ServingRequest arbitraryRequest()
{
    ServingRequest request;
    request.streams = *rc::gen::arbitrary<bool>();
    request.resumable = request.streams && *rc::gen::arbitrary<bool>();
    request.repeatable = request.resumable || (!request.streams && *rc::gen::arbitrary<bool>());
    request.attempts = *rc::gen::inRange(1, 4);
    request.deadline = Start + 4s;
    return request;
}

struct History
{
    RequestProgress progress;
    NextStep last = NextStep::Retry;
    int attemptsAfterRun = 0; // attempts begun after one that may have run the request
};

/// Simulates arbitrary attempts until nextStep() returns anything but Retry.
History simulateAttempts(const ServingRequest &request, RetryBudget &budget)
{
    History history;
    while (history.last == NextStep::Retry) {
        if (history.progress.runs > 0)
            history.attemptsAfterRun++;
        AttemptResult result = arbitraryResult();
        if (result == AttemptResult::StreamCut && !request.streams)
            result = AttemptResult::Lost;
        if (result == AttemptResult::ConnectFailed)
            history.progress.connectFailures++;
        else
            history.progress.sends++;
        if (mayHaveRun(result))
            history.progress.runs++;
        if (result == AttemptResult::StreamCut)
            history.progress.eventsForwarded = true;
        history.last = nextStep(request, history.progress, result, budget, Start);
    }
    return history;
}

} // namespace

TEST_GROUP(AttemptPolicy) {};

TEST(AttemptPolicy, RefusesOnlyIfNoAttemptMayHaveRun)
{
    CHECK(rc::check("no attempt before a refusal may have run the request", [] {
        RetryBudget budget;
        const History history = simulateAttempts(arbitraryRequest(), budget);
        if (history.last == NextStep::Refuse)
            RC_ASSERT(history.progress.runs == 0 && !history.progress.eventsForwarded);
    }));
}

TEST(AttemptPolicy, DoesNotRetryARunUnlessRepeatable)
{
    CHECK(rc::check("no attempt follows a possible run of a request that is not repeatable", [] {
        RetryBudget budget;
        const ServingRequest request = arbitraryRequest();
        const History history = simulateAttempts(request, budget);
        if (!request.repeatable)
            RC_ASSERT(history.attemptsAfterRun == 0);
        RC_ASSERT(history.progress.runs <= request.attempts);
    }));
}

TEST(AttemptPolicy, AbortsTheStreamAfterForwardedEvents)
{
    CHECK(rc::check("a caller that has received events gets a complete or an aborted stream", [] {
        RetryBudget budget;
        const History history = simulateAttempts(arbitraryRequest(), budget);
        if (history.progress.eventsForwarded)
            RC_ASSERT(history.last == NextStep::AbortStream);
    }));
}

TEST(AttemptPolicy, ChargesTheBudgetForEachSendBeyondTheFirst)
{
    CHECK(rc::check("the budget bounds the number of sends", [] {
        RetryBudgetSettings settings;
        settings.initialTokens = *rc::gen::inRange(0, 4);
        RetryBudget budget(settings);
        const History history = simulateAttempts(arbitraryRequest(), budget);
        RC_ASSERT(history.progress.sends <= 1 + static_cast<int>(settings.initialTokens));
    }));
}

TEST(AttemptPolicy, DoesNotRetryAtTheDeadline)
{
    RetryBudget budget;
    ServingRequest request;
    request.repeatable = true;
    request.attempts = 3;
    request.deadline = Start;
    RequestProgress progress;
    progress.sends = 1;
    CHECK(nextStep(request, progress, AttemptResult::NotRun, budget, Start) == NextStep::Refuse);
    progress.runs = 1;
    CHECK(nextStep(request, progress, AttemptResult::Lost, budget, Start) == NextStep::Fail);
}

TEST(AttemptPolicy, AStreamThatEndsInsideAnEventIsNotComplete)
{
    CHECK(!isComplete({ .isInsideEvent = true }));
    CHECK(isComplete({ .isInsideEvent = false }));
}

TEST(AttemptPolicy, AStreamClosedBeforeItsFirstEventIsNotComplete)
{
    StreamEnd end { .isCloseDelimited = true };
    CHECK(!isComplete(end));
    end.isResumed = true;
    CHECK(isComplete(end));
    end = { .isCloseDelimited = true, .hasEvents = true };
    CHECK(isComplete(end));
    end = { .isCloseDelimited = false };
    CHECK(isComplete(end));
}

TEST(AttemptPolicy, AStreamWithoutAResumePointIsAborted)
{
    RetryBudget budget;
    ServingRequest request;
    request.streams = request.resumable = request.repeatable = true;
    request.attempts = 3;
    request.deadline = Start + 1s;
    RequestProgress progress { .sends = 1, .runs = 1, .eventsForwarded = true };
    CHECK(nextStep(request, progress, AttemptResult::StreamCut, budget, Start) == NextStep::Retry);
    progress.hasResumePoint = false;
    CHECK(nextStep(request, progress, AttemptResult::StreamCut, budget, Start)
          == NextStep::AbortStream);
}
