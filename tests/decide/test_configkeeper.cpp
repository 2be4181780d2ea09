#include "decide/fleetdriver.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace burdock;
using namespace burdock::testing;
using namespace std::chrono_literals;

namespace {

/// Accepts everything that does not contain "bad".
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

/// Answers a publisher's calls from the fleet's store at once; `outcome` replaces the next answer
/// to a write of the head after it took effect, `drop` loses the write.
struct StoreAnswers
{
    Fleet &fleet;
    std::optional<WriteOutcome> outcome;
    bool drop = false;
    int headWrites = 0;

    void serve(Publisher &publisher, Instant now)
    {
        for (auto actions = publisher.takeActions(); !actions.empty();
             actions = publisher.takeActions()) {
            for (const PublisherAction &action : actions)
                std::visit([&](const auto &each) { answer(publisher, each, now); }, action);
        }
    }

    void answer(Publisher &publisher, const ReadConfigHead &call, Instant now)
    {
        publisher.onHeadRead(call.requestId, fleet.storedHead, fleet.headVersion, now);
    }
    void answer(Publisher &publisher, const ReadConfigEntry &call, Instant now)
    {
        publisher.onEntryRead(call.requestId, fleet.entries[entryPath(call.key, call.hash)], now);
    }
    void answer(Publisher &publisher, const CreateConfigEntry &call, Instant now)
    {
        fleet.entries[entryPath(call.key, call.hash)] = call.text;
        publisher.onEntryCreated(call.requestId, WriteOutcome::Done, now);
    }
    void answer(Publisher &publisher, const WriteConfigHead &call, Instant now)
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

PublishRequest change(const std::string &id, const std::string &key, const std::string &text)
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
    StoreAnswers store { fleet, {}, false, 0 };
    store.serve(publisher, fleet.now);
    CHECK(publisher.outcome().has_value());
    return *publisher.outcome();
}

bool inForceEverywhere(const Fleet &fleet, std::uint64_t revision)
{
    for (const auto &[name, node] : fleet.nodes) {
        if (node.isRunning && node.keeper->revision() != revision)
            return false;
    }
    return true;
}

/// @return seconds of virtual time until every running node has the revision; 60 if it never does
double secondsUntilInForce(Fleet &fleet, std::uint64_t revision)
{
    const Instant start = fleet.now;
    while (!inForceEverywhere(fleet, revision) && fleet.now - start < 60s)
        fleet.runUntil(fleet.now + 100ms);
    return std::chrono::duration<double>(fleet.now - start).count();
}

} // namespace

// ---- Publisher ----------------------------------------------------------------------------------

TEST_GROUP(Publisher)
{
    Fleet fleet { 2, 1, 1 };
    AcceptingChecker checker;
    StoreAnswers store { fleet, {}, false, 0 };
};

// How burdockctl uses it: carry out the actions until there is an outcome.
TEST(Publisher, PublishesAndFindsItselfAgain)
{
    const PublishRequest request = change("p1", serviceKey("order-app"), "{}");
    LONGS_EQUAL(1, valueOf(publish(fleet, request)));
    LONGS_EQUAL(1, valueOf(publish(fleet, request))); // sent again: the same revision
    LONGS_EQUAL(1, fleet.storedHead.revision);
    STRCMP_EQUAL("operator of p1", findPublish(fleet.storedHead, "p1")->operatorName.c_str());
}

TEST(Publisher, RefusesABadWhole)
{
    LONGS_EQUAL(1, valueOf(publish(fleet, change("p1", serviceKey("a"), "{}"))));
    const auto result = publish(fleet, change("p2", serviceKey("b"), "bad"));
    CHECK(errorOf(result).code == ResultCode::SettingsClash);
    LONGS_EQUAL(1, fleet.storedHead.revision);
}

