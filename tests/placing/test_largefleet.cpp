// CopyPlacement over hundreds of replicas and models, and where the models outnumber the places.
#include "placing/copyplacement.h"

#include "support/replicas.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };
constexpr double ModelMb = 60'000.0;

ServingConfig makeConfig(int models, double loadsPerSecond, int adaptersPerModel = 0)
{
    ServingService service;
    service.name = "pool";
    EngineLimits engine;
    engine.weightsMb = 200'000.0; // capacity for three models
    engine.adapterSlots = 8;
    engine.loadsPerSecond = loadsPerSecond;
    for (int number = 0; number < models; ++number) {
        EngineModel model;
        model.name = "m" + std::to_string(number);
        model.memoryMb = ModelMb;
        model.storeLoadTime = 1'600ms;
        model.hostMemoryLoadTime = 500ms;
        model.localDiskLoadTime = 800ms;
        model.adapters = adaptersPerModel;
        model.adapterMb = 60.0;
        engine.models.push_back(model);
    }
    service.engine = engine;
    ServingConfig made;
    made.version = 1;
    made.services[service.name] = service;
    return made;
}

/// Replicas that carry out each order at once, and load a model in 1.6 s.
struct Pool
{
    struct Replica
    {
        std::set<std::string> models;
        std::set<std::string> adapters; // "model/adapter"
        std::string loading;
        Instant loadedAt;
        std::uint64_t accepted = 0;
    };

