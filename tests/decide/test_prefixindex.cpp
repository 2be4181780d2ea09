// The prefix index with cache events that arrive late, twice or not at all.
#include "base/random.h"
#include "decide/prefixindex.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <set>

using namespace burdock;

namespace {

CacheEvent event(std::uint64_t sequence, std::vector<std::uint64_t> stored,
                 std::vector<std::uint64_t> evicted = {})
{
    CacheEvent result;
    result.upstream = "engine-1";
    result.incarnation = 1;
    result.sequence = sequence;
    result.stored = std::move(stored);
    result.evicted = std::move(evicted);
    return result;
}

/// Simulates a cache of 20 blocks of which a tenth of the events are lost.
/// @return share of the valid entries that name a block the cache does not hold
double wrongEntryShare(bool forgetOnGap)
{
    PrefixIndexSettings settings;
    settings.forgetOnGap = forgetOnGap;
    PrefixIndex index(settings);
    Random random(11);
    std::deque<std::uint64_t> cache;
    std::set<std::uint64_t> held;
    int wrong = 0;
    int total = 0;
    for (std::uint64_t sequence = 1; sequence <= 5'000; ++sequence) {
        CacheEvent cacheEvent = event(sequence, {});
        const std::uint64_t block = 1 + random.below(60);
        if (held.insert(block).second) {
            cache.push_back(block);
            cacheEvent.stored.push_back(block);
        }
        if (cache.size() > 20) {
            cacheEvent.evicted.push_back(cache.front());
            held.erase(cache.front());
            cache.pop_front();
        }
        if (random.below(10) != 0)
            index.onCacheEvent(1, cacheEvent);
        for (std::uint64_t each = 1; each <= 60; ++each) {
            const bool isAssumed = index.matchLength(1, { each }) == 1;
            total += isAssumed ? 1 : 0;
            wrong += isAssumed && held.count(each) == 0 ? 1 : 0;
        }
    }
    return double(wrong) / total;
}

} // namespace

TEST_GROUP(PrefixIndex) {};

TEST(PrefixIndex, FindsTheUpstreamWithTheLongestCachedPrefix)
{
    PrefixIndex index;
    const std::vector<std::uint64_t> chain = prefixChain("You check layouts. Sheet 1", 8, 16);
    LONGS_EQUAL(3, chain.size());
    index.onSent(1, chain);
    index.onCacheEvent(2, event(1, { chain[0] }));
    const std::vector<PrefixMatch> found = index.find(chain, 4, 0);
    LONGS_EQUAL(1, found.size()); // only the upstream with the longest prefix
    LONGS_EQUAL(1, found.front().upstream);
    LONGS_EQUAL(3, found.front().blocks);
    LONGS_EQUAL(1, index.matchLength(2, chain));
    index.onRemoved(1);
    LONGS_EQUAL(0, index.matchLength(1, chain));
}

TEST(PrefixIndex, GapInEventsInvalidatesEarlierEntries)
{
    PrefixIndex index;
    index.onCacheEvent(1, event(1, { 10, 11 }));
    index.onCacheEvent(1, event(3, { 12 })); // event 2 may have evicted 10
    LONGS_EQUAL(0, index.matchLength(1, { 10 }));
    LONGS_EQUAL(1, index.matchLength(1, { 12 }));
    index.onCacheEvent(1, event(2, { 13 }, { 12 })); // late: only its evictions count
    LONGS_EQUAL(0, index.matchLength(1, { 13 }));
    LONGS_EQUAL(0, index.matchLength(1, { 12 }));
}

TEST(PrefixIndex, LostEventsLeaveFewWrongEntries)
{
    const double invalidating = wrongEntryShare(true);
    const double keeping = wrongEntryShare(false);
    std::printf("\nwrong entries with a tenth of the events lost: %.4f with invalidation at gaps, "
                "%.4f without\n",
                invalidating, keeping);
    CHECK(invalidating < 0.02);
    CHECK(keeping > 5 * invalidating);
}

TEST(PrefixIndex, EntryCountStaysWithinItsBound)
{
    CHECK(rc::check("entryCount() <= maxEntries", [] {
        PrefixIndexSettings settings;
        settings.maxEntries = 50;
        PrefixIndex index(settings);
        const auto chains = *rc::gen::container<std::vector<std::vector<std::uint64_t>>>(
                rc::gen::arbitrary<std::vector<std::uint64_t>>());
        std::uint32_t upstream = 0;
        for (const auto &chain : chains) {
            index.onSent(1 + upstream++ % 5, chain);
            RC_ASSERT(index.entryCount() <= settings.maxEntries);
            RC_ASSERT(index.find(chain, 3, 0).size() <= 3);
        }
    }));
}
