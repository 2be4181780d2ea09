// Tests of CopyPlacement against simulated replicas that carry out orders, lose responses, or carry
// out orders late.
#include "placing/copyplacement.h"
#include "placing/wantages.h"

#include "base/random.h"
#include "support/replicas.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <vector>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };
constexpr double ModelMb = 70'000.0;
constexpr int ModelCount = 6;
constexpr int AdapterSlots = 4;

ServingConfig config(int adapters = 6)
{
    ServingService service;
    service.name = "pool";
    EngineLimits engine;
    engine.weightsMb = 145'000.0; // capacity for two models
    engine.adapterSlots = AdapterSlots;
    engine.loadsPerSecond = 2.0;
    for (int number = 0; number < ModelCount; ++number) {
        EngineModel model;
        model.name = "m" + std::to_string(number);
        model.memoryMb = ModelMb;
        model.storeLoadTime = 2s;
        model.hostMemoryLoadTime = 800ms;
        model.localDiskLoadTime = 1s;
        model.adapters = number == 0 ? adapters : 0;
        model.adapterMb = 60.0;
        engine.models.push_back(model);
    }
    service.engine = engine;
    ServingConfig made;
    made.version = 1;
    made.services[service.name] = service;
    return made;
}

CopyPlacementSettings onNode1()
{
    CopyPlacementSettings settings;
    settings.node = "node-1";
    return settings;
}

/// A replica that checks the number of accepted orders, takes 2 s for a model load, and records
/// whether its memory or its adapter slots were overcommitted.
struct FakeReplica
{
    std::string id;
    std::uint64_t accepted = 0;
    std::map<std::string, std::vector<std::string>> models;
    std::string loading;
    Instant busyUntil;
    std::uint64_t startedMs = 1;
    std::map<Instant, ReplicaInfo> listings; // by the time from which the registry has them
    bool overcommitted = false;
    bool isAhead = false; // an order named a number that the replica has not reached

    OrderResult order(const EngineCommand &command, Instant now)
    {
        if (command.ordersAccepted != accepted)
            return OrderResult::Conflict;
        if (now < busyUntil)
            return OrderResult::Conflict;
        if (holds(command) == command.load)
            return OrderResult::AlreadyDone; // which is not counted
        if (!models.contains(command.model) && !command.adapter.empty())
            return OrderResult::Invalid;
        if (command.adapter.empty())
            orderModel(command, now);
        else
            orderAdapter(command);
        accepted++;
        // An adapter that no request uses is unloaded at once.
        const bool isDone = !command.load && !command.adapter.empty();
        return isDone ? OrderResult::AlreadyDone : OrderResult::Accepted;
    }

    bool holds(const EngineCommand &command) const
    {
        const auto model = models.find(command.model);
        if (model == models.end() || command.adapter.empty())
            return model != models.end();
        return std::count(model->second.begin(), model->second.end(), command.adapter) > 0;
    }

    void orderModel(const EngineCommand &command, Instant now)
    {
        if (!command.load) {
            models.erase(command.model);
            return;
        }
        loading = command.model;
        busyUntil = now + 2s;
        const double used = ModelMb * double(models.size() + (models.contains(loading) ? 0 : 1))
                + 60.0 * AdapterSlots;
        overcommitted = overcommitted || used > 145'000.0;
    }

    void orderAdapter(const EngineCommand &command)
    {
        auto &adapters = models[command.model];
        if (command.load)
            adapters.push_back(command.adapter);
        else
            std::erase(adapters, command.adapter);
        std::size_t count = 0;
        for (const auto &[model, held] : models)
            count += held.size();
        overcommitted = overcommitted || count > AdapterSlots;
    }

    void tick(Instant now)
    {
        if (!loading.empty() && now >= busyUntil) {
            models[loading];
            loading.clear();
        }
    }

    /// A new process under the same id and address, without models.
    void restart()
    {
        startedMs++;
        accepted = 0;
        models.clear();
        loading.clear();
        busyUntil = {};
    }

    ReplicaInfo listing() const
    {
        std::vector<ModelCopy> held;
        for (const auto &[model, adapters] : models)
            held.push_back({ model, adapters });
        ReplicaInfo info = poolReplica(id, std::move(held));
        info.startedMs = startedMs;
        return info;
    }

    /// @return what the registry has by now of the listings, the present one included
    ReplicaInfo laggingListing(Duration lag, Instant now)
    {
        listings.emplace(now + lag, listing());
        const auto latest = std::prev(listings.upper_bound(std::max(now, listings.begin()->first)));
        listings.erase(listings.begin(), latest);
        return latest->second;
    }

    EngineReport report(Instant now) const
    {
        EngineReport made;
        made.startedMs = startedMs;
        made.ordersAccepted = accepted;
        made.busy = now < busyUntil;
        made.models = listing().models;
        return made;
    }
};

/// Four replicas and a CopyPlacement; orders can be lost or delayed, and listings lag behind.
struct Simulation
{
    explicit Simulation(std::uint64_t seed, int adapters = 6)
        : random(seed)
    {
        placement = std::make_unique<CopyPlacement>(onNode1());
        placement->onConfig(config(adapters));
        for (int number = 0; number < 4; ++number) {
            FakeReplica replica;
            replica.id = "r" + std::to_string(number);
            replica.models["m" + std::to_string(number % 2)];
            replicas.push_back(replica);
        }
        placement->setHolder(true, 1, false, now);
    }

    FakeReplica &find(const std::string &id)
    {
        for (FakeReplica &replica : replicas) {
            if (replica.id == id)
                return replica;
        }
        FAIL("the placement sent an order to an unknown replica");
        return replicas.front();
    }

