// Tracks the published configuration on one node: receives revisions from the Object API and from
// peers and puts them in force in ascending order.
//
// Index
//   PullRequest, PullReply, RevisionNotice, RevisionReport   messages between nodes
//   WatchHead, StopWatch, FetchEntry                         calls to the Object API
//   SendPullRequest, SendPullReply, SendNotice, SendReport   messages to send
//   ApplyConfig, ConfigAlarm                                 events for the caller
//   ConfigTrackerAction                                      any of the actions above
//   ConfigTrackerSettings                                    fan-out, timeouts and intervals
//   ReportedRevision                                         revision that a node reported
//   ConfigTracker                                            decision module; one on each node
//
// How it works
//   A watch is a paid call, so only a few running nodes of each availability zone keep one: the
//   watchers, chosen by rendezvous hashing. A node that puts a revision in force immediately
//   notifies a few random peers. Every gossip message also carries the sender's revision, which
//   makes up for lost notices. A node that learns of a higher revision pulls the delta from the
//   node that announced it. A revision is put in force as a whole, after its hashes were verified,
//   and only if it is higher than the one in force. A node that starts while the Object API is down
//   gets the configuration from a peer; until then its revision is 0 and it must not serve. Each
//   node reports its revision to the watchers of its zone, which thus know which nodes lag behind.
//
// How to use it
//   Pass membership, messages and results of calls to the on...() functions, call tick() several
//   times a second, and after each call perform what takeActions() returns.
#pragma once

#include "base/instant.h"
#include "base/random.h"
#include "decide/confighead.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Messages -----------------------------------------------------------------------------------

/// Requests the changes since the sender's revision.
struct PullRequest
{
    std::string from;
    std::uint64_t number = 0;       // identifies the request; the reply repeats it
    std::uint64_t haveRevision = 0; // in force on the sender; 0 requests the whole configuration
};

/// Replies to a PullRequest.
struct PullReply
{
    std::string from;
    std::uint64_t number = 0;
    ConfigDelta delta;
};

/// Announces a new revision to a peer.
struct RevisionNotice
{
    std::string from;
    std::uint64_t revision = 0;
};

/// Reports the revision in force on the sender to a watcher of its zone.
struct RevisionReport
{
    std::string from;
    std::uint64_t revision = 0;
};

// ---- Actions ------------------------------------------------------------------------------------

/// Wait until the object version of `config/head` is higher than afterVersion, at most for the
/// timeout. Report the result to ConfigTracker::onHead(), onWatchIdle() or onWatchFailed().
struct WatchHead
{
    std::uint64_t requestId = 0;
    std::uint64_t afterVersion = 0; // 0: return any version
    Duration timeout {};            // longest wait of the call
};

/// Abort the watch call in progress; this node is no longer a watcher.
struct StopWatch
{
    std::uint64_t requestId = 0;
};

/// Read the text of an entry. Report it to ConfigTracker::onEntry(). A failure needs no report:
/// the tracker fetches the entry again.
struct FetchEntry
{
    std::string key;
    std::string hash;
};

struct SendPullRequest
{
    std::string to;
    PullRequest message;
};

struct SendPullReply
{
    std::string to;
    PullReply message;
};

struct SendNotice
{
    std::string to;
    RevisionNotice message;
};

struct SendReport
{
    std::string to;
    RevisionReport message;
};

/// A revision came into force on this node: pass it to every module that reads the configuration.
struct ApplyConfig
{
    std::uint64_t revision = 0;
    std::string publishId;
    std::string source;                       // "watch" or the name of the peer, for the log
    std::map<std::string, std::string> texts; // key -> text of every entry
};

/// An invariant of the published configuration was violated; the configuration in force stays.
struct ConfigAlarm
{
    std::string message;
};

using ConfigTrackerAction =
        std::variant<WatchHead, StopWatch, FetchEntry, SendPullRequest, SendPullReply, SendNotice,
                     SendReport, ApplyConfig, ConfigAlarm>;

// ---- Settings -----------------------------------------------------------------------------------

struct ConfigTrackerSettings
{
    std::string self;                // name of this node
    std::uint64_t seed = 1;          // random seed for the choice of peers
    std::size_t watchersPerZone = 2; // watchers in each availability zone
    std::size_t noticeFanout = 3;    // random peers notified at once of a new revision
    // Longest wait of one watch call; it is then renewed.
    Duration watchTimeout = std::chrono::seconds(5);
    // Time beyond watchTimeout after which a watch without response counts as failed.
    Duration watchGrace = std::chrono::seconds(2);
    // Wait before a new watch after a failed one.
    Duration retryDelay = std::chrono::milliseconds(500);
    // Time until a pull without reply is sent to another peer, and until missing texts are fetched
    // again.
    Duration pullTimeout = std::chrono::seconds(1);
    // Interval between reports to the watchers; a repetition makes up for a lost report.
    Duration reportInterval = std::chrono::seconds(10);
    // Age at which a received report is discarded.
    Duration reportLifetime = std::chrono::seconds(60);
    // False in tests only: ignore the revisions in gossip messages and rely on notices alone.
    bool pullOnGossip = true;
    // False in tests only: accept any revision from a peer, also a lower one.
    bool keepHighestRevision = true;
};

