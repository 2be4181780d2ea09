// Requests and answers as plain data, for servers and clients alike.
//
// Index
//   HttpHeader, HttpRequest, HttpResponseHead
//   BodyDelimiter  what marks the end of an answer's body
//   Status...      status codes that the programs send or tell apart
//   isNamed, headerValue   look at a header and look one up
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

/// What marks the end of an answer's body.
enum class BodyDelimiter {
    Length, // Content-Length, or an answer that has no body
    Chunks, // the last chunk
    Close,  // the end of the connection; a sender that crashes ends a connection in the same way
};

/// @return the value that log records use, e.g. "chunks"
const char *bodyDelimiterName(BodyDelimiter delimiter);

struct HttpResponseHead
{
    int status = 0;                  // HTTP status code
    std::vector<HttpHeader> headers; // without Content-Length, Connection and Transfer-Encoding
    BodyDelimiter delimiter = BodyDelimiter::Length; // of the answer as it was received
    bool onKeptConnection = false;                   // which had served a request before
};

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusNoContent = 204;
constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusGone = 410;
constexpr int StatusMisdirected = 421;
constexpr int StatusTooMany = 429;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/// @param name a header's name, in any case
bool isNamed(const HttpHeader &header, std::string_view name);

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
