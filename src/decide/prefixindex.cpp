#include "decide/prefixindex.h"

#include "base/hashing.h"

#include <algorithm>
#include <cassert>

namespace burdock {

std::vector<std::uint64_t> prefixChain(std::string_view text, std::size_t blockBytes,
                                       std::size_t maxBlocks)
{
    assert(blockBytes > 0 && "prefixChain() needs a block length above 0");
    std::vector<std::uint64_t> chain;
    std::uint64_t hash = 0;
    while (text.size() >= blockBytes && chain.size() < maxBlocks) {
        hash = hashPair(hash, text.substr(0, blockBytes));
        chain.push_back(hash);
        text.remove_prefix(blockBytes);
    }
    return chain;
}

PrefixIndex::PrefixIndex(PrefixIndexSettings settings)
    : m_settings(settings)
{
}

// ---- Events -------------------------------------------------------------------------------------

void PrefixIndex::onCacheEvent(std::uint32_t upstream, const CacheEvent &event)
{
    Source &source = m_sources[upstream];
    if (event.incarnation < source.incarnation)
        return;
    if (event.incarnation > source.incarnation) {
        invalidateEntries(source);
        source.incarnation = event.incarnation;
        source.nextSequence = 1;
    }
    for (std::uint64_t block : event.evicted)
        evict(upstream, block);
    if (event.sequence < source.nextSequence)
        return; // late or repeated: the blocks it stored may have been evicted since

    const bool gap = event.sequence > source.nextSequence;
    if (event.cleared || (gap && m_settings.forgetOnGap))
        invalidateEntries(source);
    source.nextSequence = event.sequence + 1;
    for (std::uint64_t block : event.stored)
        store(upstream, block);
}

void PrefixIndex::onSent(std::uint32_t upstream, const std::vector<std::uint64_t> &chain)
{
    // Last block first, so that the entries of the beginning of the chain are dropped last.
    for (auto block = chain.rbegin(); block != chain.rend(); ++block)
        store(upstream, *block);
}

void PrefixIndex::onRemoved(std::uint32_t upstream)
{
    const auto source = m_sources.find(upstream);
    if (source != m_sources.end())
        invalidateEntries(source->second);
}

// ---- Entries ------------------------------------------------------------------------------------

void PrefixIndex::store(std::uint32_t upstream, std::uint64_t block)
{
    const std::uint32_t generation = m_sources[upstream].generation;
    std::vector<BlockHolder> &holders = m_blocks[block];
    const auto known = std::find_if(holders.begin(), holders.end(), [&](const BlockHolder &each) {
        return each.upstream == upstream;
    });
    if (known != holders.end() && known->generation == generation)
        return;
    if (known != holders.end())
        holders.erase(known); // invalid: from an earlier generation
    holders.push_back({ upstream, generation, m_nextSerial });
    m_insertions.push_back({ block, m_nextSerial++ });
    while (m_insertions.size() > m_settings.maxEntries)
        dropOldest();
}

void PrefixIndex::evict(std::uint32_t upstream, std::uint64_t block)
{
    const auto entry = m_blocks.find(block);
    if (entry == m_blocks.end())
        return;
    std::erase_if(entry->second,
                  [&](const BlockHolder &each) { return each.upstream == upstream; });
    if (entry->second.empty())
        m_blocks.erase(entry);
}

void PrefixIndex::dropOldest()
{
    const InsertionRecord oldest = m_insertions.front();
    m_insertions.pop_front();
    const auto entry = m_blocks.find(oldest.block);
    if (entry == m_blocks.end())
        return;
    std::erase_if(entry->second,
                  [&](const BlockHolder &each) { return each.serial == oldest.serial; });
    if (entry->second.empty())
        m_blocks.erase(entry);
}

bool PrefixIndex::holds(std::uint32_t upstream, std::uint64_t block) const
{
    const auto entry = m_blocks.find(block);
    const auto source = m_sources.find(upstream);
    if (entry == m_blocks.end() || source == m_sources.end())
        return false;
    return std::any_of(entry->second.begin(), entry->second.end(), [&](const BlockHolder &each) {
        return each.upstream == upstream && each.generation == source->second.generation;
    });
}

// ---- Queries ------------------------------------------------------------------------------------

std::size_t PrefixIndex::matchLength(std::uint32_t upstream,
                                     const std::vector<std::uint64_t> &chain) const
{
    std::size_t length = 0;
    while (length < chain.size() && holds(upstream, chain[length]))
        length++;
    return length;
}

std::vector<PrefixMatch> PrefixIndex::find(const std::vector<std::uint64_t> &chain,
                                           std::size_t maxMatches, std::size_t offset) const
{
    std::vector<PrefixMatch> matches;
    for (std::size_t length = chain.size(); length > 0 && matches.empty(); --length) {
        const auto entry = m_blocks.find(chain[length - 1]);
        if (entry == m_blocks.end())
            continue;
        const std::vector<BlockHolder> &holders = entry->second;
        const std::size_t count = std::min(maxMatches, holders.size());
        for (std::size_t each = 0; each < count; ++each) {
            const BlockHolder &holder = holders[(offset + each) % holders.size()];
            const std::size_t heldBlocks = matchLength(holder.upstream, chain);
            if (heldBlocks > 0)
                matches.push_back({ holder.upstream, heldBlocks });
        }
    }
    return matches;
}

} // namespace burdock
