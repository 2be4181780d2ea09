// Compares the pages for operators with the code: each row and each example is run.
#include "base/resultcode.h"
#include "settings/jsondocument.h"
#include "settings/nodesettings.h"
#include "settings/servicefile.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <sstream>
#include <string>
#include <vector>

using namespace burdock;

namespace {

std::string page(const std::string &name)
{
    return valueOf(readTextFile(BURDOCK_SOURCE_DIR "/docs/" + name));
}

std::string trimmed(const std::string &cell)
{
    const std::size_t first = cell.find_first_not_of(" `");
    const std::size_t last = cell.find_last_not_of(" `");
    return first == std::string::npos ? "" : cell.substr(first, last - first + 1);
}

/// @return the cells of each table row whose first cell begins with the mark
std::vector<std::vector<std::string>> rows(const std::string &text, const std::string &mark)
{
    std::vector<std::vector<std::string>> found;
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (!line.starts_with("| " + mark))
            continue;
        std::vector<std::string> cells;
        std::istringstream parts(line.substr(1));
        for (std::string cell; std::getline(parts, cell, '|');)
            cells.push_back(trimmed(cell));
        found.push_back(cells);
    }
    return found;
}

std::vector<std::string> jsonBlocks(const std::string &text)
{
    const std::string begin = "```json\n";
    std::vector<std::string> blocks;
    for (std::size_t at = text.find(begin); at != std::string::npos; at = text.find(begin, at)) {
        at += begin.size();
        const std::size_t end = text.find("```", at);
        blocks.push_back(text.substr(at, end - at));
    }
    return blocks;
}

std::string nodeFile(const std::string &key, const std::string &value)
{
    std::string text = R"("name": "n", "availability_zone": "z", "address": "1.2.3.4",)"
                       R"( "platform": "1.2.3.5:9")";
    const bool spelledOut = text.find('"' + key + '"') != std::string::npos;
    if (!spelledOut)
        text += ", \"" + key + "\": " + value;
    return "{" + text + "}";
}

/// Every value that has a default, in the order of the page.
std::vector<std::string> defaults()
{
    const NodeSettings settings;
    return {
        settings.region,
        std::to_string(settings.callerPort),
        std::to_string(settings.entryPeerPort),
        std::to_string(settings.controlPeerPort),
        std::to_string(settings.entryStatusPort),
        std::to_string(settings.controlStatusPort),
        std::to_string(settings.maxHeaderBytes),
        std::to_string(settings.maxBodyBytes),
        std::to_string(settings.maxRequestMemoryMb),
        std::to_string(settings.headerTimeout.count()),
        std::to_string(settings.bodyTimeout.count()),
        std::to_string(settings.maxOpenRequests),
        std::to_string(settings.answerLifetime.count()),
        std::to_string(settings.leaseTime.count()),
        std::to_string(settings.seed),
    };
}

bool isRefusedFor(const std::string &key, const std::string &value)
{
    const auto result = parseNodeSettings(nodeFile(key, value), "f");
    return !isOk(result) && errorOf(result).code == ResultCode::SettingsOutOfRange
            && errorOf(result).message.starts_with("f: $." + key + ": ");
}

} // namespace

TEST_GROUP(Pages) {};

TEST(Pages, ResultCodesAreThoseOfTheCode)
{
    std::vector<std::vector<std::string>> listed;
    for (const auto &cells : rows(page("RESULT-CODES.md"), "")) {
        if (!cells[0].empty() && std::isdigit(static_cast<unsigned char>(cells[0][0])) != 0)
            listed.push_back(cells);
    }
    LONGS_EQUAL(resultCodeRows().size(), listed.size());
    for (std::size_t i = 0; i < listed.size(); ++i) {
        const ResultCodeRow &row = resultCodeRows()[i];
        const std::vector<std::string> expected = {
            std::to_string(static_cast<int>(row.code)),
            std::string(row.name),
            std::to_string(row.httpStatus),
            std::to_string(row.exitCode),
            std::string(row.meaning),
        };
        for (std::size_t cell = 0; cell < expected.size(); ++cell)
            STRCMP_EQUAL(expected[cell].c_str(), listed[i][cell].c_str());
        CHECK_TEXT(!listed[i].at(5).empty(), "each code says what to do");
    }
}

TEST(Pages, ServiceFileErrorsAreThoseOfTheCode)
{
    auto listed = rows(page("SERVICE-FILES.md"), "`{");
    for (const auto &cells : rows(page("SERVICE-FILES.md"), "`["))
        listed.push_back(cells);
    LONGS_EQUAL(27, listed.size());
    for (const auto &cells : listed) {
        const Result<Service> result = parseService(cells[0], "f");
        CHECK_TEXT(!isOk(result), cells[0].c_str());
        STRCMP_EQUAL(("f: " + cells[2]).c_str(), errorOf(result).message.c_str());
        LONGS_EQUAL(std::stol(cells[1]), static_cast<int>(errorOf(result).code));
    }
}

TEST(Pages, ServiceFileExamplesAreGood)
{
    const std::vector<std::string> blocks = jsonBlocks(page("SERVICE-FILES.md"));
    LONGS_EQUAL(3, blocks.size());
    for (const std::string &block : blocks) {
        const Result<Service> result = parseService(block, "f");
        CHECK_TEXT(isOk(result), isOk(result) ? "" : errorOf(result).message.c_str());
    }
    for (std::size_t i = 0; i < 2; ++i)
        CHECK_TEXT(std::count(blocks[i].begin(), blocks[i].end(), '\n') <= 10, "ten lines");
}

TEST(Pages, SettingsBoundsAndDefaultsAreThoseOfTheCode)
{
    const std::vector<std::string> expected = defaults();
    std::size_t withDefault = 0;
    for (const auto &cells : rows(page("SETTINGS.md"), "`")) {
        const std::string &key = cells[0];
        if (cells[2] != "required")
            STRCMP_EQUAL(expected.at(withDefault++).c_str(), cells[2].c_str());
        const std::size_t to = cells[1].find(" to ");
        if (to == std::string::npos)
            continue;
        const std::string lowest = cells[1].substr(0, to);
        const std::string highest = cells[1].substr(to + 4);
        CHECK_TEXT(isOk(parseNodeSettings(nodeFile(key, lowest), "f")), key.c_str());
        CHECK_TEXT(isOk(parseNodeSettings(nodeFile(key, highest), "f")), key.c_str());
        CHECK_TEXT(isRefusedFor(key, std::to_string(std::stoll(lowest) - 1)), key.c_str());
        const auto above = static_cast<std::uint64_t>(std::stoll(highest)) + 1;
        CHECK_TEXT(isRefusedFor(key, std::to_string(above)), key.c_str());
    }
    LONGS_EQUAL(expected.size(), withDefault);
    for (const std::string &block : jsonBlocks(page("SETTINGS.md")))
        CHECK(isOk(parseNodeSettings(block, "f")));
}
