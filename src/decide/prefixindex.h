// Which upstreams are believed to hold the cached blocks of a prompt's beginning.
//
// Index
//   CacheEvent       what an upstream publishes about its prefix cache
//   prefixChain      the hash chain of a prompt's blocks
//   PrefixIndex      beliefs from events, which come late and with gaps, and from own sends
//
// A belief is a hint: when it is wrong, the upstream computes the prefix again. So the index
// forgets what it cannot trust and never asks. After a gap in an upstream's events every belief
// about it goes, since any block may have been evicted in the lost events. What this node sends
// after the gap is believed again.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdock {

// ---- Blocks -------------------------------------------------------------------------------------

/// @param text the prompt
/// @param blockBytes length of a block in bytes, above 0
/// @param maxBlocks blocks at most
/// @return one hash per whole block, each over everything before it
std::vector<std::uint64_t> prefixChain(std::string_view text, std::size_t blockBytes,
                                       std::size_t maxBlocks);

struct CacheEvent
{
    std::string upstream;               // who publishes
    std::uint64_t incarnation = 0;      // a new one starts with an empty cache
    std::uint64_t sequence = 0;         // grows by one with each event of an incarnation, from 1
    std::vector<std::uint64_t> stored;  // blocks now held
    std::vector<std::uint64_t> evicted; // blocks no longer held
    bool cleared = false;               // nothing is held any more
};

// ---- Index --------------------------------------------------------------------------------------

struct PrefixIndexSettings
{
    std::size_t maxBeliefs = 100'000; // pairs of block and upstream; the oldest go first
    bool forgetOnGap = true;          // off in the experiments that measure what it is worth
};

struct PrefixMatch
{
    std::uint32_t upstream = 0; // the upstream's number
    std::size_t blocks = 0;     // leading blocks believed to be held
};

class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexSettings settings = {});

    /// Takes a cache event of the upstream with that number.
    void onCacheEvent(std::uint32_t upstream, const CacheEvent &event);

    /// Believes that an upstream holds the blocks of a request that it is being sent.
    void onSent(std::uint32_t upstream, const std::vector<std::uint64_t> &chain);

    /// Forgets all about an upstream.
    void onGone(std::uint32_t upstream);

    /// @param chain a prompt's hash chain
    /// @param most upstreams to return at most
    /// @param offset where to begin among equals, so that callers spread over them
    /// @return some of the upstreams with the longest believed prefix
    std::vector<PrefixMatch> find(const std::vector<std::uint64_t> &chain, std::size_t most,
                                  std::size_t offset) const;

    /// @return leading blocks of the chain believed to be held by an upstream
    std::size_t matchLength(std::uint32_t upstream, const std::vector<std::uint64_t> &chain) const;

    std::size_t beliefs() const { return m_order.size(); }

private:
    struct Source
    {
        std::uint64_t incarnation = 0;  // of the events taken
        std::uint64_t nextSequence = 1; // the event expected next
        std::uint32_t generation = 0;   // beliefs of earlier ones are void
    };
    struct Belief
    {
        std::uint32_t upstream = 0;   // who holds the block
        std::uint32_t generation = 0; // valid while it is the source's
        std::uint64_t serial = 0;     // names this belief among all ever stored
    };
    struct Entry
    {
        std::uint64_t block = 0;  // the block of a belief
        std::uint64_t serial = 0; // the belief, if it is still there
    };

    void store(std::uint32_t upstream, std::uint64_t block);
    void evict(std::uint32_t upstream, std::uint64_t block);
    void dropOldest();
    void forget(Source &source) { source.generation++; }
    bool holds(std::uint32_t upstream, std::uint64_t block) const;

    PrefixIndexSettings m_settings;
    std::map<std::uint32_t, Source> m_sources;
    std::unordered_map<std::uint64_t, std::vector<Belief>> m_blocks;
    std::deque<Entry> m_order; // oldest first
    std::uint64_t m_nextSerial = 1;
};

} // namespace burdock
