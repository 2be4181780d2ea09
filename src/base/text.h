// Small helpers for names and for text in log lines.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace burdock {

/// @return whether the list holds the name
inline bool contains(const std::vector<std::string> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Appends a text in quotes; what would end it or the line is escaped or replaced.
inline void appendQuoted(std::string &line, std::string_view value)
{
    line += '"';
    for (const char letter : value) {
        if (letter == '"' || letter == '\\')
            line += '\\';
        line += letter == '\n' || letter == '\r' ? ' ' : letter;
    }
    line += '"';
}

/// Appends " name=value" to a log line; the value in quotes when it needs them.
inline void appendLogField(std::string &line, std::string_view name, std::string_view value)
{
    line += ' ';
    line += name;
    line += '=';
    if (value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos)
        appendQuoted(line, value);
    else
        line += value;
}

} // namespace burdock
