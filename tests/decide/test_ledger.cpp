#include "decide/ledger.h"
#include "fakeledgerstore.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <set>

using namespace burdock;
using namespace burdock::testing;

namespace {

const NodeIdentity Entry { "node-b", 2 };

/// One owner with a store that answers at once.
struct Owner
{
    explicit Owner(FakeLedgerStore &objects, LedgerSettings ledgerSettings = LedgerSettings(),
                   std::uint64_t incarnation = 1)
        : store(objects)
        , ledger({ "node-a", incarnation }, oneShard(ledgerSettings))
    {
        ledger.onLiveNodes({ { "node-a", incarnation } }, at());
        settle();
    }

    static LedgerSettings oneShard(LedgerSettings settings)
    {
        settings.shards = 1;
        return settings;
    }

    Instant at() const { return Instant(std::chrono::milliseconds(now)); }

    /// Ticks until nothing is left to do, and keeps the messages.
    void settle()
    {
        for (int step = 0; step < 12; ++step) {
            now += 100;
            ledger.tick(at(), wallClock);
            for (const LedgerAction &action : ledger.takeActions())
                std::visit([this](const auto &each) { carryOut(each); }, action);
        }
    }

    void carryOut(const SendToNode &action) { messages.push_back(action.message); }

    void carryOut(const ReadHead &action)
    {
        StoredHead found;
        const ObjectStatus status =
                down ? ObjectStatus::Unavailable : store.readHead(action.name, found);
        ledger.onHead(action.call, action.shard, status, found.version, found.head, at());
    }

    void carryOut(const WriteHead &action)
    {
        std::uint64_t version = 0;
        const ObjectStatus status =
                down ? ObjectStatus::Unavailable : store.writeHead(action, version);
        writes += status == ObjectStatus::Done ? 1 : 0;
        ledger.onWritten(action.call, action.shard, status, version, at());
    }

    void carryOut(const CreateSegment &action)
    {
        const ObjectStatus status = down ? ObjectStatus::Unavailable : store.createSegment(action);
        ledger.onWritten(action.call, action.shard, status, 1, at());
    }

    void carryOut(const ReadSegment &action)
    {
        std::vector<LedgerRecord> records;
        const ObjectStatus status = store.readSegment(action.name, records);
        ledger.onSegment(action.call, action.shard, status, records, at());
    }

    void carryOut(const ListSegments &action)
    {
        ledger.onSegmentList(action.call, action.shard, ObjectStatus::Done,
                             store.segmentNames(action.prefix), at());
    }

    void carryOut(const DeleteSegment &action) { store.deleteSegment(action.name); }

    /// Asks for a grant and waits. @return the reply
    AdmitReply admit(const std::string &key, const std::string &attempt,
                     std::uint64_t fingerprint = 1)
    {
        messages.clear();
        ledger.onAdmit(Admit { { "orders", key }, fingerprint, attempt, Entry }, at());
        settle();
        for (const LedgerMessage &message : messages) {
            const AdmitReply *reply = std::get_if<AdmitReply>(&message);
            if (reply != nullptr && reply->attempt == attempt)
                return *reply;
        }
        FAIL("an Admit got no reply");
        return {};
    }

    void answer(const std::string &key, const std::string &attempt)
    {
        ledger.onOutcome(Outcome { { "orders", key },
                                   1,
                                   attempt,
                                   Entry,
                                   OrderState::Answered,
                                   { 200, "text/plain", "done by " + attempt, false } },
                         at());
        settle();
    }

