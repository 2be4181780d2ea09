// When a new holder of the placement lease may give orders, over processes that end before they do.
#include "edge/orderturn.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };
constexpr Duration Turn = 3'500ms;
using LeaseState = OrderTurn::LeaseState;

/// A holder that has given its last order just now.
OrderTurn holderOrderingAt(Instant now)
{
    OrderTurn holder(Turn, Start - 100s);
    holder.onLeaseRead({ 1, 1 }, LeaseState::Lapses, {}, now - 50s);
    holder.onTaken(now - 50s);
    holder.onOrder(now);
    return holder;
}

} // namespace

TEST_GROUP(OrderTurn) {};

TEST(OrderTurn, ALapsedLeaseNeedsNoWait)
{
    OrderTurn holder(Turn, Start);
    holder.onLeaseRead({ 1, 5 }, LeaseState::Lapses, {}, Start);
    holder.onTaken(Start + 6s);
    CHECK(holder.mayOrder(Start + 6s));
    CHECK(holder.othersIdle(true, Start + 6s) == Turn);
}

// Guards against a holder that forgets its wait: it was killed after it took a lease that was given
// back, and its next process found its own name in the lease.
TEST(OrderTurn, AProcessThatRestartsAsTheHolderKeepsTheWait)
{
    const Duration given = holderOrderingAt(Start).idle(Start + 100ms);
    OrderTurn second(Turn, Start - 100s);
    second.onLeaseRead({ 1, 8 }, LeaseState::Free, given, Start + 200ms);
    const Duration stated = second.othersIdle(false, Start + 200ms);
    second.onTaken(Start + 210ms);
    CHECK(!second.mayOrder(Start + 3s));

    OrderTurn restarted(Turn, Start + 700ms);
    restarted.onLeaseRead({ 1, 9 }, LeaseState::Free, stated, Start + 800ms);
    restarted.onTaken(Start + 800ms);
    CHECK(!restarted.mayOrder(Start + Turn - 1ms));
    CHECK(restarted.mayOrder(Start + Turn + 800ms));
}

// Guards against a released lease that forgets the order of the holder before the last, as in a
// rolling restart: its last holder was stopped before it gave any.
TEST(OrderTurn, ALeaseThatChangesHandsTwiceKeepsTheFirstHoldersOrder)
{
    OrderTurn second(Turn, Start - 100s);
    second.onLeaseRead({ 1, 8 }, LeaseState::Free, holderOrderingAt(Start).idle(Start + 100ms),
                       Start + 200ms);
    second.onTaken(Start + 210ms);
    const Duration given = second.idle(Start + 1s);
    CHECK(given <= 1s);

    OrderTurn third(Turn, Start - 100s);
    third.onLeaseRead({ 1, 9 }, LeaseState::Free, given, Start + 1'100ms);
    third.onTaken(Start + 1'110ms);
    CHECK(!third.mayOrder(Start + Turn - 1ms));
    CHECK(third.mayOrder(Start + Turn + 1s));
}

TEST(OrderTurn, AHolderThatHasHeldForATurnIsFreeToRestart)
{
    const OrderTurn holder = holderOrderingAt(Start);
    OrderTurn restarted(Turn, Start + 700ms);
    restarted.onLeaseRead({ 1, 9 }, LeaseState::Free, holder.othersIdle(true, Start),
                          Start + 800ms);
    restarted.onTaken(Start + 800ms);
    CHECK(restarted.mayOrder(Start + 800ms));
}

// Guards against a holder that takes itself for the first one, since an older copy of the store has
// no lease.
TEST(OrderTurn, OrdersThatReplicasHadBeforeCostATurn)
{
    OrderTurn holder(Turn, Start);
    holder.onLeaseRead({ 2, 0 }, LeaseState::Lapses, {}, Start);
    holder.onTaken(Start);
    CHECK(holder.mayOrder(Start));
    holder.onEarlierOrders(Start + 100ms);
    CHECK(!holder.mayOrder(Start + Turn));
    CHECK(holder.mayOrder(Start + Turn + 100ms));
}

// A candidate that reads a released lease again and again waited from the last time.
TEST(OrderTurn, ALeaseReadAgainSaysNothingNew)
{
    OrderTurn candidate(Turn, Start - 100s);
    for (const Duration after : { 0s, 1s, 2s, 3s })
        candidate.onLeaseRead({ 1, 8 }, LeaseState::Free, 500ms, Start + after);
    candidate.onTaken(Start + 3s);
    CHECK(candidate.mayOrder(Start + 3s));
}
