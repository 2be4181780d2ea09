// Keeps the request limits that replicas state for all nodes together, without asking other nodes.
//
// Index
//   LimitNote              what a node tells the others about a replica's limit
//   LimitChange            what an answer changed
//   CommandKind            what the placement sends to replicas
//   RequestLimitSettings
//   RequestLimits          limits by replica, and this node's share of each
//
// An overloaded replica states in its answers how many requests a second it takes from all nodes
// together. For each such replica every node computes the same senders: of the candidates, a list
// of nodes that all nodes know, those that rank first for the replica. There is one sender for each
// whole request a second, at least one. A sender spaces its requests evenly, at limit / senders a
// second, and has no more of them unanswered than it sends in a second, at least one. All other
// nodes send none. In any window W the replica therefore gets at most
//
//   senders * (1 + W * limit / senders) = W * limit + senders
//
// requests. docs/parts/requestlimits.md derives this bound and what late news, nodes that come and
// go, orders and a changed limit add to it.
//
//   if (limits.maySend(replica, now))
//       limits.onSent(replica, now);                      // reserves the send
//   limits.onHead(replica);                               // its answer began, or the attempt ended
//   limits.onAnswer(replica, process, limit, sentAt, now) // what the answer stated
//
// News. A node that learns of a limit, or that it was lifted, tells the others by a LimitNote. A
// limit is lifted once the replica's answers have been without one for a while. A node that only
// heard so sends one request at a time until an answer confirms it. A node that is no sender and
// has heard nothing for a while sends a single request to find out.
#pragma once

#include "base/instant.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

struct LimitNote
{
    std::string replica;
    std::uint64_t startedMs = 0; // start of the replica's process, Unix ms
    std::optional<double> limit; // requests a second; nothing: lifted
};

struct LimitChange
{
    bool isNew = false;            // the limit is new, changed or lifted
    std::optional<LimitNote> note; // to send to the other nodes
};

/// What the placement sends to replicas. Each kind has an interval of its own, since an order that
/// was held back is followed by a report request, which must not hold back the next order.
enum class CommandKind { Order, Report };

struct RequestLimitSettings
{
    // A node uses no share for this long after it started or was suspended: until then the others
    // know of it and it of them.
    Duration settleTime = std::chrono::seconds(5);
    // setNodes() was not called for this long: the process was suspended.
    Duration maxUpdateGap = std::chrono::seconds(2);
    // Rate at which lower limits are kept, so that the senders learn when they are lifted.
    double minRequestsPerSecond = 0.1;
    // A limit is lifted when the replica's answers have been without one for this long.
    Duration liftTime = std::chrono::seconds(1);
    // Nodes that hear that a limit was lifted use the replica again at different times within this.
    Duration releaseSpread = std::chrono::seconds(1);
    // A sender that has had no news of a limit for this long prefers the replica to others.
    Duration senderNewsTime = std::chrono::seconds(2);
    // A node that is no sender and has had no news of a limit for at least this long sends one
    // request to find out whether it still holds.
    Duration newsLifetime = std::chrono::seconds(5);
    // Interval at which a node repeats a limit to the others, since notes may be lost.
    Duration noteInterval = std::chrono::seconds(1);
    // Interval between commands of one kind to a limited replica; longer than the window in which
    // its requests are counted.
    Duration commandInterval = std::chrono::milliseconds(4'500);
    // Limits without news are forgotten after this time; longer than a replica can be unreachable.
    Duration forgetTime = std::chrono::minutes(10);
};

class RequestLimits
{
public:
    explicit RequestLimits(RequestLimitSettings settings = {});

    // ---- Nodes ----

    /// Sets which nodes may be senders. Call it with each heartbeat, at least once a second.
    /// Without any call this node is the only one.
    /// @param self name of this node
    /// @param candidates names of the nodes that may be senders, the same on all nodes
    /// @param nodeCount number of nodes, those that may not be senders included
    /// @param isCutOff whether this node hears of none of the nodes that it knows
    void setNodes(const std::string &self, std::vector<std::string> candidates,
                  std::size_t nodeCount, bool isCutOff, Instant now);

