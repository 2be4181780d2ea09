// A model engine in virtual time: continuous batching, memory, prefix cache, adapters.
//
// Index
//   EngineSettings    its speeds and sizes
//   EngineRequest     one request inside it
//   EngineOutput      first tokens and ends that a step brought
//   FakeEngine        the engine
//
// An engine works in steps. Each step yields a token to every request that is past its prompt, and
// takes a chunk of prompt tokens besides. A step takes longer with each model that has requests,
// with each request, and with each prompt token:
//
//   engine.add(request);                          // joins the batch at the next step
//   Duration took = engine.beginStep();           // zero: nothing to do
//   EngineOutput output = engine.endStep(now);    // after that time
#pragma once

#include "base/instant.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

// ---- Settings and rows --------------------------------------------------------------------------

struct EngineSettings
{
    int slots = 48;                                           // requests in a batch at most
    Duration stepPerModel = std::chrono::milliseconds(6);     // each model with requests in it
    Duration stepPerRequest = std::chrono::microseconds(800); // each request in it
    int chunkTokens = 512;                                    // prompt tokens in a step at most
    double prefillTokensPerSecond = 16'000;                   // speed of prompt tokens
    int blockTokens = 64;                                     // tokens in a block of the cache
    std::size_t cacheBlocks = 1'500;                          // blocks in the prefix cache
    std::size_t adapters = 12;                                // adapters loaded at once
    std::int64_t memoryMb = 80'000;                           // for models
};

struct EngineRequest
{
    std::uint64_t id = 0;              // of the sender's choice
    int attempt = 1;                   // given back with the output
    std::string key;                   // the model and version it runs on
    std::vector<std::uint64_t> prefix; // blocks that may be in the cache
    int promptTokens = 0;              // length of the prompt
    int outputTokens = 1;              // tokens it will generate
    bool urgent = false;               // enters the batch before others
    int promptLeft = 0;                // prompt tokens still to be computed
    int generated = 0;                 // tokens so far
    bool prefillDone = false;          // its prompt is computed
};

struct EngineOutput
{
    std::vector<EngineRequest> began;   // the first token came
    std::vector<EngineRequest> ended;   // the last token came
    std::vector<std::uint64_t> stored;  // blocks that entered the cache
    std::vector<std::uint64_t> evicted; // blocks that left it
};

// ---- Engine -------------------------------------------------------------------------------------

class FakeEngine
{
public:
    explicit FakeEngine(EngineSettings settings = {})
        : m_settings(settings)
    {
    }

    const EngineSettings &settings() const { return m_settings; }
    int running() const { return static_cast<int>(m_batch.size()); }
    int waiting() const { return static_cast<int>(m_urgent.size() + m_others.size()); }
    bool stepping() const { return m_stepping; }

    // ---- Models and adapters ----

    std::int64_t memoryUsedMb() const
    {
        std::int64_t used = 0;
        for (const auto &[key, size] : m_models)
            used += size;
        return used;
    }

    /// Takes memory for a model.
    /// @return false when there is not enough
    bool reserve(const std::string &key, std::int64_t sizeMb)
    {
        if (memoryUsedMb() + sizeMb > m_settings.memoryMb)
            return false;
        m_models[key] = sizeMb;
        return true;
    }

    void setReady(const std::string &key) { m_ready.insert(key); }
    bool isReady(const std::string &key) const { return m_ready.count(key) > 0; }
    const std::set<std::string> &ready() const { return m_ready; }

    /// Takes no more requests for a model; its memory is freed by release().
    void retire(const std::string &key) { m_ready.erase(key); }

    void release(const std::string &key) { m_models.erase(key); }

    /// @return whether any request runs on the model
    bool inUse(const std::string &key) const
    {
        const auto same = [&](const EngineRequest &each) {
            return each.key == key;
        };
        return std::any_of(m_batch.begin(), m_batch.end(), same)
                || std::any_of(m_urgent.begin(), m_urgent.end(), same)
                || std::any_of(m_others.begin(), m_others.end(), same);
    }

    bool hasAdapter(const std::string &adapter) const
    {
        return std::find(m_adapters.begin(), m_adapters.end(), adapter) != m_adapters.end();
    }

    /// Puts an adapter first; the one unused for longest may go.
    void touchAdapter(const std::string &adapter)
    {
        m_adapters.remove(adapter);
        m_adapters.push_front(adapter);
        if (m_adapters.size() > m_settings.adapters)
            m_adapters.pop_back();
    }

