#include "control/controlprogram.h"

#include "net/coroutines.h"
#include "node/configjson.h"
#include "peer.pb.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <glog/logging.h>

#include <csignal>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PlacementTick { 50 };
constexpr std::chrono::milliseconds ViewInterval { 500 };
constexpr std::chrono::milliseconds EnginePollInterval { 500 };
constexpr std::chrono::milliseconds ReleaseTimeout { 3'000 };

PlacementSettings placementSettings(const NodeSettings &settings)
{
    PlacementSettings placement;
    placement.region = settings.region;
    placement.node = settings.name;
    placement.incarnation = static_cast<std::uint64_t>(steadyNow().time_since_epoch().count());
    placement.lease.leaseTime = settings.leaseTime;
    placement.lease.holdTime = settings.leaseTime * 2 / 3;
    placement.lease.renewInterval = settings.leaseTime / 5;
    placement.lease.pollInterval = settings.leaseTime / 5;
    placement.warmUp = settings.leaseTime;
    return placement;
}

} // namespace

ControlProgram::ControlProgram(asio::io_context &io, NodeSettings settings)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_http(io)
    , m_objects(m_http, { m_settings.platformAddress, m_settings.platformPort })
    , m_log(m_settings.name + "-control")
    , m_link(io, *this)
    , m_shell(io, m_objects, m_http, m_log, m_metrics, placementSettings(m_settings))
    , m_statusServer(io, HttpLimits {}, *this)
    , m_signals(io, SIGTERM, SIGINT)
{
}

Result<Done> ControlProgram::start()
{
    auto listening = m_statusServer.listen({ m_settings.address, m_settings.controlStatusPort });
    if (!isOk(listening))
        return listening;
    auto peers = m_link.listen({ m_settings.address, m_settings.controlPeerPort });
    if (!isOk(peers))
        return peers;
    m_signals.async_wait([this](const auto &failure, int) {
        if (!failure)
            asio::co_spawn(m_io, stop(), asio::detached);
    });
    asio::co_spawn(m_io, placementTicks(), asio::detached);
    asio::co_spawn(m_io, viewRequests(), asio::detached);
    asio::co_spawn(m_io, enginePolls(), asio::detached);
    return Done {};
}

asio::awaitable<void> ControlProgram::placementTicks()
{
    while (true) {
        m_shell.tick();
        co_await sleepFor(PlacementTick);
    }
}

asio::awaitable<void> ControlProgram::viewRequests()
{
    while (true) {
        wire::PeerMessage message;
        message.mutable_view_request()->set_have_revision(m_catalog.revision);
        message.mutable_view_request()->set_lease_holder(m_shell.placement().lease().holder);
        m_link.send({ m_settings.address, m_settings.entryPeerPort }, message);
        co_await sleepFor(ViewInterval);
    }
}

void ControlProgram::onPeerMessage(const wire::PeerMessage &message)
{
    if (message.kind_case() == wire::PeerMessage::kNodeView)
        onView(message.node_view());
    else if (message.kind_case() == wire::PeerMessage::kDemand)
        onDemand(message.demand());
}

void ControlProgram::onView(const wire::NodeView &view)
{
    if (view.revision() > m_catalog.revision && view.texts_size() > 0) {
        const std::map<std::string, std::string> texts(view.texts().begin(), view.texts().end());
        auto read = catalogFromTexts(view.revision(), view.publish_id(), texts);
        if (isOk(read))
            m_catalog = takeValue(std::move(read));
        else
            LOG(ERROR) << "the configuration cannot be read: " << errorOf(read).message;
    }
    std::vector<VmEntry> vms;
    for (const wire::Vm &vm : view.vms()) {
        VmEntry entry;
        entry.name = vm.name();
        entry.endpoint = { vm.address(), static_cast<std::uint16_t>(vm.port()) };
        entry.group = vm.group();
        entry.availabilityZone = vm.availability_zone();
        entry.state = vm.leaving() ? VmState::Leaving : VmState::Live;
        vms.push_back(std::move(entry));
    }
    const std::vector<std::string> liveNodes(view.live_nodes().begin(), view.live_nodes().end());
    if (m_catalog.revision > 0)
        m_shell.onFleet(liveNodes, vms, m_catalog);
}

void ControlProgram::onDemand(const wire::DemandReport &report)
{
    DemandReport demand;
    demand.node = report.node();
    for (const wire::ModelDemand &model : report.models())
        demand.models.push_back({ model.model(), model.requests_per_second() });
    m_shell.placement().onDemand(demand, steadyNow());
}

asio::awaitable<void> ControlProgram::enginePolls()
{
    while (true) {
        m_shell.pollEngines();
        co_await sleepFor(EnginePollInterval);
    }
}

asio::awaitable<void> ControlProgram::stop()
{
    LOG(INFO) << "stopping: gives the lease back";
    m_shell.release();
    const Instant deadline = steadyNow() + ReleaseTimeout;
    while (m_shell.placement().owns() && steadyNow() < deadline)
        co_await sleepFor(PlacementTick);
    m_io.stop();
}

std::string ControlProgram::statusText()
{
    const Placement &placement = m_shell.placement();
    json::array engines;
    for (const auto &[name, row] : placement.engines()) {
        json::array copies;
        for (const ResidentCopy &copy : row.state.copies) {
            copies.push_back({ { "model", copy.model },
                               { "version", copy.version },
                               { "memory_mb", copy.memoryMb },
                               { "ready", copy.state == CopyState::Ready } });
        }
        engines.push_back({ { "name", name },
                            { "availability_zone", row.state.zone },
                            { "memory_mb", row.state.memoryMb },
                            { "copies", std::move(copies) } });
    }
    const json::value status = { { "node", m_settings.name },
                                 { "availability_zone", m_settings.availabilityZone },
                                 { "config_revision", m_catalog.revision },
                                 { "active", placement.isActive(steadyNow()) },
                                 { "term", placement.term() },
                                 { "lease_holder", placement.lease().holder },
                                 { "open_orders", placement.openOrders().size() },
                                 { "platform_calls", m_objects.calls() },
                                 { "engines", std::move(engines) } };
    return json::serialize(status);
}

StatusPage ControlProgram::page(const HttpRequest &request)
{
    if (auto common = commonPage(request, m_metrics, m_log))
        return std::move(*common);
    const std::string path = pathOf(request);
    if (path == "/ready")
        return readyPage(m_catalog.revision > 0);
    if (path == "/status")
        return jsonPage(statusText());
    return missingPage();
}

asio::awaitable<void> ControlProgram::handle(const HttpRequest &request, HttpReply &reply)
{
    co_await sendPage(reply, page(request));
}

} // namespace burdock
