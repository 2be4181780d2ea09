#include "entry/entryprogram.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

#include <algorithm>
#include <csignal>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds DispatchTick { 10 };
constexpr std::chrono::milliseconds EnginePollInterval { 250 };
constexpr std::chrono::milliseconds DemandInterval { 2'000 };
constexpr std::chrono::milliseconds VmListInterval { 1'000 };
constexpr std::chrono::milliseconds FleetTick { 20 };
constexpr std::chrono::milliseconds LastWordsTime { 200 }; // for the last messages to leave

constexpr std::size_t BytesPerMb = 1024 * 1024;
/// A body in chunks takes up to twice its length while it grows, and counts twice when answered.
constexpr std::size_t LeastBodies = 4;

HttpLimits callerLimits(const NodeSettings &settings)
{
    HttpLimits limits;
    limits.maxHeaderBytes = settings.maxHeaderBytes;
    limits.maxBodyBytes = settings.maxBodyBytes;
    limits.maxBytesOfAll =
            std::max(static_cast<std::size_t>(settings.maxRequestMemoryMb) * BytesPerMb,
                     LeastBodies * settings.maxBodyBytes);
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
        m_state.quarantine.tick();
        m_state.suspects.tick();
        m_state.drain.tick(steadyNow());
        carryOutDrain();
        co_await sleepFor(FleetTick);
    }
}

void EntryProgram::beginDrain()
{
    LOG(INFO) << "a planned stop begins";
    m_state.drain.start(steadyNow());
    carryOutDrain();
}

void EntryProgram::carryOutDrain()
{
    for (const DrainAction &action : m_state.drain.takeActions()) {
        if (std::holds_alternative<AnnounceLeaving>(action)) {
            m_state.fleet.announceLeaving();
            m_state.rebuildAddresses();
            m_callerServer.closeAfterAnswers();
        } else if (const auto *refuse = std::get_if<RefuseNewWork>(&action)) {
            LOG(INFO) << "refuses new work: " << refuse->reason;
            m_callerServer.stopAccepting();
        } else if (std::holds_alternative<StopNow>(action)) {
            asio::co_spawn(m_io, stop(), asio::detached);
        }
    }
}

asio::awaitable<void> EntryProgram::stop()
{
    LOG(INFO) << "stops: nothing is in progress";
    m_state.fleet.announceStopped();
    co_await sleepFor(LastWordsTime);
    m_io.stop();
}

} // namespace burdock
