// Structured log: one line of key=value fields for each event, to standard output.
//
// Lines are collected and written by flush(), which never blocks: what a slow reader does not take
// waits in a bounded buffer, and lines beyond it or beyond the rate are counted and dropped. The
// next line that is written says how many were lost.
//
//   log.line("refuse").field("request", id).field("reason", "overload").field("queued", 12);
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace burdock {

class EventLog;

/// One line; written when it goes out of scope.
class LogLine
{
public:
    LogLine(EventLog *log, std::string_view event);
    ~LogLine();
    LogLine(const LogLine &) = delete;
    LogLine &operator=(const LogLine &) = delete;

    LogLine &field(std::string_view name, std::string_view value);
    LogLine &field(std::string_view name, const char *value)
    {
        return field(name, std::string_view(value));
    }
    LogLine &field(std::string_view name, std::int64_t value);
    LogLine &field(std::string_view name, std::uint64_t value);
    LogLine &field(std::string_view name, int value) { return field(name, std::int64_t(value)); }
    LogLine &field(std::string_view name, double value);
    LogLine &field(std::string_view name, Duration value); // printed in milliseconds

private:
    EventLog *m_log; // null: the line is dropped
    std::string m_text;
};

struct EventLogSettings
{
    std::size_t bufferBytes = 256 * 1024; // waiting for a slow reader; bounds the memory
    int linesPerSecond = 400;             // beyond it lines are counted only; bounds the volume
};

class EventLog
{
public:
    /// @param descriptor file descriptor of the output
    EventLog(int descriptor, std::string node, EventLogSettings settings = {});

    /// Begins a line.
    LogLine line(std::string_view event);

    /// Writes what is buffered, as far as the reader takes it. Call it several times a second.
    void flush();

    std::uint64_t dropped() const { return m_dropped; }

private:
    friend class LogLine;
    void append(std::string &&text);

    int m_descriptor;
    std::string m_node;
    EventLogSettings m_settings;
    std::string m_buffer;
    std::int64_t m_second = 0; // of the count below
    int m_linesInSecond = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
};

} // namespace burdock
