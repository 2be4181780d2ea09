#include "edge/eventlog.h"

#include "base/text.h"
#include "base/wallclock.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace burdock {

// ---- Line ---------------------------------------------------------------------------------------

LogLine::LogLine(EventLog *log, std::string_view event)
    : m_log(log)
{
    if (m_log == nullptr)
        return;
    m_text = "ts=" + std::to_string(unixTime().count()) + " event=";
    m_text += event;
}

LogLine::~LogLine()
{
    if (m_log != nullptr)
        m_log->append(std::move(m_text));
}

LogLine &LogLine::field(std::string_view name, std::string_view value)
{
    if (m_log == nullptr)
        return *this;
    appendLogField(m_text, name, value);
    return *this;
}

LogLine &LogLine::field(std::string_view name, std::int64_t value)
{
    return m_log == nullptr ? *this : field(name, std::string_view(std::to_string(value)));
}

LogLine &LogLine::field(std::string_view name, std::uint64_t value)
{
    return m_log == nullptr ? *this : field(name, std::string_view(std::to_string(value)));
}

LogLine &LogLine::field(std::string_view name, double value)
{
    if (m_log == nullptr)
        return *this;
    char text[32];
    const int length = std::snprintf(text, sizeof text, "%.2f", value);
    return field(name, std::string_view(text, static_cast<std::size_t>(length)));
}

LogLine &LogLine::field(std::string_view name, Duration value)
{
    constexpr double MicrosecondsPerMillisecond = 1'000.0;
    return field(name, double(value.count()) / MicrosecondsPerMillisecond);
}

// ---- Log ----------------------------------------------------------------------------------------

EventLog::EventLog(int descriptor, std::string node, EventLogSettings settings)
    : m_descriptor(descriptor)
    , m_node(std::move(node))
    , m_settings(settings)
{
    // A reader that stops reading must not stop the process.
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK);
}

LogLine EventLog::line(std::string_view event)
{
    const std::int64_t second = steadyNow().time_since_epoch() / std::chrono::seconds(1);
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    if (++m_linesInSecond > m_settings.linesPerSecond) {
        ++m_dropped;
        return { nullptr, event };
    }
    return { this, event };
}

void EventLog::append(std::string &&text)
{
    if (m_buffer.size() + text.size() > m_settings.bufferBytes) {
        ++m_dropped;
        return;
    }
    if (m_dropped != m_droppedReported) {
        text += " lines_dropped=" + std::to_string(m_dropped - m_droppedReported);
        m_droppedReported = m_dropped;
    }
    m_buffer += text;
    m_buffer += " node=" + m_node + "\n";
}

void EventLog::flush()
{
    if (m_buffer.empty())
        return;
    const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
    if (written > 0)
        m_buffer.erase(0, static_cast<std::size_t>(written));
}

} // namespace burdock
