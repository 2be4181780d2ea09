// One request through RequestFlow, with the platform's dialect, against replicas that misbehave.
#include "support/requestflowfixture.h"

using namespace burdock;

namespace {

/// The node has to give up while a request claims its second replica.
struct StopsAtSecondClaim : public NodeAnnouncer
{
    explicit StopsAtSecondClaim(NodeState &node)
        : state(node)
    {
    }

    bool announcePrompt(const PromptNote &note) override
    {
        if (!note.withdrawn && ++claims == 2)
            giveUpAll(state, "node_stopping", 50ms);
        withdrawn += note.withdrawn ? 1 : 0;
        return true;
    }
    asio::awaitable<void> announceLoss(BrokenRun, Endpoint) override { co_return; }
    void announceLimit(const LimitNote &) override { }
    void announceSpending() override { }

    NodeState &state;
    int claims = 0;
    int withdrawn = 0;
};

/// The loop stops while a request waits for the end of its claim.
struct StopsAtClaim : public NoNodes
{
    explicit StopsAtClaim(asio::io_context &context)
        : io(context)
    {
    }

    bool announcePrompt(const PromptNote &) override
    {
        io.stop();
        return true;
    }

    asio::io_context &io;
};

/// Takes nothing of an answer until it is cut off.
struct NeverReads : public Caller
{
    asio::awaitable<bool> send(int answered, std::vector<HttpHeader>, std::string text) override
    {
        status = answered;
        body = std::move(text);
        while (!hasLeft)
            co_await sleepFor(5ms);
        co_return false;
    }
};

/// Lists the first of the fixture's servers as the replica "r0".
ReplicaInfo announceFirstServer(RequestFlowFixture &fixture)
{
    ReplicaInfo info;
    info.id = "r0";
    info.service = fixture.service;
    info.address = toText(fixture.servers[0]->endpoint());
    info.models = fixture.models;
    info.startedMs = 1;
    info.slots = 4;
    fixture.state->replicas.onAnnounced(info, steadyNow());
    return info;
}

} // namespace

TEST_GROUP_BASE(RequestFlow, RequestFlowFixture) {
    /// Plays a request on a connection that has served one before.
    void playOnKeptConnection(const char *path, const std::string &answer) {
            const std::vector<std::string> script { Good, answer };
servers.push_back(std::make_unique<ScriptedServer>(io, script));
announceFirstServer(*this);
for (const char *each : { "/repeat/first", path }) {
    caller = {};
    const HttpRequest request = callerRequest(each);
    RequestFlow flow(*state, nodes, request, caller);
    bool done = false;
    asio::co_spawn(io, flow.run(), [&done](const std::exception_ptr &) { done = true; });
    const Instant end = steadyNow() + 3s;
    while (!done && steadyNow() < end) {
        io.restart(); // it has stopped if nothing was under way
        io.run_for(5ms);
        state->waiting.tick();
    }
    CHECK_TEXT(done, each);
}
CHECK_EQUAL(1, servers[0]->connections);
}
}
;

// A faulty replica writes an earlier refusal once more; such an answer bears no name of its
// request.
TEST(RequestFlow, ARefusalOnAKeptConnectionThatNamesNoRequestIsNotTaken)
{
    playOnKeptConnection("/repeat/a", NotRun);
    CHECK_EQUAL(502, caller.status);
}

TEST(RequestFlow, ARefusalOnAKeptConnectionThatNamesItsRequestIsTaken)
{
    std::string refusal = NotRun;
    refusal.insert(refusal.find("Not-Executed"), "Attempt-Id: q1\r\n");
    playOnKeptConnection("/repeat/a", refusal);
    CHECK_EQUAL(503, caller.status);
}

TEST(RequestFlow, PassesAnAnswerOnUnchanged)
{
    play("/repeat/a", { Good });
    CHECK_EQUAL(200, caller.status);
    CHECK_EQUAL(std::string("good"), caller.body);
    CHECK_EQUAL(std::string("x"), *headerValue(caller.headers, "Server-Seal"));
}