TEST(Publisher, RefusesAClashWithWhoAndWhatAndRebasesOverOthers)
{
    publish(fleet, change("p1", serviceKey("a"), "1"));
    PublishRequest slow = change("p3", serviceKey("a"), "3");
    slow.base = fleet.storedHead;
    PublishRequest other = change("p4", serviceKey("b"), "4");
    other.base = fleet.storedHead;
    publish(fleet, change("p2", serviceKey("a"), "2"));

    const auto refused = publish(fleet, slow);
    CHECK(errorOf(refused).code == ResultCode::PublishClash);
    STRCMP_CONTAINS("operator of p2", errorOf(refused).message.c_str());
    STRCMP_CONTAINS("services/a", errorOf(refused).message.c_str());
    LONGS_EQUAL(3, valueOf(publish(fleet, other)));
    STRCMP_EQUAL(contentHash("2").c_str(), fleet.storedHead.entries["services/a"].c_str());
}

TEST(Publisher, LostAnswerIsReadBack)
{
    Publisher publisher({}, change("p1", serviceKey("a"), "1"), checker, fleet.now);
    store.outcome = WriteOutcome::Unknown; // it took effect
    store.serve(publisher, fleet.now);
    CHECK(!publisher.outcome());
    fleet.now += 1s;
    publisher.tick(fleet.now);
    store.serve(publisher, fleet.now);
    LONGS_EQUAL(1, valueOf(*publisher.outcome()));
    LONGS_EQUAL(1, store.headWrites);
}

TEST(Publisher, WriteThatMayStillArriveIsNeverCalledRefused)
{
    Publisher publisher({}, change("p1", serviceKey("a"), "1"), checker, fleet.now);
    store.drop = true; // sent, no answer, no effect so far
    store.serve(publisher, fleet.now);
    fleet.now += 61s; // nothing was answered until the deadline
    publisher.tick(fleet.now);
    CHECK(errorOf(*publisher.outcome()).code == ResultCode::PlatformUnknownOutcome);

    Publisher never({}, change("p2", serviceKey("a"), "1"), checker, fleet.now);
    fleet.now += 61s;
    never.tick(fleet.now);
    CHECK(errorOf(*never.outcome()).code == ResultCode::PlatformUnavailable);
}

// The process that sent it was killed; its write may be under way or done.
TEST(Publisher, SecondProcessNeverCallsAnEarlierWriteRefused)
{
    PublishRequest request = change("p1", serviceKey("a"), "1");
    request.sentBefore = true;
    Publisher unanswered({}, request, checker, fleet.now);
    unanswered.tick(fleet.now + 61s);
    CHECK(errorOf(*unanswered.outcome()).code == ResultCode::PlatformUnknownOutcome);

    request.changes["services/b"] = "bad"; // refused, but the head is where the write expects it
    Publisher refused({}, request, checker, fleet.now);
    store.serve(refused, fleet.now);
    CHECK(errorOf(*refused.outcome()).code == ResultCode::PlatformUnknownOutcome);
}

TEST(Publisher, LateWriteRevertsNothing)
{
    Publisher publisher({}, change("p1", serviceKey("a"), "1"), checker, fleet.now);
    std::optional<WriteConfigHead> late;
    for (auto actions = publisher.takeActions(); !actions.empty();
         actions = publisher.takeActions()) {
        for (const PublisherAction &action : actions) {
            if (const auto *write = std::get_if<WriteConfigHead>(&action))
                late = *write; // under way for long
            else
                std::visit([&](const auto &each) { store.answer(publisher, each, fleet.now); },
                           action);
        }
    }
    LONGS_EQUAL(1, valueOf(publish(fleet, change("p2", serviceKey("b"), "2"))));
    CHECK(fleet.writeHead(late->expectedVersion, late->head) == WriteOutcome::Conflict);
    STRCMP_EQUAL("p2", fleet.storedHead.publishId.c_str());
    fleet.ignoresExpectedVersion = true; // ablation: without the condition it does
    fleet.writeHead(late->expectedVersion, late->head);
    STRCMP_EQUAL("p1", fleet.storedHead.publishId.c_str());
    CHECK(findPublish(fleet.storedHead, "p2") == nullptr);
}

