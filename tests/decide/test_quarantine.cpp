// Quarantine of poison requests on one node, and the bound on lost upstreams in a simulated fleet.
#include "base/random.h"
#include "decide/quarantine.h"
#include "support/faultreport.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <memory>

using namespace burdock;
using namespace burdock::testing;

namespace {

Instant at(std::int64_t milliseconds)
{
    return Instant(std::chrono::milliseconds(milliseconds));
}

/// @return the last decision on a run: "allowed", "isolated", "refused", "quarantined" or "none"
std::string decisionOn(const std::string &run, const std::vector<QuarantineAction> &actions)
{
    std::string decision = "none";
    for (const QuarantineAction &action : actions) {
        const AllowRun *allow = std::get_if<AllowRun>(&action);
        if (allow != nullptr && allow->run == run)
            decision = allow->isolate ? "isolated" : "allowed";
        const RefuseRun *refuse = std::get_if<RefuseRun>(&action);
        if (refuse != nullptr && refuse->run == run)
            decision = refuse->reason == RunRefusal::Quarantined ? "quarantined" : "refused";
    }
    return decision;
}

// Simulates nodes that exchange messages over a network that delays and loses some of them. Every
// run of one request crashes its upstream, and the caller sends the request again through any node.
struct FleetSimulation
{
    static constexpr int NodeCount = 4;

    Random random;
    int lossPercent = 0;
    int replacementsLeft = 0;    // how many nodes may still be replaced by new ones
    bool deliverMessages = true; // false for the ablation: all messages are dropped
    std::vector<std::unique_ptr<Quarantine>> nodes;
    std::multimap<std::int64_t, std::pair<int, QuarantineMessage>>
            messages;     // by arrival, in milliseconds
    std::int64_t now = 0; // milliseconds
    int losses = 0;
    int quarantinedRuns = 0;
    int runs = 0;
    int replacedNodes = 0;
    int unawareRuns = 0; // runs through nodes that had not received any crash report yet

    explicit FleetSimulation(std::uint64_t seed)
        : random(seed)
    {
        for (int node = 0; node < NodeCount; ++node)
            nodes.push_back(nullptr);
        for (int node = 0; node < NodeCount; ++node)
            start(node);
    }

    void start(int node)
    {
        nodes[node] = std::make_unique<Quarantine>(std::to_string(node), QuarantineSettings());
        nodes[node]->onLiveNodes({ "0", "1", "2", "3" });
    }

    void sendTo(int node, const QuarantineMessage &message)
    {
        if (deliverMessages && static_cast<int>(random.below(100)) >= lossPercent)
            messages.emplace(now + 1 + static_cast<std::int64_t>(random.below(30)),
                             std::pair(node, message));
    }

    std::vector<QuarantineAction> carryOutActions(int node)
    {
        std::vector<QuarantineAction> actions = nodes[node]->takeActions();
        for (const QuarantineAction &action : actions) {
            if (const SendQuarantine *send = std::get_if<SendQuarantine>(&action))
                sendTo(std::stoi(send->node), send->message);
            const BroadcastQuarantine *broadcast = std::get_if<BroadcastQuarantine>(&action);
            for (int other = 0; broadcast != nullptr && other < NodeCount; ++other) {
                if (other != node)
                    sendTo(other, broadcast->message);
            }
        }
        return actions;
    }

    /// Offers the crashing request once to a node and waits until it is refused or has crashed its
    /// upstream.
    void sendRequest(int node)
    {
        const std::string run = "run " + std::to_string(++runs);
        nodes[node]->onRun(run, 1, false, true, at(now));
        std::string decision = decisionOn(run, carryOutActions(node));
        for (int step = 0; decision == "none" && step < 300; ++step)
            decision = advance(node, run);
        quarantinedRuns += decision == "quarantined" ? 1 : 0;
        if (decision != "allowed" && decision != "isolated")
            return;
        unawareRuns += losses > 0 && decision == "allowed" ? 1 : 0;
        ++losses;
        nodes[node]->onUpstreamLost("upstream " + std::to_string(losses), { run }, at(now));
        carryOutActions(node);
    }

