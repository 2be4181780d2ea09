#include "decide/addressanswer.h"
#include "decide/confighead.h"
#include "decide/drain.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

std::vector<EntryNode> entryNodes(int count, int zones)
{
    std::vector<EntryNode> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        nodes.push_back({ "vm-" + std::to_string(number), "zone-" + std::to_string(number % zones),
                          "10.0.0." + std::to_string(number) + ":8080" });
    return nodes;
}

std::vector<ModelShare> zipfDemand(int models)
{
    std::vector<ModelShare> demand;
    demand.reserve(static_cast<std::size_t>(models));
    double sum = 0;
    for (int number = 0; number < models; ++number)
        sum += 1.0 / (number + 1);
    for (int number = 0; number < models; ++number)
        demand.push_back({ "model-" + std::to_string(number), 1.0 / (number + 1) / sum });
    return demand;
}

} // namespace

// ---- Address answers ----------------------------------------------------------------------------

TEST_GROUP(AddressDirectory) {};

// Example of use: rebuild on a change, answer each caller.
TEST(AddressDirectory, AnswerHasCallersZoneFirstAndAnotherZoneLast)
{
    AddressDirectory directory({}, 1);
    directory.rebuild(entryNodes(8, 2), { { "base", 0.5 } });
    const AddressAnswer answer = valueOf(directory.answer({ "order-app", "", "zone-1" }));
    LONGS_EQUAL(4, answer.addresses.size());
    for (std::size_t index = 0; index < 3; ++index)
        LONGS_EQUAL(1, (answer.addresses[index][7] - '0') % 2);
    LONGS_EQUAL(0, (answer.addresses[3][7] - '0') % 2);
    CHECK(answer.lifetime == Duration(10s));
}

TEST(AddressDirectory, AnswerHasLeavingNodesOnlyIfNoOtherIsLeft)
{
    std::size_t runs = 0;
    CHECK(rc::check("node states decide which nodes are in an answer", [&] {
        ++runs;
        std::vector<EntryNode> nodes = entryNodes(*rc::gen::inRange(1, 12), 3);
        std::set<std::string> usable;
        std::set<std::string> leaving;
        for (EntryNode &node : nodes) {
            node.state = *rc::gen::element(EntryNodeState::Usable, EntryNodeState::Suspect,
                                           EntryNodeState::Leaving);
            if (node.state == EntryNodeState::Usable)
                usable.insert(node.address);
            if (node.state == EntryNodeState::Leaving)
                leaving.insert(node.address);
        }
        AddressDirectory directory({}, *rc::gen::arbitrary<std::uint64_t>());
        directory.rebuild(nodes, zipfDemand(3));
        const auto result = directory.answer({ "s", "model-1", "zone-0" });
        RC_ASSERT(isOk(result));
        const AddressAnswer &answer = valueOf(result);
        RC_ASSERT(!answer.addresses.empty());
        const std::set<std::string> named(answer.addresses.begin(), answer.addresses.end());
        RC_ASSERT(named.size() == answer.addresses.size());
        for (const std::string &address : named) {
            RC_ASSERT(usable.empty() || usable.contains(address));
            if (leaving.size() < nodes.size())
                RC_ASSERT(!leaving.contains(address));
            else
                RC_ASSERT(answer.lifetime == Duration(2s));
        }
    }));
    AddressDirectory empty({}, 1);
    CHECK(errorOf(empty.answer({})).code == ResultCode::RefusedNoUpstream);
    std::printf("%zu schedules\n", runs);
}

