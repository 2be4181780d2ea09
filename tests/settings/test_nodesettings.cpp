#include "settings/nodesettings.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <string>
#include <vector>

using namespace burdock;

namespace {

const std::string Base = R"("name": "entry-1", "availability_zone": "ga-central-a",
    "address": "127.0.0.11", "platform": "127.0.0.1:7000")";

struct BadCase
{
    std::string text;     // the whole file
    ResultCode code;      // of the first problem
    std::string fragment; // part of the message
};

std::string with(const std::string &more)
{
    return "{" + Base + ", " + more + "}";
}

void checkRefused(const BadCase &bad)
{
    const Result<NodeSettings> result = parseNodeSettings(bad.text, "node.json");
    CHECK_TEXT(!isOk(result), bad.text.c_str());
    const std::string message = errorOf(result).message;
    LONGS_EQUAL_TEXT(static_cast<int>(bad.code), static_cast<int>(errorOf(result).code),
                     message.c_str());
    CHECK_TEXT(message.starts_with("node.json: $"), message.c_str());
    CHECK_TEXT(message.find(bad.fragment) != std::string::npos, message.c_str());
}

} // namespace

TEST_GROUP(NodeSettings) {};

TEST(NodeSettings, ShortFileWithCommentsTakesDefaults)
{
    const auto result = parseNodeSettings("// VM 1\n{" + Base + " /* end */}\n// end\n", "f");
    CHECK_TEXT(isOk(result), isOk(result) ? "" : errorOf(result).message.c_str());
    const NodeSettings &settings = valueOf(result);
    STRCMP_EQUAL("entry-1", settings.name.c_str());
    STRCMP_EQUAL("127.0.0.1", settings.platformAddress.c_str());
    LONGS_EQUAL(7000, settings.platformPort);
    LONGS_EQUAL(8080, settings.callerPort);
    LONGS_EQUAL(10'000, settings.answerLifetime.count());
}

TEST(NodeSettings, EachKindOfProblemIsRefusedWithFilePathAndReason)
{
    const std::vector<BadCase> cases = {
        { "{", ResultCode::SettingsUnreadable, "line 1" },
        { "", ResultCode::SettingsUnreadable, "incomplete" },
        { "[]", ResultCode::SettingsWrongType, "expected an object, found a list" },
        { "{} {}", ResultCode::SettingsUnreadable, "extra data" },
        { "{\"seed\": 1,\n \"seed\": 2}", ResultCode::SettingsUnreadable,
          R"(the key "seed" is given twice)" },
        { "{}", ResultCode::SettingsMissingKey, "$.name: this key is required" },
        { with("\"prot\": 1"), ResultCode::SettingsUnknownKey, "$.prot: no such key" },
        { with("\"a\\nb\": 1"), ResultCode::SettingsUnknownKey, R"($["a\nb"]: no such key)" },
        { with("\"caller_port\": \"80\""), ResultCode::SettingsWrongType, "$.caller_port" },
        { with("\"caller_port\": 80.5"), ResultCode::SettingsWrongType, "whole number" },
        { with("\"caller_port\": 0"), ResultCode::SettingsOutOfRange, "0 is outside 1 to 65535" },
        { with("\"caller_port\": 65536"), ResultCode::SettingsOutOfRange, "outside" },
        { with("\"seed\": 18446744073709551615"), ResultCode::SettingsOutOfRange, "outside" },
        { with("\"seed\": -1"), ResultCode::SettingsOutOfRange, "-1 is outside" },
        { with("\"max_body_bytes\": 1"), ResultCode::SettingsOutOfRange, "$.max_body_bytes" },
        { with("\"region\": \"a b\""), ResultCode::SettingsOutOfRange, "$.region" },
        { with("\"caller_port\": 8082"), ResultCode::SettingsClash, "taken by caller_port" },
        { R"({"name": "n", "availability_zone": "z", "address": "host", "platform": "1.2.3.4:5"})",
          ResultCode::SettingsOutOfRange, "$.address: must be an IP number" },
        { R"({"name": "n", "availability_zone": "z", "address": "::1", "platform": "::1:80"})",
          ResultCode::SettingsOutOfRange, "$.platform: must be IP:PORT" },
        { R"({"name":"n","availability_zone":"z","address":"::1","platform":"[::1]:8083"})",
          ResultCode::SettingsClash, "$.entry_status_port: port 8083 on this address is the" },
    };
    for (const BadCase &bad : cases)
        checkRefused(bad);
}

TEST(NodeSettings, EveryProblemIsReportedAtOnce)
{
    const auto result = parseNodeSettings(R"({"name": 3, "seed": -1, "x": 0})", "f");
    const std::string expected = "f: $.name: expected a text, found a whole number\n"
                                 "f: $.availability_zone: this key is required\n"
                                 "f: $.address: this key is required\n"
                                 "f: $.platform: this key is required\n"
                                 "f: $.seed: -1 is outside 0 to 9223372036854775807\n"
                                 "f: $.x: no such key";
    STRNCMP_EQUAL(expected.c_str(), errorOf(result).message.c_str(), expected.size());
}

TEST(NodeSettings, MissingFileIsUnreadable)
{
    const auto result = readNodeSettings("/nonexistent/node.json");
    CHECK(errorOf(result).code == ResultCode::SettingsUnreadable);
    CHECK(isOk(readNodeSettings("/")) == false);
}

TEST(NodeSettings, HostPortRoundTrip)
{
    CHECK(rc::check("format and parse agree", [] {
        const auto address = *rc::gen::element<std::string>("10.0.0.7", "::1", "fe80::1:2");
        const auto port = *rc::gen::inRange(1, 65'536);
        const HostPort given { address, static_cast<std::uint16_t>(port) };
        const auto parsed = parseHostPort(formatHostPort(given));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed->address == address && parsed->port == given.port);
    }));
}
