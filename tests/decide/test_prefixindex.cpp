// Beliefs about prefix caches from events that come late, twice or not at all.
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
    CacheEvent made;
    made.upstream = "engine-1";
    made.incarnation = 1;
    made.sequence = sequence;
    made.stored = std::move(stored);
    made.evicted = std::move(evicted);
    return made;
}

/// A cache of 20 blocks loses a tenth of its events.
/// @return share of the beliefs that are wrong
double wrongBeliefs(bool forgetOnGap)
{
    PrefixIndexSettings settings;
    settings.forgetOnGap = forgetOnGap;
    PrefixIndex index(settings);
    Random random(11);
    std::deque<std::uint64_t> cache;
    std::set<std::uint64_t> held;
    int wrong = 0;
    int asked = 0;
    for (std::uint64_t sequence = 1; sequence <= 5'000; ++sequence) {
        CacheEvent made = event(sequence, {});
        const std::uint64_t block = 1 + random.below(60);
        if (held.insert(block).second) {
            cache.push_back(block);
            made.stored.push_back(block);
        }
        if (cache.size() > 20) {
            made.evicted.push_back(cache.front());
            held.erase(cache.front());
            cache.pop_front();
        }
        if (random.below(10) != 0)
            index.onCacheEvent(1, made);
        for (std::uint64_t each = 1; each <= 60; ++each) {
            const bool believed = index.matchLength(1, { each }) == 1;
            asked += believed ? 1 : 0;
            wrong += believed && held.count(each) == 0 ? 1 : 0;
        }
    }
    return double(wrong) / asked;
}

} // namespace

TEST_GROUP(PrefixIndex) {};

TEST(PrefixIndex, WorkedExample)
{
    PrefixIndex index;
    const std::vector<std::uint64_t> chain = prefixChain("You check layouts. Sheet 1", 8, 16);
    LONGS_EQUAL(3, chain.size());
    index.onSent(1, chain);
    index.onCacheEvent(2, event(1, { chain[0] }));
    const std::vector<PrefixMatch> found = index.find(chain, 4, 0);
    LONGS_EQUAL(1, found.size()); // the longest only
    LONGS_EQUAL(1, found.front().upstream);
    LONGS_EQUAL(3, found.front().blocks);
    LONGS_EQUAL(1, index.matchLength(2, chain));
    index.onGone(1);
    LONGS_EQUAL(0, index.matchLength(1, chain));
}

TEST(PrefixIndex, AGapForgetsWhatCameBefore)
{
    PrefixIndex index;
    index.onCacheEvent(1, event(1, { 10, 11 }));
    index.onCacheEvent(1, event(3, { 12 })); // event 2 may have evicted 10
    LONGS_EQUAL(0, index.matchLength(1, { 10 }));
    LONGS_EQUAL(1, index.matchLength(1, { 12 }));
    index.onCacheEvent(1, event(2, { 13 }, { 12 })); // late: only its evictions are taken
    LONGS_EQUAL(0, index.matchLength(1, { 13 }));
    LONGS_EQUAL(0, index.matchLength(1, { 12 }));
}

TEST(PrefixIndex, LostEventsLeaveFewWrongBeliefs)
{
    const double forgetting = wrongBeliefs(true);
    const double trusting = wrongBeliefs(false);
    std::printf("\nwrong beliefs with a tenth of the events lost: %.4f forgetting at a gap, "
                "%.4f without\n",
                forgetting, trusting);
    CHECK(forgetting < 0.02);
    CHECK(trusting > 5 * forgetting);
}

TEST(PrefixIndex, MemoryIsBounded)
{
    CHECK(rc::check("no more beliefs than allowed", [] {
        PrefixIndexSettings settings;
        settings.maxBeliefs = 50;
        PrefixIndex index(settings);
        const auto chains = *rc::gen::container<std::vector<std::vector<std::uint64_t>>>(
                rc::gen::arbitrary<std::vector<std::uint64_t>>());
        std::uint32_t upstream = 0;
        for (const auto &chain : chains) {
            index.onSent(1 + upstream++ % 5, chain);
            RC_ASSERT(index.beliefs() <= settings.maxBeliefs);
            RC_ASSERT(index.find(chain, 3, 0).size() <= 3);
        }
    }));
}