    void carryOut()
    {
        for (PlacingAction &action : placement->takeActions()) {
            if (const auto *send = std::get_if<SendCommand>(&action))
                deliver(send->command);
            else if (const auto *request = std::get_if<RequestReport>(&action))
                placement->onReport(request->replica, find(request->replica).report(now), now);
        }
    }

    void deliver(const EngineCommand &command)
    {
        orders++;
        if (command.load && command.adapter.empty())
            loads.push_back(now);
        FakeReplica &replica = find(command.replica);
        replica.isAhead = replica.isAhead || command.ordersAccepted > replica.accepted;
        const bool lost = random.unit() < lostShare;
        if (lost && random.unit() < 0.5) { // the replica carries out the order 2 to 6 s later
            late.push_back({ now + 2s + Duration(random.below(4'000'000)), command });
            return;
        }
        const OrderResult result = replica.order(command, now);
        placement->onOrderResult(command, lost ? OrderResult::Unanswered : result, now);
    }

    void step()
    {
        now += 100ms;
        for (auto &[dueAt, command] : late) {
            if (now >= dueAt)
                find(command.replica).order(command, now);
        }
        std::erase_if(late, [&](const auto &entry) { return now >= entry.first; });
        for (FakeReplica &replica : replicas) {
            replica.tick(now);
            if (random.unit() < listingShare) // listings lag behind the replicas
                placement->onReplica(replica.laggingListing(listingLag, now), now);
        }
        placement->tick(now);
        carryOut();
    }

    void run(Duration span)
    {
        for (const Instant end = now + span; now < end;)
            step();
    }

    bool anyOvercommitted() const
    {
        return std::any_of(replicas.begin(), replicas.end(),
                           [](const FakeReplica &replica) { return replica.overcommitted; });
    }

    bool anyAhead() const
    {
        return std::any_of(replicas.begin(), replicas.end(),
                           [](const FakeReplica &replica) { return replica.isAhead; });
    }

    bool holdsAdapter(const std::string &model, const std::string &adapter) const
    {
        return std::any_of(replicas.begin(), replicas.end(), [&](const FakeReplica &replica) {
            const auto held = replica.models.find(model);
            return held != replica.models.end()
                    && std::count(held->second.begin(), held->second.end(), adapter) > 0;
        });
    }

    int copiesOf(const std::string &model) const
    {
        return static_cast<int>(
                std::count_if(replicas.begin(), replicas.end(), [&](const FakeReplica &replica) {
                    return replica.models.contains(model);
                }));
    }

    Random random;
    Instant now = Start;
    std::unique_ptr<CopyPlacement> placement;
    std::vector<FakeReplica> replicas;
    std::vector<std::pair<Instant, EngineCommand>> late; // orders carried out at that time
    std::vector<Instant> loads;
    int orders = 0;
    double lostShare = 0.0;    // share of the orders whose response is lost
    Duration listingLag {};    // listings show the replicas as they were this long ago
    double listingShare = 0.1; // share of the steps in which a replica's listing arrives
};

/// @return the model loads that a holder orders in its first plan with the demand
std::vector<EngineCommand> modelLoads(CopyPlacement &placement,
                                      const std::vector<FakeReplica> &replicas,
                                      const std::vector<CopyDemand> &demand)
{
    for (const FakeReplica &replica : replicas)
        placement.onReplica(replica.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    for (const FakeReplica &replica : replicas)
        placement.onReport(replica.id, replica.report(Start + 3s), Start + 3s);
    placement.takeActions();
    placement.onDemand("node-1", demand, Start + 10s);
    placement.tick(Start + 10s);
    std::vector<EngineCommand> loads;
    for (const PlacingAction &action : placement.takeActions()) {
        const auto *send = std::get_if<SendCommand>(&action);
        if (send != nullptr && send->command.load && send->command.adapter.empty())
            loads.push_back(send->command);
    }
    return loads;
}

} // namespace

TEST_GROUP(CopyPlacement) {};

TEST(CopyPlacement, EveryModelGetsACopy)
{
    Simulation simulation(1);
    simulation.run(20s);
    for (int model = 0; model < ModelCount; ++model)
        CHECK(simulation.copiesOf("m" + std::to_string(model)) >= 1);
    CHECK(!simulation.anyOvercommitted());
}

