#include "settings/textrules.h"

#include "settings/nodesettings.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace burdock {

namespace {

constexpr std::array<std::string_view, 7> Methods = { "GET",   "HEAD",   "POST",   "PUT",
                                                      "PATCH", "DELETE", "OPTIONS" };

bool isLetterOrDigit(char each)
{
    return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z')
            || (each >= '0' && each <= '9');
}

bool isNameCharacter(char each)
{
    return isLetterOrDigit(each) || each == '.' || each == '_' || each == '-';
}

/// Names stand in object keys, URLs and log lines, so they hold nothing that needs escaping.
std::string wordRule(const std::string &text, std::size_t maxLength)
{
    const bool good = !text.empty() && text.size() <= maxLength && isLetterOrDigit(text.front())
            && std::all_of(text.begin(), text.end(), isNameCharacter);
    if (good)
        return {};
    return "must be 1 to " + std::to_string(maxLength)
            + " letters, digits, '.', '_' or '-', and begin with a letter or digit";
}

} // namespace

std::string nameRule(const std::string &text)
{
    return wordRule(text, MaxNameLength);
}

std::string versionRule(const std::string &text)
{
    return wordRule(text, MaxVersionLength);
}

std::string pathRule(const std::string &text)
{
    const bool printable = std::all_of(text.begin(), text.end(),
                                       [](char each) { return each > ' ' && each < '\x7f'; });
    const bool good = text.starts_with('/') && text.size() <= MaxPathLength && printable
            && text.find_first_of("?#") == std::string::npos;
    if (good)
        return {};
    return "must begin with '/', hold no blanks, '?' or '#', and be at most "
            + std::to_string(MaxPathLength) + " characters long";
}

std::string ipRule(const std::string &text)
{
    return isIpNumber(text) ? "" : "must be an IP number, such as 10.0.0.7";
}

std::string hostPortRule(const std::string &text)
{
    return parseHostPort(text) ? "" : "must be IP:PORT, such as 10.0.0.7:8080 or [::1]:8080";
}

std::string methodRule(const std::string &text)
{
    if (std::find(Methods.begin(), Methods.end(), text) != Methods.end())
        return {};
    std::string known;
    for (const std::string_view method : Methods)
        known += (known.empty() ? "" : ", ") + std::string(method);
    return "must be one of " + known;
}

} // namespace burdock
