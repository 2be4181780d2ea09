// Several nodes on loopback, with heartbeats and callers, before replicas that state a limit on the
// requests that they take from all nodes together.
#include "edge/edgeprogram.h"
#include "net/coroutines.h"
#include "platform/requestdialect.h"
#include "support/limitjudge.h"
#include "support/noengines.h"
#include "support/unreachablestore.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr int Nodes = 6;
constexpr auto SettleTime = 7s; // nodes have found each other
constexpr auto LimitedTime = 9s;
constexpr auto LiftedTime = 8s;
constexpr auto NewsTime = 3s; // at least one request in it tells whether the limit still holds
constexpr auto CallInterval = 250ms; // between the requests that one node gets
constexpr double Limit = 1.0;
const std::string Limited = "i-limited";

std::string nodeIp(int node)
{
    return "127.0.0." + std::to_string(node + 1);
}

/// A port that is free on every address of the nodes.
std::uint16_t freePort(asio::io_context &io)
{
    asio::ip::tcp::acceptor probe(io, { asio::ip::address_v4::any(), 0 });
    return probe.local_endpoint().port();
}

/// Answers every request at once; states its limit while there is one.
struct Replica : public HttpHandler
{
    Replica(asio::io_context &io, std::string id)
        : name(std::move(id))
        , server(io, {}, *this)
        , endpoint { "127.0.0.1", freePort(io) }
    {
        CHECK(isOk(server.listen(endpoint)));
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override
    {
        const std::string node = headerValue(request.headers, "X-Node").value_or("");
        arrivals++;
        judge.onArrived(node, steadyNow());
        std::vector<HttpHeader> headers {
            { "Attempt-Id", headerValue(request.headers, "Attempt-Id").value_or("") },
            { "Server-Seal", "x" },
        };
        if (!limit.empty())
            headers.push_back({ "Server-Limit", limit });
        const bool toldNow = !limit.empty();
        if (co_await reply.send(StatusOk, std::move(headers), "good") && toldNow)
            judge.onTold(node, steadyNow());
    }

    std::string name;
    HttpServer server;
    Endpoint endpoint;
    std::string limit; // empty: none is stated
    int arrivals = 0;
    LimitJudge judge;
};

/// Serves one configuration and the replicas, which never change.
struct FixedStore : public UnreachableStore
{
    asio::awaitable<ListAnswer> list(ObjectKind kind) override
    {
        ItemList answer;
        answer.revision = { 1, 1 };
        if (kind == ObjectKind::Configuration)
            answer.items.push_back({ "main", { 1, 1 }, false, {} });
        if (kind == ObjectKind::Replicas) {
            for (const std::string &replica : replicas)
                answer.items.push_back({ replica, { 1, 1 }, false, {} });
        }
        co_return answer;
    }
    asio::awaitable<WatchAnswer> watch(ObjectKind, StoreRevision revision,
                                       std::chrono::milliseconds wait) override
    {
        co_await sleepFor(wait);
        co_return ItemList { {}, revision };
    }

    std::vector<std::string> replicas;
};

struct FixedDecoder : public ObjectDecoder
{
    Result<ServingConfig> configuration(const StoredItem &) const override
    {
        ServingConfig config;
        config.version = 1;
        config.services["s"] = { "s", 0, std::nullopt };
        ServingRoute route;
        route.name = "r";
        route.host = "h.example";
        route.pathPrefix = "/";
        route.repeatable = true;
        route.timeout = 2s;
        route.latencyObjective = 500ms;
        route.attempts = 2;
        route.targets = { { "s", 1.0 } };
        config.routes = { route };
        return config;
    }
    Result<ReplicaInfo> replica(const StoredItem &item) const override
    {
        ReplicaInfo info;
        info.id = item.name;
        info.service = "s";
        info.address = addresses.at(item.name);
        info.startedMs = 1;
        info.slots = 64;
        return info;
    }

    std::map<std::string, std::string> addresses; // by replica
};

struct LimitedFleet : public Utest
{
    EventLoop io;
    FixedStore store;
    FixedDecoder decoder;
    PlatformDialect dialect;
    NoEngines engines;
    HttpClient http { io };
    std::map<std::string, std::unique_ptr<Replica>> replicas;
    std::vector<std::unique_ptr<EdgeProgram>> nodes;
    std::uint16_t callersPort = 0;
    bool calling = true;
    std::map<int, int> answers; // count by status
    int refusalsWithoutTime = 0;
    int arrivalsWhileLimited = 0;

