#include "ctl/fleet.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view EntryGroup = "entry";

Endpoint shifted(Endpoint endpoint, std::uint16_t offset)
{
    endpoint.port = static_cast<std::uint16_t>(endpoint.port + offset);
    return endpoint;
}

asio::awaitable<void> readProcess(HttpClient &http, Endpoint endpoint,
                                  std::chrono::milliseconds timeout, ProcessView &view)
{
    HttpRequest request;
    request.target = "/status";
    const auto page = co_await fetchPage(http, endpoint, std::move(request), timeout);
    if (!isOk(page))
        co_return;
    boost::system::error_code failure;
    view.status = json::parse(valueOf(page), failure);
    const json::object *status = view.status.if_object();
    const json::value *revision = status ? status->if_contains("config_revision") : nullptr;
    if (revision == nullptr || !revision->is_number())
        co_return;
    view.revision = revision->to_number<std::uint64_t>();
    view.answers = true;
}

asio::awaitable<void> readNode(HttpClient &http, std::chrono::milliseconds timeout, NodeView &view)
{
    co_await readProcess(http, view.target.entry, timeout, view.entry);
    if (view.target.control)
        co_await readProcess(http, *view.target.control, timeout, view.control);
}

bool hasLeft(const NodeView &node)
{
    return node.target.leaving && !node.entry.answers;
}

void addLag(const NodeView &node, const std::string &process, const ProcessView &view,
            std::uint64_t revision, std::vector<std::string> &phrases)
{
    const std::string name = node.target.name + " " + process;
    if (!view.answers)
        phrases.push_back(name + " does not answer");
    else if (view.revision < revision)
        phrases.push_back(name + " has revision " + std::to_string(view.revision));
}

} // namespace

asio::awaitable<Result<std::string>> fetchPage(HttpClient &http, Endpoint endpoint,
                                               HttpRequest request,
                                               std::chrono::milliseconds timeout)
{
    const auto answer = co_await http.call(endpoint, std::move(request), steadyNow() + timeout);
    if (const auto *failure = std::get_if<CallFailure>(&answer)) {
        co_return Error { ResultCode::NodeUnreachable,
                          toText(endpoint) + " does not answer: " + failure->message };
    }
    const auto &response = std::get<HttpResponse>(answer);
    if (response.head.status / 100 != 2) {
        co_return Error { ResultCode::NodeUnreachable,
                          toText(endpoint) + " answers with status "
                                  + std::to_string(response.head.status) };
    }
    co_return response.body;
}

asio::awaitable<Result<std::vector<NodeTarget>>> findNodes(ObjectClient &objects,
                                                           FleetOptions options)
{
    std::vector<NodeTarget> targets;
    for (const Endpoint &endpoint : options.nodes) {
        NodeTarget target;
        target.name = toText(endpoint);
        target.entry = endpoint;
        targets.push_back(std::move(target));
    }
    if (!targets.empty())
        co_return targets;
    const auto vms = co_await objects.vms();
    if (!isOk(vms))
        co_return errorOf(vms);
    for (const VmEntry &vm : valueOf(vms)) {
        if (vm.group != EntryGroup)
            continue;
        NodeTarget target;
        target.name = vm.name;
        target.zone = vm.availabilityZone;
        target.leaving = vm.state == VmState::Leaving;
        target.entry = shifted(vm.endpoint, options.statusOffset);
        target.control = shifted(vm.endpoint, options.controlOffset);
        targets.push_back(std::move(target));
    }
    co_return targets;
}

asio::awaitable<std::vector<NodeView>> readFleet(HttpClient &http, std::vector<NodeTarget> targets,
                                                 std::chrono::milliseconds timeout)
{
    std::vector<NodeView> fleet(targets.size());
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer allRead(executor, std::chrono::steady_clock::time_point::max());
    std::size_t left = targets.size();
    for (std::size_t i = 0; i < targets.size(); ++i) {
        fleet[i].target = std::move(targets[i]);
        NodeView &view = fleet[i];
        const auto work = [&http, timeout, &view, &left, &allRead]() -> asio::awaitable<void> {
            co_await readNode(http, timeout, view);
            if (--left == 0)
                allRead.cancel();
        };
        asio::co_spawn(executor, work, asio::detached);
    }
    boost::system::error_code cancelled;
    if (left > 0)
        co_await allRead.async_wait(withError(cancelled));
    co_return fleet;
}

std::vector<std::string> lagging(const std::vector<NodeView> &fleet, std::uint64_t revision)
{
    std::vector<std::string> phrases;
    for (const NodeView &node : fleet) {
        if (hasLeft(node))
            continue;
        addLag(node, "entry", node.entry, revision, phrases);
        if (node.target.control)
            addLag(node, "control", node.control, revision, phrases);
    }
    return phrases;
}

std::size_t inForceCount(const std::vector<NodeView> &fleet, std::uint64_t revision)
{
    return static_cast<std::size_t>(
            std::count_if(fleet.begin(), fleet.end(), [revision](const NodeView &node) {
                return !hasLeft(node) && lagging({ node }, revision).empty();
            }));
}

} // namespace burdock
