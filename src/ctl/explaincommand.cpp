#include "ctl/commands.h"
#include "ctl/session.h"

#include <boost/json.hpp>

#include <algorithm>
#include <sstream>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// @return the code of that number or name, or null
const ResultCodeRow *findCode(const std::string &about)
{
    const auto rows = resultCodeRows();
    const auto row = std::find_if(rows.begin(), rows.end(), [&about](const ResultCodeRow &each) {
        return each.name == about || std::to_string(static_cast<int>(each.code)) == about;
    });
    return row == rows.end() ? nullptr : &*row;
}

void printCode(const ResultCodeRow &row, CommandOutput &output)
{
    output.line("code " + std::to_string(static_cast<int>(row.code)) + " " + std::string(row.name)
                + ": " + std::string(row.meaning) + " (HTTP status "
                + std::to_string(row.httpStatus) + ", exit code " + std::to_string(row.exitCode)
                + ")");
    output.set("meaning", json::string(row.meaning));
}

struct ProcessTarget
{
    std::string name; // "entry-1 entry"
    Endpoint status;  // its status address
};

std::vector<ProcessTarget> processesOf(const std::vector<NodeTarget> &nodes)
{
    std::vector<ProcessTarget> processes;
    for (const NodeTarget &node : nodes) {
        processes.push_back({ node.name + " entry", node.entry });
        if (node.control)
            processes.push_back({ node.name + " control", *node.control });
    }
    return processes;
}

/// Prints the lines of one process.
/// @return how many there were
std::size_t printLines(const std::string &process, const std::string &page, json::array &list,
                       CommandOutput &output)
{
    std::size_t count = 0;
    std::istringstream lines(page);
    for (std::string line; std::getline(lines, line);) {
        if (line.empty())
            continue;
        output.line(std::string(process).append(": ").append(line));
        json::object object;
        object["process"] = process;
        object["line"] = line;
        list.emplace_back(std::move(object));
        ++count;
    }
    return count;
}

asio::awaitable<void> explain(Session &session, const std::string &about)
{
    if (const ResultCodeRow *row = findCode(about)) {
        printCode(*row, session.output);
        co_return;
    }
    const FleetOptions &options = session.options.fleet;
    const auto nodes = co_await findNodes(session.objects, options);
    if (!isOk(nodes)) {
        session.output.error(errorOf(nodes));
        co_return;
    }
    json::array list;
    std::size_t answering = 0;
    std::size_t found = 0;
    for (const ProcessTarget &process : processesOf(valueOf(nodes))) {
        HttpRequest request;
        request.target = "/explain?about=" + percentEncode(about);
        const auto page = co_await fetchPage(session.http, process.status, std::move(request),
                                             options.callTimeout);
        if (!isOk(page)) {
            session.output.progress(process.name + " does not answer");
            continue;
        }
        ++answering;
        found += printLines(process.name, valueOf(page), list, session.output);
    }
    session.output.set("decisions", std::move(list));
    if (answering == 0)
        session.output.error(Error { ResultCode::NodeUnreachable, "no node answers" });
    else if (found == 0)
        session.output.line("no kept decision mentions " + about);
}

} // namespace

int runExplain(const CommonOptions &common, const std::string &about)
{
    return runCommand(common, [&](Session &session) { return explain(session, about); });
}

} // namespace burdock
