// Finds the requests and prompt parts that crash replicas, and decides which requests may be sent.
//
// Index
//   SuspectKey        what may crash a replica: a request as a whole, or a part of its prompt
//   SuspectRun        one send of a request, as the table counts it
//   SuspectNote       what nodes tell each other of a key
//   SuspectSettings
//   TrialOwners       says which node may try a refused key
//   CrashSuspects     the table of one node
//
// A replica that crashes takes all requests with it that it was running, so one crash shows only
// which keys may be the cause. A key is suspected of a crash that ended one of its runs:
//
// - Requests with a suspected part are sent one at a time by each node.
// - After SuspectSettings::crashesToRefuse... crashes without a whole answer in between, requests
//   with the key are refused by all nodes. This does not expire.
// - A whole answer clears its parts on all nodes: a part that crashes replicas never gets one. The
//   crashes before it no longer count. Parts that many requests share are cleared all the time and
//   cost no message.
// - A refused key may have been near the cause by chance. One node of the fleet, its owner, sends a
//   few requests with it as trials, one at a time; a whole answer clears it.
//
// Nodes send each other a note for each change of a key with crashes and repeat these notes, so
// that a lost note or a restarted node does not matter for long. Notes may arrive in any order and
// several times: a later round replaces an earlier one, and within a round crashes add up.
//
//   SuspectRun run(keys);
//   if (!suspects.tryStart(run, owners, now)) ... refuse the request ...
//   suspects.onServed(run, now);               // whole answer, or
//   suspects.onCrash("i-1/17", run, now);      // the replica's process ended while it ran
//   suspects.onEnded(run);                     // in any case
//   for (const SuspectNote &note : suspects.takeChanges()) ... send it to the other nodes ...
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

// ---- Input --------------------------------------------------------------------------------------

enum class SuspectKind {
    Request,    // the content of a request, equal for its repeats
    PromptPart, // a section of a prompt that requests have in common
};

struct SuspectKey
{
    std::uint64_t id = 0; // hash of the content
    SuspectKind kind = SuspectKind::Request;
};

/// One send of a request to a replica. Notes what was known of its keys when it was sent.
struct SuspectRun
{
    std::vector<SuspectKey> keys;
    std::vector<std::uint32_t> rounds;  // of the keys; as many as keys once it is started
    std::vector<std::uint64_t> counted; // keys that count it as in flight
    std::optional<std::uint64_t> trial; // key that it is a trial of
};

/// State of a key, merged into that of the receiver.
struct SuspectNote
{
    SuspectKey key;
    std::uint32_t round = 0;            // rises with each whole answer after a crash
    bool wasServed = false;             // there was a whole answer in an earlier round
    int trials = 0;                     // in this round; a crash counts once more
    std::vector<std::uint64_t> crashes; // hashes of the processes that ended, in this round
};

struct SuspectSettings
{
    std::size_t crashesToRefuseRequest = 3;
    std::size_t crashesToRefusePart = 2;
    // A part that was served before and that crashes replicas since, as with new software.
    std::size_t crashesToRefuseServedPart = 3;
    // A part that had a whole answer at this node so shortly before is not suspected of a crash.
    Duration freshAnswerTime = std::chrono::seconds(1);
    // From the latest crash to the first trial. Parts that were served before are more likely sound
    // and come first; trials at the same time could meet at a replica, and a crash would count
    // against both.
    Duration servedTrialDelay = std::chrono::seconds(1);
    Duration firstTrialDelay = std::chrono::seconds(3);
    Duration trialSpread = std::chrono::seconds(2);    // by key, on top of firstTrialDelay
    Duration nextTrialDelay = std::chrono::seconds(5); // after a trial that told nothing
    Duration servedCrashedTrialDelay = std::chrono::seconds(5);
    Duration crashedTrialDelay = std::chrono::seconds(30);
    int maxTrials = 3; // then one each trialPeriod
    Duration trialPeriod = std::chrono::hours(24);
    std::size_t maxCrashes = 8; // recorded for one key
    std::size_t maxRows = 8'192;
    std::size_t maxKeys = 64; // of one request
};

/// The nodes agree on one of them for each key, as far as they know the same nodes.
class TrialOwners
{
public:
    virtual ~TrialOwners() = default;

    /// @return whether this node may send trials of the key
    virtual bool isOwner(std::uint64_t key, Instant now) const = 0;
};

// ---- Table --------------------------------------------------------------------------------------

class CrashSuspects
{
public:
    explicit CrashSuspects(SuspectSettings settings = {});

    /// @param parts hashes of the parts of the prompt, in order
    /// @return keys of a request: its content and the parts that other requests may have, which are
    ///         all but the last
    std::vector<SuspectKey> keysOf(std::uint64_t content,
                                   const std::vector<std::uint64_t> &parts) const;

    /// @return the key because of which a request must not be sent now, if there is one
    std::optional<std::uint64_t> blockingKey(const std::vector<SuspectKey> &keys,
                                             const TrialOwners &owners, Instant now) const;

    /// @return whether requests with the key are refused by all nodes, but for trials
    bool isRefused(std::uint64_t key) const;

    /// Counts a run that is about to be sent.
    /// @return false if it must not be sent, see blockingKey()
    bool tryStart(SuspectRun &run, const TrialOwners &owners, Instant now);

    /// A run got its whole answer, which clears its keys.
    void onServed(const SuspectRun &run, Instant now);

    /// The process that ran it ended before the answer did.
    /// @param process name of the process, different after a restart
    /// @return whether it counts against a key
    bool onCrash(const std::string &process, const SuspectRun &run, Instant now);

    /// A started run has ended, in any way. Call it exactly once for each.
    void onEnded(SuspectRun &run);

    /// Takes a note of another node. If this node knows more of the key, takeChanges() returns it.
    /// @return whether it changed what this node knows
    bool onNote(const SuspectNote &note, Instant now);

    /// @return notes for all other nodes, of keys that changed here since the last call
    std::vector<SuspectNote> takeChanges();

    /// @return notes to repeat: of refused keys and, as far as there is room, of other keys with
    ///         crashes; the next ones with each call
    std::vector<SuspectNote> notesToRepeat(std::size_t count);

    /// @return number of keys in the table
    std::size_t size() const { return m_rows.size(); }

    /// @return number of keys that are refused
    std::size_t refusedCount() const;

private:
    struct Row
    {
        SuspectKind kind = SuspectKind::Request;
        std::uint32_t round = 0;
        bool wasServed = false;
        int trials = 0;
        int inFlight = 0; // runs of this node
        std::vector<std::uint64_t> crashes;
        Instant nextTrialAt;
        Instant servedAt; // latest whole answer at this node; zero: none
        Instant changedAt;
    };

    bool isRefused(const Row &row) const;
    bool isBlocked(std::uint64_t key, const Row &row, const TrialOwners &owners, Instant now) const;
    Row &findOrAdd(const SuspectKey &key, Instant now);
    void makeRoom();
    bool addCrash(std::uint64_t key, Row &row, std::uint64_t crash, Instant now);
    bool addTrials(Row &row, int trials, Instant now);
    SuspectNote noteOf(std::uint64_t key, const Row &row) const;

    SuspectSettings m_settings;
    std::unordered_map<std::uint64_t, Row> m_rows; // by key
    std::vector<std::uint64_t> m_suspected;        // keys with crashes
    std::size_t m_nextSuspected = 0;               // index in m_suspected of the next one repeated
    std::size_t m_nextRepeat = 0;                  // the same among those that are due
    std::vector<std::uint64_t> m_changed;
};

} // namespace burdock