// Answers that were read and not taken were not counted: callers that never read filled the memory.
TEST(RequestFlow, AnAnswerIsCountedUntilTheCallerHasTakenIt)
{
    servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { Good }));
    announceFirstServer(*this);
    NeverReads silent;
    const HttpRequest request = callerRequest("/repeat/a");
    RequestFlow flow(*state, nodes, request, silent);
    bool done = false;
    asio::co_spawn(io, flow.run(), [&done](const std::exception_ptr &) { done = true; });
    const auto runUntil = [&](const auto &condition) {
        const Instant end = steadyNow() + 3s;
        while (!condition() && steadyNow() < end) {
            io.run_for(5ms);
            state->waiting.tick();
        }
        return condition();
    };
    CHECK(runUntil([&] { return silent.begun(); }));
    CHECK_EQUAL(4U, state->answerMemory.used());

    // The memory is needed for others: the caller that has not taken its answer for long is cut.
    BodyHold other(state->answerMemory);
    const std::size_t most = state->answerMemory.limits().maxBytes;
    CHECK(other.tryAdd(most));
    BodyHold further(state->answerMemory);
    CHECK(!further.tryAdd(state->answerMemory.limits().maxBytesOfAll - most));
    CHECK(!silent.hasLeft);
    const Instant patience = steadyNow() + state->answerMemory.limits().sendTime;
    CHECK(runUntil([&] { return steadyNow() > patience; }));
    CHECK(further.tryAdd(state->answerMemory.limits().maxBytesOfAll - most));
    CHECK(silent.hasLeft);
    CHECK(runUntil([&] { return done; }));
    CHECK_EQUAL(other.bytes() + further.bytes(), state->answerMemory.used());
}

TEST(RequestFlow, RepeatsWhatMayBeRepeated)
{
    play("/repeat/a", { Lost, Good });
    CHECK_EQUAL(200, caller.status);
}

TEST(RequestFlow, ALostRequestThatMustNotRunTwiceIsNotSentAgain)
{
    play("/once/a", { Lost, Good });
    CHECK_EQUAL(502, caller.status);
    CHECK_EQUAL(0, servers[1]->next);
}

TEST(RequestFlow, WhatAReplicaDidNotRunIsSentToAnother)
{
    play("/once/a", { NotRun, Good });
    CHECK_EQUAL(200, caller.status);
}

// The second replica's own "not run" was passed on, though the first may have run the request.
TEST(RequestFlow, NotRunOfOneReplicaSaysNothingOfAnother)
{
    play("/repeat/a", { Lost, Elsewhere });
    CHECK_EQUAL(502, caller.status);
    CHECK_EQUAL(1, caller.answers);
}

TEST(RequestFlow, NeitherDoesARefusalAfterIt)
{
    play("/repeat/a", { Lost, NotRun });
    CHECK(caller.status == 502 || caller.status == 504);
    CHECK_EQUAL(1, caller.answers);
}

// Only the table of replicas was told: the placement counted the copies of the replica that had
// been there for good, and loaded its models nowhere else.
TEST(RequestFlow, AReplicaWhoseAddressAnotherOneHasIsForgottenEverywhere)
{
    std::vector<std::string> forgotten;
    state->onReplicaForgotten = [&](const std::string &replica) {
        forgotten.push_back(replica);
    };
    play("/once/a", { Elsewhere });
    CHECK_EQUAL(503, caller.status);
    CHECK_EQUAL(1U, forgotten.size());
    CHECK_EQUAL(std::string("r0"), forgotten[0]);
    CHECK(state->replicas.find("r0") == nullptr);
}

// The answer of another replica at the old address removed the replica at its new one.
TEST(RequestFlow, AnAnswerAtAnEarlierAddressSaysNothingOfTheReplica)
{
    servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { Elsewhere }));
    ReplicaInfo info = announceFirstServer(*this);
    const HttpRequest request = callerRequest("/once/a");
    RequestFlow flow(*state, nodes, request, caller);
    asio::co_spawn(io, flow.run(), asio::detached);
    while (servers[0]->next == 0)
        io.run_one();
    info.address = "127.0.0.1:9";
    info.startedMs = 2;
    state->replicas.onAnnounced(info, steadyNow());
    io.run_for(200ms);
    CHECK(state->replicas.find("r0") != nullptr);
}

