#include "decide/orderclient.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;

namespace {

const NodeIdentity Self { "node-a", 7 };
const OrderKey Order { "orders", "week-49" };

Instant at(std::int64_t milliseconds)
{
    return Instant(std::chrono::milliseconds(milliseconds));
}

OrderClient makeClient()
{
    OrderClient client(Self, OrderClientSettings());
    client.onLiveNodes({ Self, { "node-b", 8 } }, at(0));
    return client;
}

AdmitReply makeReply(const std::string &attempt, AdmitVerdict verdict)
{
    AdmitReply reply;
    reply.order = Order;
    reply.attempt = attempt;
    reply.verdict = verdict;
    return reply;
}

/// @return the first action of type T, or null
template <typename T>
const T *find(const std::vector<OrderAction> &actions)
{
    for (const OrderAction &action : actions) {
        if (const T *found = std::get_if<T>(&action))
            return found;
    }
    return nullptr;
}

/// @return whether the first message sent is of type T
template <typename T>
bool sends(const std::vector<OrderAction> &actions)
{
    const SendToNode *send = find<SendToNode>(actions);
    return send != nullptr && std::holds_alternative<T>(send->message);
}

} // namespace

TEST_GROUP(OrderClient) {};

// Basic use: one order from the caller's request to its recorded outcome.
TEST(OrderClient, RunsAGrantedOrderAndResendsTheOutcomeUntilAcknowledged)
{
    OrderClient client = makeClient();
    const std::string attempt = client.begin(Order, 1, at(2'000), at(0));
    CHECK(sends<Admit>(client.takeActions()));

    client.onMessage(makeReply(attempt, AdmitVerdict::Granted), at(10));
    const std::vector<OrderAction> granted = client.takeActions();
    STRCMP_EQUAL(attempt.c_str(), find<RunOrder>(granted)->attempt.c_str());

    client.onAnswered(attempt, { 201, "application/json", "{}", false }, at(60));
    CHECK(sends<Outcome>(client.takeActions()));
    client.tick(at(1'000)); // no acknowledgement arrived: the outcome is resent
    CHECK(sends<Outcome>(client.takeActions()));
    client.onMessage(OutcomeAck { Order, attempt }, at(1'010));
    LONGS_EQUAL(0, client.attempts().size());
}

TEST(OrderClient, RepeatedGrantRunsTheOrderOnce)
{
    OrderClient client = makeClient();
    const std::string attempt = client.begin(Order, 1, at(2'000), at(0));
    client.onMessage(makeReply(attempt, AdmitVerdict::Granted), at(10));
    client.takeActions();
    client.onMessage(makeReply(attempt, AdmitVerdict::Granted), at(11));
    CHECK(find<RunOrder>(client.takeActions()) == nullptr);
}

TEST(OrderClient, GrantForAnAbandonedAttemptIsReleasedAndNotUsed)
{
    OrderClient client = makeClient();
    const std::string attempt = client.begin(Order, 1, at(2'000), at(0));
    client.tick(at(2'000));
    std::vector<OrderAction> actions = client.takeActions();
    CHECK(find<RespondToCaller>(actions)->verdict == OrderVerdict::NotRun);
    client.onMessage(makeReply(attempt, AdmitVerdict::Granted), at(2'100));
    actions = client.takeActions();
    CHECK(find<RunOrder>(actions) == nullptr);
    CHECK(sends<Release>(actions));
}

// A process that was suspended past the deadline of an attempt may handle the grant before its next
// tick.
TEST(OrderClient, GrantAfterTheDeadlineIsNotUsed)
{
    OrderClient client = makeClient();
    const std::string attempt = client.begin(Order, 1, at(2'000), at(0));
    client.takeActions();
    client.onMessage(makeReply(attempt, AdmitVerdict::Granted), at(9'000));
    const std::vector<OrderAction> actions = client.takeActions();
    CHECK(find<RunOrder>(actions) == nullptr);
    CHECK(find<RespondToCaller>(actions)->verdict == OrderVerdict::NotRun);
}

// An earlier incarnation of this node may have sent the order, so its grant must not be released.
TEST(OrderClient, GrantOfAnEarlierIncarnationIsNotReleased)
{
    OrderClient client = makeClient();
    client.onMessage(makeReply("node-a/0000000000000006/1", AdmitVerdict::Granted), at(10));
    LONGS_EQUAL(0, client.takeActions().size());
}

TEST(OrderClient, ReportsTheVerdictOfTheOwnerToTheCaller)
{
    struct Row
    {
        AdmitVerdict verdict;
        DuplicateState state;
        OrderVerdict expected;
    };
    const Row rows[] = {
        { AdmitVerdict::Duplicate, DuplicateState::InProgress, OrderVerdict::InProgress },
        { AdmitVerdict::Duplicate, DuplicateState::OutcomeUnknown, OrderVerdict::OutcomeUnknown },
        { AdmitVerdict::Duplicate, DuplicateState::Answered, OrderVerdict::Recorded },
        { AdmitVerdict::KeyReused, DuplicateState::InProgress, OrderVerdict::KeyReused },
        { AdmitVerdict::Refused, DuplicateState::InProgress, OrderVerdict::NotRun },
    };
    for (const Row &row : rows) {
        OrderClient client = makeClient();
        AdmitReply reply = makeReply(client.begin(Order, 1, at(2'000), at(0)), row.verdict);
        reply.state = row.state;
        client.takeActions();
        client.onMessage(reply, at(10));
        CHECK(find<RespondToCaller>(client.takeActions())->verdict == row.expected);
        LONGS_EQUAL(0, client.attempts().size());
    }
}

TEST(OrderClient, ReleasesAnUnsentOrderAndReportsALostResponseAsUnknownOutcome)
{
    OrderClient client = makeClient();
    const std::string refused = client.begin(Order, 1, at(2'000), at(0));
    const std::string lost = client.begin(Order, 1, at(2'000), at(0));
    client.onMessage(makeReply(refused, AdmitVerdict::Granted), at(10));
    client.onMessage(makeReply(lost, AdmitVerdict::Granted), at(10));
    client.takeActions();
    client.onNotSent(refused);
    std::vector<OrderAction> actions = client.takeActions();
    CHECK(sends<Release>(actions));
    CHECK(find<RespondToCaller>(actions)->verdict == OrderVerdict::NotRun);
    client.onLost(lost, at(20));
    actions = client.takeActions();
    CHECK(sends<Outcome>(actions));
    CHECK(find<RespondToCaller>(actions)->verdict == OrderVerdict::OutcomeUnknown);
}

TEST(OrderClient, LimitsResendsWhenTwoNodesNameEachOtherAsOwner)
{
    OrderClient client = makeClient();
    const std::string attempt = client.begin(Order, 1, at(2'000), at(0));
    int sent = 0;
    for (std::int64_t time = 0; time < 2'000; ++time) {
        const std::string owner = client.attempts().at(attempt).owner;
        client.onMessage(NotOwner { Order, attempt, owner == "node-a" ? "node-b" : "node-a" },
                         at(time));
        client.tick(at(time));
        sent += sends<Admit>(client.takeActions()) ? 1 : 0;
    }
    CHECK(sent <= 2'000 / 150 + 1);
}

TEST(OrderClient, RefusesAttemptsAboveTheMaximumImmediately)
{
    OrderClientSettings settings;
    settings.maxAttempts = 1;
    OrderClient client(Self, settings);
    client.onLiveNodes({ Self }, at(0));
    client.begin(Order, 1, at(2'000), at(0));
    client.takeActions();
    client.begin(Order, 1, at(2'000), at(0));
    const std::vector<OrderAction> actions = client.takeActions();
    CHECK(find<RespondToCaller>(actions)->verdict == OrderVerdict::NotRun);
    LONGS_EQUAL(1, client.attempts().size());
}
