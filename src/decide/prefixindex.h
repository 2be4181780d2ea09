// The prefix index: estimates which upstreams have the beginning of a prompt in their prefix cache.
//
// Index
//   prefixChain      hash chain of a prompt's blocks
//   CacheEvent       change of an upstream's prefix cache, as the upstream publishes it
//   PrefixIndex      the estimate, from cache events and from the requests that this node sends
//
// Terms
//   block         a run of prompt text of fixed length, identified by a hash over the prompt up to
//                 its end; equal hashes mean equal prompt beginnings
//   entry         the assumption that an upstream has a block in its cache
//   incarnation   one run of an upstream's process; a restart empties its cache
//
// An entry is a hint: when it is wrong, the upstream computes the prefix again and the response is
// the same. Cache events arrive late and some are lost, so the index drops entries that may be
// outdated and never queries an upstream. After a gap in an upstream's events it drops all entries
// of that upstream, since the lost events may have evicted any block. Requests sent and events
// received after the gap add entries again.
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
/// @param maxBlocks maximum number of hashes
/// @return one hash per complete block, over the prompt from its beginning to the block's end
std::vector<std::uint64_t> prefixChain(std::string_view text, std::size_t blockBytes,
                                       std::size_t maxBlocks);

struct CacheEvent
{
    std::string upstream;               // name of the publishing upstream
    std::uint64_t incarnation = 0;      // each incarnation starts with an empty cache
    std::uint64_t sequence = 0;         // grows by one with each event of an incarnation, from 1
    std::vector<std::uint64_t> stored;  // blocks added to the cache
    std::vector<std::uint64_t> evicted; // blocks removed from the cache
    bool cleared = false;               // all blocks known before were removed
};

// ---- Index --------------------------------------------------------------------------------------

struct PrefixIndexSettings
{
    std::size_t maxEntries = 100'000; // bound; the oldest entries are dropped first
    bool forgetOnGap = true;          // false only in experiments and tests, for comparison
};

struct PrefixMatch
{
    std::uint32_t upstream = 0; // UpstreamRow::number
    std::size_t blocks = 0;     // leading blocks of the prompt assumed to be cached
};

class PrefixIndex
{
public:
    explicit PrefixIndex(PrefixIndexSettings settings = {});

    /// Applies a cache event.
    /// @param upstream UpstreamRow::number of the publishing upstream
    void onCacheEvent(std::uint32_t upstream, const CacheEvent &event);

    /// Adds entries for a request that is being sent: the upstream will cache its blocks.
    /// @param chain prefixChain() of the prompt
    void onSent(std::uint32_t upstream, const std::vector<std::uint64_t> &chain);

    /// Drops all entries of an upstream.
    void onRemoved(std::uint32_t upstream);

    /// Finds upstreams that are assumed to have cached the longest part of a prompt.
    /// @param chain prefixChain() of the prompt
    /// @param maxMatches maximum number of upstreams to return
    /// @param offset index of the first upstream to take among equal ones; a random value
    /// distributes requests with the same prefix over them
    /// @return upstreams that hold the last block of the chain that any upstream holds, with the
    /// number of leading blocks each of them holds
    std::vector<PrefixMatch> find(const std::vector<std::uint64_t> &chain, std::size_t maxMatches,
                                  std::size_t offset) const;

    /// @return number of leading blocks of the chain that an upstream is assumed to have cached
    std::size_t matchLength(std::uint32_t upstream, const std::vector<std::uint64_t> &chain) const;

    /// @return number of entries, including those that are already invalid
    std::size_t entryCount() const { return m_insertions.size(); }

private:
    struct Source
    {
        std::uint64_t incarnation = 0;  // newest incarnation seen in events
        std::uint64_t nextSequence = 1; // sequence number of the next expected event
        std::uint32_t generation = 0;   // entries of earlier generations are invalid
    };
    struct BlockHolder
    {
        std::uint32_t upstream = 0;   // upstream assumed to hold the block
        std::uint32_t generation = 0; // valid while equal to Source::generation
        std::uint64_t serial = 0;     // unique number of this entry
    };
    struct InsertionRecord
    {
        std::uint64_t block = 0;  // block of the entry
        std::uint64_t serial = 0; // serial of the entry, which may have been removed
    };

    void store(std::uint32_t upstream, std::uint64_t block);
    void evict(std::uint32_t upstream, std::uint64_t block);
    void dropOldest();
    /// Invalidates all entries of an upstream.
    void invalidateEntries(Source &source) { source.generation++; }
    bool holds(std::uint32_t upstream, std::uint64_t block) const;

    PrefixIndexSettings m_settings;
    std::map<std::uint32_t, Source> m_sources;
    std::unordered_map<std::uint64_t, std::vector<BlockHolder>> m_blocks;
    std::deque<InsertionRecord> m_insertions; // in the order of insertion
    std::uint64_t m_nextSerial = 1;
};

} // namespace burdock
