#include "serving/fairshare.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

} // namespace

TEST_GROUP(FairShare)
{
    FairShare share;
};

TEST(FairShare, StartsCountHalfAfterTheHalfLife)
{
    share.onStarted("a", 100.0, Start);
    share.onStarted("a", 100.0, Start + 1s);
    CHECK_EQUAL(150.0, share.startedLately("a", Start + 1s));
    CHECK_EQUAL(75.0, share.startedLately("a", Start + 2s));
    CHECK_EQUAL(0.0, share.startedLately("b", Start));
}

// Guards against state that grows with all organisations ever seen.
TEST(FairShare, KeepsOnlyOrganisationsWithRecentStarts)
{
    for (int i = 0; i < 10'000; ++i) {
        const Instant now = Start + i * 100ms;
        share.onStarted(std::to_string(i), 1'000.0, now);
        share.tick(now);
    }
    CHECK(share.size() <= 120); // 1,000 tokens count as none after eleven seconds
}
