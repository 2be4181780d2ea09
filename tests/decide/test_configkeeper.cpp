// Tests Publisher, the deltas between revisions, and ConfigTracker on a simulated fleet.
#include "decide/fleetdriver.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace burdock;
using namespace burdock::testing;
using namespace std::chrono_literals;

namespace {

/// Accepts every configuration in which no text contains "bad".
class AcceptingChecker : public CatalogChecker
{
public:
    Result<Done> check(const std::map<std::string, std::string> &texts) const override
    {
        for (const auto &[key, text] : texts) {
            if (text.find("bad") != std::string::npos)
                return Error { ResultCode::SettingsClash, key + ": bad" };
        }
        return Done {};
    }
};

/// Serves the calls of a publisher immediately from the store of the fleet.
struct StoreStub
{
    Fleet &fleet;
    // Reported for the next head write in place of its real outcome; the write still takes effect.
    std::optional<WriteOutcome> outcome;
    // Discards the next head write and reports WriteOutcome::Unknown.
    bool drop = false;
    int headWrites = 0;

    void serve(Publisher &publisher, Instant now)
    {
        for (auto actions = publisher.takeActions(); !actions.empty();
             actions = publisher.takeActions()) {
            for (const PublisherAction &action : actions)
                std::visit([&](const auto &each) { respond(publisher, each, now); }, action);
        }
    }

    void respond(Publisher &publisher, const ReadConfigHead &call, Instant now)
    {
        publisher.onHeadRead(call.requestId, fleet.storedHead, fleet.headVersion, now);
    }
    void respond(Publisher &publisher, const ReadConfigEntry &call, Instant now)
    {
        publisher.onEntryRead(call.requestId, fleet.entries[entryPath(call.key, call.hash)], now);
    }
    void respond(Publisher &publisher, const CreateConfigEntry &call, Instant now)
    {
        fleet.entries[entryPath(call.key, call.hash)] = call.text;
        publisher.onEntryCreated(call.requestId, WriteOutcome::Done, now);
    }
    void respond(Publisher &publisher, const WriteConfigHead &call, Instant now)
    {
        ++headWrites;
        WriteOutcome result = WriteOutcome::Unknown;
        if (!drop)
            result = fleet.writeHead(call.expectedVersion, call.head);
        publisher.onHeadWritten(call.requestId, outcome.value_or(result), now);
        outcome.reset();
        drop = false;
    }
};

PublishRequest makeChange(const std::string &id, const std::string &key, const std::string &text)
{
    PublishRequest request;
    request.publishId = id;
    request.operatorName = "operator of " + id;
    request.changes[key] = text;
    return request;
}

Result<std::uint64_t> publish(Fleet &fleet, const PublishRequest &request)
{
    const AcceptingChecker checker;
    Publisher publisher({}, request, checker, fleet.now);
    StoreStub store { fleet, {}, false, 0 };
    store.serve(publisher, fleet.now);
    CHECK(publisher.outcome().has_value());
    return *publisher.outcome();
}

bool isInForceEverywhere(const Fleet &fleet, std::uint64_t revision)
{
    for (const auto &[name, node] : fleet.nodes) {
        if (node.isRunning && node.tracker->revision() != revision)
            return false;
    }
    return true;
}

/// @return seconds of virtual time until the revision is in force on every running node; 60 if it
/// is not in force everywhere by then
double secondsUntilInForce(Fleet &fleet, std::uint64_t revision)
{
    const Instant start = fleet.now;
    while (!isInForceEverywhere(fleet, revision) && fleet.now - start < 60s)
        fleet.runUntil(fleet.now + 100ms);
    return std::chrono::duration<double>(fleet.now - start).count();
}

} // namespace

// ---- Publisher ----------------------------------------------------------------------------------

TEST_GROUP(Publisher)
{
    Fleet fleet { 2, 1, 1 };
    AcceptingChecker checker;
    StoreStub store { fleet, {}, false, 0 };
};