TEST(AddressDirectory, PreferredNodesAreFewBoundedAndStable)
{
    AddressDirectory directory({}, 1);
    std::vector<EntryNode> nodes = entryNodes(380, 8);
    directory.rebuild(nodes, zipfDemand(350));
    const auto before = directory.preferredNodes();
    std::map<std::string, std::size_t> modelsAt;
    std::map<std::string, double> shareAt;
    for (const ModelShare &each : zipfDemand(350)) {
        const auto &preferredNodes = before.at(each.model);
        CHECK(preferredNodes.size() >= 16);
        for (const std::string &name : preferredNodes) {
            ++modelsAt[name];
            shareAt[name] += each.share / static_cast<double>(preferredNodes.size());
        }
    }
    std::size_t maxModels = 0;
    double maxShare = 0;
    for (const auto &[name, count] : modelsAt)
        maxModels = std::max(maxModels, count);
    for (const auto &[name, share] : shareAt)
        maxShare = std::max(maxShare, share);

    nodes.erase(nodes.begin() + 100);
    directory.rebuild(nodes, zipfDemand(350));
    std::size_t moved = 0;
    std::size_t total = 0;
    for (const auto &[model, preferredNodes] : before) {
        total += preferredNodes.size();
        for (const std::string &name : preferredNodes)
            moved += name != "vm-100" && !directory.isPreferred(model, name) ? 1 : 0;
    }
    std::printf("380 nodes, 350 models: at most %zu models at a node, highest share %.2f of the "
                "average; one node removed: %zu of %zu assignments to other nodes changed\n",
                maxModels, maxShare * 380, moved, total);
    CHECK(maxModels < 40);
    CHECK(maxShare * 380 < 1.7);
    CHECK(moved * 50 < total);
}

// ---- Drain --------------------------------------------------------------------------------------

TEST_GROUP(NodeDrain) {};

// Example of use: start on SIGTERM, count requests, carry out the actions.
TEST(NodeDrain, ServesUntilAnswersExpireThenFinishesRequestsThenStops)
{
    Instant now { 100s };
    NodeDrain drain({});
    drain.setOtherUsableNodes(3, now);
    CHECK(drain.onRequest());
    drain.start(now);
    CHECK(std::holds_alternative<AnnounceLeaving>(drain.takeActions().at(0)));
    CHECK(drain.onRequest()); // its caller holds an answer that has not expired
    drain.onRequestFinished(now);
    drain.tick(now + 25s);
    CHECK(drain.phase() == DrainPhase::Leaving);
    drain.tick(now + 26s);
    CHECK(drain.phase() == DrainPhase::Refusing);
    CHECK(!drain.onRequest());
    drain.onRequestFinished(now + 600s); // a long stream is not cut off
    CHECK(drain.phase() == DrainPhase::Stopped);
    CHECK(std::holds_alternative<StopNow>(drain.takeActions().back()));
}

TEST(NodeDrain, LastNodeServesUntilAnotherIsUsableOrMaxHoldTime)
{
    const Instant now { 100s };
    NodeDrain drain({});
    drain.setOtherUsableNodes(1, now);
    drain.start(now);
    drain.setOtherUsableNodes(0, now + 5s); // the other node drains as well
    drain.tick(now + 60s);
    CHECK(drain.phase() == DrainPhase::Leaving);
    drain.setOtherUsableNodes(2, now + 61s);
    drain.tick(now + 86s);
    CHECK(drain.phase()
          == DrainPhase::Leaving); // answers contained it until 61 s and expire 26 s later
    drain.tick(now + 87s);
    CHECK(drain.phase() == DrainPhase::Stopped);

    NodeDrain alone({});
    alone.start(now);
    alone.tick(now + 299s);
    CHECK(alone.phase() == DrainPhase::Leaving);
    alone.tick(now + 300s);
    CHECK(alone.phase() == DrainPhase::Stopped);
}

TEST_GROUP(LeavingUpstreams) {};

TEST(LeavingUpstreams, UpstreamLeavesByVmListReportOrOperator)
{
    LeavingUpstreams leaving;
    CHECK(leaving.mayReceive("engine-1"));
    LONGS_EQUAL(1, leaving.onVmList({ "engine-1", "engine-2" }, { "engine-1" }).size());
    LONGS_EQUAL(0, leaving.onVmList({ "engine-1", "engine-2" }, { "engine-1" }).size());
    leaving.onLeavingRecord("engine-2");
    leaving.onVmList({ "engine-1", "engine-2" },
                     { "engine-1" }); // this snapshot is older than the report
    CHECK(!leaving.mayReceive("engine-1"));
    CHECK(!leaving.mayReceive("engine-2"));
    leaving.onConfig({ { drainKey("engine-3"), "{}" }, { serviceKey("a"), "{}" } });
    CHECK(!leaving.mayReceive("engine-3"));
    leaving.onConfig({ { serviceKey("a"), "{}" } });
    CHECK(leaving.mayReceive("engine-3"));
    leaving.onVmList({ "engine-2" }, {});
    CHECK(leaving.mayReceive("engine-1")); // no longer listed; a VM of the same name is a new one
}
