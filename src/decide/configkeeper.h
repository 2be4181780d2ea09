// The configuration in force on one node: kept from the head object, from peers, never going back.
//
// Index
//   PullRequest, PullReply, RevisionNotice, RevisionReport   messages between nodes
//   WatchHead, StopWatch, FetchEntry                         calls to the Object API
//   SendPullRequest, SendPullReply, SendNotice, SendReport   messages to send
//   ApplyConfig, ConfigAlarm, KeeperAction
//   KeeperSettings
//   ConfigKeeper                                             the system; one on each node
//
// How it works
//   A watch is a paid call, so only a few nodes of each availability zone keep one, chosen by
//   rendezvous hashing among those that run. Whoever puts a revision in force tells a few random
//   peers at once; every gossip message carries the sender's revision and so repairs lost notices.
//   A node that hears of a higher revision pulls the difference from the node that told it.
//   A revision is put in force as a whole, after its hashes were verified, and only if it is higher
//   than the one in force. A node that starts while the Object API is down gets it from a peer;
//   until then its revision is 0 and it must not serve.
//   Each node reports its revision to the watchers of its zone, which can tell who lags.
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

struct PullRequest
{
    std::string from;
    std::uint64_t number = 0;       // repeated in the reply
    std::uint64_t haveRevision = 0; // what the sender has in force; 0 asks for all
};

struct PullReply
{
    std::string from;
    std::uint64_t number = 0;
    ConfigDelta delta;
};

struct RevisionNotice
{
    std::string from;
    std::uint64_t revision = 0;
};

struct RevisionReport
{
    std::string from;
    std::uint64_t revision = 0;
};

// ---- Actions ------------------------------------------------------------------------------------

/// Wait until config/head is newer than the version, at most until the timeout. Answer with
/// ConfigKeeper::onHead(), onWatchIdle() or onWatchFailed().
struct WatchHead
{
    std::uint64_t requestId = 0;
    std::uint64_t afterVersion = 0; // 0: any version
    Duration timeout {};            // of the waiting call
};

/// Give up the call under way; this node no longer watches.
struct StopWatch
{
    std::uint64_t requestId = 0;
};

/// Read an entry's text. Answer with ConfigKeeper::onEntry(), or not at all.
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

/// A revision came into force here: hand it to everything that reads the configuration.
struct ApplyConfig
{
    std::uint64_t revision = 0;
    std::string publishId;
    std::string source;                       // "watch" or the peer's name, for the log line
    std::map<std::string, std::string> texts; // key -> text, the whole configuration
};

/// Something that must not happen did; the configuration in force stays.
struct ConfigAlarm
{
    std::string message;
};

using KeeperAction = std::variant<WatchHead, StopWatch, FetchEntry, SendPullRequest, SendPullReply,
                                  SendNotice, SendReport, ApplyConfig, ConfigAlarm>;

// ---- Settings -----------------------------------------------------------------------------------

struct KeeperSettings
{
    std::string self;
    std::uint64_t seed = 1;                               // of the choice of peers
    std::size_t watchersPerZone = 2;                      // nodes of a zone that keep a watch
    std::size_t noticeFanout = 3;                         // peers told of a new revision at once
    Duration watchTimeout = std::chrono::seconds(5);      // then the watch is renewed
    Duration watchGrace = std::chrono::seconds(2);        // beyond it a silent watch has failed
    Duration retryDelay = std::chrono::milliseconds(500); // after a failed watch or fetch
    Duration pullTimeout = std::chrono::seconds(1);       // then another peer is asked
    Duration reportInterval = std::chrono::seconds(10);   // repeats a report that may be lost
    Duration reportLifetime = std::chrono::seconds(60);   // then a node's report is dropped
    bool repairByGossip = true;      // tests only: off shows what notices alone do
    bool keepHighestRevision = true; // tests only: off takes whatever a peer sends
};

// ---- System -------------------------------------------------------------------------------------

struct ReportedRevision
{
    std::uint64_t revision = 0;
    Instant heardAt {};
};

/// Call tick() several times a second, and takeActions() after each call.
class ConfigKeeper
{
public:
    ConfigKeeper(KeeperSettings settings, Instant now);

    /// Takes who runs, this node included.
    /// @param zoneMembers names in this node's availability zone
    /// @param peers names in the whole fleet
    void onMembers(const std::vector<std::string> &zoneMembers,
                   const std::vector<std::string> &peers, Instant now);

    /// Takes the revision that a gossip message carried.
    void onPeerRevision(const std::string &peer, std::uint64_t revision, Instant now);

    void onNotice(const RevisionNotice &notice, Instant now);
    void onReport(const RevisionReport &report, Instant now);
    void onPullRequest(const PullRequest &request, Instant now);
    void onPullReply(const PullReply &reply, Instant now);

    /// Takes the head object from the watch.
    void onHead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                Instant now);
    /// The watch ended without a change.
    void onWatchIdle(std::uint64_t requestId, Instant now);
    /// The Object API did not answer the watch.
    void onWatchFailed(std::uint64_t requestId, Instant now);
    /// Takes the text of an entry that was fetched.
    void onEntry(const std::string &key, const std::string &text, Instant now);

    void tick(Instant now);

    std::vector<KeeperAction> takeActions();

    /// @return the revision in force; 0: none, and this node must not serve
    std::uint64_t revision() const { return m_inForce.head.revision; }
    const ConfigSnapshot &inForce() const { return m_inForce; }
    bool isWatcher() const { return m_isWatcher; }

    /// @return the newest report of each node of the zone; complete on watchers only
    const std::map<std::string, ReportedRevision> &reports() const { return m_reports; }

private:
    struct Staged
    {
        ConfigSnapshot snapshot; // head complete, texts not all there yet
        Instant retryAt {};      // fetch again what is missing
    };

    void watch(Instant now);
    void stopWatching();
    void stage(const ConfigHead &head, Instant now);
    void fetchMissing(Instant now);
    void adoptStagedIfComplete(Instant now);
    void adopt(ConfigSnapshot snapshot, const std::string &source, Instant now);
    void pullFrom(const std::string &peer, Instant now);
    void pullFromAnyAhead(Instant now);
    void notifyPeers();
    void report(Instant now);

    KeeperSettings m_settings;
    Random m_random;
    ConfigSnapshot m_inForce;
    std::optional<Staged> m_staged;
    std::vector<std::string> m_peers;
    std::vector<std::string> m_watchers;            // of this zone
    std::map<std::string, std::uint64_t> m_tellers; // peers that told of a higher revision
    std::map<std::string, ReportedRevision> m_reports;
    bool m_isWatcher = false;
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_watchId = 0; // call under way; 0: none
    std::uint64_t m_watchedVersion = 0;
    Instant m_watchDeadline {};     // watch under way: failed from here on; otherwise: start one
    std::uint64_t m_pullNumber = 0; // pull under way; 0: none
    bool m_pullWhole = false;       // the next pull asks for everything
    Instant m_pullDeadline {};
    Instant m_nextReportAt {};
    std::vector<KeeperAction> m_actions;
};

} // namespace burdock