// Uses the publisher as burdockctl does: perform its actions until it has an outcome.
TEST(Publisher, RepeatedPublishReturnsTheSameRevision)
{
    const PublishRequest request = makeChange("p1", serviceKey("order-app"), "{}");
    LONGS_EQUAL(1, valueOf(publish(fleet, request)));
    // A repeated publish returns the same revision.
    LONGS_EQUAL(1, valueOf(publish(fleet, request)));
    LONGS_EQUAL(1, fleet.storedHead.revision);
    STRCMP_EQUAL("operator of p1", findPublish(fleet.storedHead, "p1")->operatorName.c_str());
}

TEST(Publisher, RefusesAConfigurationThatTheCheckerRejects)
{
    LONGS_EQUAL(1, valueOf(publish(fleet, makeChange("p1", serviceKey("a"), "{}"))));
    const auto result = publish(fleet, makeChange("p2", serviceKey("b"), "bad"));
    CHECK(errorOf(result).code == ResultCode::SettingsClash);
    LONGS_EQUAL(1, fleet.storedHead.revision);
}

TEST(Publisher, ClashIsRefusedWithOperatorAndKeyAndOtherChangesAreRebased)
{
    publish(fleet, makeChange("p1", serviceKey("a"), "1"));
    PublishRequest slow = makeChange("p3", serviceKey("a"), "3");
    slow.base = fleet.storedHead;
    PublishRequest other = makeChange("p4", serviceKey("b"), "4");
    other.base = fleet.storedHead;
    publish(fleet, makeChange("p2", serviceKey("a"), "2"));

    const auto refused = publish(fleet, slow);
    CHECK(errorOf(refused).code == ResultCode::PublishClash);
    STRCMP_CONTAINS("operator of p2", errorOf(refused).message.c_str());
    STRCMP_CONTAINS("services/a", errorOf(refused).message.c_str());
    LONGS_EQUAL(3, valueOf(publish(fleet, other)));
    STRCMP_EQUAL(contentHash("2").c_str(), fleet.storedHead.entries["services/a"].c_str());
}

TEST(Publisher, LostWriteResponseIsResolvedByReadingTheHead)
{
    Publisher publisher({}, makeChange("p1", serviceKey("a"), "1"), checker, fleet.now);
    store.outcome = WriteOutcome::Unknown; // the write takes effect, its response is lost
    store.serve(publisher, fleet.now);
    CHECK(!publisher.outcome());
    fleet.now += 1s;
    publisher.tick(fleet.now);
    store.serve(publisher, fleet.now);
    LONGS_EQUAL(1, valueOf(*publisher.outcome()));
    LONGS_EQUAL(1, store.headWrites);
}

TEST(Publisher, UnconfirmedWriteEndsWithUnknownOutcome)
{
    Publisher publisher({}, makeChange("p1", serviceKey("a"), "1"), checker, fleet.now);
    store.drop = true; // the write is sent but has neither a response nor an effect yet
    store.serve(publisher, fleet.now);
    fleet.now += 61s; // no response arrives within publishTimeout (60 s)
    publisher.tick(fleet.now);
    CHECK(errorOf(*publisher.outcome()).code == ResultCode::PlatformUnknownOutcome);

    Publisher unsent({}, makeChange("p2", serviceKey("a"), "1"), checker, fleet.now);
    fleet.now += 61s;
    unsent.tick(fleet.now);
    CHECK(errorOf(*unsent.outcome()).code == ResultCode::PlatformUnavailable);
}

// The process that sent the publish first was killed; its head write may be in transit or done.
TEST(Publisher, RestartedPublishReportsUnknownOutcomeForAnEarlierWrite)
{
    PublishRequest request = makeChange("p1", serviceKey("a"), "1");
    request.mayHaveBeenSent = true;
    Publisher unanswered({}, request, checker, fleet.now);
    unanswered.tick(fleet.now + 61s);
    CHECK(errorOf(*unanswered.outcome()).code == ResultCode::PlatformUnknownOutcome);

    // The checker refuses, but the head still has the version that the first write expects.
    request.changes["services/b"] = "bad";
    Publisher refused({}, request, checker, fleet.now);
    store.serve(refused, fleet.now);
    CHECK(errorOf(*refused.outcome()).code == ResultCode::PlatformUnknownOutcome);
}

