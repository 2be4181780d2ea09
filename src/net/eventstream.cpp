#include "net/eventstream.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdock {

namespace {

constexpr std::string_view LineEnds = "\r\n";
constexpr std::string_view IndexField = "id:";
constexpr std::string_view EndMark = "data: [DONE]";
constexpr char Comment = ':';

void readLine(std::string_view line, StreamEvent &event)
{
    if (line.front() == Comment)
        return;
    event.hasFields = true;
    if (line == EndMark)
        event.isEnd = true;
    if (!line.starts_with(IndexField))
        return;
    line.remove_prefix(IndexField.size());
    while (line.starts_with(' '))
        line.remove_prefix(1);
    std::uint64_t index = 0;
    const auto parsed = std::from_chars(line.data(), line.data() + line.size(), index);
    if (parsed.ec == std::errc())
        event.index = index;
}

} // namespace

bool hasContent(const std::vector<StreamEvent> &events)
{
    return std::any_of(events.begin(), events.end(),
                       [](const StreamEvent &event) { return event.hasFields; });
}

std::vector<StreamEvent> EventStreamParser::add(std::string_view part)
{
    m_pending += part;
    std::vector<StreamEvent> events;
    std::size_t eventStart = 0;
    std::size_t at = m_scanned;
    if (m_mayBeginWithLineFeed && !part.empty()) {
        m_mayBeginWithLineFeed = false;
        if (part.front() == '\n')
            m_lineStart = ++at;
    }
    while (true) {
        const auto end = m_pending.find_first_of(LineEnds, at);
        if (end == std::string::npos)
            break;
        const auto line = std::string_view(m_pending).substr(m_lineStart, end - m_lineStart);
        at = end + 1;
        if (m_pending[end] == '\r') {
            m_mayBeginWithLineFeed = at == m_pending.size();
            if (!m_mayBeginWithLineFeed && m_pending[at] == '\n')
                ++at;
        }
        m_lineStart = at;
        if (!line.empty()) {
            readLine(line, m_event);
            m_hasLines = true;
        } else if (m_hasLines) {
            m_event.text = m_pending.substr(eventStart, at - eventStart);
            events.push_back(std::exchange(m_event, {}));
            m_hasLines = false;
            eventStart = at;
        }
    }
    m_pending.erase(0, eventStart);
    m_lineStart -= eventStart;
    m_scanned = m_pending.size();
    return events;
}

std::string EventStreamParser::takePending()
{
    return std::exchange(*this, {}).m_pending;
}

} // namespace burdock
