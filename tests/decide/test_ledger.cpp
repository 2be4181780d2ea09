#include "decide/ledger.h"
#include "fakeledgerstore.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <set>

using namespace burdock;
using namespace burdock::testing;

namespace {

const NodeIdentity Entry { "node-b", 2 };

/// The owner of a single shard, with a store that completes every call immediately.
struct TestOwner
{
    explicit TestOwner(FakeLedgerStore &objectStore,
                       LedgerSettings ledgerSettings = LedgerSettings(),
                       std::uint64_t incarnation = 1)
        : store(objectStore)
        , ledger({ "node-a", incarnation }, oneShard(ledgerSettings))
    {
        ledger.onLiveNodes({ { "node-a", incarnation } }, nowInstant());
        runUntilIdle();
    }

    static LedgerSettings oneShard(LedgerSettings settings)
    {
        settings.shards = 1;
        return settings;
    }

    Instant nowInstant() const { return Instant(std::chrono::milliseconds(nowMs)); }

    /// Ticks until all pending work is done and collects the messages sent.
    void runUntilIdle()
    {
        for (int step = 0; step < 12; ++step) {
            nowMs += 100;
            ledger.tick(nowInstant(), wallClock);
            for (const LedgerAction &action : ledger.takeActions())
                std::visit([this](const auto &concreteAction) { carryOut(concreteAction); },
                           action);
        }
    }

    void carryOut(const SendToNode &action) { messages.push_back(action.message); }

    void carryOut(const ReadHead &action)
    {
        StoredHead found;
        const ObjectStatus status =
                storeDown ? ObjectStatus::Unavailable : store.readHead(action.name, found);
        ledger.onHead(action.call, action.shard, status, found.version, found.head, nowInstant());
    }

    void carryOut(const WriteHead &action)
    {
        std::uint64_t version = 0;
        const ObjectStatus status =
                storeDown ? ObjectStatus::Unavailable : store.writeHead(action, version);
        writes += status == ObjectStatus::Done ? 1 : 0;
        ledger.onWritten(action.call, action.shard, status, version, nowInstant());
    }

    void carryOut(const CreateSegment &action)
    {
        const ObjectStatus status =
                storeDown ? ObjectStatus::Unavailable : store.createSegment(action);
        ledger.onWritten(action.call, action.shard, status, 1, nowInstant());
    }

    void carryOut(const ReadSegment &action)
    {
        std::vector<LedgerRecord> records;
        const ObjectStatus status = store.readSegment(action.name, records);
        ledger.onSegment(action.call, action.shard, status, records, nowInstant());
    }

    void carryOut(const ListSegments &action)
    {
        ledger.onSegmentList(action.call, action.shard, ObjectStatus::Done,
                             store.segmentNames(action.prefix), nowInstant());
    }

    void carryOut(const DeleteSegment &action) { store.deleteSegment(action.name); }

    /// Requests a grant and runs until idle.
    /// @return the reply
    AdmitReply admit(const std::string &key, const std::string &attempt,
                     std::uint64_t fingerprint = 1)
    {
        messages.clear();
        ledger.onAdmit(Admit { { "orders", key }, fingerprint, attempt, Entry }, nowInstant());
        runUntilIdle();
        for (const LedgerMessage &message : messages) {
            const AdmitReply *reply = std::get_if<AdmitReply>(&message);
            if (reply != nullptr && reply->attempt == attempt)
                return *reply;
        }
        FAIL("no AdmitReply arrived for the attempt");
        return {};
    }

    /// Reports that the attempt received a response, and runs until idle.
    void reportResponse(const std::string &key, const std::string &attempt)
    {
        ledger.onOutcome(Outcome { { "orders", key },
                                   1,
                                   attempt,
                                   Entry,
                                   OrderState::Answered,
                                   { 200, "text/plain", "done by " + attempt, false } },
                         nowInstant());
        runUntilIdle();
    }

