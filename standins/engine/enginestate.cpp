#include "engine/enginestate.h"

#include <algorithm>

namespace standin {

namespace {
constexpr std::size_t RecentOrdersKept = 256;
}

EngineState::EngineState(std::int64_t memoryTotalMb, bool checksFencing)
    : m_memoryTotalMb(memoryTotalMb)
    , m_checksFencing(checksFencing)
{
}

std::string EngineState::copyName(const std::string &model, const std::string &version)
{
    return model + "@" + version;
}

OrderAnswer EngineState::take(const Order &order)
{
    if (m_checksFencing && order.number < m_highestNumber)
        return OrderAnswer::StaleNumber;
    m_highestNumber = std::max(m_highestNumber, order.number);

    const std::string copy = copyName(order.model, order.version);
    if (order.action == "load")
        m_models.try_emplace(copy, ResidentModel { order.version, order.memoryMb, false });
    else if (order.action == "unload")
        m_models.erase(copy);
    else if (order.action == "load-adapter")
        m_adapters.insert(order.adapter);
    else if (order.action != "raise")
        return OrderAnswer::Malformed;

    m_everOvercommitted = m_everOvercommitted || memoryUsedMb() > m_memoryTotalMb;
    m_recentOrders.push_back(order.number);
    if (m_recentOrders.size() > RecentOrdersKept)
        m_recentOrders.pop_front();
    return OrderAnswer::Accepted;
}

void EngineState::noteLoaded(const std::string &model, const std::string &version)
{
    const auto found = m_models.find(copyName(model, version));
    if (found != m_models.end())
        found->second.ready = true;
}

std::int64_t EngineState::memoryUsedMb() const
{
    std::int64_t used = 0;
    for (const auto &[copy, model] : m_models)
        used += model.memoryMb;
    return used;
}

} // namespace standin
