// Carries out what the quarantine of crashing requests decides.
//
// Index
//   RunPermit         whether a run may go ahead
//   QuarantineShell   messages between nodes, waiting runs
#pragma once

#include "decide/quarantine.h"
#include "net/awaitedvalue.h"
#include "net/decisionlog.h"
#include "node/fleetshell.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdock {

using RunPermit = std::variant<AllowRun, RefuseRun>;

class QuarantineShell
{
public:
    QuarantineShell(boost::asio::io_context &io, FleetShell &fleet, DecisionLog &log,
                    std::string self);

    /// Asks whether a run may go ahead; mostly answered at once.
    /// @param run unique name of the run
    /// @param fingerprint from requestFingerprint()
    /// @param isRetry an earlier run of the request may have reached an upstream
    boost::asio::awaitable<RunPermit> ask(std::string run, std::uint64_t fingerprint, bool isRetry);

    /// Reports the end of a run that was allowed: exactly one of these.
    void onCompleted(const std::string &run);
    void onAbandoned(const std::string &run);
    void onUpstreamLost(const std::string &upstream, const std::string &run);

    /// Takes a quarantine message of another node.
    void onMessage(const QuarantineMessage &message);

    /// The live nodes changed.
    void onLiveNodes();

    void tick();

    /// @return whether an upstream was lost while such a request was in flight on it
    bool isSuspect(std::uint64_t fingerprint) const
    {
        return m_quarantine.suspects().contains(fingerprint);
    }

    const Quarantine &quarantine() const { return m_quarantine; }

private:
    void carryOut();
    void decide(const std::string &run, RunPermit permit);
    void send(const std::string &node, const QuarantineMessage &message);
    void broadcast(const QuarantineMessage &message);

    boost::asio::io_context &m_io;
    FleetShell &m_fleet;
    DecisionLog &m_log;
    std::string m_self;
    Quarantine m_quarantine;
    std::map<std::string, std::shared_ptr<AwaitedValue<RunPermit>>> m_waiters; // by run
};

} // namespace burdock