    FakeLedgerStore &store;
    Ledger ledger;
    std::int64_t nowMs = 0;
    std::chrono::seconds wallClock { 1'000 };
    bool storeDown = false;
    int writes = 0;
    std::vector<LedgerMessage> messages;
};

} // namespace

TEST_GROUP(Ledger) {};

// Basic use: an order is granted once; a resend receives the recorded response, also from the next
// owner.
TEST(Ledger, GrantsOnceAndRepliesToResendsWithTheRecordedResponse)
{
    FakeLedgerStore store;
    TestOwner owner(store);
    CHECK(owner.admit("week-49", "attempt 1").verdict == AdmitVerdict::Granted);
    CHECK(owner.admit("week-49", "attempt 2").verdict == AdmitVerdict::Duplicate);
    owner.reportResponse("week-49", "attempt 1");

    TestOwner next(store, LedgerSettings(), 2);
    const AdmitReply reply = next.admit("week-49", "attempt 3");
    CHECK(reply.verdict == AdmitVerdict::Duplicate);
    CHECK(reply.state == DuplicateState::Answered);
    STRCMP_EQUAL("done by attempt 1", reply.answer.body.c_str());
    CHECK(next.admit("week-49", "attempt 4", 2).verdict == AdmitVerdict::KeyReused);
}

TEST(Ledger, CommitsManyRequestsInAtMostTwoWrites)
{
    FakeLedgerStore store;
    TestOwner owner(store);
    owner.writes = 0;
    for (int number = 0; number < 500; ++number)
        owner.ledger.onAdmit(
                Admit { { "orders", std::to_string(number) }, 1, std::to_string(number), Entry },
                owner.nowInstant());
    owner.runUntilIdle();
    LONGS_EQUAL(500, owner.messages.size());
    CHECK(owner.writes <= 2); // one for the orders, one that lists the segment they fill
}

TEST(Ledger, GrantsAReleasedOrderAgainButNotAnAnsweredOne)
{
    FakeLedgerStore store;
    TestOwner owner(store);
    owner.admit("a", "attempt 1");
    owner.ledger.onRelease({ { "orders", "a" }, "attempt 1" }, owner.nowInstant());
    CHECK(owner.admit("a", "attempt 2").verdict == AdmitVerdict::Granted);
    owner.reportResponse("a", "attempt 2");
    owner.ledger.onRelease({ { "orders", "a" }, "attempt 2" }, owner.nowInstant());
    CHECK(owner.admit("a", "attempt 3").verdict == AdmitVerdict::Duplicate);
}

TEST(Ledger, ReportsUnknownOutcomeForGrantOfDeadNodeAndNeverGrantsAgain)
{
    FakeLedgerStore store;
    TestOwner owner(store);
    owner.ledger.onLiveNodes({ { "node-a", 1 } }, owner.nowInstant());
    owner.admit("a", "attempt 1");
    const AdmitReply reply = owner.admit("a", "attempt 2");
    CHECK(reply.state == DuplicateState::OutcomeUnknown);
    owner.reportResponse("a", "attempt 1"); // the node was slow, not dead
    CHECK(owner.admit("a", "attempt 3").state == DuplicateState::Answered);
}

TEST(Ledger, DuringStoreOutageRepliesForRecordedOrdersAndRefusesNewOnes)
{
    FakeLedgerStore store;
    TestOwner owner(store);
    owner.admit("a", "attempt 1");
    owner.reportResponse("a", "attempt 1");
    owner.storeDown = true;
    CHECK(owner.admit("b", "attempt 2").verdict == AdmitVerdict::Refused);
    CHECK(owner.admit("a", "attempt 3").state == DuplicateState::Answered);
    owner.nowMs += 600'000;
    const AdmitReply late = owner.admit("c", "attempt 4");
    CHECK(late.verdict == AdmitVerdict::Refused);
    CHECK(late.retryAfter == LedgerSettings().maxRetryAfter);
    owner.storeDown = false;
    owner.nowMs += 1'000;
    CHECK(owner.admit("b", "attempt 5").verdict == AdmitVerdict::Granted);
}

TEST(Ledger, OmitsBodiesThatAreTooLargeInsteadOfTruncatingThem)
{
    LedgerSettings settings;
    settings.maxRecordedBodyBytes = 4;
    FakeLedgerStore store;
    TestOwner owner(store, settings);
    owner.admit("a", "attempt 1");
    owner.reportResponse("a", "attempt 1");
    const AdmitReply reply = owner.admit("a", "attempt 2");
    CHECK(reply.answer.bodyOmitted);
    CHECK(reply.answer.body.empty());
}

TEST(Ledger, RecordsExpireAfterTheRetention)
{
    LedgerSettings settings;
    settings.segmentThresholdBytes = 100;
    settings.segmentThresholdBatches = 0;
    FakeLedgerStore store;
    TestOwner owner(store, settings);
    for (int number = 0; number < 20; ++number) {
        owner.admit(std::to_string(number), "attempt " + std::to_string(number));
        owner.reportResponse(std::to_string(number), "attempt " + std::to_string(number));
    }
    CHECK(!store.segmentNames("ledger/0/segments/").empty());
    owner.wallClock += settings.retention + std::chrono::seconds(1);
    owner.runUntilIdle();
    CHECK(owner.admit("3", "attempt 99").verdict == AdmitVerdict::Granted);
    CHECK(store.segmentNames("ledger/0/segments/").size() <= 1);
}

TEST(Ledger, FullShardRefusesNewOrders)
{
    LedgerSettings settings;
    settings.maxRecords = 2;
    FakeLedgerStore store;
    TestOwner owner(store, settings);
    owner.admit("a", "attempt 1");
    owner.admit("b", "attempt 2");
    CHECK(owner.admit("c", "attempt 3").verdict == AdmitVerdict::Refused);
    CHECK(owner.admit("a", "attempt 4").verdict == AdmitVerdict::Duplicate);
}

TEST(Ledger, DeletesOrphanedSegments)
{
    FakeLedgerStore store;
    store.createSegment({ 0, 0, "ledger/0/segments/left-behind", {} });
    TestOwner owner(store);
    owner.admit("a", "attempt 1");
    LONGS_EQUAL(0, store.segmentNames("ledger/0/segments/").size());
}

// After any sequence of admits, outcomes and releases, the next owner loads the state of the
// previous owner.
TEST(Ledger, NextOwnerLoadsTheSameState)
{
    const auto property = [] {
        LedgerSettings settings;
        settings.segmentThresholdBytes = *rc::gen::inRange<std::size_t>(50, 2'000);
        settings.segmentThresholdBatches = 0;
        settings.maxSegmentBytes = *rc::gen::inRange<std::size_t>(200, 5'000);
        FakeLedgerStore store;
        TestOwner owner(store, settings);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 3)));
        int number = 0;
        for (const auto &[key, operation] : steps) {
            const std::string name = std::to_string(key);
            const OrderKey order { "orders", name };
            const LedgerRecord *known = owner.ledger.record(order);
            if (known == nullptr || operation == 0)
                owner.admit(name, "attempt " + std::to_string(++number));
            else if (operation == 1)
                owner.reportResponse(name, known->attempt);
            else
                owner.ledger.onRelease({ order, known->attempt }, owner.nowInstant());
        }
        owner.runUntilIdle();
        TestOwner next(store, settings, 2);
        for (int key = 0; key < 12; ++key) {
            const OrderKey order { "orders", std::to_string(key) };
            const LedgerRecord *before = owner.ledger.record(order);
            const LedgerRecord *after = next.ledger.record(order);
            RC_ASSERT((before == nullptr) == (after == nullptr));
            if (before == nullptr)
                continue;
            RC_ASSERT(before->attempt == after->attempt);
            RC_ASSERT(before->state == after->state);
            RC_ASSERT(before->answer == after->answer);
        }
    };
    CHECK(rc::check("the next owner loads the same state", property));
}
