// The number of orders that a replica has accepted, as its answers and reports show it.
#include "placing/ordercount.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Later { 1'000s };

EngineCommand adapterOrder(bool load, const std::string &adapter, std::uint64_t number)
{
    EngineCommand command;
    command.load = load;
    command.model = "m";
    command.adapter = adapter;
    command.ordersAccepted = number;
    return command;
}

EngineReport reportOf(std::uint64_t number, std::vector<std::string> adapters)
{
    EngineReport report;
    report.ordersAccepted = number;
    report.models = { { "m", std::move(adapters) } };
    return report;
}

} // namespace

TEST_GROUP(OrderCount)
{
    OrderCount orders;
};

TEST(OrderCount, AnUnloadOfAnAdapterThatIsThereCounts)
{
    orders.onReport(reportOf(4, { "a1" }));
    CHECK(orders.onAlreadyDone(adapterOrder(false, "a1", 4)));
    CHECK(orders.isKnown());
    CHECK_EQUAL(5U, orders.accepted());
    orders.onAccepted(adapterOrder(true, "a2", 5));
    CHECK(orders.onAlreadyDone(adapterOrder(false, "a2", 6)));
    CHECK_EQUAL(7U, orders.accepted());
}

// Guards against the count of an order that changed nothing.
TEST(OrderCount, AnUnloadOfAnAdapterThatMayBeGoneMakesTheNumberUncertain)
{
    orders.onReport(reportOf(4, { "a1" }));
    orders.onAlreadyDone(adapterOrder(false, "a1", 4));
    CHECK(!orders.onAlreadyDone(adapterOrder(false, "a1", 5))); // a listing still showed it
    CHECK(!orders.isKnown());
    CHECK_EQUAL(5U, orders.accepted());
}

TEST(OrderCount, AdaptersGoWithTheirModel)
{
    orders.onReport(reportOf(4, { "a1" }));
    orders.onAccepted(adapterOrder(false, "", 4));
    CHECK(!orders.onAlreadyDone(adapterOrder(false, "a1", 5)));
}

// Guards against a late order that is carried out on a state that nobody planned it for.
TEST(OrderCount, AnOrderWithoutAnAnswerCountsWhileTheReplicaIsBelowItsNumber)
{
    orders.onReport(reportOf(4, {}));
    orders.onUnanswered(adapterOrder(true, "a1", 4), Later);
    CHECK(!orders.isKnown());
    orders.onReport(reportOf(4, {}));
    CHECK(orders.hasUnanswered());
    CHECK(orders.lateLoads().empty()); // the next order names the same number: one of both counts
    orders.onNewProcess();
    orders.onReport(reportOf(2, {}));
    CHECK_EQUAL(1U, orders.lateLoads().size());
    orders.onReport(reportOf(5, {}));
    CHECK(orders.lateLoads().empty());
    orders.onNewProcess();
    CHECK_EQUAL(1U, orders.lateLoads().size());
}

TEST(OrderCount, AnOrderWithoutAnAnswerIsForgottenInTime)
{
    orders.onUnanswered(adapterOrder(true, "a1", 4), Later);
    orders.expire(Later - 1ms);
    CHECK(orders.hasUnanswered());
    orders.expire(Later);
    CHECK(!orders.hasUnanswered());
}
