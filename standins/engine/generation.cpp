#include "engine/generation.h"

namespace standin {

namespace {
constexpr std::size_t EventsKept = 512;
} // namespace

std::size_t PrefixCache::use(const std::vector<std::uint64_t> &blocks)
{
    std::size_t cached = 0;
    bool leading = true;
    for (const std::uint64_t block : blocks) {
        const auto found = m_blocks.find(block);
        if (found != m_blocks.end()) {
            cached += leading ? 1 : 0;
            m_order.splice(m_order.begin(), m_order, found->second);
            continue;
        }
        leading = false;
        m_order.push_front(block);
        m_blocks[block] = m_order.begin();
        record(block, true);
    }
    while (m_order.size() > m_maxBlocks) {
        record(m_order.back(), false);
        m_blocks.erase(m_order.back());
        m_order.pop_back();
    }
    return cached;
}

void PrefixCache::record(std::uint64_t block, bool added)
{
    m_events.push_back({ ++m_sequence, block, added });
    if (m_events.size() > EventsKept)
        m_events.pop_front();
}

void LaggingLoad::note(int inFlight, std::uint64_t received)
{
    m_samples.push_back({ std::chrono::steady_clock::now(), inFlight, received });
}

LaggingLoad::Sample LaggingLoad::report()
{
    const auto visible = std::chrono::steady_clock::now() - m_lag;
    while (m_samples.size() > 1 && m_samples[1].time <= visible)
        m_samples.pop_front();
    if (m_samples.empty() || m_samples.front().time > visible)
        return {};
    return m_samples.front();
}

} // namespace standin
