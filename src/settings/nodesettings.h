// The settings of one entry VM, read from JSON with comments by burdock-entry and burdock-control.
//
// Index
//   NodeSettings       the settings with their defaults
//   parseNodeSettings  checks a text
//   readNodeSettings   reads and checks a file
//   isIpNumber, parseHostPort, formatHostPort
//
// docs/SETTINGS.md lists every key, its bounds and its default.
#pragma once

#include "base/result.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace burdock {

// ---- Addresses ----------------------------------------------------------------------------------

struct HostPort
{
    std::string address;    // IP number
    std::uint16_t port = 0; // TCP port
};

/// @return whether the text is an IPv4 or IPv6 number, such as "10.0.0.7" or "::1"
bool isIpNumber(const std::string &text);

/// Reads "10.0.0.7:8080" or "[::1]:8080".
/// @return the address and a port above 0, or nothing
std::optional<HostPort> parseHostPort(const std::string &text);

/// Writes what parseHostPort reads.
std::string formatHostPort(const HostPort &hostPort);

// ---- Settings -----------------------------------------------------------------------------------

struct NodeSettings
{
    std::string name;                       // the VM's name in the VM list
    std::string availabilityZone;           // where the VM stands
    std::string region = "region-1";        // the region of that availability zone
    std::string address;                    // IP number on which every port below listens
    std::uint16_t callerPort = 8080;        // callers, HTTP/1.1
    std::uint16_t entryPeerPort = 8081;     // other nodes' entry processes, ZeroMQ
    std::uint16_t controlPeerPort = 8082;   // other nodes' control processes, ZeroMQ
    std::uint16_t entryStatusPort = 8083;   // status pages and metrics of the entry process
    std::uint16_t controlStatusPort = 8084; // status pages and metrics of the control process
    std::string platformAddress;            // IP number of the platform's service
    std::uint16_t platformPort = 0;         // its port
    std::size_t maxHeaderBytes = 16'384;    // bytes; a longer request header is refused
    std::size_t maxBodyBytes = 1'048'576;   // bytes; a longer request body is refused
    int maxRequestMemoryMb = 256; // of all requests that are read or answered at the same time
    std::chrono::milliseconds headerTimeout { 5'000 };   // for a caller to finish the header
    std::chrono::milliseconds bodyTimeout { 15'000 };    // for a caller to finish the body
    int maxOpenRequests = 10'000;                        // at once; more are refused
    std::chrono::milliseconds answerLifetime { 10'000 }; // how long callers keep an address answer
    std::chrono::milliseconds leaseTime { 5'000 };       // how long a lease lasts unless renewed
    std::uint64_t seed = 1;                              // of every random choice of this node
};

/// Checks the text of a settings file.
/// @param text JSON with comments
/// @param fileName named in errors
/// @return the settings, or one error with every problem, one a line, and the code of the first
Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName);

/// Reads and checks a settings file.
/// @param path the file
/// @return as parseNodeSettings
Result<NodeSettings> readNodeSettings(const std::string &path);

} // namespace burdock