    /// Advances the clock by 10 ms.
    /// @return the decision on a run of a node
    std::string advance(int node, const std::string &run)
    {
        now += 10;
        std::string decision = "none";
        while (!messages.empty() && messages.begin()->first <= now) {
            const auto [to, message] = messages.begin()->second;
            messages.erase(messages.begin());
            nodes[to]->onMessage(message, at(now));
        }
        for (int each = 0; each < NodeCount; ++each) {
            nodes[each]->tick(at(now));
            const std::string newDecision = decisionOn(run, carryOutActions(each));
            if (each == node && newDecision != "none")
                decision = newDecision;
        }
        return decision;
    }

    /// Sends the crashing request several times and replaces nodes in between.
    void sendRepeatedly(int sends)
    {
        for (int count = 0; count < sends; ++count) {
            const int node = static_cast<int>(random.below(NodeCount));
            if (replacementsLeft > 0 && random.below(4) == 0) {
                --replacementsLeft;
                ++replacedNodes;
                start(static_cast<int>(random.below(NodeCount)));
            }
            sendRequest(node);
            for (std::size_t pause = 4 + random.below(100); pause > 0; --pause)
                advance(0, "");
        }
    }
};

} // namespace

TEST_GROUP(Quarantine) {};

// Usage example: one node, and one request that crashes each upstream.
TEST(Quarantine, RequestIsRefusedAfterItCrashedTheMaximumNumberOfUpstreams)
{
    Quarantine quarantine("node-a", QuarantineSettings());
    const std::uint64_t fingerprint = requestFingerprint("assistant", "layout-check", "{...}");

    quarantine.onRun("run 1", fingerprint, false, true, at(0));
    STRCMP_EQUAL("allowed", decisionOn("run 1", quarantine.takeActions()).c_str());
    quarantine.onUpstreamLost("engine-4, process 1", { "run 1" }, at(10));

    // A retry of a suspect is isolated.
    quarantine.onRun("run 2", fingerprint, true, true, at(20));
    STRCMP_EQUAL("isolated", decisionOn("run 2", quarantine.takeActions()).c_str());
    quarantine.onUpstreamLost("engine-9, process 1", { "run 2" }, at(30));
    quarantine.onRun("run 3", fingerprint, false, true, at(40));
    quarantine.onUpstreamLost("engine-4, process 2", { "run 3" }, at(50));

    // The maximum is reached: every run is refused until the suspect expires.
    quarantine.onRun("run 4", fingerprint, false, true, at(60));
    STRCMP_EQUAL("quarantined", decisionOn("run 4", quarantine.takeActions()).c_str());
    CHECK(quarantine.isQuarantined(fingerprint));
    quarantine.tick(at(31 * 60'000));
    CHECK(!quarantine.isQuarantined(fingerprint));
}

TEST(Quarantine, SuspectsAreClearedWhenTheyComplete)
{
    Quarantine quarantine("node-a", QuarantineSettings());
    for (std::uint64_t request = 1; request <= 3; ++request)
        quarantine.onRun("first " + std::to_string(request), request, false, true, at(0));
    quarantine.onUpstreamLost("engine-1", { "first 1", "first 2", "first 3" }, at(10));
    LONGS_EQUAL(3, quarantine.suspects().size());
    for (std::uint64_t request = 1; request <= 3; ++request) {
        const std::string run = "second " + std::to_string(request);
        quarantine.takeActions();
        quarantine.onRun(run, request, true, true, at(20));
        STRCMP_EQUAL("isolated", decisionOn(run, quarantine.takeActions()).c_str());
        quarantine.onCompleted(run, at(30));
    }
    LONGS_EQUAL(0, quarantine.suspects().size());
    quarantine.onRun("third 1", 1, false, true, at(40));
    STRCMP_EQUAL("allowed", decisionOn("third 1", quarantine.takeActions()).c_str());
}

TEST(Quarantine, RetryOfNonIdempotentRequestIsRefused)
{
    Quarantine quarantine("node-a", QuarantineSettings());
    quarantine.onRun("run 1", 1, false, false, at(0));
    quarantine.onUpstreamLost("engine-1", { "run 1" }, at(10));
    quarantine.takeActions();
    quarantine.onRun("run 2", 1, true, false, at(20));
    const std::vector<QuarantineAction> actions = quarantine.takeActions();
    CHECK(std::get<RefuseRun>(actions.front()).reason == RunRefusal::NotIdempotent);
}

TEST(Quarantine, TableStaysBoundedAndKeepsQuarantinedRequests)
{
    QuarantineSettings settings;
    settings.maxSuspects = 10;
    Quarantine quarantine("node-a", settings);
    for (const char *upstream : { "a", "b", "c" })
        quarantine.onMessage(CrashReport { upstream, { { 1, "" } } }, at(0));
    for (std::uint64_t request = 2; request < 200; ++request)
        quarantine.onMessage(CrashReport { "d", { { request, "" } } },
                             at(static_cast<std::int64_t>(request)));
    LONGS_EQUAL(10, quarantine.suspects().size());
    CHECK(quarantine.isQuarantined(1));
}

TEST(Quarantine, UnreturnedPermitCountsAsLostUpstream)
{
    Quarantine quarantine("0", QuarantineSettings());
    quarantine.onMessage(CrashReport { "a", { { 1, "" } } }, at(0));
    quarantine.onMessage(CrashReport { "b", { { 1, "" } } }, at(0));
    quarantine.onMessage(PermitRequest { 1, "run 9", "1", { "a", "b" } }, at(0));
    CHECK(!quarantine.isQuarantined(1));
    quarantine.tick(at(121'000));
    CHECK(quarantine.isQuarantined(1));
}

TEST(Quarantine, LostUpstreamsAreBoundedAcrossTheFleet)
{
    int schedules = 0;
    int maxLosses = 0;
    const auto property = [&] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        FleetSimulation fleet(seed);
        fleet.lossPercent = *rc::gen::inRange(0, 21);
        fleet.replacementsLeft = *rc::gen::inRange(0, 3);
        fleet.sendRepeatedly(25);
        fleet.lossPercent = 0;
        fleet.replacementsLeft = 0;
        while (fleet.now < 300'000) // until every permit has expired
            fleet.advance(0, "");
        fleet.sendRepeatedly(6);
        ++schedules;
        maxLosses = std::max(maxLosses, fleet.losses);
        const int bound = static_cast<int>(QuarantineSettings().maxUpstreams);
        if (fleet.lossPercent == 0 && fleet.replacedNodes == 0)
            RC_ASSERT(fleet.losses <= bound);
        // Beyond the bound: runs through nodes that had not received a crash report, and one
        // permit for each replaced node, which may have been the permit owner.
        RC_ASSERT(fleet.losses <= bound + fleet.unawareRuns + fleet.replacedNodes);
        RC_ASSERT(fleet.unawareRuns <= fleet.replacedNodes + FleetSimulation::NodeCount - 1);
        RC_ASSERT(fleet.quarantinedRuns > 0);
    };
    const bool held = rc::check("a crashing request costs at most the bound", property);
    reportCells({ { "quarantine", "any message", "a request that crashes each upstream",
                    "messages lost, nodes replaced", static_cast<std::uint64_t>(schedules),
                    held ? 0U : 1U, "" } });
    CHECK(held);
    std::printf("%d schedules, at most %d upstreams lost\n", schedules, maxLosses);
}

// Ablation: shows that the bound of the test above depends on the messages between nodes.
TEST(Quarantine, WithoutMessagesMoreUpstreamsAreLostThanTheBound)
{
    FleetSimulation fleet(20261203);
    fleet.deliverMessages = false;
    fleet.sendRepeatedly(40);
    std::printf("%d upstreams lost\n", fleet.losses);
    CHECK(fleet.losses > static_cast<int>(QuarantineSettings().maxUpstreams));
}