TEST(RequestFlow, RefusesWithTheTimeToComeBackWhenNothingRan)
{
    play("/once/a", { NotRun });
    CHECK_EQUAL(503, caller.status);
    CHECK(headerValue(caller.headers, "Retry-After").has_value());
}

TEST(RequestFlow, AStreamGoesOnWhereItBrokeOff)
{
    play("/stream/a",
         { events("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda", false),
           events("id: 2\ndata: b\n\nid: 3\ndata: c\n\n", true) });
    CHECK_EQUAL(std::string("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"), caller.body);
    CHECK(caller.ended);
}

// The attempt that had fallen silent was counted twice against the route's attempts.
TEST(RequestFlow, AStreamThatFallsSilentGoesOnAtAnotherReplica)
{
    offersAllAtOnce = true;
    const std::string second = "id: 2\ndata: b\n\n";
    servers.push_back(std::make_unique<ScriptedServer>(
            io,
            std::vector { "HTTP/1.1 200 OK\r\n" + Head
                          + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n" }));
    servers[0]->endless = "id: 2";
    servers[0]->endlessPause = 5s;
    play("/stream/a", { events(second, true) });
    CHECK_EQUAL("id: 1\ndata: a\n\n" + second, caller.body);
    CHECK(caller.ended);
}

// A node that had just started took the fleet's slack for two nodes as its own share for good.
TEST(RequestFlow, ItsShareOfTheRetryBudgetFallsAsMoreNodesAreKnown)
{
    CHECK_COMPARE(state->budgetOf("s").tokens(), >, 1.0);
    for (int node = 0; node < 80; ++node)
        state->directory.onIndirectReport({ "other" + std::to_string(node), "ip", "z" },
                                          steadyNow());
    CHECK_COMPARE(state->budgetOf("s").tokens(), <=, 1.0);
}

// An answer of the node's own would have followed the events that the caller had.
TEST(RequestFlow, AStreamGivenUpWhileItClaimsAReplicaHasNoEnd)
{
    service = "pool";
    models = { { "m", {} } };
    StopsAtSecondClaim announcer(*state);
    const std::string passed = "id: 1\ndata: a\n\n";
    play("/model-stream/a", { events(passed, false), events(passed, true) }, announcer);
    CHECK_EQUAL(2, announcer.claims);
    CHECK_EQUAL(1, announcer.withdrawn);
    CHECK_EQUAL(passed, caller.body);
    CHECK_EQUAL(1, caller.answers);
    CHECK(!caller.ended);
    CHECK_EQUAL(0, servers[1]->next);
}

TEST(RequestFlow, AStreamThatCannotGoOnHasNoEnd)
{
    play("/stream-once/a", { events("id: 1\ndata: a\n\n", false) });
    CHECK_EQUAL(std::string("id: 1\ndata: a\n\n"), caller.body);
    CHECK(!caller.ended);
}

TEST(RequestFlow, AWholeAnswerToAStreamingRequestIsPassedOn)
{
    play("/stream-once/a",
         { "HTTP/1.1 200 OK\r\n" + Head
           + "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}" });
    CHECK_EQUAL(200, caller.status);
    CHECK_EQUAL(std::string("{}"), caller.body);
    CHECK(caller.ended);
}

TEST(RequestFlow, JsonCutOffByTheCloseIsNotDeliveredAsComplete)
{
    play("/once/a",
         { "HTTP/1.1 200 OK\r\n" + Head
           + "X: Close-Now\r\nContent-Type: application/json\r\n\r\n{\"order\":" });
    CHECK_EQUAL(502, caller.status);
}

TEST(RequestFlow, AnAnswerOfAnotherRequestIsNotTaken)
{
    play("/once/a",
         { "HTTP/1.1 200 OK\r\nAttempt-Id: q2\r\nServer-Seal: x\r\nContent-Length: 5\r\n\r\n"
           "other" });
    CHECK_EQUAL(502, caller.status);
}

TEST(RequestFlow, ASuccessWithoutProofOfItsReplicaIsNotTaken)
{
    play("/once/a", { "HTTP/1.1 200 OK\r\nAttempt-Id: q1\r\nContent-Length: 5\r\n\r\nbogus" });
    CHECK_EQUAL(502, caller.status);
}

// A process that ended with such requests open left their callers without any answer.
TEST(RequestFlow, AStoppingNodeAnswersWhatItStillHolds)
{
    servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { NoAnswer, NoAnswer }));
    ReplicaInfo info;
    info.id = "r0";
    info.service = "s";
    info.address = toText(servers[0]->endpoint());
    info.startedMs = 1;
    info.slots = 1;
    state->replicas.onAnnounced(info, steadyNow());
    const HttpRequest request = callerRequest("/once/a");
    // One runs, one waits at the replica, and one here.
    Caller running;
    Caller sent;
    Caller queued;
    RequestFlow first(*state, nodes, request, running);
    RequestFlow second(*state, nodes, request, sent);
    RequestFlow third(*state, nodes, request, queued);
    for (RequestFlow *flow : { &first, &second, &third })
        asio::co_spawn(io, flow->run(), asio::detached);
    io.run_for(50ms);
    CHECK(!running.ended && !sent.ended && !queued.ended);
    CHECK_EQUAL(1, state->scheduler.queued());

    giveUpAll(*state, "node_stopping", 50ms);
    io.run_for(50ms);
    CHECK_EQUAL(502, running.status); // it may have run
    CHECK_EQUAL(502, sent.status);
    CHECK_EQUAL(503, queued.status); // it has not
    CHECK(headerValue(queued.headers, "Retry-After").has_value());
    CHECK_EQUAL(1, running.answers);
    CHECK_EQUAL(1, queued.answers);
}

// The state was changed by a timer each 100 ms: a stream was taken 3.26 s after the signal, and the
// process ended before it.
TEST(RequestFlow, AStoppingNodeRefusesFromTheMomentOn)
{
    state->leaving = true;
    state->refuseFrom = steadyNow() + 10s;
    play("/once/a", { Good });
    CHECK_EQUAL(200, caller.status);
    caller = Caller {};
    io.restart();
    state->refuseFrom = steadyNow();
    play("/once/a", { Good });
    CHECK_EQUAL(503, caller.status);
    CHECK(headerValue(caller.headers, "Retry-After").has_value());
}

TEST(RequestFlow, UnknownRoutesAndAMissingConfiguration)
{
    play("/nowhere/a", { Good });
    CHECK_EQUAL(404, caller.status);
}

TEST(RequestFlow, AReplicaThatAsksForAPauseGetsNoFurtherRequest)
{
    const std::string busy = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 1.5\r\n"
                             "Content-Length: 0\r\n\r\n";
    play("/once/a", { busy });
    CHECK_EQUAL(503, caller.status);
    CHECK_EQUAL(1, servers[0]->next);
    const ReplicaRow *row = state->replicas.find("r0");
    CHECK(row->pausedUntil > steadyNow() + 1s);
    CHECK(row->pausedUntil < steadyNow() + 1'500ms);
}

TEST(RequestFlow, AReplicaThatSaysItLeavesIsDrained)
{
    play("/once/a",
         { "HTTP/1.1 200 OK\r\n" + Head + "Server-Leaving: 1\r\nContent-Length: 4\r\n\r\ngood" });
    CHECK_EQUAL(200, caller.status);
    const ReplicaRow *row = state->replicas.find("r0");
    CHECK(row->drainedAt > steadyNow());
    CHECK(state->replicas.isDrained(*row, steadyNow() + state->profile.bounds.drainTime));
}

TEST(RequestFlow, AProgramThatEndsDuringAClaimDestroysTheRequestBeforeItsState)
{
    service = "pool";
    models = { { "m", {} } };
    servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { NoAnswer }));
    announceFirstServer(*this);
    auto announcer = std::make_unique<StopsAtClaim>(io);
    CallerHandler handler(*state, *announcer);
    const HttpRequest request = callerRequest("/model-stream/a");
    const WorkEnd workEnd(io);
    asio::co_spawn(io, handler.handle(request, caller), asio::detached);
    io.run_for(100ms);
    CHECK(io.stopped());
    CHECK_EQUAL(1, state->flows.size());
}
