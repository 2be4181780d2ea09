// Keeps nodes from giving a replica several prompts at the same moment.
//
// A replica that finished its prompts looks free to all nodes at once, and each that has a request
// waiting for it would start one: streams that run there then stand still until all are read. So a
// node tells the others of a prompt first, waits for as long as their notes of the same moment take
// to arrive, and takes its prompt back if one of them bears a lower ticket:
//
//   const auto ticket = makeTicket(priority, random);
//   ... tell the others, wait for ClaimWait ...
//   if (claims.isBeaten(replica, ticket, claimedAt)) ... take it back, choose again
//
// Lost notes cost a pause as before; nobody waits for an answer.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

/// Two ways between availability zones of one region, and the time to be noticed.
constexpr Duration ClaimWait = std::chrono::milliseconds(5);

/// @param priority of the request; lower ones win
/// @param drawn at random, decides among equals
std::uint64_t makeTicket(int priority, std::uint32_t drawn);

class PromptClaims
{
public:
    /// Another node is about to send the replica a prompt.
    void onClaim(const std::string &replica, std::uint64_t ticket, Instant now);

    /// @param claimedAt when this node told the others
    /// @return whether another node's claim since then goes before
    bool isBeaten(const std::string &replica, std::uint64_t ticket, Instant claimedAt) const;

    /// Forgets old claims. Call it several times a second.
    void tick(Instant now);

private:
    struct Claim
    {
        std::uint64_t ticket = 0;
        Instant heardAt;
    };

    std::unordered_map<std::string, std::vector<Claim>> m_claims; // by replica
};

} // namespace burdock
