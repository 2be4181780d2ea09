// Quarantine of poison requests: requests that crash the upstreams that run them. They are
// recognized by fingerprint, run again only with a permit, and refused once they have cost a
// bounded number of upstreams in the whole fleet.
//
// Index
//   QuarantineSettings   bounds and intervals
//   CrashReport, SuspectCleared, PermitRequest, PermitReply, PermitReturn, SuspectsRequest,
//   SuspectsReply        messages between nodes
//   SendQuarantine, BroadcastQuarantine, AllowRun, RefuseRun
//                        actions
//   SuspectRow, RunRow   tables
//   Quarantine           the decision module: events in, actions out
//
// Terms
//   fingerprint   hash of a request; equal requests to one service and model share it
//   run           one attempt to run a request, through one node, with a name unique in the fleet
//   loss          an upstream process that was lost while a request was in flight on it
//   suspect       a fingerprint with losses, which may be a poison request
//   permit        permission for one run of a suspect
//   permit owner  the node that issues the permits of a fingerprint, chosen among the live nodes by
//                 rendezvous hashing
//   quarantined   a suspect with maxUpstreams losses or more; its requests are refused
//
// How it works
//   When an upstream is lost, the node that used it broadcasts a crash report, and every request in
//   flight on the upstream becomes a suspect on all nodes. Each further run of a suspect, whether a
//   retry by a node or a resend by the caller, needs a permit. The permit owner issues one permit
//   at a time, and none once the fingerprint is quarantined. A run with a permit is isolated: it is
//   sent to an upstream with few other requests. When the run completes, the fingerprint is cleared
//   on all nodes; when its upstream is lost too, the loss counts towards maxUpstreams. A permit
//   that is not returned in time counts as a loss. A recently started node requests the suspects of
//   a peer.
//
//   An upstream is named by its process, so that a restarted upstream counts again. More than
//   maxUpstreams upstreams can be lost in three cases: several copies of a request are in flight
//   when the first of them crashes its upstream; a request is run through a node that has not
//   received the crash report yet; the permit owner changes while a permit is out, which allows one
//   more permit for each change.
//
// Example: tests/decide/test_quarantine.cpp
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdock {

// ---- Settings -----------------------------------------------------------------------------------

struct QuarantineSettings
{
    // Losses after which a fingerprint is quarantined.
    std::size_t maxUpstreams = 3;

    // Bound of the table of suspects. The oldest rows are evicted first, quarantined ones last.
    std::size_t maxSuspects = 4'096;

    // Time after which a suspect is removed, since its newest loss or permit request.
    std::chrono::minutes suspectDuration { 30 };

    // A run that has waited this long for a permit is refused.
    std::chrono::milliseconds permitTimeout { 2'000 };

    // Time between two PermitRequests of one run, and between two SuspectsRequests.
    std::chrono::milliseconds requestInterval { 250 };

    // A permit that is not returned within this time counts as a loss.
    std::chrono::seconds permitDuration { 120 };

    // Time between two broadcasts of the same CrashReport.
    std::chrono::milliseconds reportInterval { 500 };

    // Number of times a CrashReport is broadcast again, since a broadcast may be lost.
    int reportRepeats = 3;
};

/// @return the fingerprint of a request; equal requests to one service and model have the same
std::uint64_t requestFingerprint(std::string_view service, std::string_view model,
                                 std::string_view body);

// ---- Messages -----------------------------------------------------------------------------------

struct LostRun
{
    std::uint64_t fingerprint = 0;
    std::string run; // name of the run; its permit, if it had one, is used up
};

/// Sent to every node, several times: an upstream was lost.
struct CrashReport
{
    std::string upstream;      // name of the lost process
    std::vector<LostRun> runs; // runs that were in flight on it
};

/// Sent to every node: a run of the fingerprint completed, so it did not cause its losses.
struct SuspectCleared
{
    std::uint64_t fingerprint = 0;
    std::vector<std::string> upstreams; // losses to remove
};

/// Sent to the permit owner.
struct PermitRequest
{
    std::uint64_t fingerprint = 0;
    std::string run;                    // name of the run, unique in the fleet
    std::string node;                   // requesting node
    std::vector<std::string> upstreams; // losses that the requesting node knows
};

enum class PermitVerdict {
    Granted, // the run may start, once
    Wait,    // another run has the permit; request again later
    Refused, // the fingerprint is quarantined
};

/// Sent to the requesting node.
struct PermitReply
{
    std::uint64_t fingerprint = 0;
    std::string run;
    PermitVerdict verdict = PermitVerdict::Wait;
};

/// Sent to the permit owner: the run has ended without the loss of an upstream.
struct PermitReturn
{
    std::uint64_t fingerprint = 0;
    std::string run;
};

/// Sent by a recently started node to a peer.
struct SuspectsRequest
{
    std::string node; // requesting node
};

/// Sent to the requesting node: all suspects of the peer.
struct SuspectsReply
{
    std::map<std::uint64_t, std::vector<std::string>> losses; // lost upstreams by fingerprint
};

using QuarantineMessage = std::variant<CrashReport, SuspectCleared, PermitRequest, PermitReply,
                                       PermitReturn, SuspectsRequest, SuspectsReply>;

// ---- Actions ------------------------------------------------------------------------------------

/// Send a message to one node.
struct SendQuarantine
{
    std::string node;
    QuarantineMessage message;
};

/// Send a message to every other node.
struct BroadcastQuarantine
{
    QuarantineMessage message;
};

/// Start a run.
struct AllowRun
{
    std::string run;
    bool isolate = false; // the request may crash its upstream: choose one with few other requests
};

enum class RunRefusal {
    NotIdempotent, // it may have run already and must not run twice
    Quarantined,   // final: its fingerprint is quarantined
    NoPermit,      // not run: no permit within permitTimeout; the caller may retry later
};

/// Refuse a run; it must not start.
struct RefuseRun
{
    std::string run;
    RunRefusal reason = RunRefusal::NoPermit;
};

using QuarantineAction = std::variant<SendQuarantine, BroadcastQuarantine, AllowRun, RefuseRun>;

// ---- Tables -------------------------------------------------------------------------------------

struct SuspectRow
{
    std::set<std::string> upstreams;        // losses: names of lost processes
    Instant forgetAt {};                    // when the row expires, unless permits are out
    std::map<std::string, Instant> permits; // on the permit owner: expiry of each permit, by run
};

struct RunRow
{
    std::uint64_t fingerprint = 0;
    bool waiting = false;     // waits for a permit
    bool permitted = false;   // has a permit
    Instant refuseAt {};      // waiting: when the run is refused
    Instant nextRequestAt {}; // waiting: when to send the next PermitRequest
};

// ---- Quarantine ---------------------------------------------------------------------------------

class Quarantine
{
public:
    /// @param self name of this node
    Quarantine(std::string self, QuarantineSettings settings);

    // Events

    /// Sets the nodes among which permit owners are chosen, this node included.
    void onLiveNodes(std::vector<std::string> live);

    /// A request is about to run. The decision follows as AllowRun or RefuseRun: at once unless the
    /// request is a suspect, else within permitTimeout.
    /// @param run name of this run, unique in the fleet
    /// @param isRetry whether an earlier run of the same request by this node may have reached an
    /// upstream
    void onRun(const std::string &run, std::uint64_t fingerprint, bool isRetry, bool isIdempotent,
               Instant now);

    /// A run ended with a response, so the request does not crash its upstream.
    void onCompleted(const std::string &run, Instant now);

    /// A run ended without reaching an upstream, or its caller disconnected.
    void onAbandoned(const std::string &run, Instant now);

    /// An upstream was lost while these runs of this node were in flight on it; they have ended.
    /// @param upstream name of the lost process, different after a restart
    void onUpstreamLost(const std::string &upstream, const std::vector<std::string> &runs,
                        Instant now);

    /// A message from another node has arrived.
    void onMessage(const QuarantineMessage &message, Instant now);

    /// Expires permits, suspects and waiting runs, and resends messages that are due.
    void tick(Instant now);

    /// @return actions since the last call, in the order in which to carry them out
    std::vector<QuarantineAction> takeActions();

    // Tables

    const std::map<std::uint64_t, SuspectRow> &suspects() const { return m_suspects; }
    const std::map<std::string, RunRow> &runs() const { return m_runs; }
    /// @return whether every further run of that fingerprint is refused
    bool isQuarantined(std::uint64_t fingerprint) const;

private:
    struct RepeatedReport
    {
        CrashReport report;
        Instant nextAt;
        int repeatsLeft = 0;
    };

    void handle(const CrashReport &message, Instant now);
    void handle(const SuspectCleared &message, Instant now);
    void handle(const PermitRequest &message, Instant now);
    void handle(const PermitReply &message, Instant now);
    void handle(const PermitReturn &message, Instant now);
    void handle(const SuspectsRequest &message, Instant now);
    void handle(const SuspectsReply &message, Instant now);
    void requestSuspects(Instant now);
    SuspectRow &findOrAddSuspect(std::uint64_t fingerprint, Instant now);
    void addLoss(std::uint64_t fingerprint, const std::string &upstream, Instant now);
    void evictIfFull();
    void resendReports(Instant now);
    void resendPermitRequests(Instant now);
    void sendPermitRequest(const std::string &run, RunRow &row, Instant now);
    void applyVerdict(const std::string &run, const RunRow &row, PermitVerdict verdict);
    void endRun(const std::string &run, Instant now);
    void send(const std::string &node, const QuarantineMessage &message, Instant now);
    std::string permitOwner(std::uint64_t fingerprint) const;

    std::string m_self;
    QuarantineSettings m_settings;
    std::vector<std::string> m_live;
    std::map<std::uint64_t, SuspectRow> m_suspects;
    std::map<std::string, RunRow> m_runs;  // runs of this node, by name
    std::vector<RepeatedReport> m_reports; // crash reports of this node that are to be repeated
    bool m_isSynced = false;               // a peer has replied with its suspects
    std::size_t m_syncPeer = 0;            // index in m_live of the next peer to query
    Instant m_nextSyncAt {};               // when to send the next SuspectsRequest
    std::vector<QuarantineAction> m_actions;
};

} // namespace burdock
