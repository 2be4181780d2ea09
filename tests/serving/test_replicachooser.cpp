// Checks what the work time that replicas state, and idle connections, change in the choice.
#include "serving/replicachooser.h"
#include "support/replicas.h"

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

struct FakeConnections : ConnectionView
{
    bool hasIdleConnection(const std::string &address) const override
    {
        return addresses.contains(address);
    }

    std::set<std::string> addresses;
};

ReplicaInfo engine(const std::string &id)
{
    ReplicaInfo info = poolReplica(id, { { "m1", {} } }, 64);
    info.address = id;
    return info;
}

ServingRequest prompt(int tokens)
{
    ServingRequest request;
    request.service = "pool";
    request.model = "m1";
    request.promptTokens = tokens;
    return request;
}

/// Sends requests to three equally fast engines whose answers state the given work times.
/// @return number of requests that each replica got after the first five seconds
std::map<std::string, int> shares(const std::map<std::string, int> &stated)
{
    ReplicaTable table;
    ReplicaChooser chooser { table, {}, 5 };
    std::map<std::string, Instant> busyUntil;
    std::map<std::string, int> counts;
    for (const auto &[id, percent] : stated)
        table.onAnnounced(engine(id), Start);
    struct Answer
    {
        ReplicaChoice choice;
        Instant sentAt;
    };
    std::multimap<Instant, Answer> answers;
    for (Instant now = Start; now < Start + 25s; now += 10ms) {
        while (!answers.empty() && answers.begin()->first <= now) {
            const auto &[at, answer] = *answers.begin();
            const ReplicaChoice &choice = answer.choice;
            const double expected = double(choice.expectedFirstByte.count());
            table.onFirstByte(choice.id, choice.generation,
                              double((at - answer.sentAt).count()) / expected * choice.slowness,
                              now);
            table.onFinished(choice.id, choice.generation, ReplicaOutcome::Served, now);
            table.onLoadReport(choice.id, { 1, 0, 64, stated.at(choice.id) }, now);
            answers.erase(answers.begin());
        }
        if ((now - Start) % 50ms != 0ms)
            continue;
        const auto result = chooser.choose(prompt(1'000), {}, {}, now);
        const auto *choice = std::get_if<ReplicaChoice>(&result);
        if (choice == nullptr)
            continue;
        table.onSent(choice->id, choice->freshTokens, now);
        Instant &end = busyUntil[choice->id];
        end = std::max(end, now) + 67ms;
        answers.emplace(end, Answer { *choice, now });
        counts[choice->id] += now >= Start + 5s ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST_GROUP(ReplicaChooser)
{
    ReplicaTable table;
    ReplicaChooser chooser { table, {}, 7 };
    FakeConnections connections;

    std::string choose(Instant now = Start)
    {
        const auto result = chooser.choose(prompt(1'000), {}, {}, now);
        return std::get<ReplicaChoice>(result).id;
    }
};

// Guards against a wrong figure that draws or repels all requests. Equal shares would be 133 of
// 400.
TEST(ReplicaChooser, AWrongWorkTimeNeitherAttractsNorRepelsAllRequests)
{
    for (const int wrong : { 0, 1, 20, 400, 1'000'000 }) {
        for (const int others : { 0, 100 }) {
            auto counts = shares({ { "r1", wrong }, { "r2", others }, { "r3", others } });
            CHECK(counts["r1"] >= 60);
            CHECK(counts["r1"] <= 240);
        }
    }
}

// Guards against a replica that once stated a high work time and, getting no requests, cannot state
// a lower one.
TEST(ReplicaChooser, AReplicaThatWasSlowForAMomentIsChosenAgain)
{
    for (const char *id : { "r1", "r2" })
        table.onAnnounced(engine(id), Start);
    for (int report = 0; report < 10; ++report) {
        table.onLoadReport("r1", { 0, 0, 64, 400 }, Start);
        table.onLoadReport("r2", { 0, 0, 64, 100 }, Start);
    }
    std::map<std::string, int> early;
    std::map<std::string, int> later;
    for (int i = 0; i < 50; ++i) {
        early[choose()]++;
        table.onLoadReport("r2", { 0, 0, 64, 130 }, Start + 3s);
        later[choose(Start + 3s)]++;
    }
    CHECK_EQUAL(0, early["r1"]);
    CHECK(later["r1"] > 0);
}

TEST(ReplicaChooser, AnIdleConnectionDecidesOnlyBetweenNearlyEqualReplicasThatStateTheirWorkTime)
{
    chooser.setConnections(connections);
    connections.addresses = { "r2" };
    for (const char *id : { "r1", "r2" })
        table.onAnnounced(engine(id), Start);
    std::map<std::string, int> silent;
    for (int i = 0; i < 100; ++i)
        silent[choose()]++;
    CHECK(silent["r1"] > 25 && silent["r2"] > 25);
    for (const char *id : { "r1", "r2" })
        table.onLoadReport(id, { 0, 0, 64, 100 }, Start);
    for (int i = 0; i < 100; ++i)
        CHECK_EQUAL(std::string("r2"), choose());
    table.onPromptAssigned("r2", 400, Start); // 22 ms of prefill ahead of 65 ms
    for (int i = 0; i < 100; ++i)
        CHECK_EQUAL(std::string("r1"), choose());
    connections.addresses = {};
    CHECK_EQUAL(std::string("r1"), choose()); // no connection to any: still served
}

// Without the fourth figure the choice does not change, whatever connections exist.
TEST(ReplicaChooser, ThreeFiguresGiveTheSameChoicesAsWithoutConnections)
{
    ReplicaTable plainTable;
    ReplicaChooser plainChooser { plainTable, {}, 7 };
    chooser.setConnections(connections);
    connections.addresses = { "r3", "r5" };
    Random random(3);
    for (int i = 1; i <= 6; ++i) {
        for (ReplicaTable *each : { &table, &plainTable })
            each->onAnnounced(engine("r" + std::to_string(i)), Start);
    }
    for (int step = 0; step < 2'000; ++step) {
        const Instant now = Start + step * 10ms;
        const ServingRequest request = prompt(100 + int(random.below(3'000)));
        const auto result = chooser.choose(request, {}, {}, now);
        const auto plain = plainChooser.choose(request, {}, {}, now);
        CHECK_EQUAL(plain.index(), result.index());
        const auto *choice = std::get_if<ReplicaChoice>(&result);
        if (choice == nullptr)
            continue;
        const auto &plainChoice = std::get<ReplicaChoice>(plain);
        CHECK_EQUAL(plainChoice.id, choice->id);
        CHECK(plainChoice.expectedFirstByte == choice->expectedFirstByte);
        const ReplicaLoadReport report { int(random.below(20)), 0, 64 };
        for (ReplicaTable *each : { &table, &plainTable }) {
            each->onSent(choice->id, choice->freshTokens, now);
            each->onLoadReport(choice->id, report, now);
            each->onFinished(choice->id, choice->generation, ReplicaOutcome::Served, now);
        }
    }
}
