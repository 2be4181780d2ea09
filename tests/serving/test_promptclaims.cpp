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

TEST(PromptClaims, OfTwoNodesExactlyOneGoesOn)
{
    const std::uint64_t one = makeTicket(1, 7);
    const std::uint64_t other = makeTicket(1, 9);
    PromptClaims atOther;
    claims.onClaim("r", other, Start + 2ms);
    atOther.onClaim("r", one, Start + 2ms);
    CHECK(!claims.isBeaten("r", one, Start));
    CHECK(atOther.isBeaten("r", other, Start + 1ms));
}

TEST(PromptClaims, TheMoreUrgentGoesFirst)
{
    claims.onClaim("r", makeTicket(0, 0xffff'ffff), Start + 1ms);
    CHECK(claims.isBeaten("r", makeTicket(1, 0), Start));
}

TEST(PromptClaims, EarlierClaimsAndOtherReplicasDoNotCount)
{
    claims.onClaim("r", makeTicket(0, 1), Start - 1ms); // the choice took it into account
    claims.onClaim("s", makeTicket(0, 1), Start + 1ms);
    CHECK(!claims.isBeaten("r", makeTicket(0, 2), Start));
}

TEST(PromptClaims, OldClaimsAreForgottenOnesInUseAreNot)
{
    claims.onClaim("r", makeTicket(0, 1), Start);
    claims.tick(Start + ClaimWait);
    CHECK(claims.isBeaten("r", makeTicket(0, 2), Start));
    claims.tick(Start + 1s);
    CHECK(!claims.isBeaten("r", makeTicket(0, 2), Start));
}