// ---- Deltas -------------------------------------------------------------------------------------

TEST_GROUP(ConfigDelta) {};

TEST(ConfigDelta, LeadsFromAnyOlderRevisionToTheSameSnapshot)
{
    std::size_t runs = 0;
    CHECK(rc::check("delta from each older revision, or whole, gives the newest", [&] {
        ++runs;
        Fleet fleet(1, 1, 1);
        std::vector<ConfigSnapshot> snapshots { ConfigSnapshot {} };
        const int count = *rc::gen::inRange(1, 90);
        for (int number = 1; number <= count; ++number) {
            PublishRequest request = change("p" + std::to_string(number), "", "");
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
            // Half of it is never taken.
            ConfigDelta broken = makeDelta(newest, base.head.revision);
            if (!broken.texts.empty()) {
                broken.texts.begin()->second += "x";
                RC_ASSERT(!isOk(applyDelta(base, broken)));
            }
        }
    }));
    std::printf("%zu schedules\n", runs);
}

// ---- Keeper -------------------------------------------------------------------------------------

TEST_GROUP(ConfigKeeper) {};

// How a shell uses it is in fleetdriver.h: members, ticks, messages and answers in, actions out.
TEST(ConfigKeeper, InForceEverywhereWithFewWatchesAndWithinTheBytes)
{
    Fleet fleet(380, 8, 3);
    fleet.tickInterval = 500ms;
    fleet.runUntil(fleet.now + 120s);
    for (int service = 0; service < 50; ++service)
        publish(fleet,
                change("first" + std::to_string(service),
                       serviceKey("service-" + std::to_string(service)),
                       std::string(2000, static_cast<char>('a' + service % 26))));
    secondsUntilInForce(fleet, 50);
    fleet.runUntil(fleet.now + 30s);
    std::size_t watchers = 0;
    for (auto &[name, node] : fleet.nodes) {
        watchers += node.keeper->isWatcher() ? 1 : 0;
        node.bytes = 0;
    }
    const Instant start = fleet.now;
    double slowest = 0;
    for (std::uint64_t revision = 51; revision <= 53; ++revision) { // 4,900 a day: each 17.6 s
        publish(fleet,
                change("p" + std::to_string(revision), serviceKey("service-1"),
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
    // A watcher can tell who has what.
    for (const auto &[name, node] : fleet.nodes) {
        if (!node.keeper->isWatcher())
            continue;
        for (const auto &[reporter, report] : node.keeper->reports())
            LONGS_EQUAL(53, report.revision);
        CHECK(node.keeper->reports().size() >= 47);
    }
}

TEST(ConfigKeeper, NodeStartedDuringAnOutageGetsItFromAPeer)
{
    Fleet fleet(9, 3, 4);
    fleet.runUntil(fleet.now + 10s);
    publish(fleet, change("p1", serviceKey("a"), "1"));
    publish(fleet, change("p2", drainKey("engine-7"), "{}"));
    CHECK(secondsUntilInForce(fleet, 2) < 15);
    fleet.fault = [](const char *, const std::string &from, const std::string &to) {
        return Delivery { from == "store" || to == "store" ? 0 : 1 };
    };
    FleetNode &node = fleet.nodes.at("vm-4");
    fleet.kill(node);
    fleet.runUntil(fleet.now + 2s);
    fleet.start(node);
    LONGS_EQUAL(0, node.keeper->revision());
    CHECK(secondsUntilInForce(fleet, 2) < 15);
    CHECK(node.keeper->inForce().texts.contains(drainKey("engine-7")));
}

TEST(ConfigKeeper, ZoneCutFromTheStoreButNotFromPeers)
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
    publish(fleet, change("p1", serviceKey("a"), "1"));
    CHECK(secondsUntilInForce(fleet, 1) < 15);
}
