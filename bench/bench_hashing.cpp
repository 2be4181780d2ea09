#include "base/hashing.h"

#include <benchmark/benchmark.h>

static void rendezvousOverNodes(benchmark::State &state)
{
    std::vector<std::string> nodes;
    nodes.reserve(static_cast<std::size_t>(state.range(0)));
    for (int number = 0; number < state.range(0); ++number)
        nodes.push_back("node-" + std::to_string(number));
    for (auto _ : state)
        benchmark::DoNotOptimize(burdock::rendezvousOrder("some-model", nodes));
}

BENCHMARK(rendezvousOverNodes)->Arg(8)->Arg(380);
BENCHMARK_MAIN();
