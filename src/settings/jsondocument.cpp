#include "settings/jsondocument.h"

// The only place that compiles Boost.JSON itself.
#include <boost/json/src.hpp>

#include <boost/json/basic_parser_impl.hpp>

#include <algorithm>
#include <fstream>
#include <set>
#include <vector>

namespace burdock {

namespace json = boost::json;

namespace {

std::string lineAndColumn(std::string_view text, std::size_t offset)
{
    const std::string_view before = text.substr(0, std::min(offset, text.size()));
    const auto lines = std::count(before.begin(), before.end(), '\n');
    const std::size_t lastBreak = before.rfind('\n');
    const std::size_t column =
            lastBreak == std::string_view::npos ? before.size() : before.size() - lastBreak - 1;
    return "line " + std::to_string(lines + 1) + ", column " + std::to_string(column + 1);
}

// ---- Repeated keys ------------------------------------------------------------------------------

/// Follows the parser's events to find the first key that one object holds twice; the document
/// itself would silently keep the last.
class RepeatedKeyHandler
{
public:
    static constexpr std::size_t max_object_size = static_cast<std::size_t>(-1); // NOLINT
    static constexpr std::size_t max_array_size = static_cast<std::size_t>(-1);  // NOLINT
    static constexpr std::size_t max_key_size = static_cast<std::size_t>(-1);    // NOLINT
    static constexpr std::size_t max_string_size = static_cast<std::size_t>(-1); // NOLINT

    // The names below are those that the parser calls. NOLINTBEGIN(readability-identifier-naming)
    bool on_document_begin(json::error_code &) { return true; }
    bool on_document_end(json::error_code &) { return true; }
    bool on_object_begin(json::error_code &)
    {
        m_objects.emplace_back();
        return true;
    }
    bool on_object_end(std::size_t, json::error_code &)
    {
        m_objects.pop_back();
        return true;
    }
    bool on_array_begin(json::error_code &) { return true; }
    bool on_array_end(std::size_t, json::error_code &) { return true; }
    bool on_key_part(json::string_view part, std::size_t, json::error_code &)
    {
        m_key += part;
        return true;
    }
    bool on_key(json::string_view part, std::size_t, json::error_code &)
    {
        m_key += part;
        if (!m_objects.back().insert(m_key).second && m_repeated.empty())
            m_repeated = json::serialize(json::string(m_key));
        m_key.clear();
        return true;
    }
    bool on_string_part(json::string_view, std::size_t, json::error_code &) { return true; }
    bool on_string(json::string_view, std::size_t, json::error_code &) { return true; }
    bool on_number_part(json::string_view, json::error_code &) { return true; }
    bool on_int64(std::int64_t, json::string_view, json::error_code &) { return true; }
    bool on_uint64(std::uint64_t, json::string_view, json::error_code &) { return true; }
    bool on_double(double, json::string_view, json::error_code &) { return true; }
    bool on_bool(bool, json::error_code &) { return true; }
    bool on_null(json::error_code &) { return true; }
    bool on_comment_part(json::string_view, json::error_code &) { return true; }
    bool on_comment(json::string_view, json::error_code &) { return true; }
    // NOLINTEND(readability-identifier-naming)

    const std::string &repeated() const { return m_repeated; }

private:
    std::vector<std::set<std::string>> m_objects; // keys of each open object
    std::string m_key;                            // the key being read
    std::string m_repeated;                       // the first one that came twice
};

json::parse_options parseOptions()
{
    json::parse_options options;
    options.allow_comments = true;
    return options;
}

/// @return the first repeated key of a text that is known to parse, or nothing
std::string findRepeatedKey(std::string_view text)
{
    json::basic_parser<RepeatedKeyHandler> parser(parseOptions());
    json::error_code error;
    parser.write_some(false, text.data(), text.size(), error);
    return parser.handler().repeated();
}

Error unreadable(const std::string &fileName, const std::string &reason)
{
    return Error { ResultCode::SettingsUnreadable, fileName + ": $: " + reason };
}

} // namespace

// ---- Files --------------------------------------------------------------------------------------

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return unreadable(path, "the file cannot be opened");
    std::string text;
    text.resize(MaxSettingsBytes + 1);
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    if (file.bad() || (file.fail() && !file.eof()))
        return unreadable(path, "the file cannot be read");
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > MaxSettingsBytes)
        return unreadable(path, "longer than " + std::to_string(MaxSettingsBytes) + " bytes");
    return text;
}

// ---- Documents ----------------------------------------------------------------------------------

JsonDocument::JsonDocument(json::value root)
    : m_root(std::make_shared<const json::value>(std::move(root)))
{
}

Result<JsonDocument> JsonDocument::parse(std::string_view text, const std::string &fileName)
{
    json::parser parser(json::storage_ptr(), parseOptions());
    json::error_code error;
    const std::size_t consumed = parser.write_some(text.data(), text.size(), error);
    if (!error && consumed < text.size())
        error = json::error::extra_data;
    if (error)
        return unreadable(fileName, error.message() + " at " + lineAndColumn(text, consumed));
    const std::string repeated = findRepeatedKey(text);
    if (!repeated.empty())
        return unreadable(fileName, "the key " + repeated + " is given twice in one object");
    return JsonDocument(parser.release());
}

} // namespace burdock
