#include "net/decisionlog.h"

#include "base/text.h"

#include <glog/logging.h>

#include <cctype>

namespace burdock {

void startLogging(const char *program)
{
    FLAGS_logtostderr = true;
    FLAGS_logbuflevel = -1;
    google::InitGoogleLogging(program);
}

DecisionLine::DecisionLine(std::string_view kind)
    : m_text("kind=")
{
    m_text += kind;
}

DecisionLine &DecisionLine::field(std::string_view name, std::string_view value)
{
    appendLogField(m_text, name, value);
    return *this;
}

DecisionLine &DecisionLine::field(std::string_view name, std::int64_t value)
{
    return field(name, std::to_string(value));
}

DecisionLine &DecisionLine::reason(std::string_view text)
{
    m_text += " reason=";
    appendQuoted(m_text, text);
    return *this;
}

namespace {

/// @return whether a line contains a text that does not go on as a longer name or number
bool containsWord(const std::string &line, std::string_view text)
{
    auto found = line.find(text);
    while (found != std::string::npos) {
        const auto end = found + text.size();
        const bool goesOn = end < line.size() && !text.empty()
                && std::isalnum(static_cast<unsigned char>(line[end])) != 0
                && std::isalnum(static_cast<unsigned char>(text.back())) != 0;
        if (!goesOn)
            return true;
        found = line.find(text, found + 1);
    }
    return false;
}

} // namespace

DecisionLog::DecisionLog(std::string node, std::size_t keep)
    : m_node(std::move(node))
    , m_keep(keep)
{
}

std::string DecisionLog::write(const DecisionLine &line)
{
    std::string id = m_node + "/" + std::to_string(m_next++);
    std::string text = "decision=" + id + " " + line.text();
    LOG(INFO) << text;
    m_lines.push_back(std::move(text));
    if (m_lines.size() > m_keep)
        m_lines.pop_front();
    return id;
}

std::string DecisionLog::linesWith(std::string_view text) const
{
    std::string found;
    for (const std::string &line : m_lines) {
        if (containsWord(line, text))
            found += line + "\n";
    }
    return found;
}

} // namespace burdock
