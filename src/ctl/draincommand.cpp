#include "ctl/commands.h"
#include "ctl/inforce.h"
#include "ctl/publishrun.h"
#include "ctl/session.h"
#include "net/coroutines.h"

#include <boost/json.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollInterval { 250 };

// ---- Nodes --------------------------------------------------------------------------------------

asio::awaitable<bool> answers(Session &session, Endpoint status)
{
    HttpRequest request;
    request.target = "/live";
    const auto page = co_await fetchPage(session.http, status, std::move(request),
                                         session.options.fleet.callTimeout);
    co_return isOk(page);
}

asio::awaitable<void> drainNode(Session &session, const DrainOptions &options, NodeTarget node)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/drain";
    const auto told = co_await fetchPage(session.http, node.entry, std::move(request),
                                         session.options.fleet.callTimeout);
    if (!isOk(told)) {
        session.output.error(errorOf(told));
        co_return;
    }
    session.output.line(node.name
                        + " drains: it leaves new address answers, serves until the last "
                          "answer has expired and finishes what is in progress");
    const Instant deadline = steadyNow() + options.waitTime;
    while (steadyNow() < deadline) {
        if (!co_await answers(session, node.entry)) {
            session.output.line(node.name + " has stopped");
            co_return;
        }
        co_await sleepFor(PollInterval);
    }
    if (options.waitTime.count() > 0)
        session.output.error(Error { ResultCode::PublishNotInForce,
                                     node.name + " still drains; it stops by itself" });
}

// ---- Upstreams ----------------------------------------------------------------------------------

std::string drainText(const DrainOptions &options)
{
    json::object object;
    object["upstream"] = options.name;
    object["operator"] = options.operatorName;
    return json::serialize(object);
}

asio::awaitable<void> drainUpstream(Session &session, const DrainOptions &options,
                                    std::string publishId)
{
    const auto published = co_await readPublished(session.objects);
    if (!isOk(published)) {
        session.output.error(errorOf(published));
        co_return;
    }
    const std::string key = drainKey(options.name);
    const bool drained = valueOf(published).texts.contains(key);
    if (drained != options.undo) {
        session.output.line(options.name + (drained ? " is drained already" : " is not drained"));
        co_return;
    }
    PublishRequest request;
    request.publishId = std::move(publishId);
    request.operatorName = options.operatorName;
    request.changes[key] = std::nullopt;
    if (!options.undo)
        request.changes[key] = drainText(options);
    request.base = valueOf(published).head;
    const ServiceTextChecker checker({});
    const auto revision =
            co_await runPublisher(session.objects, request, checker, options.giveUpAfter);
    if (!isOk(revision)) {
        session.output.error(errorOf(revision));
        co_return;
    }
    session.output.set("revision", valueOf(revision));
    session.output.line(options.name + (options.undo ? " takes" : " gets no")
                        + " new work from revision " + std::to_string(valueOf(revision)));
    co_await waitUntilInForce(session, valueOf(revision), options.waitTime);
}

// ---- Both ---------------------------------------------------------------------------------------

asio::awaitable<void> drain(Session &session, const DrainOptions &options, std::string publishId)
{
    const auto vms = co_await session.objects.vms();
    const auto nodes = co_await findNodes(session.objects, session.options.fleet);
    if (!isOk(vms) || !isOk(nodes)) {
        session.output.error(isOk(vms) ? errorOf(nodes) : errorOf(vms));
        co_return;
    }
    for (const NodeTarget &node : valueOf(nodes)) {
        if (node.name != options.name)
            continue;
        if (options.undo)
            session.output.error(Error { ResultCode::UsageError,
                                         "a node's drain cannot be undone; start it again" });
        else
            co_await drainNode(session, options, node);
        co_return;
    }
    const bool listed = std::any_of(valueOf(vms).begin(), valueOf(vms).end(),
                                    [&](const VmEntry &vm) { return vm.name == options.name; });
    if (listed || options.undo)
        co_await drainUpstream(session, options, std::move(publishId));
    else
        session.output.error(
                Error { ResultCode::NodeUnreachable, "the VM list has no " + options.name });
}

} // namespace

int runDrain(const CommonOptions &common, const DrainOptions &options)
{
    return runCommand(common,
                      [&](Session &session) { return drain(session, options, newPublishId()); });
}

} // namespace burdock
