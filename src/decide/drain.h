// Planned stops: of this node, without cutting off or refusing a request, and of upstreams.
//
// Index
//   DrainPhase         running, leaving, refusing, stopped
//   AnnounceLeaving, RefuseNewWork, StopNow, DrainAction
//   DrainSettings
//   NodeDrain          the stop of this node, from SIGTERM to the end of the process
//   LeavingUpstreams   the upstreams that receive no new work
//
// The stop of a node
//   Callers keep an address until its address answer expires, and other nodes include this node's
//   address in their answers until they receive the announcement that it leaves. So this node
//   announces that it leaves, serves until the last answer that any node may have given has
//   expired, then refuses new requests without running them, finishes the requests in progress and
//   stops. While no other node can take callers, it continues to serve, for at most maxHoldTime.
#pragma once

#include "base/instant.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- This node ----------------------------------------------------------------------------------

enum class DrainPhase {
    Running,  // no stop planned
    Leaving,  // leaving is announced; still serves callers that hold its address
    Refusing, // refuses new requests; finishes the requests in progress
    Stopped,  // no request in progress; the process may end
};

/// @return the phase's name in lower case, for logs
std::string drainPhaseName(DrainPhase phase);

/// The caller has to call Membership::announceLeaving() and leave this node out of its
/// address answers.
struct AnnounceLeaving
{
};

/// The caller has to close the listening socket, or answer new requests with RefusedDraining.
struct RefuseNewWork
{
    std::string reason; // phrase for the log line
};

/// The caller has to call Membership::announceStopped() and end the process.
struct StopNow
{
};

using DrainAction = std::variant<AnnounceLeaving, RefuseNewWork, StopNow>;

struct DrainSettings
{
    Duration answerLifetime = std::chrono::seconds(10); // AddressSettings::lifetime
    // Time until all nodes know that this node leaves.
    Duration convergenceTime = std::chrono::seconds(15);
    // Margin for differences of callers' clocks and the latency of an answer.
    Duration clockMargin = std::chrono::seconds(1);
    Duration maxHoldTime = std::chrono::minutes(5); // of serving while no other node is usable
    bool serveUntilAnswersExpire = true;            // tests only: false refuses at once
};

/// Decides how this node stops; does no I/O. Call tick() several times a second, and takeActions()
/// after each call.
class NodeDrain
{
public:
    explicit NodeDrain(DrainSettings settings);

    /// Starts the stop. Further calls have no effect.
    void start(Instant now);

    /// Sets how many other entry nodes can take callers now. Call it on each membership change.
    void setOtherUsableNodes(std::size_t count, Instant now);

    /// Records that a request arrived.
    /// @return whether it is admitted; if not, answer RefusedDraining, which says that it
    ///         was not run
    bool onRequest();

    /// Records that an admitted request ended, whatever its result.
    void onRequestFinished(Instant now);

    void tick(Instant now);

    std::vector<DrainAction> takeActions();

    DrainPhase phase() const { return m_phase; }
    std::uint64_t inProgress() const { return m_inProgress; }
    Instant serveDeadline() const { return m_serveDeadline; }

private:
    Duration answerExpiryDelay() const;

    DrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Running;
    std::uint64_t m_inProgress = 0;
    std::size_t m_otherUsable = 0;
    Instant m_serveDeadline {}; // leaving: new requests are refused from this time on
    Instant m_holdDeadline {};  // leaving: waits no longer for other nodes
    std::vector<DrainAction> m_actions;
};

// ---- Upstreams ----------------------------------------------------------------------------------

/// The upstreams that receive no new work: those that the VM list shows as leaving, those that
/// another node has reported as leaving, and those that an operator drains by the configuration
/// (drainKey()). Requests in progress finish; retries and resumes count as new work.
class LeavingUpstreams
{
public:
    /// Applies a snapshot of the VM list.
    /// @param listed names of all upstreams in it
    /// @param leaving the names in listed that the platform is about to remove
    /// @return upstreams that were not known as leaving before; the caller has to disseminate a
    ///         GossipRecord of UpstreamLeavingTopic for each
    std::vector<std::string> onVmList(const std::set<std::string> &listed,
                                      const std::set<std::string> &leaving);

    /// Applies the report of another node that an upstream leaves.
    void onLeavingRecord(const std::string &upstream);

    /// Replaces the upstreams that operators drain by those of the configuration in force.
    /// @param texts key -> text of each configuration entry
    void onConfig(const std::map<std::string, std::string> &texts);

    /// @return whether new work may be sent to the upstream
    bool mayReceive(const std::string &upstream) const;

    const std::set<std::string> &byVmList() const { return m_byVmList; }
    const std::set<std::string> &byOperator() const { return m_byOperator; }

private:
    std::set<std::string> m_byVmList; // also those that other nodes have reported
    std::set<std::string> m_byOperator;
};

constexpr const char *UpstreamLeavingTopic = "upstream leaving";

} // namespace burdock
