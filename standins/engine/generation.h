// Batching, prefix cache and load report of a stand-in engine, in plain numbers.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace standin {

/// Cached prompt prefixes, in blocks, least recently used out first.
class PrefixCache
{
public:
    explicit PrefixCache(std::size_t maxBlocks)
        : m_maxBlocks(maxBlocks)
    {
    }

    /// Looks a prompt's blocks up and adds those that are missing.
    /// @param blocks hashes of the prompt's blocks, each covering all before it
    /// @return how many leading blocks were cached
    std::size_t use(const std::vector<std::uint64_t> &blocks);

    struct Event
    {
        std::uint64_t sequence = 0; // grows by one with each event
        std::uint64_t block = 0;    // hash of the block
        bool added = true;          // added or dropped
    };

    const std::deque<Event> &events() const { return m_events; }

private:
    void record(std::uint64_t block, bool added);

    std::size_t m_maxBlocks;
    std::uint64_t m_sequence = 0;
    std::list<std::uint64_t> m_order;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_blocks;
    std::deque<Event> m_events;
};

/// Load as of some time ago: reports lag behind.
class LaggingLoad
{
public:
    explicit LaggingLoad(std::chrono::milliseconds lag)
        : m_lag(lag)
    {
    }

    struct Sample
    {
        std::chrono::steady_clock::time_point time; // when it was true
        int inFlight = 0;                           // requests in the batch or waiting
        std::uint64_t received = 0;                 // requests received so far
    };

    void note(int inFlight, std::uint64_t received);
    Sample report();

private:
    std::chrono::milliseconds m_lag;
    std::deque<Sample> m_samples;
};

} // namespace standin
