// Tells replicas that ended from connections that broke.
//
// Index
//   BrokenRun        a run whose connection ended before its answer, or with it
//   RunVerdict       what became of it
//   EvidenceSettings
//   CrashEvidence    the runs that wait for their verdict
//
// Resets, cuts and idle closes look like the end of a process, and an answer that is delimited by
// the end of its connection looks whole when its process ends. What tells a process that ended: new
// connections to it are refused, or the platform's list drops or replaces it. What tells that it
// lives: it accepts a connection or answers a request that was sent later.
//
//   if (evidence.onConnectionEnded(run, now)) ... try a new connection to the replica ...
//   evidence.onRefused("i-1");                 // or onAlive("i-1", triedAt)
//   for (RunVerdict &verdict : evidence.takeVerdicts()) ...
#pragma once

#include "suspects/crashsuspects.h"

#include <map>
#include <string>
#include <vector>

namespace burdock {

struct BrokenRun
{
    std::string replica;         // id of the replica
    std::uint64_t startedMs = 0; // start of its process
    SuspectRun run;
    bool isAnswered = false; // the answer was whole unless the process ended with it
    std::string request;     // for the log
};

enum class ReplicaFate {
    Ended,   // the process ended
    Alive,   // only the connection ended
    Unknown, // nothing was learnt in time
};

struct RunVerdict
{
    BrokenRun run;
    ReplicaFate fate = ReplicaFate::Unknown;
    const char *reason = ""; // for the log
};

struct EvidenceSettings
{
    // Time to learn of it; longer than entries stay listed after their process ended.
    Duration waitTime = std::chrono::seconds(8);
    std::size_t maxWaiting = 2'000; // runs; bounds the memory
};

class CrashEvidence
{
public:
    explicit CrashEvidence(EvidenceSettings settings = {});

    /// @return whether a new connection to the replica should be tried now
    bool onConnectionEnded(BrokenRun run, Instant now);

    /// A new connection to the replica was refused.
    void onRefused(const std::string &replica);

    /// The replica accepted a connection that was tried, or answered a request that was sent.
    /// @param since when that was
    void onAlive(const std::string &replica, Instant since);

    /// The platform's list no longer has the process.
    void onDelisted(const std::string &replica);

    /// Gives up waiting for evidence that did not come.
    void tick(Instant now);

    /// @return verdicts since the last call
    std::vector<RunVerdict> takeVerdicts();

private:
    struct Waiting
    {
        BrokenRun run;
        Instant endedAt;
    };

    void decideAll(const std::string &replica, ReplicaFate fate, const char *reason);

    EvidenceSettings m_settings;
    std::map<std::string, std::vector<Waiting>> m_waiting; // by replica, oldest first
    std::size_t m_count = 0;
    std::vector<RunVerdict> m_verdicts;
};

} // namespace burdock