    const std::list<std::string> &adapters() const { return m_adapters; }

    // ---- Requests ----

    void add(EngineRequest request)
    {
        request.promptLeft = request.promptTokens;
        (request.urgent ? m_urgent : m_others).push_back(std::move(request));
    }

    /// Drops a request whose sender has left.
    void cancel(std::uint64_t id)
    {
        const auto same = [id](const EngineRequest &each) {
            return each.id == id;
        };
        std::erase_if(m_batch, same);
        std::erase_if(m_urgent, same);
        std::erase_if(m_others, same);
    }

    /// The process ends: everything in it is gone.
    /// @return the requests it had
    std::vector<EngineRequest> crash()
    {
        std::vector<EngineRequest> lost = std::move(m_batch);
        lost.insert(lost.end(), m_urgent.begin(), m_urgent.end());
        lost.insert(lost.end(), m_others.begin(), m_others.end());
        *this = FakeEngine(m_settings);
        return lost;
    }

    // ---- Steps ----

    /// @return how long the step takes; zero when there is nothing to do
    Duration beginStep()
    {
        fillBatch(m_urgent);
        fillBatch(m_others);
        if (m_batch.empty())
            return Duration::zero();
        std::set<std::string_view> models;
        int budget = m_settings.chunkTokens;
        int prompt = 0;
        for (EngineRequest &each : m_batch) {
            models.insert(each.key);
            const int tokens = std::min(budget, each.promptLeft);
            each.promptLeft -= tokens;
            budget -= tokens;
            prompt += tokens;
            each.prefillDone = each.promptLeft == 0;
        }
        m_stepping = true;
        const double promptSeconds = prompt / m_settings.prefillTokensPerSecond;
        return m_settings.stepPerModel * static_cast<int>(models.size())
                + m_settings.stepPerRequest * running()
                + std::chrono::duration_cast<Duration>(
                        std::chrono::duration<double>(promptSeconds));
    }

    EngineOutput endStep()
    {
        EngineOutput output;
        m_stepping = false;
        for (EngineRequest &each : m_batch) {
            if (!each.prefillDone)
                continue;
            each.generated++;
            if (each.generated == 1) {
                remember(each.prefix, output);
                output.began.push_back(each);
            }
            if (each.generated >= each.outputTokens)
                output.ended.push_back(each);
        }
        std::erase_if(m_batch, [](const EngineRequest &each) {
            return each.generated >= each.outputTokens;
        });
        return output;
    }

private:
    void fillBatch(std::deque<EngineRequest> &queue)
    {
        while (!queue.empty() && running() < m_settings.slots) {
            EngineRequest next = std::move(queue.front());
            queue.pop_front();
            const int cached = cachedBlocks(next.prefix) * m_settings.blockTokens;
            next.promptLeft = std::max(1, next.promptLeft - cached);
            m_batch.push_back(std::move(next));
        }
    }

    int cachedBlocks(const std::vector<std::uint64_t> &prefix) const
    {
        int count = 0;
        for (std::uint64_t block : prefix) {
            if (m_cache.count(block) == 0)
                break;
            count++;
        }
        return count;
    }

    void remember(const std::vector<std::uint64_t> &prefix, EngineOutput &output)
    {
        for (auto block = prefix.rbegin(); block != prefix.rend(); ++block) {
            const auto entry = m_cache.find(*block);
            if (entry != m_cache.end())
                m_recent.erase(entry->second);
            else
                output.stored.push_back(*block);
            m_recent.push_front(*block);
            m_cache[*block] = m_recent.begin();
        }
        while (m_recent.size() > m_settings.cacheBlocks) {
            output.evicted.push_back(m_recent.back());
            m_cache.erase(m_recent.back());
            m_recent.pop_back();
        }
    }

    EngineSettings m_settings;
    std::map<std::string, std::int64_t> m_models; // memory taken, by key
    std::set<std::string> m_ready;                // models that take requests
    std::list<std::string> m_adapters;            // the one used last first
    std::vector<EngineRequest> m_batch;
    std::deque<EngineRequest> m_urgent;
    std::deque<EngineRequest> m_others;
    std::list<std::uint64_t> m_recent; // cached blocks, the one used last first
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> m_cache;
    bool m_stepping = false;
};

} // namespace burdock