TEST(Publisher, LateConditionalWriteRevertsNothing)
{
    Publisher publisher({}, makeChange("p1", serviceKey("a"), "1"), checker, fleet.now);
    std::optional<WriteConfigHead> late;
    for (auto actions = publisher.takeActions(); !actions.empty();
         actions = publisher.takeActions()) {
        for (const PublisherAction &action : actions) {
            if (const auto *write = std::get_if<WriteConfigHead>(&action))
                late = *write; // delayed in transit
            else
                std::visit([&](const auto &each) { store.respond(publisher, each, fleet.now); },
                           action);
        }
    }
    LONGS_EQUAL(1, valueOf(publish(fleet, makeChange("p2", serviceKey("b"), "2"))));
    CHECK(fleet.writeHead(late->expectedVersion, late->head) == WriteOutcome::Conflict);
    STRCMP_EQUAL("p2", fleet.storedHead.publishId.c_str());
    fleet.ignoresExpectedVersion = true; // ablation: an unconditional write reverts p2
    fleet.writeHead(late->expectedVersion, late->head);
    STRCMP_EQUAL("p1", fleet.storedHead.publishId.c_str());
    CHECK(findPublish(fleet.storedHead, "p2") == nullptr);
}

// ---- Deltas -------------------------------------------------------------------------------------

TEST_GROUP(ConfigDelta) {};

TEST(ConfigDelta, AnyOlderRevisionLeadsToTheNewestSnapshot)
{
    std::size_t runs = 0;
    CHECK(rc::check("delta from each older revision, or whole, gives the newest", [&] {
        ++runs;
        Fleet fleet(1, 1, 1);
        std::vector<ConfigSnapshot> snapshots { ConfigSnapshot {} };
        const int count = *rc::gen::inRange(1, 90);
        for (int number = 1; number <= count; ++number) {
            PublishRequest request = makeChange("p" + std::to_string(number), "", "");
            request.changes.clear();
            const std::string key = serviceKey(std::to_string(*rc::gen::inRange(0, 6)));
            if (*rc::gen::inRange(0, 4) > 0)
                request.changes[key] = std::to_string(*rc::gen::inRange(0, 50));
            else
                request.changes[key] = std::nullopt;
            const auto revision = publish(fleet, request);
            RC_ASSERT(isOk(revision));
            ConfigSnapshot snapshot { fleet.storedHead, {} };
            for (const auto &[name, hash] : fleet.storedHead.entries)
                snapshot.texts[name] = fleet.entries[entryPath(name, hash)];
            snapshots.push_back(snapshot);
        }
        const ConfigSnapshot &newest = snapshots.back();
        for (const ConfigSnapshot &base : snapshots) {
            const auto result = applyDelta(base, makeDelta(newest, base.head.revision));
            RC_ASSERT(isOk(result));
            RC_ASSERT(valueOf(result).texts == newest.texts);
            RC_ASSERT(headHash(valueOf(result).head) == headHash(newest.head));
            // A delta with one altered text is rejected as a whole.
            ConfigDelta broken = makeDelta(newest, base.head.revision);
            if (!broken.texts.empty()) {
                broken.texts.begin()->second += "x";
                RC_ASSERT(!isOk(applyDelta(base, broken)));
            }
        }
    }));
    std::printf("%zu schedules\n", runs);
}

// ---- Tracker ------------------------------------------------------------------------------------

TEST_GROUP(ConfigTracker) {};

