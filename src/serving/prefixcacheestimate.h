// Estimates which prompt prefixes each replica has in its KV cache, from the requests that this
// node sent to it.
//
// A prompt is divided into parts; a prefix is identified by a hash chained over its parts. An
// estimate is only a hint: if it is wrong, the replica computes that part of the prompt again.
// Nodes do not exchange their estimates. To send prompts with the same prefix to the same replica
// nevertheless, all nodes order the replicas by rendezvousRank() of the shared prefix.
#pragma once

#include "serving/servingrequest.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

/// The prefix hashes of one request's prompt.
struct PromptChain
{
    // Per part: hash of the model copy's name, of this part and of all parts before it.
    std::vector<std::uint64_t> hashes;
    std::vector<int> tokens;      // per part: its length in tokens
    std::uint64_t sharedHash = 0; // of the prefix that other requests may share; 0: there is none
    int sharedTokens = 0;         // length of that prefix in tokens
};

/// @return the prefix hashes of the request's prompt for the model and adapter that it names
PromptChain promptChain(const ServingRequest &request);

/// Replicas are identified by the generation of their ReplicaRow, which changes with each restart.
class PrefixCacheEstimate
{
public:
    /// @param maxPartsPerReplica prompt parts recorded per replica. Beyond this number all parts of
    ///        the replica are removed, because it has evicted the older ones by then.
    explicit PrefixCacheEstimate(std::size_t maxPartsPerReplica = 2'000);

    /// Records the parts of a prompt that is sent to a replica as cached there.
    void onSent(std::uint64_t generation, const PromptChain &chain);

    /// Removes all records of a replica that was removed or restarted.
    void onReplicaRemoved(std::uint64_t generation) { m_cachedParts.erase(generation); }

    /// @return estimated length in tokens of the prompt's longest prefix in the replica's cache
    int cachedTokens(std::uint64_t generation, const PromptChain &chain) const;

private:
    std::size_t m_maxPartsPerReplica;
    // Prefix hashes by generation; the values are always true.
    std::unordered_map<std::uint64_t, std::unordered_map<std::uint64_t, bool>> m_cachedParts;
};

/// @return rank of the replica for prompts with a shared prefix (rendezvous hashing). The replica
/// with the highest rank is the preferred one, on every node.
std::uint64_t rendezvousRank(std::uint64_t sharedHash, const std::string &replica);

} // namespace burdock
