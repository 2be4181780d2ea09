// Several nodes on loopback with their heartbeats, before replicas and the stand-in of the store,
// which may come back from an older copy. Their connections to it can go silent for good.
//
//   fleet.start(14);             // beyond FollowSettings::smallFleet most nodes follow others
//   fleet.store.objects.save();
//   fleet.publish(2);            // version N has the routes /v1/ to /vN/
//   fleet.returnStore();
//   fleet.nodesServing(2);
#pragma once

#include "edge/edgeprogram.h"
#include "link/silentlink.h"
#include "net/coroutines.h"
#include "platform/requestdialect.h"
#include "platform/storeclient.h"
#include "platform/storedecoder.h"
#include "store/storeserver.h"
#include "support/noengines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>

namespace burdock {

/// Answers every request after a short while.
struct CountingReplica : public HttpHandler
{
    CountingReplica(boost::asio::io_context &io, std::string name, Endpoint where)
        : id(std::move(name))
        , server(io, {}, *this)
        , endpoint(std::move(where))
    {
        CHECK(isOk(server.listen(endpoint)));
    }

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override
    {
        arrivals++;
        lastArrivalAt = steadyNow();
        if (isStuck && request.target.starts_with("/stream/")) {
            std::vector<HttpHeader> stream = answerHeaders(request);
            stream.push_back({ "Content-Type", "text/event-stream" });
            co_await reply.begin(StatusOk, std::move(stream));
            co_await reply.write("id: 1\ndata: a\n\n");
        }
        co_await sleepFor(isStuck ? std::chrono::minutes(10) : std::chrono::milliseconds(10));
        co_await reply.send(StatusOk, answerHeaders(request), "good");
    }

    std::vector<HttpHeader> answerHeaders(const HttpRequest &request) const
    {
        std::vector<HttpHeader> headers {
            { "Attempt-Id", headerValue(request.headers, "Attempt-Id").value_or("") },
            { "Server-Seal", "x" },
        };
        if (isLeaving)
            headers.push_back({ "Server-Leaving", "1" });
        return headers;
    }

    std::string id;
    HttpServer server;
    Endpoint endpoint;
    std::string state = "ready"; // as its entry says
    bool isLeaving = false;      // as its answers say
    bool isStuck = false;        // it answers nothing, or the first event of a stream
    int arrivals = 0;
    Instant lastArrivalAt;
};

struct StoreFleet : public Utest
{
    static constexpr int SmallFleet = 3;  // every node watches the store
    static constexpr int LargeFleet = 14; // most nodes follow others
    static constexpr std::chrono::seconds SettleTime {
        6
    }; // all nodes are known and watch or follow

    static constexpr const char *ConfigKind = "config";
    static constexpr const char *ReplicaKind = "servers";
    static constexpr const char *NodeKind = "burdock-nodes";
    static constexpr const char *LeaseKind = "burdock-leases";

    struct Node
    {
        Node(boost::asio::io_context &io, const Endpoint &store)
            : link(io, store)
            , http(io, storeConnectionSettings())
            , client(http, listeningEndpoint(link))
        {
        }

        standin::SilentLink link; // to the store
        HttpClient http;
        StoreClient client;
        std::unique_ptr<EdgeProgram> program;
    };

    static Endpoint listeningEndpoint(standin::SilentLink &link)
    {
        CHECK(isOk(link.listen({ "127.0.0.1", 0 })));
        return link.endpoint();
    }

    EventLoop io;
    standin::StoreServer store;
    HttpServer storeServer { io, {}, store };
    Endpoint storeEndpoint { "127.0.0.1", 0 };
    StoreDecoder decoder;
    PlatformDialect dialect;
    NoEngines noEngines;
    EngineControl *engines = &noEngines; // of nodes that are started from now on
    HttpClient http { io };
    std::map<std::string, std::unique_ptr<CountingReplica>> replicas;
    std::vector<std::unique_ptr<Node>> nodes;
    std::uint16_t callersPort = 0;
    int calls = 0;
    int beats = 0;
    int openCalls = 0;
    int anyStatus = 0; // of calls whose answers do not matter and may come late

    std::uint16_t freePort()
    {
        boost::asio::ip::tcp::acceptor probe(io, { boost::asio::ip::address_v4::any(), 0 });
        return probe.local_endpoint().port();
    }

    /// Not 127.0.0.1, whose ports are given to links and connections.
    static std::string nodeIp(int node) { return "127.0.0." + std::to_string(node + 2); }

    // ---- What others write ----

    void publish(std::uint64_t version) { publish(version, version); }

