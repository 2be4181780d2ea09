#include "settings/nodesettings.h"

#include "settings/jsondocument.h"
#include "settings/jsonreader.h"
#include "settings/textrules.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>
#include <string_view>

namespace burdock {

namespace {

constexpr IntegerBounds PortBounds { 1, 65'535 };
constexpr IntegerBounds HeaderBytesBounds { 1'024, 1'048'576 };
constexpr IntegerBounds BodyBytesBounds { 1'024, 67'108'864 };
constexpr IntegerBounds RequestMemoryBounds { 1, 65'536 };  // megabytes
constexpr IntegerBounds ReadTimeoutBounds { 100, 600'000 }; // milliseconds
constexpr IntegerBounds OpenRequestsBounds { 1, 1'000'000 };
constexpr IntegerBounds AnswerLifetimeBounds { 1'000, 60'000 }; // milliseconds
constexpr IntegerBounds LeaseTimeBounds { 1'000, 60'000 };      // milliseconds

std::uint16_t readPort(JsonReader &reader, const std::string &key, std::uint16_t fallback)
{
    return static_cast<std::uint16_t>(reader.integer(key, fallback, PortBounds));
}

std::chrono::milliseconds readMilliseconds(JsonReader &reader, const std::string &key,
                                           std::chrono::milliseconds fallback, IntegerBounds bounds)
{
    return std::chrono::milliseconds(reader.integer(key, fallback.count(), bounds));
}

void readPlace(JsonReader &reader, NodeSettings &settings)
{
    settings.name = reader.requireText("name", nameRule);
    settings.availabilityZone = reader.requireText("availability_zone", nameRule);
    settings.region = reader.text("region", settings.region, nameRule);
    settings.address = reader.requireText("address", ipRule);
}

void readPorts(JsonReader &reader, NodeSettings &settings)
{
    settings.callerPort = readPort(reader, "caller_port", settings.callerPort);
    settings.entryPeerPort = readPort(reader, "entry_peer_port", settings.entryPeerPort);
    settings.controlPeerPort = readPort(reader, "control_peer_port", settings.controlPeerPort);
    settings.entryStatusPort = readPort(reader, "entry_status_port", settings.entryStatusPort);
    settings.controlStatusPort =
            readPort(reader, "control_status_port", settings.controlStatusPort);
}

void readPlatform(JsonReader &reader, NodeSettings &settings)
{
    const auto platform = parseHostPort(reader.requireText("platform", hostPortRule));
    if (!platform)
        return;
    settings.platformAddress = platform->address;
    settings.platformPort = platform->port;
}

void readLimits(JsonReader &reader, NodeSettings &settings)
{
    settings.maxHeaderBytes = static_cast<std::size_t>(
            reader.integer("max_header_bytes", static_cast<std::int64_t>(settings.maxHeaderBytes),
                           HeaderBytesBounds));
    settings.maxBodyBytes = static_cast<std::size_t>(reader.integer(
            "max_body_bytes", static_cast<std::int64_t>(settings.maxBodyBytes), BodyBytesBounds));
    settings.maxRequestMemoryMb = static_cast<int>(reader.integer(
            "max_request_memory_mb", settings.maxRequestMemoryMb, RequestMemoryBounds));
    settings.headerTimeout = readMilliseconds(reader, "header_timeout_ms", settings.headerTimeout,
                                              ReadTimeoutBounds);
    settings.bodyTimeout =
            readMilliseconds(reader, "body_timeout_ms", settings.bodyTimeout, ReadTimeoutBounds);
    settings.maxOpenRequests = static_cast<int>(
            reader.integer("max_open_requests", settings.maxOpenRequests, OpenRequestsBounds));
    settings.answerLifetime = readMilliseconds(reader, "answer_lifetime_ms",
                                               settings.answerLifetime, AnswerLifetimeBounds);
    settings.leaseTime =
            readMilliseconds(reader, "lease_time_ms", settings.leaseTime, LeaseTimeBounds);
    settings.seed = static_cast<std::uint64_t>(
            reader.integer("seed", static_cast<std::int64_t>(settings.seed), IntegerBounds {}));
}

struct NamedPort
{
    std::string_view key;
    std::uint16_t port = 0;
};

void checkClashes(const JsonReader &reader, const NodeSettings &settings)
{
    const std::array<NamedPort, 5> ports = { {
            { "caller_port", settings.callerPort },
            { "entry_peer_port", settings.entryPeerPort },
            { "control_peer_port", settings.controlPeerPort },
            { "entry_status_port", settings.entryStatusPort },
            { "control_status_port", settings.controlStatusPort },
    } };
    for (std::size_t i = 0; i < ports.size(); ++i) {
        const std::string key(ports[i].key);
        const std::string number = std::to_string(ports[i].port);
        for (std::size_t j = 0; j < i; ++j) {
            if (ports[i].port != ports[j].port)
                continue;
            reader.refuseMember(key, ResultCode::SettingsClash,
                                "port " + number + " is taken by " + std::string(ports[j].key));
        }
        if (settings.platformPort == ports[i].port && settings.platformAddress == settings.address)
            reader.refuseMember(key, ResultCode::SettingsClash,
                                "port " + number + " on this address is the platform's");
    }
}

} // namespace

// ---- Addresses ----------------------------------------------------------------------------------

bool isIpNumber(const std::string &text)
{
    in6_addr parsed {};
    // A NUL inside the text would end it early for inet_pton.
    if (text.find('\0') != std::string::npos)
        return false;
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1
            || inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

std::optional<HostPort> parseHostPort(const std::string &text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string address = text.substr(0, colon);
    const bool bracketed = address.size() > 2 && address.front() == '[' && address.back() == ']';
    if (bracketed)
        address = address.substr(1, address.size() - 2);
    const bool isIpv6 = address.find(':') != std::string::npos;
    if (!isIpNumber(address) || isIpv6 != bracketed)
        return std::nullopt;

    std::uint16_t port = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return HostPort { address, port };
}

std::string formatHostPort(const HostPort &hostPort)
{
    const bool isIpv6 = hostPort.address.find(':') != std::string::npos;
    const std::string address = isIpv6 ? "[" + hostPort.address + "]" : hostPort.address;
    return address + ":" + std::to_string(hostPort.port);
}

// ---- Settings -----------------------------------------------------------------------------------

Result<NodeSettings> parseNodeSettings(const std::string &text, const std::string &fileName)
{
    const Result<JsonDocument> document = JsonDocument::parse(text, fileName);
    if (!isOk(document))
        return errorOf(document);

    Problems problems(fileName);
    JsonReader reader(valueOf(document).root(), "$", problems);
    NodeSettings settings;
    readPlace(reader, settings);
    readPorts(reader, settings);
    readPlatform(reader, settings);
    readLimits(reader, settings);
    reader.finish();
    checkClashes(reader, settings);
    if (!problems.errors().empty())
        return joinErrors(problems.errors());
    return settings;
}

Result<NodeSettings> readNodeSettings(const std::string &path)
{
    const Result<std::string> text = readTextFile(path);
    if (!isOk(text))
        return errorOf(text);
    return parseNodeSettings(valueOf(text), path);
}

} // namespace burdock
