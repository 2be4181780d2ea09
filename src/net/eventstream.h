// Splits a server-sent-event stream into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdock {

struct StreamEvent
{
    std::string text;                   // the event as it arrived, with its blank line
    std::optional<std::uint64_t> index; // number in its "id:" line, if it has one
    bool isEnd = false;                 // the end mark "data: [DONE]"
};

class EventStreamParser
{
public:
    /// Takes a part of the stream.
    /// @return the events that it completes
    std::vector<StreamEvent> add(std::string_view part);

    /// @return bytes of an event that is not complete yet
    std::size_t pendingBytes() const { return m_pending.size(); }

    /// @return the bytes of an event that is not complete yet, which are then forgotten
    std::string takePending() { return std::exchange(m_pending, {}); }

private:
    std::string m_pending;
};

} // namespace burdock