// ---- Tracker ------------------------------------------------------------------------------------

/// The newest report received from a node.
struct ReportedRevision
{
    std::uint64_t revision = 0;
    Instant receivedAt {};
};

/// Keeps the configuration in force on one node. Does no I/O: the caller performs its actions and
/// passes time in. Call tick() several times a second, and takeActions() after each call.
class ConfigTracker
{
public:
    ConfigTracker(ConfigTrackerSettings settings, Instant now);

    /// Updates the set of running nodes, this node included.
    /// @param zoneMembers names of the nodes in this node's availability zone
    /// @param peers names of the nodes in the whole fleet
    void onMembers(const std::vector<std::string> &zoneMembers,
                   const std::vector<std::string> &peers, Instant now);

    /// Processes the revision that a gossip message of a peer carried.
    void onPeerRevision(const std::string &peer, std::uint64_t revision, Instant now);

    /// Pulls from the sender if its revision is higher than the one in force.
    void onNotice(const RevisionNotice &notice, Instant now);
    /// Records the revision that a node of the zone reported.
    void onReport(const RevisionReport &report, Instant now);
    /// Replies with the missing changes; sends no reply while no revision is in force.
    void onPullRequest(const PullRequest &request, Instant now);
    /// Puts the revision of the reply in force if it is higher and its hashes match.
    void onPullReply(const PullReply &reply, Instant now);

    /// Processes the head object that the watch returned.
    /// @param requestId id of the WatchHead action; results of other calls are ignored
    /// @param version version of the stored object, not the revision
    void onHead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                Instant now);
    /// Renews a watch that ended without a change.
    void onWatchIdle(std::uint64_t requestId, Instant now);
    /// Schedules a new watch after the Object API failed to respond.
    void onWatchFailed(std::uint64_t requestId, Instant now);
    /// Processes the text of a fetched entry; ignores a text whose hash does not match.
    void onEntry(const std::string &key, const std::string &text, Instant now);

    /// Expires watches and pulls, and retries or sends what is due.
    void tick(Instant now);

    /// @return the actions added since the previous call
    std::vector<ConfigTrackerAction> takeActions();

    /// @return the revision in force; 0: no revision, and this node must not serve
    std::uint64_t revision() const { return m_inForce.head.revision; }
    const ConfigSnapshot &inForce() const { return m_inForce; }
    /// @return whether this node watches the head for its zone
    bool isWatcher() const { return m_isWatcher; }

    /// @return node name -> its newest report; covers the whole zone only on watchers
    const std::map<std::string, ReportedRevision> &reports() const { return m_reports; }

private:
    // A revision read from the Object API whose texts are still being fetched.
    struct Staged
    {
        ConfigSnapshot snapshot; // complete head; some texts may be missing
        Instant retryAt {};      // time to fetch missing texts again
    };

    void startWatch(Instant now);
    void stopWatch();
    void stageHead(const ConfigHead &head, Instant now);
    void fetchMissingTexts(Instant now);
    void putStagedInForceIfComplete(Instant now);
    void putInForce(ConfigSnapshot snapshot, const std::string &source, Instant now);
    void pullFrom(const std::string &peer, Instant now);
    void pullFromPeerAhead(Instant now);
    void notifyPeers();
    void report(Instant now);

    ConfigTrackerSettings m_settings;
    Random m_random;
    ConfigSnapshot m_inForce;
    std::optional<Staged> m_staged;
    std::vector<std::string> m_peers;
    std::vector<std::string> m_watchers;               // watchers of this zone
    std::map<std::string, std::uint64_t> m_peersAhead; // peer -> higher revision that it announced
    std::map<std::string, ReportedRevision> m_reports;
    bool m_isWatcher = false;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_watchId = 0;        // watch call in progress; 0: none
    std::uint64_t m_watchedVersion = 0; // object version of the last head received
    // Time to start the next watch: the watch in progress has failed by then, or the retry is due.
    Instant m_nextWatchAt {};
    std::uint64_t m_pullNumber = 0; // pull in progress; 0: none
    // Set when a delta for the revision in force did not produce its head hash.
    bool m_needsFullPull = false;
    Instant m_pullDeadline {};
    Instant m_nextReportAt {};
    std::vector<ConfigTrackerAction> m_actions;
};

} // namespace burdock
