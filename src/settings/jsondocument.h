// Reads files and parses JSON with comments.
//
// Index
//   readTextFile   a whole file as text
//   JsonDocument   a parsed text, to be read with jsonreader.h
#pragma once

#include "base/result.h"

#include <boost/json/fwd.hpp>

#include <memory>
#include <string>
#include <string_view>

namespace burdock {

// ---- Files --------------------------------------------------------------------------------------

/// Reads a whole file.
/// @param path the file; its size is bounded by MaxSettingsBytes
/// @return the text, or SettingsUnreadable
Result<std::string> readTextFile(const std::string &path);

inline constexpr std::size_t MaxSettingsBytes = 4'000'000; // bytes; above it a file is refused

// ---- Documents ----------------------------------------------------------------------------------

class JsonDocument
{
public:
    /// Parses JSON with comments. Repeated keys are refused.
    /// @param text the text, UTF-8
    /// @param fileName named in errors
    /// @return the document, or SettingsUnreadable with line and column
    static Result<JsonDocument> parse(std::string_view text, const std::string &fileName);

    const boost::json::value &root() const { return *m_root; }

private:
    explicit JsonDocument(boost::json::value root);

    std::shared_ptr<const boost::json::value> m_root;
};

} // namespace burdock