    Pool(const ServingConfig &config, int replicaCount)
    {
        CopyPlacementSettings settings;
        settings.node = "node-1";
        placement = std::make_unique<CopyPlacement>(settings);
        placement->onConfig(config);
        for (int number = 0; number < replicaCount; ++number)
            replicas["r" + std::to_string(1'000 + number)];
        for (auto &[id, replica] : replicas)
            placement->onReplica(listing(id, replica), now);
        placement->setHolder(true, 1, false, now);
    }

    static ReplicaInfo listing(const std::string &id, const Replica &replica)
    {
        std::vector<ModelCopy> held;
        for (const std::string &model : replica.models) {
            ModelCopy copy { model, {} };
            for (const std::string &adapter : replica.adapters) {
                if (adapter.starts_with(model + "/"))
                    copy.adapters.push_back(adapter.substr(model.size() + 1));
            }
            held.push_back(std::move(copy));
        }
        return poolReplica(id, std::move(held));
    }

    OrderResult carryOut(const EngineCommand &command)
    {
        Replica &replica = replicas.at(command.replica);
        if (!replica.loading.empty() || command.ordersAccepted != replica.accepted)
            return OrderResult::Conflict;
        replica.accepted++;
        const std::string adapter = command.model + "/" + command.adapter;
        if (!command.adapter.empty()) {
            if (command.load)
                replica.adapters.insert(adapter);
            else
                replica.adapters.erase(adapter);
        } else if (command.load) {
            replica.loading = command.model;
            replica.loadedAt = now + 1'600ms;
            loads.push_back(now);
        } else {
            replica.models.erase(command.model);
            std::erase_if(replica.adapters, [&](const std::string &each) {
                return each.starts_with(command.model + "/");
            });
        }
        return OrderResult::Accepted;
    }

    void step(Duration time)
    {
        now += time;
        for (auto &[id, replica] : replicas) {
            if (!replica.loading.empty() && now >= replica.loadedAt) {
                replica.models.insert(replica.loading);
                replica.loading.clear();
                served.insert(replica.models.begin(), replica.models.end());
                placement->onReplica(listing(id, replica), now);
            }
        }
        placement->tick(now);
        int reports = 0;
        for (const PlacingAction &action : placement->takeActions()) {
            if (const auto *send = std::get_if<SendCommand>(&action)) {
                const OrderResult result = carryOut(send->command);
                placement->onOrderResult(send->command, result, now);
                const auto &replica = replicas.at(send->command.replica);
                if (!send->command.load && send->command.adapter.empty())
                    placement->onReplica(listing(send->command.replica, replica), now);
            } else if (const auto *request = std::get_if<RequestReport>(&action)) {
                reports++;
                const Replica &replica = replicas.at(request->replica);
                EngineReport report;
                report.startedMs = 1;
                report.ordersAccepted = replica.accepted;
                report.busy = !replica.loading.empty();
                report.models = listing(request->replica, replica).models;
                placement->onReport(request->replica, report, now);
            }
        }
        mostReports = std::max(mostReports, reports);
    }

    /// @param tick time between two plans
    void run(Duration span, Duration tick)
    {
        for (const Instant end = now + span; now < end;)
            step(tick);
    }

    bool holds(const std::string &model) const
    {
        return std::any_of(replicas.begin(), replicas.end(),
                           [&](const auto &each) { return each.second.models.contains(model); });
    }

    std::size_t modelsHeld() const
    {
        std::set<std::string> held;
        for (const auto &[id, replica] : replicas)
            held.insert(replica.models.begin(), replica.models.end());
        return held.size();
    }

    Instant now = Start;
    std::unique_ptr<CopyPlacement> placement;
    std::map<std::string, Replica> replicas;
    std::vector<Instant> loads;
    std::set<std::string> served; // models that some replica has held
    int mostReports = 0;          // requested in one step
};

} // namespace

TEST_GROUP(LargeFleet) {};

// The platform gives 14 s between the start and the first callers. A holder on a small VM plans a
// few times a second; with room for two loads at a time the store's rate was never used up.
TEST(LargeFleet, EveryModelIsPlacedBeforeTheFirstCallers)
{
    Pool pool(makeConfig(416, 34.0), 240);
    pool.run(16s, 200ms);
    CHECK_EQUAL(416, pool.modelsHeld());
    constexpr double MaxLoads = 34.0 * 5.0 * 1.1 + 3.0;
    for (const Instant first : pool.loads) {
        const auto count = std::count_if(pool.loads.begin(), pool.loads.end(), [&](Instant each) {
            return each >= first && each < first + 5s;
        });
        CHECK(double(count) <= MaxLoads);
    }
}

// A new holder asked all replicas at once, and its own VM was late for the answers.
TEST(LargeFleet, ANewHolderAsksForReportsInTurn)
{
    Pool pool(makeConfig(416, 34.0), 240);
    pool.run(3s, 50ms);
    CHECK(pool.mostReports <= CopyPlacementSettings {}.maxOpenReports);
    const auto asked = std::count_if(pool.replicas.begin(), pool.replicas.end(), [](const auto &r) {
        return !r.second.loading.empty() || !r.second.models.empty();
    });
    CHECK(asked > 0);
}

// Nine places for 24 models: the first nine stayed for good, and requests for the others were
// refused all day.
TEST(LargeFleet, RequestedModelsTakeTurnsWhereNotAllFit)
{
    Pool pool(makeConfig(24, 3.6), 3);
    pool.run(10s, 50ms);
    CHECK_EQUAL(9, pool.modelsHeld());
    for (int second = 0; second < 60; ++second) {
        // Each model is asked for during two seconds of each 24.
        for (const int model : { second % 24, (second + 1) % 24 }) {
            const std::string name = "m" + std::to_string(model);
            pool.placement->onDemand("node-1", { { "pool", name, "", 900.0 } }, pool.now);
            pool.placement->onCopyRequest("pool", name, "", pool.now);
        }
        pool.run(1s, 50ms);
    }
    CHECK_EQUAL(24, pool.served.size());
}

// Nine places for nine models in constant demand and one more that is asked for: it gets a copy for
// a while, in place of the one with the least demand, and the others stay.
TEST(LargeFleet, AModelThatIsAskedForLongReplacesTheOneWithTheLeastDemand)
{
    Pool pool(makeConfig(10, 3.6), 3);
    std::vector<CopyDemand> demand;
    demand.reserve(9);
    for (int model = 0; model < 9; ++model)
        demand.push_back({ "pool", "m" + std::to_string(model), "", 3'000.0 + 100.0 * model });
    const auto run = [&](int seconds, bool asked) {
        for (int second = 0; second < seconds; ++second) {
            pool.placement->onDemand("node-1", demand, pool.now);
            if (asked) {
                pool.placement->onDemand("node-1", { { "pool", "m9", "", 200.0 } }, pool.now);
                if (!pool.holds("m9"))
                    pool.placement->onCopyRequest("pool", "m9", "", pool.now);
            }
            pool.run(1s, 50ms);
        }
    };
    run(20, false);
    CHECK(!pool.holds("m9"));
    run(4, true);
    CHECK(!pool.holds("m9")); // the others are wanted more
    run(6, true);
    CHECK(pool.holds("m9"));
    CHECK(!pool.holds("m0"));
    CHECK_EQUAL(9, pool.modelsHeld());
}

// Where one copy of each fits, an idle model keeps its only one.
TEST(LargeFleet, EachModelKeepsACopyWhereAllFit)
{
    Pool pool(makeConfig(9, 3.6), 3);
    pool.run(10s, 50ms);
    for (int second = 0; second < 15; ++second) {
        pool.placement->onDemand("node-1", { { "pool", "m1", "", 40'000.0 } }, pool.now);
        pool.run(1s, 50ms);
        CHECK_EQUAL(9, pool.modelsHeld());
    }
}

TEST(LargeFleet, IdleModelsAreNotExchanged)
{
    Pool pool(makeConfig(24, 3.6), 3);
    pool.run(10s, 50ms);
    const std::size_t loads = pool.loads.size();
    pool.run(20s, 50ms);
    CHECK_EQUAL(loads, pool.loads.size());
}