    void addReplica(const std::string &id)
    {
        replicas[id] = std::make_unique<Replica>(io, id);
        decoder.addresses[id] = toText(replicas[id]->endpoint);
        store.replicas.push_back(id);
    }

    void startNodes()
    {
        callersPort = freePort(io);
        const std::uint16_t peerPort = freePort(io);
        const std::uint16_t feedPort = freePort(io);
        for (int node = 0; node < Nodes; ++node) {
            NodeProfile profile;
            profile.name = "n" + std::to_string(node);
            profile.zone = "z" + std::to_string(node % 2);
            profile.ip = nodeIp(node);
            profile.callers = { profile.ip, callersPort };
            profile.peerPort = peerPort;
            profile.feedPort = feedPort;
            profile.seeds = { nodeIp(0), nodeIp(1) };
            nodes.push_back(std::make_unique<EdgeProgram>(
                    io, profile, PlatformPorts { store, decoder, dialect, engines },
                    [](EventLog &) {}));
            CHECK(isOk(nodes.back()->start()));
        }
        for (int node = 0; node < Nodes; ++node)
            asio::co_spawn(io, callOften(node), asio::detached);
    }

    asio::awaitable<void> callOften(int node)
    {
        co_await sleepFor(node * CallInterval / Nodes);
        for (int number = 0; calling; ++number) {
            asio::co_spawn(io, call(node, number), asio::detached);
            co_await sleepFor(CallInterval);
        }
    }

    asio::awaitable<void> call(int node, int number)
    {
        const std::string name = "n" + std::to_string(node);
        HttpRequest request;
        request.method = "POST";
        request.target = "/a";
        request.host = "h.example";
        request.headers = { { "Attempt-Id", name + "-" + std::to_string(number) },
                            { "Deadline-Ms", "2000" },
                            { "X-Node", name } };
        const Endpoint endpoint { nodeIp(node), callersPort };
        const auto result = co_await http.call(endpoint, std::move(request), steadyNow() + 3s);
        const auto *response = std::get_if<HttpResponse>(&result);
        const int status = response == nullptr ? 0 : response->head.status;
        answers[status]++;
        if (status == StatusUnavailable && !headerValue(response->head.headers, "Retry-After"))
            refusalsWithoutTime++;
    }

    /// Plays until the nodes know each other, then with the limit, then without it.
    void play(const std::string &limit, std::chrono::seconds liftedTime = 0s)
    {
        startNodes();
        io.run_for(SettleTime);
        answers.clear();
        replicas[Limited]->limit = limit;
        replicas[Limited]->arrivals = 0;
        io.run_for(LimitedTime);
        arrivalsWhileLimited = replicas[Limited]->arrivals;
        replicas[Limited]->limit.clear();
        replicas[Limited]->arrivals = 0;
        io.run_for(liftedTime);
        calling = false;
        io.run_for(CallInterval + 200ms);
    }

    void teardown() override { io.stop(); }
};

} // namespace

TEST_GROUP_BASE(RequestLimits, LimitedFleet) {};

TEST(RequestLimits, AllNodesTogetherKeepTheLimitOfAReplica)
{
    addReplica(Limited);
    addReplica("i-other");
    play("1");
    const Replica &limited = *replicas[Limited];
    CHECK(!limited.judge.told.empty());
    CHECK_COMPARE(limited.judge.worstWindow(), <=, LimitJudge::allowed(Limit));
    CHECK_COMPARE(arrivalsWhileLimited, >=, int(LimitedTime / NewsTime));
    CHECK_EQUAL(std::size_t(1), answers.size()); // the other replica served the rest
    CHECK_COMPARE(answers[StatusOk], >, 0);
}

TEST(RequestLimits, RequestsBeyondTheLimitOfTheOnlyReplicaAreRefusedWithATimeToReturn)
{
    addReplica(Limited);
    play("1");
    const Replica &limited = *replicas[Limited];
    CHECK_COMPARE(limited.judge.worstWindow(), <=, LimitJudge::allowed(Limit));
    CHECK_COMPARE(answers[StatusOk], >=, 5);
    CHECK_COMPARE(answers[StatusUnavailable], >, answers[StatusOk]);
    CHECK_EQUAL(0, answers[0]);
    CHECK_EQUAL(0, refusalsWithoutTime);
}

TEST(RequestLimits, AReplicaThatLiftsItsLimitGetsRequestsOfAllNodesAgain)
{
    addReplica(Limited);
    addReplica("i-other");
    play("1", LiftedTime);
    constexpr int Calls = Nodes * int(LiftedTime / CallInterval);
    CHECK_COMPARE(replicas[Limited]->arrivals, >=, Calls / 4); // a half is its usual part
}
