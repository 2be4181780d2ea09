#include "net/httptypes.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <cctype>

namespace burdock {

namespace {

int hexDigit(char digit)
{
    if (digit >= '0' && digit <= '9')
        return digit - '0';
    const char lower = static_cast<char>(std::tolower(static_cast<unsigned char>(digit)));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

} // namespace

const char *bodyDelimiterName(BodyDelimiter delimiter)
{
    switch (delimiter) {
    case BodyDelimiter::Length:
        return "length";
    case BodyDelimiter::Chunks:
        return "chunks";
    case BodyDelimiter::Close:
        return "close";
    }
    return "unknown";
}

bool isNamed(const HttpHeader &header, std::string_view name)
{
    return boost::beast::iequals(header.name, { name.data(), name.size() });
}

std::optional<std::string> headerValue(const std::vector<HttpHeader> &headers,
                                       std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [name](const auto &header) { return isNamed(header, name); });
    if (found == headers.end())
        return std::nullopt;
    return found->value;
}

std::string pathOf(const HttpRequest &request)
{
    return request.target.substr(0, request.target.find('?'));
}

std::optional<std::string> queryValue(const HttpRequest &request, std::string_view name)
{
    auto position = request.target.find('?');
    while (position != std::string::npos) {
        const auto next = request.target.find('&', position + 1);
        const std::string_view pair =
                std::string_view(request.target).substr(position + 1, next - position - 1);
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return percentDecode(pair.substr(equals + 1));
        position = next;
    }
    return std::nullopt;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        const bool escaped = text[index] == '%' && index + 2 < text.size()
                && hexDigit(text[index + 1]) >= 0 && hexDigit(text[index + 2]) >= 0;
        if (escaped) {
            decoded +=
                    static_cast<char>(hexDigit(text[index + 1]) * 16 + hexDigit(text[index + 2]));
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

std::string percentEncode(std::string_view text)
{
    constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char letter : text) {
        const auto byte = static_cast<unsigned char>(letter);
        if (std::isalnum(byte) != 0 || letter == '-' || letter == '_' || letter == '.'
            || letter == '~') {
            encoded += letter;
        } else {
            encoded += '%';
            encoded += Digits[byte >> 4];
            encoded += Digits[byte & 0xF];
        }
    }
    return encoded;
}

} // namespace burdock
