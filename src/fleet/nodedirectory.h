// Membership table of the nodes that this node knows: which nodes are live, which receive its
// heartbeats, and which addresses are given to callers.
//
// Index
//   NodeInfo, HolderClaim     what nodes announce of themselves and of the placement lease holder
//   NodeHeartbeat             one heartbeat
//   HeartbeatTargets          addresses that receive the next heartbeat
//   DirectorySettings
//   NodeDirectory             the table
//
// Ingress nodes. Every node can serve callers, but in each availability zone callers are given only
// as many addresses as the zone's traffic needs: the ingress nodes, which are the first nodes in
// the order of capacity and, among VMs that bear the same, of a hash of the name. With fewer
// ingress nodes, each one handles more of the traffic: it knows the replicas' load from more recent
// responses, reuses connections, and announces every prompt to the other ingress nodes, which would
// not scale to all nodes of a large fleet.
//
// Holder. Plans over a large fleet take long, and their holder would be late for its callers. Where
// a zone has other nodes for its callers, the holder is the last of its zone.
//
// Hubs. The ingress nodes and a few spare nodes are the hubs of their zone. Hubs send heartbeats to
// all nodes of the zone; the other nodes send heartbeats to the hubs only. Between zones the
// ingress nodes send heartbeats to each other.
//
// Discovery. Each heartbeat names a few other nodes, so that a node finds all others from any one
// of them. A node that was named but has sent no heartbeat to this node is known by an indirect
// report. The nodes run no agreement protocol: if a node's list of live nodes is wrong, a caller
// needs one more connection.
//
// The directory does no I/O. The caller passes in heartbeats and the current time, and sends the
// heartbeats.
#pragma once

#include "base/instant.h"
#include "base/random.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_set>
#include <vector>

