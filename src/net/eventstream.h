// Splits a server-sent-event stream into whole events.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock {

struct StreamEvent
{
    std::string text;                   // the event as it arrived, with its blank line
    std::optional<std::uint64_t> index; // number in its "id:" line, if it has one
    bool isEnd = false;                 // the end mark "data: [DONE]"
    bool hasFields = false;             // false: comments only, e.g. a keep-alive
};

/// @return whether one of the events is more than a comment
bool hasContent(const std::vector<StreamEvent> &events);

/// Lines end with LF, CR or CRLF; a blank line ends an event.
class EventStreamParser
{
public:
    /// Takes a part of the stream.
    /// @return the events that it completes
    std::vector<StreamEvent> add(std::string_view part);

    /// A sender that ends its stream here has broken off. Comments and blank lines between events
    /// do not count.
    /// @return whether an event has begun and its blank line has not arrived
    bool isInsideEvent() const { return m_event.hasFields || m_lineStart < m_pending.size(); }

    /// @return whether the current event is longer than any sound one, so that it may never end
    bool isOverlong() const { return m_pending.size() > MaxEventBytes; }

    /// @return bytes that belong to no complete event yet
    std::size_t pendingBytes() const { return m_pending.size(); }

    /// @return the bytes that belong to no complete event; the parser starts anew
    std::string takePending();

private:
    static constexpr std::size_t MaxEventBytes = 256 * 1024;

    std::string m_pending;               // belongs to no complete event yet
    std::size_t m_lineStart = 0;         // of the unfinished line in m_pending
    std::size_t m_scanned = 0;           // m_pending has no line end between m_lineStart and here
    bool m_mayBeginWithLineFeed = false; // the second half of a CRLF whose CR has been taken
    bool m_hasLines = false;             // the current event has a complete line
    StreamEvent m_event;                 // what its complete lines say
};

} // namespace burdock
