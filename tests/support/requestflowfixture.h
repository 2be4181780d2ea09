// Plays one request through RequestFlow, with the platform's dialect, against scripted replicas.
#pragma once

#include "edge/edgeprogram.h"
#include "platform/requestdialect.h"
#include "platform/storedecoder.h"
#include "support/caller.h"
#include "support/noengines.h"
#include "support/scriptedserver.h"
#include "support/unreachablestore.h"

#include <CppUTest/TestHarness.h>

#include <memory>

namespace burdock {

using namespace std::chrono_literals;
namespace asio = boost::asio;

struct NoNodes : public NodeAnnouncer
{
    bool announcePrompt(const PromptNote &) override { return false; }
    asio::awaitable<void> announceLoss(BrokenRun, Endpoint) override { co_return; }
    void announceLimit(const LimitNote &) override { }
    void announceSpending() override { }
};

inline ServingRoute route(const char *prefix, bool streams, bool repeatable)
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

inline std::string events(const std::string &text, bool whole)
{
    const std::string length = std::to_string(text.size() + (whole ? 0 : 100));
    return "HTTP/1.1 200 OK\r\n" + Head + (whole ? "" : "X: Close-Now\r\n")
            + "Content-Type: text/event-stream\r\nContent-Length: " + length + "\r\n\r\n" + text;
}

struct RequestFlowFixture : public Utest
{
    EventLoop io;
    UnreachableStore store;
    NoEngines engines;
    NoNodes nodes;
    StoreDecoder decoder;
    PlatformDialect dialect;
    std::unique_ptr<NodeState> state;
    std::vector<std::unique_ptr<ScriptedServer>> servers;
    Caller caller;
    std::string service = "s";        // of the replicas that are offered
    std::vector<ModelCopy> models;    // that they hold
    std::vector<HttpHeader> sentKeys; // of the request, beside its other headers
    bool offersAllAtOnce = false;     // the first one gets the first attempt

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
        HttpRequest request = callerRequest(path);
        request.headers.insert(request.headers.end(), sentKeys.begin(), sentKeys.end());
        std::size_t next = 0;
        const auto offer = [&] {
            // One replica at a time, so that the order of the scripts is the order of the attempts.
            if (next > 0 && !offersAllAtOnce)
                state->replicas.onDelisted("r" + std::to_string(next - 1), {}, steadyNow());
            ReplicaInfo info;
            info.id = "r" + std::to_string(next);
            info.service = service;
            info.models = models;
            info.address = toText(servers[next]->endpoint());
            info.startedMs = 1;
            info.slots = 4;
            info.zone = next == 0 ? "" : "far"; // the first one is preferred
            state->replicas.onAnnounced(info, steadyNow());
            next++;
        };
        do {
            offer();
        } while (offersAllAtOnce && next < servers.size());
        RequestFlow flow(*state, announcer, request, caller);
        bool done = false;
        asio::co_spawn(io, flow.run(), [&done](const std::exception_ptr &failure) {
            done = true;
            if (failure)
                std::rethrow_exception(failure);
        });
        const Instant end = steadyNow() + 3s;
        while (!done && steadyNow() < end) {
            io.run_for(5ms);
            if (next < servers.size() && servers[next - 1]->next > 0)
                offer();
            state->waiting.tick();
            checkSilentAttempts(*state);
        }
        io.run_for(20ms);
    }
};

} // namespace burdock