namespace burdock {

struct NodeInfo
{
    std::string name;
    std::string ip;
    std::string zone;
    double capacity = 0.0; // see requestCapacity(); 0: not stated
};

/// The holder of the placement lease as far as the sender knows; the claim with the highest term is
/// the newest.
struct HolderClaim
{
    std::string name; // empty: holder unknown
    std::string ip;
    std::uint64_t term = 0;
};

struct NodeHeartbeat
{
    NodeInfo sender;
    std::uint64_t started = 0; // start of the process, Unix milliseconds; differs after a restart
    bool leaving = false;      // the sender is about to stop
    HolderClaim holder;
    std::vector<NodeInfo> others;   // some of the nodes that the sender knows to be live
    double requestsPerSecond = 0.0; // requests of callers to the sender, smoothed
    bool storeReached = true;       // the sender's recent calls to the store have not failed
    std::uint64_t storeEra = 0;     // latest era of the store that the sender knows of; 0: none
};

struct HeartbeatTargets
{
    std::vector<std::string> sameZone;   // IP addresses in this node's availability zone
    std::vector<std::string> otherZones; // IP addresses in the other availability zones
};

struct DirectorySettings
{
    /// A node counts as live this long after its last heartbeat: three heartbeat intervals and the
    /// transmission time.
    Duration livenessTimeout = std::chrono::milliseconds(1'700);
    /// The same for nodes that send only every second heartbeat to this node.
    Duration slowLivenessTimeout = std::chrono::milliseconds(2'700);
    /// In a zone with at most this many other nodes, hubs send every heartbeat to all nodes.
    std::size_t maxSmallZoneNodes = 12;
    /// A node is removed if no heartbeat came from it or named it within this time.
    Duration forgetTimeout = std::chrono::minutes(10);
    /// A node is ranked with the others if a heartbeat came from it or named it within this time.
    Duration mentionTimeout = std::chrono::seconds(5);

    /// A node may be a sender of limited replicas for this long after a heartbeat came from it or
    /// named it, whether it is live or not: a share must not move to another node before all nodes
    /// know that it is free.
    Duration senderTimeout = std::chrono::seconds(15);

    std::size_t minIngressNodes = 3;     // per zone; after the loss of one, two are left
    std::size_t initialIngressNodes = 4; // per zone, while the zone has almost no traffic
    /// Planned requests per second of an ingress node that states no capacity.
    double requestsPerSecondPerIngress = 25.0;
    /// The number of ingress nodes is lowered only this long after traffic has decreased, because
    /// moving callers to other nodes costs connections.
    Duration ingressReductionDelay = std::chrono::seconds(6);
    /// Hubs besides the ingress nodes. All nodes of the zone know them already when they replace an
    /// ingress node that failed.
    std::size_t spareHubs = 2;

    /// Nodes of the zone to which a hub sends one heartbeat, besides the other hubs.
    std::size_t maxSameZoneTargets = 64;
    /// Ingress nodes of other zones to which an ingress node sends one heartbeat.
    std::size_t maxOtherZoneTargets = 32;
    std::size_t maxAnnouncedNodes = 6; // nodes named in one heartbeat
    /// Nodes named in one heartbeat to another zone, where traffic is expensive.
    std::size_t maxAnnouncedToOtherZones = 2;

    /// A node that told this one of a caller's request counts as having traffic for this long.
    Duration trafficTimeout = std::chrono::seconds(3);

    /// A choice among the nodes may be this old, unless a node has come, left or changed its state.
    Duration choiceLifetime = std::chrono::milliseconds(250);

    std::size_t maxAddresses = 16; // in one address answer to a caller
    std::size_t minAddresses = 2;  // with fewer in the zone, nodes of other zones are added
};

class NodeDirectory
{
public:
    /// @param seed of the random choice of targets, named nodes and addresses
    NodeDirectory(NodeInfo self, DirectorySettings settings, std::uint64_t seed);

    /// Takes a heartbeat. A heartbeat of an earlier process of the sender is ignored, unless the
    /// later one has been silent for a while.
    /// @return whether this is the first heartbeat of that process, or its leaving flag has changed
    bool onHeartbeat(const NodeHeartbeat &heartbeat, Instant now);

    /// Takes a node that another source named, without a heartbeat of the node itself.
    void onIndirectReport(const NodeInfo &node, Instant now);

    /// Removes nodes after DirectorySettings::forgetTimeout.
    void tick(Instant now);

    /// Sets the holder as this node read it from the lease itself. A lower term is ignored.
    void setHolder(const HolderClaim &claim);

    const HolderClaim &holder() const { return m_holder; }

    /// @return this node, as its heartbeats name it
    const NodeInfo &self() const { return m_self.info; }

    /// Sets the state that this node announces in its own heartbeats, and updates the number of
    /// ingress nodes of each zone.
    /// @param requestsPerSecond requests of callers, smoothed
    void setOwnState(double requestsPerSecond, bool storeReached, Instant now);

    /// @return whether the node is this one, or sent a heartbeat a short time ago and is not
    /// leaving
    bool isLive(const std::string &name, Instant now) const;

    /// @param urgent the heartbeat also goes to the nodes that receive only every second one
    /// @return addresses that get the next heartbeat; call it exactly once per heartbeat
    HeartbeatTargets heartbeatTargets(bool urgent, Instant now);

    /// @param toOtherZones the heartbeat goes to other availability zones
    /// @return a random choice of live nodes to name in the next heartbeat
    std::vector<NodeInfo> nodesToAnnounce(bool toOtherZones, Instant now);

    /// @param zone availability zone of the new node
    /// @return nodes to name in the reply to the first heartbeat of a node: the hubs of its zone
    std::vector<NodeInfo> nodesForNewPeer(const std::string &zone, Instant now) const;

    /// @return whether no other node is live
    bool isAlone(Instant now) const;

    /// @return names of the nodes that should try to take the placement lease: the first ones of
    ///         all zones in the order of capacity. Includes nodes known only by a recent indirect
    ///         report, since not every node gets heartbeats from every other. Nodes that do not
    ///         reach the store come last.
    std::vector<std::string> leaseCandidates(std::size_t count, Instant now) const;

    /// @return nodes of this availability zone, possibly this node, that watch the store for the
    ///         others: those with the most capacity, since every other node of the zone asks them.
    ///         Among nodes of equal capacity spare hubs come first: a response to each other node
    ///         takes much of the bandwidth of a narrow link. The holder comes after all others, and
    ///         nodes that do not reach the store come last.
    std::vector<NodeInfo> storeWatchers(std::size_t count, Instant now) const;

    /// @return IP addresses of the other nodes, in all zones, that are ingress nodes or still have
    /// callers' traffic
    std::vector<std::string> ingressAddresses(Instant now) const;

    /// @return names of the nodes that may be senders of replicas that limit their requests: of
    ///         each zone, the first ones by rank, as many as always serve callers. Their choice
    ///         depends neither on traffic nor on short silences, so that all nodes agree on it.
    std::vector<std::string> senderCandidates(Instant now) const;

    /// Records that a node told this one of a caller's request: it has traffic, whether its
    /// heartbeats come here or not.
    /// @param ip its IP address
    void onTrafficFrom(const std::string &ip, Instant now);

    /// @return names of the other nodes that are live
    std::unordered_set<std::string> liveNodes(Instant now) const;

    /// @return names of the other nodes that said that they stop
    std::unordered_set<std::string> leavingNodes() const;

    /// @return whether this node knows others and has no recent heartbeat of any
    bool isCutOff(Instant now) const { return isAlone(now) && !m_nodes.empty(); }

    /// @return how many nodes of the availability zone should serve callers
    std::size_t ingressNodeCount(const std::string &zone, Instant now) const;

    /// @param zone the caller's availability zone
    /// @param withSelf whether this node serves callers
    /// @return IP addresses of live nodes that callers of the zone should use, in random order
    std::vector<std::string> addressesFor(const std::string &zone, bool withSelf, Instant now);

    /// @return number of known nodes, including this one
    std::size_t nodeCount() const { return m_nodes.size() + 1; }

private:
    struct Row
    {
        NodeInfo info;
        std::uint64_t rank = 0; // hash of the name; the lowest first among equal capacities
        std::uint64_t started = 0;
        bool leaving = false;
        double requestsPerSecond = 0.0;
        bool storeReached = true;
        Instant lastHeartbeatAt; // zero: no heartbeat was received
        Instant lastMentionedAt; // last heartbeat from it or that named it
    };
    using Rows = std::vector<const Row *>;
    /// Number of ingress nodes of a zone. Until expiresAt it is raised but not lowered.
    struct HeldIngressCount
    {
        std::size_t count = 0;
        Instant expiresAt;
    };

    /// A choice among all nodes, kept for a short time: requests ask for some of them each time.
    template <typename T>
    struct KeptChoice
    {
        std::vector<T> chosen;     // in the order of preference
        std::size_t count = 0;     // that were asked for; fewer may exist
        std::uint64_t version = 0; // of the table
        Instant expiresAt;

        bool holds(std::size_t asked, std::uint64_t tableVersion, Instant now) const
        {
            return now < expiresAt && version == tableVersion && asked <= count;
        }
        std::vector<T> first(std::size_t asked) const
        {
            const auto end = std::min(asked, chosen.size());
            return { chosen.begin(), chosen.begin() + static_cast<std::ptrdiff_t>(end) };
        }
    };

    bool isLive(const Row &row, Instant now) const;
    bool isMentioned(const Row &row, Instant now) const;
    bool isIncluded(const Row &row, bool onlyLive, Instant now) const;
    static bool hasTraffic(const Row &row);
    std::map<std::string, Rows> nodesByZone(bool onlyLive, Instant now) const;
    Rows rankedNodes(const std::string &zone, bool onlyLive, Instant now) const;
    Rows hubs(Instant now) const;
    std::size_t ingressCountForTraffic(const Rows &live) const;
    static Rows storeReachableFirst(Rows rows, std::size_t count);
    static void sortByRank(Rows &rows);
    bool isHolder(const Row &row) const;
    void putHolderLast(Rows &zoneRows) const;
    static std::vector<NodeInfo> infosOf(const Rows &rows);

    Row m_self; // always live
    DirectorySettings m_settings;
    Random m_random;
    std::map<std::string, HeldIngressCount> m_ingressCounts; // by zone
    std::uint64_t m_heartbeatCount = 0;
    std::map<std::string, Row> m_nodes;
    std::map<std::string, Instant> m_trafficUntil; // by IP address, see onTrafficFrom()
    HolderClaim m_holder;
    /// Counts changes that choices depend on, besides the passing of time.
    std::uint64_t m_version = 1;
    mutable KeptChoice<std::string> m_keptIngress; // addresses
    mutable KeptChoice<std::string> m_keptCandidates;
    mutable KeptChoice<NodeInfo> m_keptWatchers;
};

} // namespace burdock
