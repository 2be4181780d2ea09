// Keeps several nodes from sending prompts to the same replica at the same moment.
//
// A replica that has just read its prompts looks idle to all nodes at once. If each node with a
// queued request sent it a prompt then, the streams that run on the replica would pause until all
// of these prompts are read. Before a node sends a prompt, it therefore announces a claim with a
// ticket to its peers, waits until claims announced at the same moment have arrived, and withdraws
// its own prompt if a peer's claim on the same replica has a lower ticket:
//
//   const auto ticket = makeTicket(priority, random);
//   ... announce the claim to the peers, wait for ClaimWait ...
//   if (claims.isOutranked(replica, ticket, claimedAt)) ... withdraw the prompt, choose again
//
// No node waits for a reply. If a claim is lost, both prompts are sent and the streams pause, as
// they would without claims.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

/// Wait between announcing a claim and sending the prompt: the round trip between two availability
/// zones of a region and the time until a received claim is processed.
constexpr Duration ClaimWait = std::chrono::milliseconds(5);

/// Returns a ticket that orders claims: of two claims, the one with the lower ticket has
/// precedence.
/// @param priority of the request; lower values have precedence
/// @param tieBreaker random number that orders claims of equal priority
std::uint64_t makeTicket(int priority, std::uint32_t tieBreaker);

class PromptClaims
{
public:
    /// Records a peer's announcement that it is about to send the replica a prompt.
    void onClaim(const std::string &replica, std::uint64_t ticket, Instant now);

    /// @param ticket of this node's claim
    /// @param claimedAt when this node announced its claim
    /// @return whether a claim that a peer announced since then has precedence
    bool isOutranked(const std::string &replica, std::uint64_t ticket, Instant claimedAt) const;

    /// Removes expired claims. Call it several times a second.
    void tick(Instant now);

private:
    struct Claim
    {
        std::uint64_t ticket = 0;
        Instant receivedAt;
    };

    std::unordered_map<std::string, std::vector<Claim>> m_claims; // by replica
};

} // namespace burdock