TEST(CopyPlacement, ModelsInDemandGetMoreCopies)
{
    Simulation simulation(2);
    simulation.run(10s);
    for (int second = 0; second < 20; ++second) {
        simulation.placement->onDemand("node-1", { { "pool", "m5", "", 20'000.0 } },
                                       simulation.now);
        simulation.run(1s);
    }
    CHECK(simulation.copiesOf("m5") >= 2);
    for (int model = 0; model < ModelCount; ++model)
        CHECK(simulation.copiesOf("m" + std::to_string(model)) >= 1);
}

/// Four replicas have room for two models each; m0 and m1 have two copies when they start.
/// @return copies of m0 and of m1 after 30 s of the demand
std::pair<int, int> copiesWithDemand(bool statesWorkTime, double demandOfM0, double demandOfM1)
{
    Simulation simulation(11, 0);
    if (statesWorkTime)
        simulation.placement->onWorkTimeStated("pool");
    for (int second = 0; second < 30; ++second) {
        simulation.placement->onDemand(
                "node-1", { { "pool", "m0", "", demandOfM0 }, { "pool", "m1", "", demandOfM1 } },
                simulation.now);
        simulation.run(1s);
    }
    for (int model = 0; model < ModelCount; ++model)
        CHECK(simulation.copiesOf("m" + std::to_string(model)) >= 1);
    return { simulation.copiesOf("m0"), simulation.copiesOf("m1") };
}

// A quarter of the replicas had half of all prompt tokens to read while the others had time left.
TEST(CopyPlacement, ModelsInDemandGetSpareCopiesWhileCapacityIsUnused)
{
    CHECK(copiesWithDemand(true, 14'000.0, 1'000.0) == std::pair(3, 1));
    CHECK(copiesWithDemand(false, 14'000.0, 1'000.0) == std::pair(2, 2)); // as planned before
}

TEST(CopyPlacement, SpareCopiesReplaceNoneThatAreNeeded)
{
    CHECK(copiesWithDemand(true, 14'000.0, 9'000.0) == std::pair(2, 2));
}

// The same demand for a model, beside more or less demand for another. The fleet reads 76,000
// tokens a second; the other model needs one more copy in the second case.
TEST(CopyPlacement, NoSpareCopiesWhenTheCapacityIsUsed)
{
    const auto loaded = [](bool statesWorkTime, double demandOfM1) {
        CopyPlacement placement(onNode1());
        ServingConfig twoModels = config(0);
        twoModels.services["pool"].engine->models.resize(2);
        placement.onConfig(twoModels);
        if (statesWorkTime)
            placement.onWorkTimeStated("pool");
        std::vector<FakeReplica> replicas(4);
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            replicas[index].id = "r" + std::to_string(index);
            replicas[index].models[index < 2 ? "m0" : "m1"];
        }
        std::string models;
        for (const EngineCommand &load :
             modelLoads(placement, replicas,
                        { { "pool", "m0", "", 16'000.0 }, { "pool", "m1", "", demandOfM1 } }))
            models += load.model + " ";
        return models;
    };
    CHECK_EQUAL(std::string("m0 "), loaded(true, 9'000.0));
    CHECK_EQUAL(std::string(), loaded(false, 9'000.0));
    CHECK_EQUAL(std::string("m1 "), loaded(true, 24'000.0));
    CHECK_EQUAL(std::string("m1 "), loaded(false, 24'000.0));
}

TEST(CopyPlacement, RequestedAdapterIsLoadedWithinOneSecond)
{
    Simulation simulation(3);
    simulation.run(10s);
    simulation.placement->onCopyRequest("pool", "m0", "a6", simulation.now);
    simulation.run(1s);
    bool held = false;
    for (const FakeReplica &replica : simulation.replicas) {
        const auto model = replica.models.find("m0");
        held = held
                || (model != replica.models.end()
                    && std::count(model->second.begin(), model->second.end(), "a6") > 0);
    }
    CHECK(held);
}

// Guards against preloading in the order of adapter numbers: idle adapters took all slots,
// requested ones were never served, and adapters loaded a moment ago could not be evicted because
// they were not listed yet.
TEST(CopyPlacement, AdaptersInDemandAreLoadedBeforeIdleOnes)
{
    Simulation simulation(4, 16);
    for (int second = 0; second < 12; ++second) {
        std::vector<CopyDemand> demand { { "pool", "m0", "", 4'000.0 } };
        for (const char *adapter : { "a13", "a14", "a15", "a16" })
            demand.push_back({ "pool", "m0", adapter, 900.0 });
        simulation.placement->onDemand("node-1", demand, simulation.now);
        simulation.run(1s);
    }
    for (const char *adapter : { "a13", "a14", "a15", "a16" })
        CHECK(simulation.holdsAdapter("m0", adapter));
}

TEST(CopyPlacement, IdleAdapterIsEvictedBeforeItIsListed)
{
    Simulation simulation(6, 16);
    simulation.run(20s);
    simulation.listingShare = 0.0; // no more listings arrive
    int missed = 0;
    for (int number = 16; number > 4; --number) {
        const std::string adapter = "a" + std::to_string(number);
        simulation.placement->onCopyRequest("pool", "m0", adapter, simulation.now);
        simulation.run(600ms);
        missed += simulation.holdsAdapter("m0", adapter) ? 0 : 1;
    }
    CHECK_EQUAL(0, missed);
}

// A model load makes its replica refuse all other orders for seconds. Guards against such a load
// between the loads of two requested adapters on the only replica with free adapter slots. It was
// sent there because another replica, with all slots in use, also held the adapters' model.
TEST(CopyPlacement, OnlyReplicaForRequestedAdaptersGetsNoModelLoad)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config(16));
    FakeReplica full;
    full.id = "full";
    full.models["m0"] = { "a1", "a2", "a3", "a4" };
    FakeReplica free;
    free.id = "free";
    free.models["m0"];
    for (const FakeReplica *replica : { &full, &free })
        placement.onReplica(replica->listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    for (const FakeReplica *replica : { &full, &free })
        placement.onReport(replica->id, replica->report(Start + 3s), Start + 3s);
    placement.takeActions();

    std::vector<CopyDemand> demand { { "pool", "m1", "", 40'000.0 } };
    for (const char *adapter : { "a1", "a2", "a3", "a4" })
        demand.push_back({ "pool", "m0", adapter, 900.0 });
    placement.onDemand("node-1", demand, Start + 10s);
    for (const char *adapter : { "a7", "a8" })
        placement.onCopyRequest("pool", "m0", adapter, Start + 10s);
    placement.tick(Start + 10s);
    int adapters = 0;
    for (const PlacingAction &action : placement.takeActions()) {
        const auto *send = std::get_if<SendCommand>(&action);
        if (send == nullptr || send->command.replica != "free")
            continue;
        CHECK(!send->command.adapter.empty());
        adapters++;
    }
    CHECK_EQUAL(1, adapters);
}

// The report of a busy replica does not show the model that it is loading. An order sent on the
// basis of that report overcommitted the memory beyond its limit.
TEST(CopyPlacement, SendsNoOrderWhileTheReportSaysBusy)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    FakeReplica replica;
    replica.id = "r0";
    replica.models["m0"];
    replica.accepted = 5; // orders of a previous holder; the replica is carrying out the last one
    replica.loading = "m1";
    replica.busyUntil = Start + 2s;
    placement.onReplica(replica.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    for (Instant now = Start; now < Start + 1'900ms; now += 100ms) {
        placement.tick(now);
        for (PlacingAction &action : placement.takeActions()) {
            CHECK(!std::holds_alternative<SendCommand>(action));
            if (std::holds_alternative<RequestReport>(action))
                placement.onReport("r0", replica.report(now), now);
        }
    }
}

// A new holder counted the adapters that a replica had, but not the one on its way to the last slot
// by an order of the holder before.
TEST(CopyPlacement, AdaptersOnTheirWayByTheReportTakeSlots)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    FakeReplica replica;
    replica.id = "r0";
    replica.models["m0"] = { "a1", "a2", "a3" };
    replica.accepted = 5;
    placement.onReplica(replica.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    EngineReport report = replica.report(Start + 3s);
    report.pendingAdapters = { "m0/a4" };
    placement.onReport("r0", report, Start + 3s);
    placement.takeActions();
    placement.onCopyRequest("pool", "m0", "a5", Start + 3s);
    placement.tick(Start + 3'100ms);
    for (const PlacingAction &action : placement.takeActions()) {
        const auto *send = std::get_if<SendCommand>(&action);
        CHECK(send == nullptr || !send->command.load || send->command.adapter.empty());
    }
}

// The slot of an adapter that requests still used counted as free as soon as its unload was
// accepted, and the next load exceeded the replica's slots.
TEST(CopyPlacement, AnAdapterInUseTakesItsSlotUntilItIsGone)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    FakeReplica replica;
    replica.id = "r0";
    replica.models["m0"] = { "a1", "a2", "a3", "a4" };
    placement.onReplica(replica.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    placement.onReport("r0", replica.report(Start + 3s), Start + 3s);
    placement.takeActions();
    const auto adapterOrder = [&](Instant now) {
        placement.onCopyRequest("pool", "m0", "a5", now);
        placement.tick(now);
        std::optional<EngineCommand> ordered;
        for (const PlacingAction &action : placement.takeActions()) {
            const auto *send = std::get_if<SendCommand>(&action);
            if (send != nullptr && !send->command.adapter.empty())
                ordered = send->command;
        }
        return ordered;
    };
    const auto unload = adapterOrder(Start + 3'100ms);
    CHECK(unload && !unload->load);
    placement.onOrderResult(*unload, OrderResult::Accepted, Start + 3'110ms);
    const auto next = adapterOrder(Start + 3'200ms);
    CHECK(!next || !next->load);
    CHECK(!next || next->adapter != unload->adapter);

    std::erase(replica.models["m0"], unload->adapter);
    placement.onReplica(replica.listing(), Start + 6s);
    if (next) {
        placement.onOrderResult(*next, OrderResult::Conflict, Start + 6s);
        placement.tick(Start + 6'200ms);
        replica.accepted = 1;
        placement.onReport("r0", replica.report(Start + 6'300ms), Start + 6'300ms);
        placement.takeActions();
    }
    const auto load = adapterOrder(Start + 6'400ms);
    CHECK(load && load->load);
    CHECK_EQUAL(std::string("a5"), load->adapter);
}

// A slot freed for an adapter, when the last requests of the one before it had ended, was taken by
// another adapter that was requested in the meantime.
TEST(CopyPlacement, ASlotIsKeptForTheAdapterThatItWasFreedFor)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    FakeReplica replica;
    replica.id = "r0";
    replica.models["m0"] = { "a1", "a2", "a3", "a4" };
    placement.onReplica(replica.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    placement.onReport("r0", replica.report(Start + 3s), Start + 3s);
    placement.takeActions();
    const auto nextOrder = [&](Instant now) {
        placement.tick(now);
        std::optional<EngineCommand> ordered;
        for (const PlacingAction &action : placement.takeActions()) {
            const auto *send = std::get_if<SendCommand>(&action);
            if (send != nullptr && !send->command.adapter.empty())
                ordered = send->command;
        }
        return ordered;
    };
    placement.onCopyRequest("pool", "m0", "a5", Start + 3'100ms);
    const auto unload = nextOrder(Start + 3'100ms);
    CHECK(unload && !unload->load);
    placement.onOrderResult(*unload, OrderResult::Accepted, Start + 3'110ms);
    placement.takeActions();

    // Requests for a5 have been refused when those for the unloaded adapter end.
    std::erase(replica.models["m0"], unload->adapter);
    placement.onReplica(replica.listing(), Start + 6s);
    placement.onCopyRequest("pool", "m0", "a6", Start + 6s);
    const auto load = nextOrder(Start + 6'100ms);
    CHECK(load && load->load);
    CHECK_EQUAL(std::string("a5"), load->adapter);
}

TEST(CopyPlacement, ReplicaOfAServiceWithoutModelsGetsNoReportRequests)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    ReplicaInfo plain;
    plain.id = "p0";
    plain.service = "orders";
    placement.onReplica(plain, Start);
    placement.setHolder(true, 1, false, Start);
    placement.tick(Start + 1s);
    CHECK(placement.takeActions().empty());
}

TEST(CopyPlacement, LoadRateStaysBelowTheLimitOfTheWeightStore)
{
    CHECK(rc::check("no window of 5 s has more loads than the weight store allows", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.lostShare = 0.2;
        for (int second = 0; second < 30; ++second) {
            const auto model = "m" + std::to_string(*rc::gen::inRange(0, ModelCount));
            simulation.placement->onDemand("node-1", { { "pool", model, "", 30'000.0 } },
                                           simulation.now);
            simulation.run(1s);
        }
        // 2 loads per second for 5 s, plus 10 %, plus a burst of 3.
        constexpr double MaxLoads = 2.0 * 5.0 * 1.1 + 3.0;
        for (const Instant first : simulation.loads) {
            const auto count =
                    std::count_if(simulation.loads.begin(), simulation.loads.end(),
                                  [&](Instant each) { return each >= first && each < first + 5s; });
            RC_ASSERT(double(count) <= MaxLoads);
        }
    }));
}

namespace {

/// A holder of a full replica, m0 and m1, whose listing shows m0 alone; other models lack copies.
struct ListedHalfEmpty
{
    ListedHalfEmpty()
    {
        placement.onConfig(config(0));
        replica.id = "r0";
        replica.models["m0"];
        old = replica.listing();
        replica.models["m1"];
        replica.accepted = 1;
    }

    /// @return models that were ordered to be loaded meanwhile
    std::vector<std::string> run(Duration span)
    {
        std::vector<std::string> loads;
        for (const Instant end = now + span; now < end; now += 100ms) {
            placement.tick(now);
            for (const PlacingAction &action : placement.takeActions()) {
                const auto *send = std::get_if<SendCommand>(&action);
                if (send != nullptr && send->command.load && send->command.adapter.empty())
                    loads.push_back(send->command.model);
                if (send != nullptr)
                    placement.onOrderResult(send->command, OrderResult::Conflict, now);
                if (std::holds_alternative<RequestReport>(action) && answersReports)
                    placement.onReport("r0", replica.report(now), now);
            }
            placement.onReplica(old, now);
        }
        return loads;
    }

    CopyPlacement placement { onNode1() };
    FakeReplica replica;
    ReplicaInfo old; // its entry in an older copy
    bool answersReports = true;
    Instant now = Start;
};

} // namespace

// Guards against orders by a listing that stays old: its replica does not reach the registry.
TEST(CopyPlacement, ListingWithoutAChangeDoesNotReplaceAReport)
{
    ListedHalfEmpty fleet;
    fleet.placement.onReplica(fleet.old, Start - 10s);
    fleet.placement.setHolder(true, 2, true, Start);
    CHECK(fleet.run(8s).empty());
}

// Guards against orders by the listing of an older copy, in a holder that knew better.
TEST(CopyPlacement, ListingOfAnOlderCopyDoesNotLowerWhatAReplicaHolds)
{
    ListedHalfEmpty fleet;
    fleet.placement.onReplica(fleet.replica.listing(), Start - 10s);
    fleet.placement.setHolder(true, 2, true, Start);
    fleet.placement.tick(Start);
    fleet.placement.onReport("r0", fleet.replica.report(Start), Start);
    fleet.placement.takeActions();
    fleet.now = Start + 5s;
    fleet.placement.onSourceReverted(fleet.now);
    fleet.answersReports = false;
    fleet.placement.onReplica(fleet.old, fleet.now);
    CHECK(fleet.run(3s).empty());
    fleet.answersReports = true;
    CHECK(fleet.run(8s).empty());
}

// Guards against a number of orders that is believed too high: an unload that held already was
// counted, and an order left without an answer was carried out once the replica reached its number.
TEST(CopyPlacement, NoOrderNamesANumberThatItsReplicaHasNotReached)
{
    CHECK(rc::check("adapters change places, listings lag, answers are lost", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.listingLag = 800ms;
        simulation.listingShare = 0.3;
        simulation.lostShare = 0.5;
        for (int step = 0; step < 200; ++step) {
            const auto adapter = "a" + std::to_string(*rc::gen::inRange(1, 7));
            simulation.placement->onCopyRequest("pool", "m0", adapter, simulation.now);
            simulation.run(200ms);
            RC_ASSERT(!simulation.anyAhead());
            RC_ASSERT(!simulation.anyOvercommitted());
        }
    }));
}

// Guards against orders without an answer that reach the next process of their replica, which
// counts anew.
TEST(CopyPlacement, LateOrdersDoNotOvercommitReplicasThatRestartUnderTheirId)
{
    CHECK(rc::check("replicas restart, answers are lost", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.lostShare = 0.5;
        for (int step = 0; step < 80; ++step) {
            const auto adapter = "a" + std::to_string(*rc::gen::inRange(1, 7));
            simulation.placement->onCopyRequest("pool", "m0", adapter, simulation.now);
            if (step % 10 == 9)
                simulation.replicas[*rc::gen::inRange<std::size_t>(0, 4)].restart();
            simulation.run(500ms);
            RC_ASSERT(!simulation.anyOvercommitted());
        }
    }));
}

TEST(CopyPlacement, ReplicasAreNotOvercommittedWhenOrdersAreLostOrLate)
{
    CHECK(rc::check("no replica exceeds its memory or its adapter slots", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.lostShare = 0.35;
        for (int second = 0; second < 40; ++second) {
            const auto model = "m" + std::to_string(*rc::gen::inRange(0, ModelCount));
            simulation.placement->onDemand("node-1", { { "pool", model, "", 30'000.0 } },
                                           simulation.now);
            simulation.placement->onCopyRequest(
                    "pool", "m0", "a" + std::to_string(*rc::gen::inRange(1, 7)), simulation.now);
            if (second % 13 == 12) { // a new holder continues without the state of the previous one
                simulation.placement->setHolder(false, 0, true, simulation.now);
                simulation.placement->setHolder(true, static_cast<std::uint64_t>(second),
                                                second != 1, simulation.now);
            }
            simulation.run(1s);
            RC_ASSERT(!simulation.anyOvercommitted());
        }
    }));
}

TEST(CopyPlacement, SendsNoOrderWithoutTheLease)
{
    Simulation simulation(5);
    simulation.placement->setHolder(false, 0, true, simulation.now);
    simulation.run(10s);
    CHECK_EQUAL(0, simulation.orders);
}

// Guards against evicting the only ready copy of a model while its second copy was still being
// loaded, which takes seconds.
TEST(CopyPlacement, LastReadyCopyIsNotEvictedWhileAnotherIsLoading)
{
    CHECK(rc::check("a model that had a copy always has one that serves", [] {
        Simulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.run(20s);
        for (int second = 0; second < 30; ++second) {
            const auto arbitraryDemand = [] {
                return CopyDemand { "pool", "m" + std::to_string(*rc::gen::inRange(0, ModelCount)),
                                    "", *rc::gen::inRange(1, 60) * 1'000.0 };
            };
            const std::vector<CopyDemand> demand { arbitraryDemand(), arbitraryDemand() };
            simulation.placement->onDemand("node-1", demand, simulation.now);
            simulation.run(1s);
            for (int model = 0; model < ModelCount; ++model)
                RC_ASSERT(simulation.copiesOf("m" + std::to_string(model)) >= 1);
        }
    }));
}

// Guards against planning with an incomplete list: four busy copies were evicted for models that
// seemed to be missing because their replicas had not been listed yet.
TEST(CopyPlacement, SendsNoOrderUntilTheListIsComplete)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    placement.setHolder(true, 1, false, Start);
    for (int number = 0; number < 4; ++number) {
        FakeReplica replica;
        replica.id = "r" + std::to_string(number);
        replica.models["m" + std::to_string(number)];
        const Instant now = Start + number * 1s;
        placement.onReplica(replica.listing(), now);
        for (Instant each = now; each < now + 1s; each += 100ms) {
            placement.tick(each);
            for (PlacingAction &action : placement.takeActions()) {
                CHECK(!std::holds_alternative<SendCommand>(action));
                if (std::holds_alternative<RequestReport>(action))
                    placement.onReport(replica.id, replica.report(each), each);
            }
        }
    }
}

// A new holder, which knows no demand yet, unloaded the second copy of a model in demand.
TEST(CopyPlacement, NewHolderEvictsNothingBeforeItKnowsTheDemand)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    std::vector<FakeReplica> replicas;
    for (int number = 0; number < 3; ++number) {
        FakeReplica replica;
        replica.id = "r" + std::to_string(number);
        replica.models["m0"]; // three copies; m1 and m2 have one, all others none
        replica.models[number == 0 ? "m1" : "m2"];
        replicas.push_back(replica);
        placement.onReplica(replica.listing(), Start - 10s);
    }
    placement.setHolder(true, 2, true, Start);
    for (Instant now = Start; now < Start + 500ms; now += 50ms) {
        placement.tick(now);
        for (const PlacingAction &action : placement.takeActions()) {
            const auto *send = std::get_if<SendCommand>(&action);
            CHECK(send == nullptr || send->command.load);
            if (const auto *ask = std::get_if<RequestReport>(&action)) {
                for (const FakeReplica &replica : replicas) {
                    if (replica.id == ask->replica)
                        placement.onReport(replica.id, replica.report(now), now);
                }
            }
        }
    }
}

// All adapter slots held adapters in use, and those that came later were never loaded.
TEST(CopyPlacement, AdaptersInUseTakeTurnsWithThoseThatWait)
{
    constexpr int Adapters = 12; // two replicas have eight slots
    Simulation simulation(8, Adapters);
    simulation.run(10s);
    std::map<std::string, int> served;
    std::vector<CopyDemand> demand { { "pool", "m0", "", 8'000.0 } };
    for (int number = 1; number <= Adapters; ++number)
        demand.push_back({ "pool", "m0", "a" + std::to_string(number), 900.0 });
    for (int request = 0; request < 10 * Adapters; ++request) {
        const std::string adapter = "a" + std::to_string(1 + request % Adapters);
        if (request % 2 == 0)
            simulation.placement->onDemand("node-1", demand, simulation.now);
        for (int attempt = 0; attempt < 3 && !simulation.holdsAdapter("m0", adapter); ++attempt) {
            simulation.placement->onCopyRequest("pool", "m0", adapter, simulation.now);
            simulation.run(100ms);
        }
        served[adapter] += simulation.holdsAdapter("m0", adapter) ? 1 : 0;
        simulation.run(300ms);
    }
    for (int number = 1; number <= Adapters; ++number)
        CHECK(served["a" + std::to_string(number)] >= 1);
}

// The only replica for the adapters of a model in demand was told to load another model, which made
// it refuse all other orders for seconds.
TEST(CopyPlacement, OnlyReplicaForAdaptersInDemandGetsNoModelLoad)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config(16));
    FakeReplica only;
    only.id = "only";
    only.models["m0"] = { "a1", "a2" };
    FakeReplica other;
    other.id = "other";
    other.models["m1"];
    for (const FakeReplica *replica : { &only, &other })
        placement.onReplica(replica->listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    for (const FakeReplica *replica : { &only, &other })
        placement.onReport(replica->id, replica->report(Start + 3s), Start + 3s);
    placement.takeActions();

    placement.onDemand("node-1",
                       { { "pool", "m0", "", 4'000.0 },
                         { "pool", "m0", "a1", 900.0 },
                         { "pool", "m2", "", 300.0 },
                         { "pool", "m3", "", 200.0 } },
                       Start + 10s);
    placement.tick(Start + 10s);
    int loads = 0;
    for (const PlacingAction &action : placement.takeActions()) {
        const auto *send = std::get_if<SendCommand>(&action);
        if (send == nullptr || !send->command.adapter.empty())
            continue;
        CHECK_EQUAL(std::string("other"), send->command.replica);
        loads++;
    }
    CHECK_EQUAL(1, loads);
}

// Models without a copy were loaded on all replicas of a model at once: each was the other's
// substitute when the plan began. Nobody took adapter orders for that model for the time of a load.
TEST(CopyPlacement, OneOfTwoReplicasForAdaptersInDemandGetsNoModelLoad)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config(16));
    std::vector<FakeReplica> replicas(2);
    for (std::size_t index = 0; index < replicas.size(); ++index) {
        replicas[index].id = "r" + std::to_string(index);
        replicas[index].models["m0"] = { index == 0 ? "a1" : "a2" };
    }
    const std::vector<CopyDemand> demand { { "pool", "m0", "", 4'000.0 },
                                           { "pool", "m0", "a1", 900.0 },
                                           { "pool", "m2", "", 300.0 },
                                           { "pool", "m3", "", 200.0 } };
    const auto loads = modelLoads(placement, replicas, demand);
    CHECK_EQUAL(1U, loads.size());
}

// A model without a copy, with more demand than the adapters of another model, was loaded on the
// only replica for these adapters, since that one had less to do than the others.
TEST(CopyPlacement, OnlyReplicaForAdaptersIsTheLastChoiceForAModelLoad)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config(16));
    std::vector<FakeReplica> replicas(2);
    replicas[0].id = "only";
    replicas[0].models["m0"] = { "a1" };
    replicas[1].id = "other";
    replicas[1].models["m1"];
    const std::vector<CopyDemand> demand { { "pool", "m0", "", 1'500.0 },
                                           { "pool", "m0", "a1", 900.0 },
                                           { "pool", "m1", "", 7'000.0 },
                                           { "pool", "m2", "", 5'000.0 } };
    const auto loads = modelLoads(placement, replicas, demand);
    CHECK(!loads.empty());
    CHECK_EQUAL(std::string("m2"), loads.front().model);
    CHECK_EQUAL(std::string("other"), loads.front().replica);
    CHECK_EQUAL(1U, loads.size());
}

// The same while the other replica had not answered an adapter order yet: it took no orders for the
// few milliseconds until then.
TEST(CopyPlacement, AModelLoadWaitsForTheAnswerOfAReplicaWithoutWaitingAdapters)
{
    CopyPlacement placement(onNode1());
    ServingConfig twoWithAdapters = config(16);
    twoWithAdapters.services["pool"].engine->models[1].adapters = 4;
    placement.onConfig(twoWithAdapters);
    std::vector<FakeReplica> replicas(2);
    replicas[0].id = "only";
    replicas[0].models["m0"] = { "a1", "a2", "a3", "a4" };
    replicas[1].id = "other";
    replicas[1].models["m1"];
    for (const FakeReplica &replica : replicas)
        placement.onReplica(replica.listing(), Start - 10s);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 50ms);
    for (const FakeReplica &replica : replicas)
        placement.onReport(replica.id, replica.report(Start + 50ms), Start + 50ms);
    placement.takeActions();
    placement.onCopyRequest("pool", "m1", "a1", Start + 100ms);
    const auto ordersAt = [&](Instant now) {
        placement.tick(now);
        std::vector<EngineCommand> orders;
        for (const PlacingAction &action : placement.takeActions()) {
            if (const auto *send = std::get_if<SendCommand>(&action))
                orders.push_back(send->command);
        }
        return orders;
    };
    const auto adapterOrders = ordersAt(Start + 100ms);
    CHECK_EQUAL(1U, adapterOrders.size());
    placement.onDemand("node-1", { { "pool", "m0", "a1", 900.0 }, { "pool", "m2", "", 5'000.0 } },
                       Start + 610ms);
    CHECK(ordersAt(Start + 620ms).empty());
    placement.onOrderResult(adapterOrders.front(), OrderResult::Accepted, Start + 630ms);
    const auto loads = ordersAt(Start + 640ms);
    CHECK_EQUAL(1U, loads.size());
    CHECK_EQUAL(std::string("other"), loads.front().replica);
    CHECK_EQUAL(std::string("m2"), loads.front().model);
}

// While requests for adapters always waited, a model was never loaded on the only replica with
// memory for it.
TEST(CopyPlacement, WaitingAdaptersHoldAModelLoadBackForABoundedTime)
{
    CopyPlacement placement(onNode1());
    ServingConfig twoModels = config(16);
    twoModels.services["pool"].engine->models.resize(2);
    placement.onConfig(twoModels);
    FakeReplica only;
    only.id = "only";
    only.models["m0"];
    placement.onReplica(only.listing(), Start);
    placement.setHolder(true, 2, true, Start);
    placement.tick(Start + 3s);
    Instant loadedAt = Instant::max();
    int next = 0;
    for (Instant now = Start + 3s; now < Start + 30s && loadedAt == Instant::max(); now += 50ms) {
        placement.onCopyRequest("pool", "m0", "a" + std::to_string(1 + next++ % 16), now);
        placement.onCopyRequest("pool", "m1", "", now);
        placement.onReplica(only.listing(), now);
        placement.tick(now);
        for (const PlacingAction &action : placement.takeActions()) {
            if (const auto *send = std::get_if<SendCommand>(&action)) {
                if (send->command.model == "m1")
                    loadedAt = now;
                placement.onOrderResult(send->command, only.order(send->command, now), now);
            } else if (std::holds_alternative<RequestReport>(action)) {
                placement.onReport(only.id, only.report(now), now);
            }
        }
    }
    CHECK(loadedAt < Start + 15s); // maxHeldBackTime is 10 s
}

// The model of a replica that had said in its answers that it leaves was loaded elsewhere only when
// the replica was gone.
TEST(CopyPlacement, CopiesOfAReplicaThatSaysItLeavesAreReplacedAtOnce)
{
    Simulation simulation(7);
    simulation.run(20s);
    FakeReplica *holder = nullptr;
    for (FakeReplica &replica : simulation.replicas) {
        for (const auto &[model, adapters] : replica.models) {
            if (simulation.copiesOf(model) == 1)
                holder = &replica;
        }
    }
    CHECK(holder != nullptr);
    std::string only;
    for (const auto &[model, adapters] : holder->models) {
        if (simulation.copiesOf(model) == 1)
            only = model;
    }
    simulation.placement->onReplicaLeaving(holder->id, 1);
    for (int second = 0; second < 6; ++second) {
        simulation.placement->onDemand("node-1", { { "pool", only, "", 6'000.0 } }, simulation.now);
        simulation.run(1s);
    }
    CHECK(simulation.copiesOf(only) >= 2);
}

// A second copy was refused for good to a model whose every possible replica had adapters in
// demand.
TEST(CopyPlacement, OverloadedModelGetsAFurtherCopyBesideAdaptersInDemand)
{
    Simulation simulation(9, 2);
    simulation.run(20s);
    for (int second = 0; second < 40; ++second) {
        simulation.placement->onDemand("node-1",
                                       { { "pool", "m0", "", 60'000.0 },
                                         { "pool", "m0", "a1", 900.0 },
                                         { "pool", "m0", "a2", 900.0 } },
                                       simulation.now);
        simulation.run(1s);
    }
    CHECK(simulation.copiesOf("m0") >= 2);
    for (int model = 0; model < ModelCount; ++model)
        CHECK(simulation.copiesOf("m" + std::to_string(model)) >= 1);
}

// Requests for copies are dropped while nobody holds the lease. The next holder served adapters in
// the order in which it heard of them, not those first that had waited longest.
TEST(CopyPlacement, NewHolderServesTheLongestWaitFirst)
{
    const auto firstLoaded = [](std::uint64_t term) {
        CopyPlacement placement(onNode1());
        placement.onConfig(config(6));
        FakeReplica replica;
        replica.id = "r0";
        replica.models["m0"];
        placement.onReplica(replica.listing(), Start - 10s);
        placement.setHolder(true, term, term != 1, Start);
        placement.tick(Start + 50ms);
        placement.onReport("r0", replica.report(Start + 50ms), Start + 50ms);
        placement.takeActions();
        WantAges atNode(15s); // a6 has been wanted for 6 s, a5 was loaded in the meantime
        for (const char *copy : { "m0/a5", "m0/a6" })
            atNode.onWant("pool", copy, Start - 6s);
        atNode.onLoaded("m0/a5");
        for (const char *adapter : { "a1", "a5", "a6" })
            placement.onCopyRequest(
                    "pool", "m0", adapter, Start + 100ms,
                    atNode.onWant("pool", std::string("m0/") + adapter, Start + 100ms));
        placement.tick(Start + 100ms);
        std::string loaded;
        for (const PlacingAction &action : placement.takeActions()) {
            if (const auto *send = std::get_if<SendCommand>(&action))
                loaded = send->command.adapter;
        }
        return loaded;
    };
    CHECK_EQUAL(std::string("a6"), firstLoaded(2));
    CHECK_EQUAL(std::string("a1"), firstLoaded(1)); // no requests were dropped before that term
}

TEST(CopyPlacement, NamesThatAreNoAdapterOfTheModelEvictNothing)
{
    Simulation simulation(10, 6);
    simulation.run(20s);
    const int before = simulation.orders;
    for (int attempt = 0; attempt < 20; ++attempt) {
        simulation.placement->onCopyRequest("pool", "m0", "a7", simulation.now);
        simulation.placement->onCopyRequest("pool", "m0", "zzz", simulation.now);
        simulation.run(100ms);
    }
    CHECK_EQUAL(before, simulation.orders);
}

TEST(CopyPlacement, AnEarlierProcessThatLeavesDoesNotConcernTheNextOne)
{
    CopyPlacement placement(onNode1());
    placement.onConfig(config());
    FakeReplica replica;
    replica.id = "r0";
    ReplicaInfo info = replica.listing();
    info.startedMs = 2;
    placement.onReplica(info, Start);
    placement.setHolder(true, 1, false, Start);
    placement.onReplicaLeaving("r0", 1);
    placement.tick(Start + 2s);
    CHECK_EQUAL(1U, placement.takeActions().size()); // its report is requested
}
