#include "ctl/commands.h"
#include "ctl/publishrun.h"
#include "ctl/session.h"

#include <boost/json.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// @return the member as JSON text, or "-"
std::string shown(const json::value &status, const std::string &key)
{
    const json::object *object = status.if_object();
    const json::value *member = object == nullptr ? nullptr : object->if_contains(key);
    if (member == nullptr)
        return "-";
    return member->is_string() ? std::string(member->get_string()) : json::serialize(*member);
}

std::string processText(const ProcessView &view)
{
    return view.answers ? "revision " + std::to_string(view.revision) : "does not answer";
}

json::object nodeToJson(const NodeView &node)
{
    json::object object;
    object["name"] = node.target.name;
    object["availability_zone"] = node.target.zone;
    object["leaving"] = node.target.leaving;
    object["entry"] = node.entry.answers ? node.entry.status : json::value();
    object["control"] = node.control.answers ? node.control.status : json::value();
    return object;
}

void printNode(const NodeView &node, CommandOutput &output)
{
    std::string text =
            node.target.name + " " + node.target.zone + ": entry " + processText(node.entry);
    if (node.entry.answers) {
        text += ", active " + shown(node.entry.status, "active");
        text += ", queued " + shown(node.entry.status, "queued");
        const std::string phase = shown(node.entry.status, "drain_phase");
        if (phase != "running")
            text += ", " + phase;
    }
    if (node.target.control)
        text += "; control " + processText(node.control);
    if (shown(node.control.status, "active") == "true")
        text += ", places models (term " + shown(node.control.status, "term") + ")";
    if (node.target.leaving)
        text += "; leaving";
    output.line(text);
}

void printEngine(const json::value &engine, CommandOutput &output)
{
    std::string copies;
    const json::object *row = engine.if_object();
    const json::value *list = row == nullptr ? nullptr : row->if_contains("copies");
    if (list != nullptr && list->is_array()) {
        for (const json::value &copy : list->get_array()) {
            copies += " " + shown(copy, "model") + "@" + shown(copy, "version");
            copies += shown(copy, "ready") == "true" ? "" : " (loading)";
        }
    }
    output.line("engine " + shown(engine, "name") + " " + shown(engine, "availability_zone") + ":"
                + (copies.empty() ? " no models" : copies));
}

/// Shows the engines as the process that places models sees them.
void printPlacement(const std::vector<NodeView> &fleet, CommandOutput &output)
{
    const auto holder = std::find_if(fleet.begin(), fleet.end(), [](const NodeView &node) {
        return shown(node.control.status, "active") == "true";
    });
    if (holder == fleet.end()) {
        output.line("no process places models now");
        return;
    }
    const json::value *engines = holder->control.status.get_object().if_contains("engines");
    if (engines == nullptr || !engines->is_array())
        return;
    for (const json::value &engine : engines->get_array())
        printEngine(engine, output);
}

void printInForce(const std::vector<NodeView> &fleet, CommandOutput &output)
{
    std::uint64_t newest = 0;
    for (const NodeView &node : fleet)
        newest = std::max({ newest, node.entry.revision, node.control.revision });
    const std::size_t count = inForceCount(fleet, newest);
    output.set("revision", newest);
    output.set("in_force", count);
    output.set("nodes_in_all", fleet.size());
    output.line("revision " + std::to_string(newest) + " is in force on " + std::to_string(count)
                + " of " + std::to_string(fleet.size()) + " nodes");
    json::array lag;
    for (const std::string &phrase : lagging(fleet, newest)) {
        output.line("lagging: " + phrase);
        lag.emplace_back(phrase);
    }
    output.set("lagging", std::move(lag));
}

void printPublished(const ConfigHead &head, CommandOutput &output)
{
    output.set("published_revision", head.revision);
    json::array entries;
    for (const auto &[key, hash] : head.entries) {
        output.line("published: " + key);
        entries.emplace_back(key);
    }
    output.set("published", std::move(entries));
    if (head.history.empty())
        return;
    const PublishRecord &last = head.history.back();
    output.line("last publish: revision " + std::to_string(last.revision) + " by "
                + last.operatorName);
}

asio::awaitable<void> showStatus(Session &session)
{
    const FleetOptions &options = session.options.fleet;
    const auto targets = co_await findNodes(session.objects, options);
    if (!isOk(targets)) {
        Error error = errorOf(targets);
        error.message += "; name nodes with --node to ask them without the platform";
        session.output.error(error);
        co_return;
    }
    const auto fleet = co_await readFleet(session.http, valueOf(targets), options.callTimeout);
    printInForce(fleet, session.output);
    json::array nodes;
    bool anyAnswers = false;
    for (const NodeView &node : fleet) {
        printNode(node, session.output);
        nodes.emplace_back(nodeToJson(node));
        anyAnswers = anyAnswers || node.entry.answers || node.control.answers;
    }
    session.output.set("nodes", std::move(nodes));
    if (!anyAnswers)
        session.output.error(Error { ResultCode::NodeUnreachable, "no node answers" });
    printPlacement(fleet, session.output);
    const auto published = co_await readPublished(session.objects);
    if (isOk(published))
        printPublished(valueOf(published).head, session.output);
    else
        session.output.line("the platform does not answer: " + errorOf(published).message);
}

} // namespace

int runStatus(const CommonOptions &common)
{
    return runCommand(common, [](Session &session) { return showStatus(session); });
}

} // namespace burdock
