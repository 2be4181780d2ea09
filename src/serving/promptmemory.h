// Which replicas are believed to keep which beginnings of prompts, from this node's own sends.
//
// A belief is a hint: where it is wrong, the replica computes the part again. Nodes do not tell
// each other; so that they send prompts with the same beginning to the same replica all the same,
// homeRank() orders replicas by rendezvous hashing of the shared parts.
#pragma once

#include "serving/servingrequest.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

/// The prompt of one request, prepared for look-ups.
struct PromptChain
{
    std::vector<std::uint64_t> hashes; // one for each part, over the copy and all parts before it
    std::vector<int> tokens;           // length of each part
    std::uint64_t sharedHash = 0;      // of the parts that other requests may share; 0: none
    int sharedTokens = 0;              // length of those
};

/// @return the chain of a request's prompt, under the model and adapter that it names
PromptChain promptChain(const ServingRequest &request);

class PromptMemory
{
public:
    /// @param mostPerReplica parts remembered for a replica; beyond it all are forgotten, since the
    ///        replica has evicted the older ones by then
    explicit PromptMemory(std::size_t mostPerReplica = 2'000);

    /// Believes that a replica keeps the parts of a request that it is being sent.
    void onSent(std::uint64_t generation, const PromptChain &chain);

    /// Forgets all about a replica's process.
    void onGone(std::uint64_t generation) { m_kept.erase(generation); }

    /// @return tokens of the prompt's beginning that the replica is believed to keep
    int keptTokens(std::uint64_t generation, const PromptChain &chain) const;

private:
    std::size_t m_mostPerReplica;
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, bool>> m_kept;
};

/// @return a rank of the replica for prompts with that beginning: the highest is its home
std::uint64_t homeRank(std::uint64_t sharedHash, const std::string &replica);

} // namespace burdock