    /// @param routeCount it has the routes /v1/ to this number
    void publish(std::uint64_t version, std::uint64_t routeCount)
    {
        boost::json::array routes;
        for (std::uint64_t number = 1; number <= routeCount; ++number) {
            const std::string prefix = "/v" + std::to_string(number) + "/";
            routes.push_back({ { "name", prefix },
                               { "host", "h.example" },
                               { "path_prefix", prefix },
                               { "type", "idempotent" },
                               { "timeout_ms", 2'000 },
                               { "latency_goal_ms", 500 },
                               { "attempts", 2 },
                               { "service", "s" } });
        }
        const boost::json::value config { { "version", version },
                                          { "routes", std::move(routes) },
                                          { "services", { { { "name", "s" } } } } };
        put(ConfigKind, "main", config);
    }

    void announce(const CountingReplica &replica)
    {
        put(ReplicaKind, replica.id,
            { { "service", "s" },
              { "address", toText(replica.endpoint) },
              { "zone", "z" },
              { "slots", 64 },
              { "state", replica.state },
              { "cold_left_ms", 0 },
              { "sequence", ++beats },
              { "born", 1 } });
    }

    void put(const std::string &kind, const std::string &name, const boost::json::value &spec)
    {
        if (!store.objects.replace(kind, name, std::nullopt, spec))
            store.objects.create(kind, name, spec);
    }

    /// Changes of objects that no node follows, until the store has the revision.
    void writeOthersUntil(std::uint64_t revision)
    {
        while (store.objects.revision() < revision)
            put("others", "counter", ++beats);
    }

    CountingReplica &addReplica(const std::string &id)
    {
        replicas[id] =
                std::make_unique<CountingReplica>(io, id, Endpoint { "127.0.0.1", freePort() });
        announce(*replicas[id]);
        return *replicas[id];
    }

    /// The store comes back from its copy; the watches that wait are cut or go on.
    void returnStore(bool keepsWatches)
    {
        store.keepsWatches = keepsWatches;
        store.objects.restore();
    }

    // ---- Nodes ----

    void start(int count)
    {
        storeEndpoint.port = freePort();
        CHECK(isOk(storeServer.listen(storeEndpoint)));
        callersPort = freePort();
        const std::uint16_t peerPort = freePort();
        const std::uint16_t feedPort = freePort();
        for (int number = 0; number < count; ++number) {
            NodeProfile profile;
            profile.name = "n" + std::to_string(number);
            profile.zone = "z";
            profile.ip = nodeIp(number);
            profile.callers = { profile.ip, callersPort };
            profile.peerPort = peerPort;
            profile.feedPort = feedPort;
            profile.seeds = { nodeIp(0), nodeIp(1) };
            profile.store = storeEndpoint;
            nodes.push_back(std::make_unique<Node>(io, storeEndpoint));
            Node &node = *nodes.back();
            node.program = std::make_unique<EdgeProgram>(
                    io, profile, PlatformPorts { node.client, decoder, dialect, *engines },
                    [](EventLog &) {});
            CHECK(isOk(node.program->start()));
        }
    }

    /// Starts nodes with version 1 and with replicas i-0, i-1, ... and lets them settle.
    void startWithReplicas(int nodeCount, int replicaCount)
    {
        publish(1);
        for (int number = 0; number < replicaCount; ++number)
            addReplica("i-" + std::to_string(number));
        start(nodeCount);
        io.run_for(SettleTime);
        CHECK_EQUAL(nodes.size(), nodesServing(1));
    }

    boost::asio::awaitable<void> call(int node, std::string path, int &status)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = std::move(path);
        request.host = "h.example";
        request.headers = { { "Attempt-Id", "q" + std::to_string(++calls) },
                            { "Deadline-Ms", "2000" } };
        openCalls++;
        const Endpoint endpoint { nodeIp(node), callersPort };
        const auto result = co_await http.call(endpoint, std::move(request),
                                               steadyNow() + std::chrono::seconds(3));
        openCalls--;
        const auto *response = std::get_if<HttpResponse>(&result);
        status = response == nullptr ? 0 : response->head.status;
    }

    /// Calls each node once, all at the same time.
    /// @return the statuses
    std::vector<int> callAll(const std::string &path)
    {
        std::vector<int> statuses(nodes.size(), -1);
        for (int node = 0; node < int(nodes.size()); ++node)
            boost::asio::co_spawn(io, call(node, path, statuses[std::size_t(node)]),
                                  boost::asio::detached);
        const auto isOpen = [&] {
            return std::find(statuses.begin(), statuses.end(), -1) != statuses.end();
        };
        while (isOpen())
            io.run_for(std::chrono::milliseconds(5));
        return statuses;
    }

    /// @return how many nodes serve the route that this version added
    std::size_t nodesServing(std::uint64_t version)
    {
        const auto statuses = callAll("/v" + std::to_string(version) + "/");
        return std::size_t(std::count(statuses.begin(), statuses.end(), StatusOk));
    }

    /// Calls all nodes for a while, several times at once, so that they use all their replicas.
    void callFor(std::chrono::milliseconds time)
    {
        constexpr int CallsAtOnce = 4;
        const Instant end = steadyNow() + time;
        while (steadyNow() < end) {
            for (std::size_t number = 0; number < nodes.size() * CallsAtOnce; ++number)
                boost::asio::co_spawn(io, call(int(number / CallsAtOnce), "/v1/", anyStatus),
                                      boost::asio::detached);
            io.run_for(std::chrono::milliseconds(60));
        }
        finishCalls();
    }

    /// Waits until all calls have ended.
    void finishCalls()
    {
        io.run_for(std::chrono::milliseconds(100));
        while (openCalls > 0)
            io.run_for(std::chrono::milliseconds(5));
    }

    void teardown() override { io.stop(); }
};

} // namespace burdock
