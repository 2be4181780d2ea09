// How the end of a message's body can be told from its head, for requests and answers alike.
//
// Includes Boost.Beast: for source files of net/ only.
#pragma once

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>

#include <string_view>

namespace burdock {

/// A body is framed by one length, by chunks alone, or by the end of its connection. Anything else
/// may be read differently by the next reader on the way.
/// @param head a request or a response of Beast
/// @return whether the head names one of these, in a version of HTTP that has it
template <typename Head>
bool isFramedClearly(const Head &head)
{
    namespace http = boost::beast::http;
    constexpr unsigned Version10 = 10;
    constexpr unsigned Version11 = 11;
    if (head.version() != Version10 && head.version() != Version11)
        return false;
    const auto lengths = head.count(http::field::content_length);
    if (head.count(http::field::transfer_encoding) == 0) {
        const std::string_view length = head[http::field::content_length];
        return lengths == 0
                || (lengths == 1 && !length.empty()
                    && length.find_first_not_of("0123456789") == std::string_view::npos);
    }
    return head.count(http::field::transfer_encoding) == 1 && lengths == 0
            && head.version() == Version11
            && boost::beast::iequals(head[http::field::transfer_encoding], "chunked");
}

} // namespace burdock
