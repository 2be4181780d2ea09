// Requests that crash the upstreams that run them: found by fingerprint, run again only with a
// permit, and given up after a bounded number of upstreams in the whole fleet.
//
// Index
//   QuarantineSettings   bounds and intervals
//   CrashReport, SuspectCleared, PermitRequest, PermitReply, PermitReturn, SuspectsRequest,
//   SuspectsReply        messages between nodes
//   SendQuarantine, BroadcastQuarantine, AllowRun, RefuseRun
//                        actions
//   SuspectRow, RunRow   tables
//   Quarantine           the system: events in, tick, actions out
//
// How it works
//   When an upstream is lost, every request in flight on it becomes a suspect on all nodes. Each
//   further run of a suspect, be it a retry of ours or the caller's resend, needs a permit of the
//   fingerprint's home node, which gives out one at a time and none once the bound is reached. A
//   permitted run goes where little else is at stake. When it completes, the request is cleared
//   everywhere; when its upstream is lost too, that counts towards the bound. A permit that is
//   never returned counts as a lost upstream. A new node asks a peer for the suspects.
//
//   An upstream is named by its process, so that a restarted one counts again. Copies of one
//   request that are in flight when the first of them crashes its upstream are beyond the bound;
//   so is a run through a node that has not heard yet, and one permit for each change of the home
//   node while a permit is out.
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
    std::size_t maxUpstreams = 3;                     // a fingerprint may cost; then it is given up
    std::size_t maxSuspects = 4'096;                  // rows; the oldest go first
    std::chrono::minutes suspectFor { 30 };           // since the last lost upstream
    std::chrono::milliseconds permitWait { 2'000 };   // a run waits this long for a permit
    std::chrono::milliseconds askInterval { 250 };    // between repeats of a PermitRequest
    std::chrono::seconds permitFor { 120 };           // then a permit counts as a lost upstream
    std::chrono::milliseconds reportInterval { 500 }; // between repeats of a CrashReport
    int reportRepeats = 3;                            // since a broadcast may be lost
};

/// @return the fingerprint of a request: equal requests to one service and model have one
std::uint64_t requestFingerprint(std::string_view service, std::string_view model,
                                 std::string_view body);

// ---- Messages -----------------------------------------------------------------------------------

struct LostRun
{
    std::uint64_t fingerprint = 0;
    std::string run; // its permit, if it had one, is spent
};

struct CrashReport // to every node, several times
{
    std::string upstream;      // the process that was lost
    std::vector<LostRun> runs; // that were in flight on it
};

struct SuspectCleared // to every node
{
    std::uint64_t fingerprint = 0;
    std::vector<std::string> upstreams; // losses that it is cleared of
};

struct PermitRequest // to the home node
{
    std::uint64_t fingerprint = 0;
    std::string run;                    // unique name of the run
    std::string node;                   // who asks
    std::vector<std::string> upstreams; // losses that the asker knows of
};

enum class PermitVerdict {
    Granted, // run it, once
    Wait,    // another run of it is out; ask again
    Refused, // the bound is reached
};

struct PermitReply // to the asker
{
    std::uint64_t fingerprint = 0;
    std::string run;
    PermitVerdict verdict = PermitVerdict::Wait;
};

struct PermitReturn // to the home node: the run has ended, and lost no upstream
{
    std::uint64_t fingerprint = 0;
    std::string run;
};

struct SuspectsRequest // from a new node to a peer
{
    std::string node; // who asks
};

struct SuspectsReply
{
    std::map<std::uint64_t, std::vector<std::string>> losses; // upstreams by fingerprint
};

using QuarantineMessage = std::variant<CrashReport, SuspectCleared, PermitRequest, PermitReply,
                                       PermitReturn, SuspectsRequest, SuspectsReply>;

// ---- Actions ------------------------------------------------------------------------------------

struct SendQuarantine
{
    std::string node;
    QuarantineMessage message;
};

struct BroadcastQuarantine // to every other node
{
    QuarantineMessage message;
};

