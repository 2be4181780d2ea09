// Virtual time: things to do at moments, in a fixed order.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace burdock {

class EventQueue
{
public:
    Instant now() const { return m_now; }

    /// Does something at a moment; things of one moment are done in the order of the calls.
    void at(Instant when, std::function<void()> action)
    {
        m_events.push({ std::max(when, m_now), m_next++, std::move(action) });
    }

    void after(Duration delay, std::function<void()> action)
    {
        at(m_now + delay, std::move(action));
    }

    /// Does everything that is due up to a moment.
    void runUntil(Instant end)
    {
        while (!m_events.empty() && m_events.top().at <= end) {
            const Event event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.action();
        }
        m_now = end;
    }

private:
    struct Event
    {
        Instant at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    Instant m_now;
    std::uint64_t m_next = 0;
    std::priority_queue<Event> m_events;
};

} // namespace burdock
