// One request through RequestFlow, with the platform's dialect, against replicas that misbehave.
#include "edge/requestflow.h"
#include "platform/requestdialect.h"
#include "platform/storedecoder.h"
#include "support/scriptedserver.h"
#include "support/unreachablestore.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// Engines that are never asked.
struct NoEngines : public EngineControl
{
    asio::awaitable<OrderResult> order(Endpoint, EngineCommand, Instant) override
    {
        co_return OrderResult::Unanswered;
    }
    asio::awaitable<std::optional<EngineReport>> report(Endpoint, std::string, Instant) override
    {
        co_return std::nullopt;
    }
};

struct NoNodes : public NodeAnnouncer
{
    bool announcePrompt(const PromptNote &) override { return false; }
    void announceLoss(std::uint64_t, const std::string &) override { }
};

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
    void announceLoss(std::uint64_t, const std::string &) override { }

    NodeState &state;
    int claims = 0;
    int withdrawn = 0;
};

/// What the caller gets.
struct Caller : public HttpReply
{
    asio::awaitable<bool> send(int answered, std::vector<HttpHeader> sent,
                               std::string text) override
    {
        answers++;
        status = answered;
        headers = std::move(sent);
        body = std::move(text);
        ended = true;
        co_return true;
    }
    asio::awaitable<bool> begin(int answered, std::vector<HttpHeader> sent) override
    {
        answers++;
        status = answered;
        headers = std::move(sent);
        co_return true;
    }
    asio::awaitable<bool> write(std::string_view part) override
    {
        body += part;
        co_return true;
    }
    asio::awaitable<bool> finish() override
    {
        ended = true;
        co_return true;
    }
    void onCallerLeft(std::function<void()>) override { }
    bool callerLeft() const override { return false; }
    bool begun() const override { return status != 0; }

    int answers = 0;
    int status = 0;
    bool ended = false;
    std::vector<HttpHeader> headers;
    std::string body;
};

ServingRoute route(const char *prefix, bool streams, bool repeatable)
{
    ServingRoute made;
    made.name = prefix;
    made.host = "h.example";
    made.pathPrefix = prefix;
    made.streams = streams;
    made.repeatable = repeatable;
    made.resumable = streams && repeatable;
    made.timeout = 2s;
    made.latencyObjective = 500ms;
    made.attempts = 2;
    made.targets = { { "s", 1.0 } };
    return made;
}

const std::string Head = "Attempt-Id: q1\r\nServer-Seal: x\r\n";
const std::string Good = "HTTP/1.1 200 OK\r\n" + Head + "Content-Length: 4\r\n\r\ngood";
const std::string Lost = "Close-Now"; // no answer at all
const std::string NotRun = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
const std::string Elsewhere =
        "HTTP/1.1 421 Misdirected\r\nInstance-Id: other\r\nContent-Length: 0\r\n\r\n";

std::string events(const std::string &text, bool whole)
{
    const std::string length = std::to_string(text.size() + (whole ? 0 : 100));
    return "HTTP/1.1 200 OK\r\n" + Head + (whole ? "" : "X: Close-Now\r\n")
            + "Content-Type: text/event-stream\r\nContent-Length: " + length + "\r\n\r\n" + text;
}

} // namespace

TEST_GROUP(RequestFlow)
{
    asio::io_context io { 1 };
    UnreachableStore store;
    NoEngines engines;
    NoNodes nodes;
    StoreDecoder decoder;
    PlatformDialect dialect;
    std::unique_ptr<NodeState> state;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    Caller caller;
    std::string service = "s";     // of the replicas that are offered
    std::vector<ModelCopy> models; // that they hold

    void setup() override
    {
        NodeProfile profile;
        profile.name = "n1";
        state = std::make_unique<NodeState>(io, profile,
                                            PlatformPorts { store, decoder, dialect, engines });
        ServingConfig config;
        config.version = 1;
        config.services["s"] = { "s", 0, std::nullopt };
        config.services["pool"] = { "pool", 0, EngineLimits {} };
        config.routes = { route("/repeat/", false, true), route("/once/", false, false),
                          route("/stream/", true, true), route("/stream-once/", true, false) };
        config.routes.push_back(route("/model-stream/", true, true));
        config.routes.back().targets = { { "pool", 1.0 } };
        state->applyConfig(config);
    }

    static HttpRequest callerRequest(const char *path)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = path;
        request.host = "h.example";
        request.headers = { { "Attempt-Id", "q1" }, { "Deadline-Ms", "2000" }, { "Model", "m" } };
        return request;
    }

    /// Plays a request; each replica answers by its script, all replicas one after the other.
    void play(const char *path, const std::vector<std::string> &scripts)
    {
        play(path, scripts, nodes);
    }

    void play(const char *path, const std::vector<std::string> &scripts, NodeAnnouncer &announcer)
    {
        for (const std::string &script : scripts)
            servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { script }));
        const HttpRequest request = callerRequest(path);
        std::size_t next = 0;
        const auto offer = [&] {
            // One replica at a time, so that the order of the scripts is the order of the attempts.
            if (next > 0)
                state->replicas.onDelisted("r" + std::to_string(next - 1), false, steadyNow());
            ReplicaInfo info;
            info.id = "r" + std::to_string(next);
            info.service = service;
            info.models = models;
            info.address = toText(servers[next]->endpoint());
            info.startedMs = 1;
            info.slots = 4;
            state->replicas.onAnnounced(info, steadyNow());
            next++;
        };
        offer();
        RequestFlow flow(*state, announcer, request, caller);
        asio::co_spawn(io, flow.run(), asio::detached);
        const Instant end = steadyNow() + 3s;
        while (!caller.ended && steadyNow() < end) {
            io.run_for(5ms);
            if (next < servers.size() && servers[next - 1]->next > 0)
                offer();
            state->waiting.tick();
            if (caller.begun() && next == servers.size() && state->flows.empty())
                break;
        }
        io.run_for(20ms);
    }
};

TEST(RequestFlow, PassesAnAnswerOnUnchanged)
{
    play("/repeat/a", { Good });
    CHECK_EQUAL(200, caller.status);
    CHECK_EQUAL(std::string("good"), caller.body);
    CHECK_EQUAL(std::string("x"), *headerValue(caller.headers, "Server-Seal"));
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
