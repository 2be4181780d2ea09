// When a holder of the placement lease may begin to give orders.
#include "edge/copyshell.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant ReadAt { 1'000s };
constexpr Duration Turn = 3'500ms;

} // namespace

TEST_GROUP(CopyShell) {};

// A new holder waited a whole turn although the one before had given no order for longer than that.
TEST(CopyShell, TimeWithoutOrdersBeforeTheReleaseCountsForTheNextHolder)
{
    CHECK(firstOrderAfterRelease(ReadAt, 8s, Turn) == ReadAt);
    CHECK(firstOrderAfterRelease(ReadAt, 1s, Turn) == ReadAt + 2'500ms);
}

TEST(CopyShell, ReleaseRightAfterAnOrderCostsAWholeTurn)
{
    CHECK(firstOrderAfterRelease(ReadAt, 0s, Turn) == ReadAt + Turn);
}