    // ---- News ----

    /// Takes what an answer of a replica stated.
    /// @param startedMs start of the replica's process, as known when the request was sent
    /// @param limit requests a second; nothing: it stated none
    /// @param sentAt when the request was sent
    LimitChange onAnswer(const std::string &replica, std::uint64_t startedMs,
                         std::optional<double> limit, Instant sentAt, Instant now);

    /// Takes what another node learned.
    /// @return whether it is new
    bool onNote(const LimitNote &note, Instant now);

    /// Forgets the limit of an earlier process of a replica.
    void onReplicaStarted(const std::string &replica, std::uint64_t startedMs);

    /// Forgets limits without news. Call it several times a second.
    void tick(Instant now);

    // ---- Sends ----

    /// @return whether this node may send the replica a request now
    bool maySend(const std::string &replica, Instant now) const;

    /// @return when this node may send the replica its next request; Instant::max(): it is no
    /// sender of the replica
    Instant nextSendAt(const std::string &replica, Instant now) const;

    /// @return whether this node may send the replica a request now and should, since it has had no
    /// news of its limit for a while or expects it to be lifted
    bool wantsNews(const std::string &replica, Instant now) const;

    /// Counts a request that this node is about to send.
    void onSent(const std::string &replica, Instant now);

    /// Reverses onSent() for a request that will not be sent.
    void onWithdrawn(const std::string &replica);

    /// Records that the head of an answer arrived, or that none will.
    void onHead(const std::string &replica);

    /// @return whether the placement may send the replica a command now
    bool mayCommand(const std::string &replica, CommandKind kind, Instant now) const;

    /// Counts a command that the placement is about to send.
    void onCommand(const std::string &replica, CommandKind kind, Instant now);

    // ---- Queries ----

    /// @return requests a second that the replica takes from all nodes; nothing: no limit is known
    std::optional<double> limit(const std::string &replica) const;

    /// @return requests a second that this node may send the replica; nothing: no limit is known
    std::optional<double> share(const std::string &replica, Instant now) const;

    /// @return time between two requests of all nodes to the replica; zero: no limit is known
    Duration interval(const std::string &replica) const;

private:
    struct Entry
    {
        std::uint64_t startedMs = 0; // of the replica's process
        double limit = 0.0;          // requests a second, as stated
        double share = 0.0;          // of this node, if it is a sender; 0: it is none
        Instant statedAt;            // latest answer or note with the limit
        Instant withoutSince;        // first answer without a limit after that; zero: none
        Instant notedAt;             // this node's latest note to the others
        Instant nextSendAt;          // senders: earliest time of the next request
        Instant probeAt;             // others: time of a single request, unless there is news
        std::array<Instant, 2> nextCommandAt; // earliest time of the next command, by kind
        Instant releaseAt; // another node said that it was lifted: use it from then; zero: it holds
    };

    Entry *findProcess(const std::string &replica, std::uint64_t startedMs);
    bool setLimit(const std::string &replica, std::uint64_t startedMs, double limit, Instant now);
    bool mayUseShare(Instant now) const { return now >= m_settledAt && !m_isCutOff; }
    double rate(const Entry &entry) const;
    Duration spacing(const Entry &entry) const;
    void computeShare(const std::string &replica, Entry &entry) const;
    Instant nextProbeAt(const std::string &replica, const Entry &entry, Instant now) const;
    int unanswered(const std::string &replica) const;

    RequestLimitSettings m_settings;
    std::string m_self;
    std::vector<std::string> m_candidates; // sorted
    std::size_t m_nodeCount = 1;
    Instant m_updatedAt; // latest setNodes()
    Instant m_settledAt; // from then on shares are used
    bool m_isCutOff = false;
    std::unordered_map<std::string, Entry> m_entries;  // by replica
    std::unordered_map<std::string, int> m_unanswered; // requests without the head of an answer
};

} // namespace burdock
