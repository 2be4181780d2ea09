#include "serving/promptclaims.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

} // namespace

TEST_GROUP(PromptClaims)
{
    PromptClaims claims;
};

TEST(PromptClaims, ExactlyOneOfTwoSimultaneousClaimsIsOutranked)
{
    const std::uint64_t lowerTicket = makeTicket(1, 7);
    const std::uint64_t higherTicket = makeTicket(1, 9);
    PromptClaims claimsOfOtherNode;
    claims.onClaim("r", higherTicket, Start + 2ms);
    claimsOfOtherNode.onClaim("r", lowerTicket, Start + 2ms);
    CHECK(!claims.isOutranked("r", lowerTicket, Start));
    CHECK(claimsOfOtherNode.isOutranked("r", higherTicket, Start + 1ms));
}

TEST(PromptClaims, MoreUrgentRequestHasPrecedence)
{
    claims.onClaim("r", makeTicket(0, 0xffff'ffff), Start + 1ms);
    CHECK(claims.isOutranked("r", makeTicket(1, 0), Start));
}

TEST(PromptClaims, IgnoresEarlierClaimsAndOtherReplicas)
{
    claims.onClaim("r", makeTicket(0, 1), Start - 1ms); // known when the replica was chosen
    claims.onClaim("s", makeTicket(0, 1), Start + 1ms);
    CHECK(!claims.isOutranked("r", makeTicket(0, 2), Start));
}

TEST(PromptClaims, TickRemovesOnlyExpiredClaims)
{
    claims.onClaim("r", makeTicket(0, 1), Start);
    claims.tick(Start + ClaimWait);
    CHECK(claims.isOutranked("r", makeTicket(0, 2), Start));
    claims.tick(Start + 1s);
    CHECK(!claims.isOutranked("r", makeTicket(0, 2), Start));
}
