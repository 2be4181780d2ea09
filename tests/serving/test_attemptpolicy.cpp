// The promises of nextStep(), as properties over every history of attempts.
#include "serving/attemptpolicy.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

AttemptResult arbitraryEnd()
{
    return *rc::gen::element(AttemptResult::ConnectFailed, AttemptResult::NotRun,
                             AttemptResult::OtherReplica, AttemptResult::CopyAbsent,
                             AttemptResult::ErrorAnswer, AttemptResult::Lost,
                             AttemptResult::StreamCut, AttemptResult::TimedOut);
}

bool mayHaveRun(AttemptResult end)
{
    return end == AttemptResult::ErrorAnswer || end == AttemptResult::Lost
            || end == AttemptResult::StreamCut || end == AttemptResult::TimedOut;
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
    int runsAfterRun = 0; // attempts begun after one that may have run
};

/// Plays arbitrary attempts until the rules say stop.
History play(const ServingRequest &request, RetryBudget &budget)
{
    History history;
    while (history.last == NextStep::Retry) {
        if (history.progress.runs > 0)
            history.runsAfterRun++;
        AttemptResult end = arbitraryEnd();
        if (end == AttemptResult::StreamCut && !request.streams)
            end = AttemptResult::Lost;
        if (end == AttemptResult::ConnectFailed)
            history.progress.connectFailures++;
        else
            history.progress.sends++;
        if (mayHaveRun(end))
            history.progress.runs++;
        if (end == AttemptResult::StreamCut)
            history.progress.eventsPassed = true;
        history.last = nextStep(request, history.progress, end, budget, Start);
    }
    return history;
}

} // namespace

TEST_GROUP(AttemptPolicy) {};

TEST(AttemptPolicy, SaysNotRunOnlyWhenThatIsCertain)
{
    CHECK(rc::check("a refusal has no run before it", [] {
        RetryBudget budget;
        const History history = play(arbitraryRequest(), budget);
        if (history.last == NextStep::Refuse)
            RC_ASSERT(history.progress.runs == 0 && !history.progress.eventsPassed);
    }));
}

TEST(AttemptPolicy, NeverRepeatsWhatMustNotRunTwice)
{
    CHECK(rc::check("nothing follows a run of a request that is not repeatable", [] {
        RetryBudget budget;
        const ServingRequest request = arbitraryRequest();
        const History history = play(request, budget);
        if (!request.repeatable)
            RC_ASSERT(history.runsAfterRun == 0);
        RC_ASSERT(history.progress.runs <= request.attempts);
    }));
}

TEST(AttemptPolicy, BeginsNoAnswerAnewAfterEvents)
{
    CHECK(rc::check("a caller with events gets the rest or a visible cut", [] {
        RetryBudget budget;
        const History history = play(arbitraryRequest(), budget);
        if (history.progress.eventsPassed)
            RC_ASSERT(history.last == NextStep::Cut);
    }));
}

TEST(AttemptPolicy, PaysForEverySendBeyondTheFirst)
{
    CHECK(rc::check("sends are bounded by the budget", [] {
        RetryBudgetSettings settings;
        settings.initialTokens = *rc::gen::inRange(0, 4);
        RetryBudget budget(settings);
        const History history = play(arbitraryRequest(), budget);
        RC_ASSERT(history.progress.sends <= 1 + static_cast<int>(settings.initialTokens));
    }));
}

TEST(AttemptPolicy, GivesUpAtTheDeadline)
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
