#include "net/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace burdock {

Result<Endpoint> parseEndpoint(const std::string &text)
{
    const Error malformed { ResultCode::RequestMalformed, "'" + text + "' is not IP:PORT" };
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return malformed;

    Endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    boost::system::error_code failure;
    boost::asio::ip::make_address(endpoint.address, failure);
    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto parsed = std::from_chars(first, last, endpoint.port);
    if (failure || parsed.ec != std::errc() || parsed.ptr != last || endpoint.port == 0)
        return malformed;
    return endpoint;
}

std::string toText(const Endpoint &endpoint)
{
    return endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace burdock
