// A process that is short of processor time knows how late it is, and when it has caught up.
#include "serving/processingdelay.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

} // namespace

TEST_GROUP(ProcessingDelay)
{
    ProcessingDelay delay;
};

TEST(ProcessingDelay, TimersThatRunInTimeShowNone)
{
    delay.onTimer(Start, Start + 2ms);
    CHECK(delay.current() == Duration::zero());
    CHECK(delay.canAnswer(Start + 5ms, Start + 2ms));
}

TEST(ProcessingDelay, ALateTimerShowsItAtOnce)
{
    delay.onTimer(Start, Start + 405ms);
    CHECK(delay.current() == 400ms);
}

TEST(ProcessingDelay, IsForgottenWithinAFewRuns)
{
    delay.onTimer(Start, Start + 3s);
    for (int run = 1; run <= 5; ++run)
        delay.onTimer(Start + 3s + run * 100ms, Start + 3s + run * 100ms);
    CHECK(delay.current() < 5ms);
}

// Requests with 600 ms were taken by nodes that handled each event 300 ms late; none was answered.
TEST(ProcessingDelay, ARequestThatCannotBeAnsweredInTimeIsKnown)
{
    delay.onTimer(Start, Start + 305ms);
    CHECK(!delay.canAnswer(Start + 605ms, Start + 305ms));
    CHECK(delay.canAnswer(Start + 6s, Start + 305ms));
}
