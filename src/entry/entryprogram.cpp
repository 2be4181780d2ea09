#include "entry/entryprogram.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <csignal>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DispatchTick { 10 };
constexpr std::chrono::milliseconds EnginePollInterval { 250 };
constexpr std::chrono::milliseconds DemandInterval { 2'000 };
constexpr std::chrono::milliseconds VmListInterval { 1'000 };
constexpr std::chrono::milliseconds FleetTick { 20 };
constexpr std::chrono::milliseconds DrainPollInterval { 20 };

HttpLimits callerLimits(const NodeSettings &settings)
{
    HttpLimits limits;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.readTimeout = settings.headerTimeout + settings.bodyTimeout;
    limits.maxConnections = settings.maxOpenRequests;
    return limits;
}

} // namespace

EntryProgram::EntryProgram(asio::io_context &io, NodeSettings settings)
    : m_io(io)
    , m_state(io, std::move(settings))
    , m_controlLink(m_state)
    , m_callerApi(m_state)
    , m_statusPages(m_state, [this] { beginDrain(); })
    , m_callerServer(io, callerLimits(m_state.settings), m_callerApi)
    , m_statusServer(io, HttpLimits {}, m_statusPages)
    , m_signals(io, SIGTERM, SIGINT)
{
}

Result<Done> EntryProgram::start()
{
    const NodeSettings &settings = m_state.settings;
    auto callers = m_callerServer.listen({ settings.address, settings.callerPort });
    if (!isOk(callers))
        return callers;
    auto status = m_statusServer.listen({ settings.address, settings.entryStatusPort });
    if (!isOk(status))
        return status;
    auto peers = m_state.link.listen({ settings.address, settings.entryPeerPort });
    if (!isOk(peers))
        return peers;
    m_signals.async_wait([this](const auto &failure, int) {
        if (!failure)
            beginDrain();
    });
    asio::co_spawn(m_io, dispatchTicks(), asio::detached);
    m_state.onViewRequest = [this](const wire::ViewRequest &request) {
        m_controlLink.onViewRequest(request);
    };
    asio::co_spawn(m_io, demandReports(), asio::detached);
    asio::co_spawn(m_io, followVmList(), asio::detached);
    asio::co_spawn(m_io, fleetTicks(), asio::detached);
    asio::co_spawn(m_io, followEngines(), asio::detached);
    return Done {};
}

asio::awaitable<void> EntryProgram::dispatchTicks()
{
    while (true) {
        m_state.board.tick();
        co_await sleepFor(DispatchTick);
    }
}

asio::awaitable<void> EntryProgram::demandReports()
{
    while (true) {
        m_controlLink.reportDemand();
        co_await sleepFor(DemandInterval);
    }
}

asio::awaitable<void> EntryProgram::followVmList()
{
    while (true) {
        auto vms = co_await m_state.objects.vms();
        if (isOk(vms))
            m_state.onVmList(takeValue(std::move(vms)));
        co_await sleepFor(VmListInterval);
    }
}

asio::awaitable<void> EntryProgram::followEngines()
{
    while (true) {
        co_await m_state.feed.pollEngines();
        co_await sleepFor(EnginePollInterval);
    }
}

asio::awaitable<void> EntryProgram::fleetTicks()
{
    while (true) {
        m_state.fleet.tick();
        m_state.orders.tick();
        co_await sleepFor(FleetTick);
    }
}

void EntryProgram::beginDrain()
{
    if (m_state.draining)
        return;
    asio::co_spawn(m_io, drain(), asio::detached);
}

asio::awaitable<void> EntryProgram::drain()
{
    LOG(INFO) << "draining: refuses new requests, finishes those in progress";
    m_state.draining = true;
    while (m_callerServer.requestsInProgress() > 0)
        co_await sleepFor(DrainPollInterval);
    LOG(INFO) << "drained";
    m_io.stop();
}

} // namespace burdock
