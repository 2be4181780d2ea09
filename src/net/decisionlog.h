// Logs: one line for each routing and placement decision, with machine-readable fields.
//
// Index
//   startLogging    sets up glog; VMs have no disk, so lines go to standard error
//   DecisionLine    builds one line: decision=ID kind=route key=value ... reason="..."
//   DecisionLog     writes the lines and keeps the latest of them for explain output
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace burdock {

/// Sets up logging for a program.
/// @param program the program's name, as in argv[0]
void startLogging(const char *program);

// ---- One decision -------------------------------------------------------------------------------

class DecisionLine
{
public:
    /// @param kind what was decided, e.g. "route" or "place"
    explicit DecisionLine(std::string_view kind);

    /// Adds an input of the decision.
    DecisionLine &field(std::string_view name, std::string_view value);
    DecisionLine &field(std::string_view name, std::int64_t value);

    /// Says why it was decided so.
    DecisionLine &reason(std::string_view text);

    /// @return the fields so far, without the decision's id
    const std::string &text() const { return m_text; }

private:
    std::string m_text;
};

// ---- Log ----------------------------------------------------------------------------------------

class DecisionLog
{
public:
    /// @param node names this process; ids are unique together with it
    /// @param keep how many lines explain output can look back on
    explicit DecisionLog(std::string node, std::size_t keep = 2'000);

    /// Writes a line.
    /// @return the decision's id
    std::string write(const DecisionLine &line);

    /// @param text a decision id, request id, model or other text
    /// @return the kept lines that contain it as a whole word, oldest first
    std::string linesWith(std::string_view text) const;

private:
    std::string m_node;
    std::size_t m_keep;
    std::uint64_t m_next = 1;
    std::deque<std::string> m_lines;
};

} // namespace burdock
