#include "placing/ordercount.h"

namespace burdock {

void OrderCount::onReport(const EngineReport &report)
{
    m_accepted = report.ordersAccepted;
    m_isKnown = !report.busy; // while an order is carried out, the state after it is not shown
    m_copies = { report.pendingAdapters.begin(), report.pendingAdapters.end() };
    for (const ModelCopy &copy : report.models) {
        m_copies.insert(copy.model);
        for (const std::string &adapter : copy.adapters)
            m_copies.insert(copyName(copy.model, adapter));
    }
}

void OrderCount::onAccepted(const EngineCommand &command)
{
    m_accepted = command.ordersAccepted + 1;
    const std::string copy = copyName(command.model, command.adapter);
    if (command.load)
        m_copies.insert(copy);
    else
        m_copies.erase(copy);
    if (!command.load && command.adapter.empty())
        std::erase_if(m_copies,
                      [&](const std::string &held) { return held.starts_with(copy + "/"); });
}

bool OrderCount::onAlreadyDone(const EngineCommand &command)
{
    const bool isAdapterUnload = !command.load && !command.adapter.empty();
    if (!isAdapterUnload || !m_copies.contains(copyName(command.model, command.adapter))) {
        m_isKnown = false;
        return false;
    }
    onAccepted(command);
    return true;
}

void OrderCount::onUnanswered(const EngineCommand &command, Instant forgottenAt)
{
    m_isKnown = false;
    m_unanswered.push_back({ command, forgottenAt });
}

void OrderCount::onNewProcess()
{
    m_accepted = 0;
    m_isKnown = false;
    m_copies.clear();
}

void OrderCount::expire(Instant now)
{
    std::erase_if(m_unanswered,
                  [&](const UnansweredOrder &order) { return now >= order.forgottenAt; });
}

std::vector<const EngineCommand *> OrderCount::lateLoads() const
{
    std::vector<const EngineCommand *> loads;
    for (const UnansweredOrder &order : m_unanswered) {
        if (order.command.load && order.command.ordersAccepted > m_accepted)
            loads.push_back(&order.command);
    }
    return loads;
}

} // namespace burdock