struct AllowRun
{
    std::string run;
    bool isolate = false; // send it only where little else is at stake
};

enum class RunRefusal {
    NotIdempotent, // it may have run, and must not run twice
    Quarantined,   // final: it crashed as many upstreams as it may
    NoPermit,      // not run; come back later
};

struct RefuseRun
{
    std::string run;
    RunRefusal reason = RunRefusal::NoPermit;
};

using QuarantineAction = std::variant<SendQuarantine, BroadcastQuarantine, AllowRun, RefuseRun>;

// ---- Tables -------------------------------------------------------------------------------------

struct SuspectRow
{
    std::set<std::string> upstreams;        // lost while it was in flight on them
    Instant forgetAt {};                    // when the row goes
    std::map<std::string, Instant> permits; // home node: runs that are out, and until when
};

struct RunRow
{
    std::uint64_t fingerprint = 0;
    bool waiting = false;   // for a permit
    bool permitted = false; // holds one
    Instant refuseAt {};    // waiting: then it is refused
    Instant askAt {};       // waiting: next PermitRequest
};

// ---- System -------------------------------------------------------------------------------------

class Quarantine
{
public:
    /// @param self name of this node
    Quarantine(std::string self, QuarantineSettings settings);

    // Events

    void onLiveNodes(std::vector<std::string> live);

    /// A request wants to run. Answered by AllowRun or RefuseRun, mostly at once.
    /// @param run unique name of this run in the fleet
    /// @param isRetry an earlier run of the same request by us may have reached an upstream
    void onRun(const std::string &run, std::uint64_t fingerprint, bool isRetry, bool isIdempotent,
               Instant now);

    /// A run ended with an answer: the request does not crash its upstream.
    void onCompleted(const std::string &run, Instant now);

    /// A run ended without reaching an upstream, or its caller left.
    void onAbandoned(const std::string &run, Instant now);

    /// An upstream was lost with these runs of this node in flight; they have ended.
    void onUpstreamLost(const std::string &upstream, const std::vector<std::string> &runs,
                        Instant now);

    void onMessage(const QuarantineMessage &message, Instant now);

    void tick(Instant now);

    std::vector<QuarantineAction> takeActions();

    // Tables

    const std::map<std::uint64_t, SuspectRow> &suspects() const { return m_suspects; }
    const std::map<std::string, RunRow> &runs() const { return m_runs; }
    bool isGivenUp(std::uint64_t fingerprint) const;

private:
    struct RepeatedReport
    {
        CrashReport report;
        Instant nextAt;
        int left = 0;
    };

    void on(const CrashReport &message, Instant now);
    void on(const SuspectCleared &message, Instant now);
    void on(const PermitRequest &message, Instant now);
    void on(const PermitReply &message, Instant now);
    void on(const PermitReturn &message, Instant now);
    void on(const SuspectsRequest &message, Instant now);
    void on(const SuspectsReply &message, Instant now);
    void askForSuspects(Instant now);
    SuspectRow &suspect(std::uint64_t fingerprint, Instant now);
    void addLoss(std::uint64_t fingerprint, const std::string &upstream, Instant now);
    void makeRoom();
    void repeatReports(Instant now);
    void askAgain(Instant now);
    void ask(const std::string &run, RunRow &row, Instant now);
    void decide(const std::string &run, const RunRow &row, PermitVerdict verdict);
    void endRun(const std::string &run, Instant now);
    void send(const std::string &node, const QuarantineMessage &message, Instant now);
    std::string homeOf(std::uint64_t fingerprint) const;

    std::string m_self;
    QuarantineSettings m_settings;
    std::vector<std::string> m_live;
    std::map<std::uint64_t, SuspectRow> m_suspects;
    std::map<std::string, RunRow> m_runs;  // of this node
    std::vector<RepeatedReport> m_reports; // of this node
    bool m_synced = false;                 // a peer has told its suspects
    std::size_t m_syncPeer = 0;            // who is asked next
    Instant m_syncAt {};                   // when
    std::vector<QuarantineAction> m_actions;
};

} // namespace burdock