// 380 nodes, 50 services and a 2 KB change every 17.6 s, which is 4,900 changes a day.
// fleetdriver.h shows how to run a tracker: it passes members, ticks, messages and responses in and
// performs the actions.
TEST(ConfigTracker, RevisionReachesAllNodesWithTwoWatchesPerZoneAndLimitedTraffic)
{
    Fleet fleet(380, 8, 3);
    fleet.tickInterval = 500ms;
    fleet.runUntil(fleet.now + 120s);
    for (int service = 0; service < 50; ++service)
        publish(fleet,
                makeChange("first" + std::to_string(service),
                           serviceKey("service-" + std::to_string(service)),
                           std::string(2000, static_cast<char>('a' + service % 26))));
    secondsUntilInForce(fleet, 50);
    fleet.runUntil(fleet.now + 30s);
    std::size_t watchers = 0;
    for (auto &[name, node] : fleet.nodes) {
        watchers += node.tracker->isWatcher() ? 1 : 0;
        node.bytes = 0;
    }
    const Instant start = fleet.now;
    double slowest = 0;
    for (std::uint64_t revision = 51; revision <= 53; ++revision) {
        publish(fleet,
                makeChange("p" + std::to_string(revision), serviceKey("service-1"),
                           std::string(2000, static_cast<char>('A' + revision % 26))));
        const Instant published = fleet.now;
        slowest = std::max(slowest, secondsUntilInForce(fleet, revision));
        fleet.runUntil(published + 17'600ms);
    }
    double mean = 0;
    double highest = 0;
    for (const auto &[name, node] : fleet.nodes) {
        const double rate = static_cast<double>(node.bytes)
                / std::chrono::duration<double>(fleet.now - start).count();
        mean += rate / 380;
        highest = std::max(highest, rate);
    }
    std::printf("380 nodes, 2 KB changes each 17.6 s: %zu watches, in force everywhere within "
                "%.1f s, %.0f B/s a node (highest %.0f), gossip included\n",
                watchers, slowest, mean, highest);
    LONGS_EQUAL(16, watchers);
    CHECK(slowest < 15);
    CHECK(highest < 5000);
    // A watcher knows the revision of each node of its zone.
    for (const auto &[name, node] : fleet.nodes) {
        if (!node.tracker->isWatcher())
            continue;
        for (const auto &[reporter, report] : node.tracker->reports())
            LONGS_EQUAL(53, report.revision);
        CHECK(node.tracker->reports().size() >= 47);
    }
}

TEST(ConfigTracker, NodeStartedDuringAStoreOutagePullsFromAPeer)
{
    Fleet fleet(9, 3, 4);
    fleet.runUntil(fleet.now + 10s);
    publish(fleet, makeChange("p1", serviceKey("a"), "1"));
    publish(fleet, makeChange("p2", drainKey("engine-7"), "{}"));
    CHECK(secondsUntilInForce(fleet, 2) < 15);
    fleet.fault = [](const char *, const std::string &from, const std::string &to) {
        return Delivery { from == "store" || to == "store" ? 0 : 1 };
    };
    FleetNode &node = fleet.nodes.at("vm-4");
    fleet.kill(node);
    fleet.runUntil(fleet.now + 2s);
    fleet.start(node);
    LONGS_EQUAL(0, node.tracker->revision());
    CHECK(secondsUntilInForce(fleet, 2) < 15);
    CHECK(node.tracker->inForce().texts.contains(drainKey("engine-7")));
}

TEST(ConfigTracker, ZoneCutOffFromTheStorePullsFromPeers)
{
    Fleet fleet(12, 3, 5);
    fleet.runUntil(fleet.now + 10s);
    fleet.fault = [&](const char *, const std::string &from, const std::string &to) {
        const std::string &node = from == "store" ? to : from;
        const bool cut =
                (from == "store" || to == "store") && fleet.nodes.at(node).zone == "zone-1";
        return Delivery { cut ? 0 : 1 };
    };
    fleet.runUntil(fleet.now + 10s);
    publish(fleet, makeChange("p1", serviceKey("a"), "1"));
    CHECK(secondsUntilInForce(fleet, 1) < 15);
}
