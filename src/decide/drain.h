// Planned stops: of this node, without a request cut or refused, and of upstreams.
//
// Index
//   DrainPhase         running, leaving, refusing, stopped
//   AnnounceLeaving, RefuseNewWork, StopNow, DrainAction
//   DrainSettings
//   NodeDrain          the stop of this node, from SIGTERM to the end
//   LeavingUpstreams   which upstreams get no new work
//
// The stop of a node
//   Callers keep an address until its answer expires, and other nodes go on giving this node's
//   address until they hear that it leaves. So it announces that it leaves, serves until the last
//   answer that anybody may have given has expired, then refuses new work (not run), finishes what
//   is in progress and ends. If no other node can take callers, it goes on serving, up to a limit.
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
    Running,  // nothing planned
    Leaving,  // announced; still serves callers that hold its address
    Refusing, // no caller holds its address; finishes what is in progress
    Stopped,  // nothing in progress; the process may end
};

/// @return the phase's name in lower case, for logs
std::string drainPhaseName(DrainPhase phase);

/// Call Membership::announceLeaving() and leave this node out of address answers.
struct AnnounceLeaving
{
};

/// Close the listening socket, or answer new requests with RefusedDraining.
struct RefuseNewWork
{
    std::string reason; // one phrase for the log line
};

/// Call Membership::announceStopped() and end the process.
struct StopNow
{
};

using DrainAction = std::variant<AnnounceLeaving, RefuseNewWork, StopNow>;

struct DrainSettings
{
    Duration answerLifetime = std::chrono::seconds(10); // AddressSettings::lifetime
    Duration convergence = std::chrono::seconds(15);    // until everybody knows that it leaves
    Duration clockSlack = std::chrono::seconds(1);      // callers' clocks and the way of an answer
    Duration holdLimit = std::chrono::minutes(5);       // serves on for want of other nodes
    bool serveUntilAnswersExpire = true;                // tests only: off refuses at once
};

/// Call tick() several times a second, and takeActions() after each call.
class NodeDrain
{
public:
    explicit NodeDrain(DrainSettings settings);

    /// Starts the stop; a second call changes nothing.
    void start(Instant now);

    /// Takes how many other entry nodes can take callers now; call it with each membership change.
    void onOtherUsableNodes(std::size_t count, Instant now);

    /// A request arrived.
    /// @return whether it is admitted; if not, answer RefusedDraining: it was not run
    bool onRequest();

    /// An admitted request ended, however it ended.
    void onRequestFinished(Instant now);

    void tick(Instant now);

    std::vector<DrainAction> takeActions();

    DrainPhase phase() const { return m_phase; }
    std::uint64_t inProgress() const { return m_inProgress; }
    Instant serveDeadline() const { return m_serveDeadline; }

private:
    Duration answersExpireAfter() const;

    DrainSettings m_settings;
    DrainPhase m_phase = DrainPhase::Running;
    std::uint64_t m_inProgress = 0;
    std::size_t m_otherUsable = 0;
    Instant m_serveDeadline {}; // leaving: refuse from here on
    Instant m_holdDeadline {};  // leaving: no longer waits for other nodes
    std::vector<DrainAction> m_actions;
};

// ---- Upstreams ----------------------------------------------------------------------------------

/// Which upstreams get no new work: those that the VM list shows as leaving, those that another
/// node saw so, and those that an operator drains by the configuration (drainKey()). Requests in
/// progress finish; retries and resumes count as new work.
class LeavingUpstreams
{
public:
    /// Takes a reading of the VM list.
    /// @param listed names of all upstreams in it
    /// @param leaving those of them that leave
    /// @return names newly seen to leave: spread a FleetNote of UpstreamLeavingTopic for each
    std::vector<std::string> onVmList(const std::set<std::string> &listed,
                                      const std::set<std::string> &leaving);

    /// Takes a note of another node.
    void onLeavingNote(const std::string &upstream);

    /// Takes the keys of the configuration in force.
    void onConfig(const std::map<std::string, std::string> &texts);

    /// @return whether new work may go to the upstream
    bool mayReceive(const std::string &upstream) const;

    const std::set<std::string> &byVmList() const { return m_byVmList; }
    const std::set<std::string> &byOperator() const { return m_byOperator; }

private:
    std::set<std::string> m_byVmList;   // also those heard of by a note
    std::set<std::string> m_byOperator; //
};

constexpr const char *UpstreamLeavingTopic = "upstream leaving";

} // namespace burdock
