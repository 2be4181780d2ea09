#include "node/quarantineshell.h"

#include "peer.pb.h"
#include "peer/ledgerwire.h"

namespace burdock {

namespace asio = boost::asio;

namespace {

std::string refusalName(RunRefusal reason)
{
    switch (reason) {
    case RunRefusal::NotIdempotent:
        return "not idempotent";
    case RunRefusal::Quarantined:
        return "crashed as many upstreams as it may";
    case RunRefusal::NoPermit:
        return "no permit in time";
    }
    return "no permit in time";
}

} // namespace

QuarantineShell::QuarantineShell(asio::io_context &io, FleetShell &fleet, DecisionLog &log,
                                 std::string self)
    : m_io(io)
    , m_fleet(fleet)
    , m_log(log)
    , m_self(self)
    , m_quarantine(std::move(self), QuarantineSettings {})
{
}

// ---- Runs ---------------------------------------------------------------------------------------

asio::awaitable<RunPermit> QuarantineShell::ask(std::string run, std::uint64_t fingerprint,
                                                bool isRetry)
{
    const auto waiter = std::make_shared<AwaitedValue<RunPermit>>(m_io);
    m_waiters[run] = waiter;
    m_quarantine.onRun(run, fingerprint, isRetry, true, steadyNow());
    carryOut();
    RunPermit permit = co_await waiter->take();
    m_waiters.erase(run);
    co_return permit;
}

void QuarantineShell::onCompleted(const std::string &run)
{
    m_quarantine.onCompleted(run, steadyNow());
    carryOut();
}

void QuarantineShell::onAbandoned(const std::string &run)
{
    m_quarantine.onAbandoned(run, steadyNow());
    carryOut();
}

void QuarantineShell::onUpstreamLost(const std::string &upstream, const std::string &run)
{
    DecisionLine line("suspect");
    line.field("run", run).field("upstream", upstream);
    line.reason("the upstream was lost while the request was in flight on it");
    m_log.write(line);
    m_quarantine.onUpstreamLost(upstream, { run }, steadyNow());
    carryOut();
}

void QuarantineShell::decide(const std::string &run, RunPermit permit)
{
    if (const auto *refused = std::get_if<RefuseRun>(&permit)) {
        DecisionLine line("quarantine");
        line.field("run", run).reason(refusalName(refused->reason));
        m_log.write(line);
    }
    const auto found = m_waiters.find(run);
    if (found == m_waiters.end())
        return;
    found->second->set(std::move(permit));
}

// ---- Events and actions -------------------------------------------------------------------------

void QuarantineShell::onMessage(const QuarantineMessage &message)
{
    m_quarantine.onMessage(message, steadyNow());
    carryOut();
}

void QuarantineShell::onLiveNodes()
{
    m_quarantine.onLiveNodes(m_fleet.runningNodes());
    carryOut();
}

void QuarantineShell::tick()
{
    m_quarantine.tick(steadyNow());
    carryOut();
}

void QuarantineShell::carryOut()
{
    for (QuarantineAction &action : m_quarantine.takeActions()) {
        if (const auto *message = std::get_if<SendQuarantine>(&action))
            send(message->node, message->message);
        else if (const auto *toAll = std::get_if<BroadcastQuarantine>(&action))
            broadcast(toAll->message);
        else if (const auto *allowed = std::get_if<AllowRun>(&action))
            decide(allowed->run, *allowed);
        else if (const auto *refused = std::get_if<RefuseRun>(&action))
            decide(refused->run, *refused);
    }
}

void QuarantineShell::send(const std::string &node, const QuarantineMessage &message)
{
    wire::PeerMessage out;
    toWire(message, *out.mutable_quarantine());
    m_fleet.sendTo(node, out);
}

void QuarantineShell::broadcast(const QuarantineMessage &message)
{
    for (const std::string &node : m_fleet.runningNodes()) {
        if (node != m_self)
            send(node, message);
    }
}

} // namespace burdock
