// Sound replicas fall silent for a while and go on; others are silent for good.
#include "support/pausingreplicas.h"

using namespace burdock;

namespace {

constexpr auto PauseOfSoundReplica = 1'100ms; // longer than the patience: the objective is 500 ms
constexpr auto ForGood = 10s;

const std::string StreamHead = "HTTP/1.1 200 OK\r\n" + Head
        + "Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n";
const std::string First = "id: 1\ndata: a\n\n";
const std::string Second = "id: 2\ndata: b\n\n";

int countServed(const std::vector<Caller> &callers)
{
    return static_cast<int>(std::count_if(callers.begin(), callers.end(), [](const Caller &caller) {
        return caller.status == 200 && caller.ended;
    }));
}

} // namespace

TEST_GROUP_BASE(SilentReplicas, PausingReplicas) {};

// All requests at a silent replica gave it up for the same few tokens of the retry budget, and
// those that got none were answered 502.
TEST(SilentReplicas, RequestsWithoutAPlaceElsewhereWaitForTheirAnswer)
{
    add({ { PauseOfSoundReplica, Good } });
    add({ { 20ms, Good } });
    const int served = countServed(play("/repeat/a", 12));
    CHECK_EQUAL(12, served);
    CHECK_COMPARE(replicas[1]->requests, >, 0);
}

// The same within a stream: it ended without its end mark.
TEST(SilentReplicas, StreamsWithoutAPlaceElsewhereGoOnWhereTheyAre)
{
    add({ { 0ms, StreamHead + First }, { 1'500ms, Second } });
    add({ { 20ms, StreamHead + First }, { 20ms, Second } });
    const std::vector<Caller> callers = play("/stream/a", 12);
    CHECK_EQUAL(12, countServed(callers));
    for (const Caller &each : callers)
        CHECK_EQUAL(First + Second, each.body);
    CHECK_COMPARE(replicas[1]->requests, >, 0);
}

// The second replica refused the request that the first one would have answered.
TEST(SilentReplicas, ARefusalOfTheSecondReplicaCostsNothing)
{
    add({ { PauseOfSoundReplica, Good } });
    add({ { 20ms, NotRun } });
    const int served = countServed(play("/repeat/a", 1));
    CHECK_EQUAL(1, served);
    CHECK_EQUAL(1, replicas[1]->requests);
    CHECK_EQUAL(0, replicas[0]->closedEarly);
}

TEST(SilentReplicas, NeitherDoesItsFailure)
{
    add({ { PauseOfSoundReplica, Good } });
    add({ { 20ms, "HTTP/1.1 200 OK\r\nAttempt-" } });
    const int served = countServed(play("/repeat/a", 1));
    CHECK_EQUAL(1, served);
    CHECK_EQUAL(1, replicas[1]->requests);
}

TEST(SilentReplicas, WhicheverAnswersFirstIsTaken)
{
    add({ { 800ms, Good } });
    add({ { ForGood, Good } });
    const int served = countServed(play("/repeat/a", 1));
    CHECK_EQUAL(1, served);
    CHECK_EQUAL(1, replicas[1]->requests);
    CHECK_EQUAL(1, replicas[0]->answers);
}

TEST(SilentReplicas, AReplicaThatIsSilentForGoodCostsNoAnswer)
{
    add({ { ForGood, Good } });
    add({ { 20ms, Good } });
    const int served = countServed(play("/repeat/a", 1));
    CHECK_EQUAL(1, served);
    io.run_for(20ms);
    CHECK_EQUAL(0, replicas[0]->answers);
}

// Two replicas must not work on a stream at the same time.
TEST(SilentReplicas, AStreamThatGoesOnElsewhereIsClosedWhereItWas)
{
    add({ { 0ms, StreamHead + First }, { 1'400ms, "" }, { ForGood, Second } });
    add({ { 20ms, StreamHead + First }, { 300ms, Second } });
    const std::vector<Caller> callers = play("/stream/a", 1);
    CHECK_EQUAL(First + Second, callers[0].body);
    CHECK(callers[0].ended);
    CHECK_EQUAL(1, replicas[0]->closedEarly);
}

TEST(SilentReplicas, WhatMustNotRunTwiceIsSentOnce)
{
    add({ { PauseOfSoundReplica, Good } });
    add({ { 20ms, Good } });
    const int served = countServed(play("/once/a", 3));
    CHECK_EQUAL(3, served);
    CHECK_EQUAL(0, replicas[1]->requests);
}

TEST(SilentReplicas, WithoutABudgetNothingIsSentTwice)
{
    add({ { PauseOfSoundReplica, Good } });
    add({ { 20ms, Good } });
    spendBudget();
    const int served = countServed(play("/repeat/a", 3));
    CHECK_EQUAL(3, served);
    CHECK_EQUAL(0, replicas[1]->requests);
}

// A second attempt that sends nothing does not use up the budget.
TEST(SilentReplicas, ATokenThatSentNothingIsReturned)
{
    add({ { PauseOfSoundReplica, Good } });
    {
        PausingServer &gone = add({});
        gone.acceptor.close();
    }
    const double before = state->budgetOf(service).tokens();
    const int served = countServed(play("/repeat/a", 1));
    CHECK_EQUAL(1, served);
    CHECK_COMPARE(state->budgetOf(service).tokens(), >=, before);
}
