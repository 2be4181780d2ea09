#include "net/eventstream.h"

#include <algorithm>
#include <charconv>

namespace burdock {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IndexField = "id:";
constexpr std::string_view EndMark = "data: [DONE]";

void readLine(std::string_view line, StreamEvent &event)
{
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

StreamEvent readEvent(std::string_view text)
{
    StreamEvent event;
    event.text = text;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        readLine(text.substr(0, end), event);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return event;
}

} // namespace

std::vector<StreamEvent> EventStreamParser::add(std::string_view part)
{
    m_pending += part;
    std::vector<StreamEvent> events;
    std::size_t start = 0;
    while (true) {
        const auto end = m_pending.find(EventEnd, start);
        if (end == std::string::npos)
            break;
        const auto next = end + EventEnd.size();
        events.push_back(readEvent(std::string_view(m_pending).substr(start, next - start)));
        start = next;
    }
    m_pending.erase(0, start);
    return events;
}

} // namespace burdock
