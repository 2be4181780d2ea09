// An IP address and a port.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <string>

namespace burdock {

struct Endpoint
{
    std::string address;    // IP number, never a host name
    std::uint16_t port = 0; // TCP port

    auto operator<=>(const Endpoint &) const = default;
};

/// @param text "IP:PORT"
/// @return the endpoint, or RequestMalformed with the text at fault
Result<Endpoint> parseEndpoint(const std::string &text);

/// @return "IP:PORT"
std::string toText(const Endpoint &endpoint);

} // namespace burdock
