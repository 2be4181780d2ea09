// Several nodes place models on replicas while the store comes back from an older copy, which lists
// the replicas with fewer models than they hold.
#include "support/storefleet.h"

#include <map>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr int Replicas = 6;
constexpr double WeightsMb = 200'000.0;
constexpr double ModelMb = 72'700.0; // two fit
constexpr auto LoadTime = 400ms;
constexpr auto Heartbeat = 1'200ms;

std::string modelName(int number)
{
    return "m" + std::to_string(number);
}

/// Replicas that carry out orders as long as their number of orders is the expected one. They note
/// orders for which they have no room.
struct ModelReplicas : public EngineControl
{
    struct Replica
    {
        std::uint64_t accepted = 0;
        std::set<std::string> models;
        std::string changing; // model of the order that is carried out
    };

    boost::asio::awaitable<OrderAnswer> order(Endpoint, EngineCommand command, Instant,
                                              SendCheck &check) override
    {
        co_await sleepFor(1ms);
        if (!check.mayStillSend())
            co_return OrderAnswer { OrderResult::Conflict, {} };
        Replica &replica = replicas[command.replica];
        if (command.ordersAccepted != replica.accepted || !replica.changing.empty())
            co_return OrderAnswer { OrderResult::Conflict, {} };
        if (replica.models.contains(command.model) == command.load)
            co_return OrderAnswer { OrderResult::AlreadyDone, {} };
        replica.accepted++;
        replica.changing = command.model;
        if (command.load && double(replica.models.size() + 1) * ModelMb > WeightsMb)
            overfilled.push_back(command.replica + " " + command.model);
        boost::asio::co_spawn(co_await boost::asio::this_coro::executor,
                              carryOut(replica, command.load), boost::asio::detached);
        co_return OrderAnswer { OrderResult::Accepted, {} };
    }

    boost::asio::awaitable<void> carryOut(Replica &replica, bool load)
    {
        co_await sleepFor(LoadTime);
        if (load)
            replica.models.insert(replica.changing);
        else
            replica.models.erase(replica.changing);
        replica.changing.clear();
    }

    boost::asio::awaitable<ReportAnswer> report(Endpoint, std::string id, Instant) override
    {
        co_await sleepFor(1ms);
        const Replica &replica = replicas[id];
        EngineReport report;
        report.startedMs = 1;
        report.ordersAccepted = replica.accepted;
        report.busy = !replica.changing.empty();
        for (const std::string &model : replica.models)
            report.models.push_back({ model, {} });
        co_return ReportAnswer { report, {} };
    }

    std::size_t modelsHeld() const
    {
        std::size_t count = 0;
        for (const auto &[id, replica] : replicas)
            count += replica.models.size();
        return count;
    }

    std::map<std::string, Replica> replicas;
    std::vector<std::string> overfilled;
};

struct ReturnedCopiesCases : public StoreFleet
{
    ModelReplicas models;
    int version = 0;
    std::set<std::string> silent; // replicas that do not reach the store

    void publishModels(int count)
    {
        boost::json::array list;
        for (int number = 0; number < count; ++number)
            list.push_back({ { "name", modelName(number) },
                             { "weights_mb", ModelMb },
                             { "load_s", 0.4 },
                             { "adapters", 0 } });
        const boost::json::value engine { { "slots", 64 },
                                          { "weights_mb", WeightsMb },
                                          { "adapter_slots", 8 },
                                          { "loads_per_s", 4.0 },
                                          { "models", std::move(list) } };
        const boost::json::value config { { "version", ++version },
                                          { "routes", boost::json::array {} },
                                          { "services",
                                            { { { "name", "pool" }, { "engine", engine } } } } };
        put(ConfigKind, "main", config);
    }

    void announceModels(const std::string &id)
    {
        boost::json::array list;
        for (const std::string &model : models.replicas[id].models)
            list.push_back({ { "name", model }, { "version", 1 } });
        put(ReplicaKind, id,
            { { "service", "pool" },
              { "address", "127.0.0.1:9" },
              { "zone", "z" },
              { "slots", 64 },
              { "state", "ready" },
              { "cold_left_ms", 0 },
              { "sequence", ++beats },
              { "models", std::move(list) },
              { "born", 1 } });
    }

    boost::asio::awaitable<void> sendHeartbeats(std::string id)
    {
        while (true) {
            if (!silent.contains(id))
                announceModels(id);
            co_await sleepFor(Heartbeat);
        }
    }

    /// Each replica holds one model when the copy of the store is made, and two afterwards.
    void fillReplicas()
    {
        engines = &models;
        publishModels(Replicas);
        for (int number = 0; number < Replicas; ++number) {
            const std::string id = "i-" + std::to_string(number);
            models.replicas[id].models = { modelName(number) };
            boost::asio::co_spawn(io, sendHeartbeats(id), boost::asio::detached);
        }
        start(SmallFleet);
        io.run_for(8s);
        store.objects.save();
        publishModels(2 * Replicas);
        const Instant end = steadyNow() + 15s;
        while (models.modelsHeld() < 2 * Replicas && steadyNow() < end)
            io.run_for(50ms);
        io.run_for(2 * Heartbeat);
        CHECK_EQUAL(2U * Replicas, models.modelsHeld());
        CHECK(models.overfilled.empty());
    }

    void returnFromCopy()
    {
        returnStore(false);
        publishModels(2 * Replicas); // what the operator wrote is written again
    }
};

} // namespace

TEST_GROUP_BASE(ReturnedCopies, ReturnedCopiesCases) {};

// Guards against orders by the listings of an older copy: full replicas were ordered to load more.
TEST(ReturnedCopies, FullReplicasAreNotOrderedToLoadMoreWhenTheCopyListsThemAsHalfEmpty)
{
    fillReplicas();
    returnFromCopy();
    io.run_for(9s);
    CHECK(models.overfilled.empty());
    CHECK_COMPARE(models.modelsHeld(), >=, 2U * Replicas);
}

// The same when replicas do not reach the store after its return, so that the copy's entries stay.
TEST(ReturnedCopies, ReportsOfReplicasCountMoreThanTheEntriesOfAnOlderCopy)
{
    fillReplicas();
    for (const auto &[id, replica] : models.replicas)
        silent.insert(id);
    returnFromCopy();
    io.run_for(14s);
    CHECK(models.overfilled.empty());
}
