// Processor time of one placement tick with a plan, from 15 replicas and 20 models up to 1,700
// replicas and 350 models. Arguments: replicas, models, whether demand has just moved.
#include "decide/placement.h"

#include <benchmark/benchmark.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t EngineMemoryMb = 640'000;

// One region's tables, with two copies of each model and more where the demand is.
PlacementInput fleet(std::size_t replicas, std::size_t models, bool moved)
{
    PlacementInput input;
    for (std::size_t number = 0; number < replicas; ++number) {
        PlannerEngine engine;
        engine.name = "engine-" + std::to_string(number);
        engine.zone = "zone-" + std::to_string(number % 8);
        engine.freeMb = EngineMemoryMb;
        engine.capacity = 5.0;
        input.engines.push_back(engine);
    }
    for (std::size_t number = 0; number < models; ++number) {
        PlannerModel model;
        model.name = "model-" + std::to_string(number);
        model.version = "1";
        model.memoryMb = 80'000 + 1'000 * static_cast<std::int64_t>(number % 80);
        model.minReplicas = 2;
        model.demand = 0.5 * static_cast<double>(replicas) * 5.0 / static_cast<double>(models);
        if (moved && number % 10 == 0)
            model.demand *= 10.0;
        input.models.push_back(model);
    }
    std::size_t next = 0;
    for (PlannerEngine &engine : input.engines) {
        const auto index = static_cast<std::size_t>(&engine - input.engines.data());
        for (int count = 0; count < 5; ++count, ++next) {
            const std::size_t which = next % models;
            PlannerCopy copy;
            copy.engine = index;
            copy.model = which;
            copy.modelName = input.models[which].name;
            copy.version = "1";
            copy.memoryMb = input.models[which].memoryMb;
            if (engine.freeMb < copy.memoryMb)
                break;
            engine.freeMb -= copy.memoryMb;
            input.copies.push_back(copy);
        }
    }
    return input;
}

void planOnly(benchmark::State &state)
{
    const PlacementInput input =
            fleet(static_cast<std::size_t>(state.range(0)),
                  static_cast<std::size_t>(state.range(1)), state.range(2) != 0);
    std::size_t moves = 0;
    for (auto _ : state) {
        const PlacementPlan result = plan(input);
        moves = result.moves.size();
        benchmark::DoNotOptimize(moves);
    }
    state.counters["moves"] = static_cast<double>(moves);
    state.counters["copies"] = static_cast<double>(input.copies.size());
}

// The same tables as reports and a catalog, through the whole system.
class TickBench
{
public:
    TickBench(const PlacementInput &input, double atOnce)
        : m_placement(settings())
        , m_input(input)
    {
        ServiceCatalog catalog;
        catalog.revision = 1;
        Service &service = catalog.services["models"];
        service.kind = ServiceKind::Models;
        service.upstreamGroup = "pool";
        service.placement.loadsPerSecond = atOnce;
        service.placement.loadsAtOnce = static_cast<int>(atOnce);
        for (const PlannerModel &model : input.models) {
            ModelEntry entry;
            entry.name = model.name;
            entry.memoryMb = model.memoryMb;
            entry.minReplicas = model.minReplicas;
            service.models.push_back(entry);
        }
        m_placement.onCatalog(catalog);
        m_placement.onControlNodes({ "control-1" }, m_now);
        for (int call = 0; call < 12; ++call)
            tick();
    }

    void tick()
    {
        m_now += 1s;
        std::vector<PlacementVm> vms;
        for (std::size_t index = 0; index < m_input.engines.size(); ++index) {
            vms.push_back({ m_input.engines[index].name, false });
            m_placement.onEngineState(report(index), m_now);
        }
        m_placement.onVmList(vms, m_now);
        DemandReport demand { "entry-1", {} };
        for (const PlannerModel &model : m_input.models)
            demand.models.push_back({ model.name, model.demand });
        m_placement.onDemand(demand, m_now);
        m_placement.tick(m_now);
        answer();
        answer();
    }

    void tickAlone()
    {
        m_now += 1s;
        m_placement.tick(m_now);
        answer();
    }

    std::size_t planned() const
    {
        const auto row = m_placement.plans().find("pool");
        return row == m_placement.plans().end() ? 0 : row->second.moves.size();
    }

private:
    static PlacementSettings settings()
    {
        PlacementSettings result;
        result.node = "control-1";
        result.maxReportAge = 10'000'000ms;
        result.preloadAdapters = false;
        return result;
    }

    EngineState report(std::size_t index)
    {
        EngineState state;
        state.name = m_input.engines[index].name;
        state.group = "pool";
        state.zone = m_input.engines[index].zone;
        state.incarnation = 1;
        state.sequence = ++m_sequence;
        state.epoch = m_placement.reportEpoch();
        state.checksFencing = true;
        state.memoryMb = EngineMemoryMb;
        state.capacity = m_input.engines[index].capacity;
        for (const PlannerCopy &copy : m_input.copies) {
            if (copy.engine == index)
                state.copies.push_back(
                        { copy.modelName, copy.version, copy.memoryMb, CopyState::Ready, {} });
        }
        return state;
    }

    void answer()
    {
        for (const PlacementAction &action : m_placement.takeActions()) {
            if (const auto *read = std::get_if<LeaseRead>(&action))
                m_placement.onLeaseRead({ read->callId, true, m_version, m_lease }, m_now);
            if (const auto *write = std::get_if<LeaseWrite>(&action)) {
                m_lease = write->value;
                m_placement.onLeaseWritten({ write->callId, WriteOutcome::Done, ++m_version },
                                           m_now);
            }
            if (const auto *readJournal = std::get_if<JournalRead>(&action))
                m_placement.onJournalRead({ readJournal->callId, true, 0, JournalValue {} }, m_now);
            if (const auto *writeJournal = std::get_if<JournalWrite>(&action))
                m_placement.onJournalWritten(
                        { writeJournal->callId, WriteOutcome::Done, ++m_version }, m_now);
        }
    }

    Placement m_placement;
    PlacementInput m_input;
    Instant m_now { 1s };
    LeaseValue m_lease;
    std::uint64_t m_version = 0;
    std::uint64_t m_sequence = 0;
};

void wholeTick(benchmark::State &state)
{
    const PlacementInput input =
            fleet(static_cast<std::size_t>(state.range(0)),
                  static_cast<std::size_t>(state.range(1)), state.range(2) != 0);
    TickBench bench(input, 16.0);
    for (auto _ : state)
        bench.tickAlone();
    state.counters["moves"] = static_cast<double>(bench.planned());
}

void sizes(benchmark::internal::Benchmark *benchmark)
{
    for (const int moved : { 0, 1 }) {
        benchmark->Args({ 15, 20, moved });
        benchmark->Args({ 50, 50, moved });
        benchmark->Args({ 150, 100, moved });
        benchmark->Args({ 425, 350, moved });
        benchmark->Args({ 850, 350, moved });
        benchmark->Args({ 1'700, 350, moved });
    }
    benchmark->Unit(benchmark::kMillisecond);
}

} // namespace

BENCHMARK(planOnly)->Apply(sizes);
BENCHMARK(wholeTick)->Apply(sizes);
BENCHMARK_MAIN();
