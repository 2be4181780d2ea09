#include "serving/prefixcacheestimate.h"

#include "base/hashing.h"
#include "serving/replicatable.h"

namespace burdock {

PromptChain promptChain(const ServingRequest &request)
{
    PromptChain chain;
    std::uint64_t hash = hashText(copyName(request.model, request.adapter));
    for (std::size_t index = 0; index < request.prompt.size(); ++index) {
        const PromptPart &part = request.prompt[index];
        hash = hashPair(hash,
                        std::string_view(reinterpret_cast<const char *>(&part.id), sizeof part.id));
        chain.hashes.push_back(hash);
        chain.tokens.push_back(part.tokens);
        const bool shared = index + 1 < request.prompt.size();
        if (shared) {
            chain.sharedHash = hash;
            chain.sharedTokens += part.tokens;
        }
    }
    return chain;
}

PrefixCacheEstimate::PrefixCacheEstimate(std::size_t maxPartsPerReplica)
    : m_maxPartsPerReplica(maxPartsPerReplica)
{
}

void PrefixCacheEstimate::onSent(std::uint64_t generation, const PromptChain &chain)
{
    auto &cached = m_cachedParts[generation];
    if (cached.size() > m_maxPartsPerReplica)
        cached.clear();
    for (const std::uint64_t hash : chain.hashes)
        cached[hash] = true;
}

int PrefixCacheEstimate::cachedTokens(std::uint64_t generation, const PromptChain &chain) const
{
    const auto cached = m_cachedParts.find(generation);
    if (cached == m_cachedParts.end())
        return 0;
    int tokens = 0;
    for (std::size_t index = 0; index < chain.hashes.size(); ++index) {
        if (!cached->second.contains(chain.hashes[index]))
            break;
        tokens += chain.tokens[index];
    }
    return tokens;
}

std::uint64_t rendezvousRank(std::uint64_t sharedHash, const std::string &replica)
{
    return hashPair(sharedHash, replica);
}

} // namespace burdock