    FakeLedgerStore &store;
    Ledger ledger;
    std::int64_t now = 0;
    std::chrono::seconds wallClock { 1'000 };
    bool down = false;
    int writes = 0;
    std::vector<LedgerMessage> messages;
};

} // namespace

TEST_GROUP(Ledger) {};

// How it is used: an order is granted once; a resend gets the recorded answer, also from the next
// owner.
TEST(Ledger, Example)
{
    FakeLedgerStore store;
    Owner owner(store);
    CHECK(owner.admit("week-49", "attempt 1").verdict == AdmitVerdict::Granted);
    CHECK(owner.admit("week-49", "attempt 2").verdict == AdmitVerdict::Duplicate);
    owner.answer("week-49", "attempt 1");

    Owner next(store, LedgerSettings(), 2);
    const AdmitReply reply = next.admit("week-49", "attempt 3");
    CHECK(reply.verdict == AdmitVerdict::Duplicate);
    CHECK(reply.state == DuplicateState::Answered);
    STRCMP_EQUAL("done by attempt 1", reply.answer.body.c_str());
    CHECK(next.admit("week-49", "attempt 4", 2).verdict == AdmitVerdict::KeyReused);
}

TEST(Ledger, RequestsAreWrittenTogether)
{
    FakeLedgerStore store;
    Owner owner(store);
    owner.writes = 0;
    for (int number = 0; number < 500; ++number)
        owner.ledger.onAdmit(
                Admit { { "orders", std::to_string(number) }, 1, std::to_string(number), Entry },
                owner.at());
    owner.settle();
    LONGS_EQUAL(500, owner.messages.size());
    CHECK(owner.writes <= 2); // the orders, and the segment that they fill
}

TEST(Ledger, ReleasedOrderMayRunAgainAndASettledOneMayNot)
{
    FakeLedgerStore store;
    Owner owner(store);
    owner.admit("a", "attempt 1");
    owner.ledger.onRelease({ { "orders", "a" }, "attempt 1" }, owner.at());
    CHECK(owner.admit("a", "attempt 2").verdict == AdmitVerdict::Granted);
    owner.answer("a", "attempt 2");
    owner.ledger.onRelease({ { "orders", "a" }, "attempt 2" }, owner.at());
    CHECK(owner.admit("a", "attempt 3").verdict == AdmitVerdict::Duplicate);
}

TEST(Ledger, GrantOfALostNodeIsUnknownAndNeverGivenAgain)
{
    FakeLedgerStore store;
    Owner owner(store);
    owner.ledger.onLiveNodes({ { "node-a", 1 } }, owner.at());
    owner.admit("a", "attempt 1");
    const AdmitReply reply = owner.admit("a", "attempt 2");
    CHECK(reply.state == DuplicateState::OutcomeUnknown);
    owner.answer("a", "attempt 1"); // it was only slow
    CHECK(owner.admit("a", "attempt 3").state == DuplicateState::Answered);
}

TEST(Ledger, WithoutTheStoreSettledOrdersAreAnsweredAndNewOnesRefused)
{
    FakeLedgerStore store;
    Owner owner(store);
    owner.admit("a", "attempt 1");
    owner.answer("a", "attempt 1");
    owner.down = true;
    CHECK(owner.admit("b", "attempt 2").verdict == AdmitVerdict::Refused);
    CHECK(owner.admit("a", "attempt 3").state == DuplicateState::Answered);
    owner.now += 600'000;
    const AdmitReply late = owner.admit("c", "attempt 4");
    CHECK(late.verdict == AdmitVerdict::Refused);
    CHECK(late.retryAfter == LedgerSettings().retryAfterMax);
    owner.down = false;
    owner.now += 1'000;
    CHECK(owner.admit("b", "attempt 5").verdict == AdmitVerdict::Granted);
}

TEST(Ledger, AnswersThatAreTooLargeAreMarkedAndNotCut)
{
    LedgerSettings settings;
    settings.answerBytes = 4;
    FakeLedgerStore store;
    Owner owner(store, settings);
    owner.admit("a", "attempt 1");
    owner.answer("a", "attempt 1");
    const AdmitReply reply = owner.admit("a", "attempt 2");
    CHECK(reply.answer.bodyOmitted);
    CHECK(reply.answer.body.empty());
}

TEST(Ledger, RecordsExpireAfterTheRetention)
{
    LedgerSettings settings;
    settings.recentBytes = 100;
    settings.recentBatches = 0;
    FakeLedgerStore store;
    Owner owner(store, settings);
    for (int number = 0; number < 20; ++number) {
        owner.admit(std::to_string(number), "attempt " + std::to_string(number));
        owner.answer(std::to_string(number), "attempt " + std::to_string(number));
    }
    CHECK(!store.segmentNames("ledger/0/segments/").empty());
    owner.wallClock += settings.retention + std::chrono::seconds(1);
    owner.settle();
    CHECK(owner.admit("3", "attempt 99").verdict == AdmitVerdict::Granted);
    CHECK(store.segmentNames("ledger/0/segments/").size() <= 1);
}

TEST(Ledger, AFullShardRefuses)
{
    LedgerSettings settings;
    settings.maxRecords = 2;
    FakeLedgerStore store;
    Owner owner(store, settings);
    owner.admit("a", "attempt 1");
    owner.admit("b", "attempt 2");
    CHECK(owner.admit("c", "attempt 3").verdict == AdmitVerdict::Refused);
    CHECK(owner.admit("a", "attempt 4").verdict == AdmitVerdict::Duplicate);
}

TEST(Ledger, LostSegmentsAreDeleted)
{
    FakeLedgerStore store;
    store.createSegment({ 0, 0, "ledger/0/segments/left-behind", {} });
    Owner owner(store);
    owner.admit("a", "attempt 1");
    LONGS_EQUAL(0, store.segmentNames("ledger/0/segments/").size());
}

// Whatever happens to a shard, the next owner reads the state that the last one had.
TEST(Ledger, NextOwnerReadsTheSameState)
{
    const auto property = [] {
        LedgerSettings settings;
        settings.recentBytes = *rc::gen::inRange<std::size_t>(50, 2'000);
        settings.recentBatches = 0;
        settings.segmentBytes = *rc::gen::inRange<std::size_t>(200, 5'000);
        FakeLedgerStore store;
        Owner owner(store, settings);
        const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 12), rc::gen::inRange(0, 3)));
        int number = 0;
        for (const auto &[key, what] : steps) {
            const std::string name = std::to_string(key);
            const OrderKey order { "orders", name };
            const LedgerRecord *known = owner.ledger.record(order);
            if (known == nullptr || what == 0)
                owner.admit(name, "attempt " + std::to_string(++number));
            else if (what == 1)
                owner.answer(name, known->attempt);
            else
                owner.ledger.onRelease({ order, known->attempt }, owner.at());
        }
        owner.settle();
        Owner next(store, settings, 2);
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
    CHECK(rc::check("the next owner reads the same state", property));
}
