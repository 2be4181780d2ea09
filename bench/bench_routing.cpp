// Cost of a routing decision from today's sizes to those of two years on.
#include "base/hashing.h"
#include "decide/dispatcher.h"
#include "decide/routingbaselines.h"

#include <benchmark/benchmark.h>

#include <memory>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Now { 1h };

struct Tables
{
    UpstreamTable table;
    PrefixIndex prefixes;
    int models = 0;

    /// Replicas hold four models each; there are 350 models for 1,700 replicas, at least 20.
    explicit Tables(int replicas)
        : models(std::max(20, replicas * 350 / 1700))
    {
        Random random(5);
        for (int number = 0; number < replicas; ++number) {
            UpstreamInfo info;
            info.name = "replica-" + std::to_string(number);
            info.address = "10.0.0.1:9000";
            info.group = "model-pool";
            info.zone = std::to_string(number % 8);
            info.incarnation = 1;
            info.slots = 48;
            for (int copy = 0; copy < 4; ++copy) {
                const std::size_t model = random.below(std::size_t(models));
                info.resident.push_back(
                        { "model-" + std::to_string(model), "1", { "a1", "a2", "a3", "a4" } });
            }
            table.onAnnounced(info, Now);
            table.onLoadReport({ info.name, 1, 300ms, int(random.below(40)), 0, 48 }, Now);
            for (int sent = 0; sent < 10; ++sent)
                table.onSent(info.name, false, Now);
        }
    }

    RoutingRequest request(Random &random) const
    {
        RoutingRequest made;
        made.key = servingKey("model-" + std::to_string(random.below(std::size_t(models))), "1");
        made.adapter = "a2";
        made.customer = "customer-1";
        made.promptTokens = 800;
        for (std::uint64_t block = 0; block < 12; ++block)
            made.prefix.push_back(hashPair(block, made.key));
        return made;
    }
};

void sizes(benchmark::internal::Benchmark *bench)
{
    for (const int replicas : { 15, 18, 50, 150, 500, 1700 })
        bench->Arg(replicas);
}

void chooseUpstream(benchmark::State &state)
{
    Tables tables(static_cast<int>(state.range(0)));
    CostRouter router(tables.table, tables.prefixes, RouterSettings(), 3);
    Random random(9);
    std::vector<RoutingRequest> requests;
    for (int each = 0; each < 256; ++each) {
        requests.push_back(tables.request(random));
        const RoutingResult answer = router.choose(requests.back(), Now);
        if (const auto *choice = std::get_if<RoutingChoice>(&answer))
            tables.prefixes.onSent(tables.table.find(choice->upstream)->number,
                                   requests.back().prefix);
    }
    std::size_t next = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(router.choose(requests[next++ % requests.size()], Now));
}

/// Admission, choice, the log line's text, first byte and end.
void wholeRequest(benchmark::State &state)
{
    Tables tables(static_cast<int>(state.range(0)));
    CostRouter router(tables.table, tables.prefixes, RouterSettings(), 3);
    Dispatcher dispatcher(tables.table, tables.prefixes, router);
    Random random(9);
    std::uint64_t id = 0;
    Instant now = Now;
    for (auto _ : state) {
        QueuedRequest request;
        request.routing = tables.request(random);
        request.routing.id = ++id;
        request.arrived = now;
        request.deadline = now + 10s;
        dispatcher.onRequest(request, now);
        benchmark::DoNotOptimize(dispatcher.takeActions());
        dispatcher.onFirstByte(id, 1, now);
        dispatcher.onFinished(id, 1, now);
        now += 100ms;
    }
}

void takeLoadReport(benchmark::State &state)
{
    Tables tables(static_cast<int>(state.range(0)));
    std::uint64_t sequence = 1;
    std::size_t next = 0;
    const auto replicas = static_cast<std::size_t>(state.range(0));
    for (auto _ : state) {
        const std::string name = "replica-" + std::to_string(next++ % replicas);
        tables.table.onLoadReport({ name, ++sequence, 300ms, 10, 0, 48 }, Now);
    }
}

} // namespace

BENCHMARK(chooseUpstream)->Apply(sizes);
BENCHMARK(wholeRequest)->Apply(sizes);
BENCHMARK(takeLoadReport)->Apply(sizes);
BENCHMARK_MAIN();
