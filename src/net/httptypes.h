// Requests and answers as plain data, for servers and clients alike.
//
// Index
//   HttpHeader, HttpRequest, HttpResponseHead
//   headerValue    looks up a header
//   queryValue     looks up a query parameter
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock {

struct HttpHeader
{
    std::string name;  // as sent; compared without regard to case
    std::string value; // without surrounding spaces
};

struct HttpRequest
{
    std::string method = "GET";      // in capitals
    std::string target = "/";        // path and query
    std::string host;                // Host header; empty: the address of the connection
    std::vector<HttpHeader> headers; // without Host, Content-Length and Connection
    std::string body;                // whole body
};

struct HttpResponseHead
{
    int status = 0;                  // HTTP status code
    std::vector<HttpHeader> headers; // without Content-Length, Connection and Transfer-Encoding
};

/// @param headers headers of a request or an answer
/// @param name a header's name, in any case
/// @return the first value, or nothing
std::optional<std::string> headerValue(const std::vector<HttpHeader> &headers,
                                       std::string_view name);

/// @return the target's part before the '?'
std::string pathOf(const HttpRequest &request);

/// @param request a request
/// @param name a query parameter's name
/// @return its decoded value, or nothing
std::optional<std::string> queryValue(const HttpRequest &request, std::string_view name);

/// Encodes a text for use as one segment of a path or as a query value.
std::string percentEncode(std::string_view text);

/// Decodes what percentEncode encodes.
std::string percentDecode(std::string_view text);

} // namespace burdock
