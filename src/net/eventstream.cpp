#include "net/eventstream.h"

#include <charconv>

namespace burdock {

namespace {

constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view IndexField = "id: ";
constexpr std::string_view EndMark = "data: [DONE]";
constexpr std::string_view EndMarkLine = "\ndata: [DONE]";

StreamEvent readEvent(std::string_view text)
{
    StreamEvent event;
    event.text = text;
    event.isEnd = text.starts_with(EndMark) || text.find(EndMarkLine) != std::string_view::npos;
    if (text.starts_with(IndexField)) {
        std::uint64_t index = 0;
        const char *first = text.data() + IndexField.size();
        const auto parsed = std::from_chars(first, text.data() + text.size(), index);
        if (parsed.ec == std::errc())
            event.index = index;
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
