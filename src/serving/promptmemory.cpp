#include "serving/promptmemory.h"

#include "base/hashing.h"
#include "serving/replicatable.h"

namespace burdock {

PromptChain promptChain(const ServingRequest &request)
{
    PromptChain chain;
    std::uint64_t hash = hashText(copyName(request.model, request.adapter));
    for (std::size_t each = 0; each < request.prompt.size(); ++each) {
        const PromptPart &part = request.prompt[each];
        hash = hashPair(hash,
                        std::string_view(reinterpret_cast<const char *>(&part.id), sizeof part.id));
        chain.hashes.push_back(hash);
        chain.tokens.push_back(part.tokens);
        const bool shared = each + 1 < request.prompt.size();
        if (shared) {
            chain.sharedHash = hash;
            chain.sharedTokens += part.tokens;
        }
    }
    return chain;
}

PromptMemory::PromptMemory(std::size_t mostPerReplica)
    : m_mostPerReplica(mostPerReplica)
{
}

void PromptMemory::onSent(std::uint64_t generation, const PromptChain &chain)
{
    auto &kept = m_kept[generation];
    if (kept.size() > m_mostPerReplica)
        kept.clear();
    for (const std::uint64_t hash : chain.hashes)
        kept[hash] = true;
}

int PromptMemory::keptTokens(std::uint64_t generation, const PromptChain &chain) const
{
    const auto kept = m_kept.find(generation);
    if (kept == m_kept.end())
        return 0;
    int tokens = 0;
    for (std::size_t each = 0; each < chain.hashes.size(); ++each) {
        if (!kept->second.contains(chain.hashes[each]))
            break;
        tokens += chain.tokens[each];
    }
    return tokens;
}

std::uint64_t homeRank(std::uint64_t sharedHash, const std::string &replica)
{
    return hashPair(sharedHash, replica);
}

} // namespace burdock
