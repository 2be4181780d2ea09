#include "serving/promptclaims.h"

#include <algorithm>

namespace burdock {

namespace {

// A claim is compared only until the ClaimWait of this node's own claim is over.
constexpr Duration ClaimRetention = 4 * ClaimWait;

} // namespace

std::uint64_t makeTicket(int priority, std::uint32_t tieBreaker)
{
    constexpr int TieBreakerBits = 32;
    return static_cast<std::uint64_t>(std::max(0, priority)) << TieBreakerBits | tieBreaker;
}

void PromptClaims::onClaim(const std::string &replica, std::uint64_t ticket, Instant now)
{
    m_claims[replica].push_back({ ticket, now });
}

bool PromptClaims::isOutranked(const std::string &replica, std::uint64_t ticket,
                               Instant claimedAt) const
{
    const auto found = m_claims.find(replica);
    return found != m_claims.end()
            && std::any_of(found->second.begin(), found->second.end(), [&](const Claim &claim) {
                   return claim.receivedAt >= claimedAt && claim.ticket < ticket;
               });
}

void PromptClaims::tick(Instant now)
{
    for (auto &[replica, claims] : m_claims)
        std::erase_if(claims,
                      [&](const Claim &claim) { return now - claim.receivedAt > ClaimRetention; });
    std::erase_if(m_claims, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace burdock
