// The nodes that this node knows: who lives, who gets its heartbeats, which addresses callers get.
//
// Index
//   NodeInfo, HolderClaim     what nodes tell of themselves and of the placement's holder
//   NodeBeat                  one heartbeat
//   BeatTargets               who gets the next one
//   DirectorySettings
//   NodeDirectory             the table
//
// Every node can serve callers, but in each availability zone only as many are given out as its
// traffic needs: the ingress nodes, the first ones by a hash of the name. Fewer nodes see more of
// the traffic each: they know the replicas' load from newer answers, reuse connections, and tell
// each other of every prompt, which all nodes of a large fleet could not.
//
// The ingress nodes and a few spare ones are the hubs of their zone: they send heartbeats to all
// its nodes, the others only to them. Between zones the ingress nodes hear each other. Heartbeats
// carry a few other nodes each, which is how nodes find each other from any one of them. There is
// no agreement here: a wrong belief costs a caller one more connection.
#pragma once

#include "base/instant.h"
#include "base/random.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

struct NodeInfo
{
    std::string name;
    std::string ip;
    std::string zone;
};

/// Who holds the placement, as far as the sender knows; the highest term is the newest.
struct HolderClaim
{
    std::string name; // empty: not known
    std::string ip;
    std::uint64_t term = 0;
};

struct NodeBeat
{
    NodeInfo sender;
    std::uint64_t started = 0; // Unix milliseconds; tells a restart
    bool leaving = false;      // it is about to stop
    HolderClaim holder;
    std::vector<NodeInfo> others;   // some nodes that the sender hears
    double requestsPerSecond = 0.0; // of callers, smoothed
    bool storeReached = true;       // its calls to the store have not failed lately
};

struct BeatTargets
{
    std::vector<std::string> near; // IP addresses in the own availability zone
    std::vector<std::string> far;  // in others
};

struct DirectorySettings
{
    Duration liveFor = std::chrono::milliseconds(1'700); // three heartbeats and their way
    Duration slowLiveFor =
            std::chrono::milliseconds(2'700);        // the same where every second one is sent
    std::size_t smallZone = 12;                      // nodes; up to here each heartbeat goes to all
    Duration knownFor = std::chrono::minutes(10);    // then a silent node is forgotten
    Duration neighbourFor = std::chrono::seconds(5); // named by somebody within it
    std::size_t ingressLeast = 3;                    // of a zone; the loss of one leaves two
    std::size_t ingressAtFirst = 4;                  // until traffic is seen
    double requestsPerIngress = 25.0; // a second; about a sixth of the smallest VM's processor, so
                                      // that a burst fits
    Duration ingressHeld = std::chrono::seconds(6); // after less traffic: moving callers costs
                                                    // connections
    std::size_t spareHubs = 2;      // they are known to all when an ingress node fails
    std::size_t nearPeers = 64;     // in one heartbeat of a hub
    std::size_t farPeers = 32;      // in one heartbeat of an ingress node
    std::size_t othersTold = 6;     // nodes named in a heartbeat
    std::size_t othersToldFar = 2;  // to other zones, where bytes are dear
    std::size_t addressesMost = 16; // in one answer to a caller
    std::size_t addressesLeast = 2; // with fewer in the zone, others are added
};

class NodeDirectory
{
public:
    NodeDirectory(NodeInfo self, DirectorySettings settings, std::uint64_t seed);

    /// Takes a heartbeat.
    /// @return whether it tells of a process not heard before, or that it is about to stop
    bool onBeat(const NodeBeat &beat, Instant now);

    /// Takes a node that was heard of, but not heard.
    void onHint(const NodeInfo &node, Instant now);

    /// Forgets nodes that have been silent for long.
    void tick(Instant now);

    /// Sets what this node knows of the holder, by the lease itself.
    void setHolder(const HolderClaim &claim);

    const HolderClaim &holder() const { return m_holder; }

    /// Sets what this node's own heartbeats say of it.
    /// @param requestsPerSecond of callers, smoothed
    void setOwn(double requestsPerSecond, bool storeReached, Instant now);

    /// @return whether a node was heard a short time ago and is not leaving
    bool isLive(const std::string &name, Instant now) const;

    /// @param urgent it goes to all that would get one of the next few
    /// @return addresses that get the next heartbeat; call it once for each
    BeatTargets beatTargets(bool urgent, Instant now);

    /// @param far for another availability zone
    /// @return nodes to name in the next heartbeat
    std::vector<NodeInfo> nodesToTell(bool far, Instant now);

    /// @return nodes to name in an answer to a node that was not heard before: the hubs of its zone
    std::vector<NodeInfo> nodesToWelcome(const std::string &zone, Instant now) const;

    /// @return whether no other node is live
    bool isAlone(Instant now) const;

    /// @return the first nodes of all zones by rank; those that anybody named a short time ago,
    /// since
    ///         not every node hears every other. Those that do not reach the store come last.
    std::vector<std::string> firstNames(std::size_t count, Instant now) const;

    /// @return nodes of the own availability zone that watch the store for the others, this one
    ///         included: spare hubs first, since an answer to each other node takes much of a
    ///         narrow link; those that do not reach the store come only when there are no others
    std::vector<NodeInfo> firstOfZone(std::size_t count, Instant now) const;

    /// @return addresses of the other nodes that take callers, or will when asked
    std::vector<std::string> ingressAddresses(Instant now) const;

    /// @return how many nodes of an availability zone should take callers
    std::size_t ingressWanted(const std::string &zone, Instant now) const;

    /// @param zone the caller's availability zone
    /// @param withSelf whether this node takes callers
    /// @return IP addresses of nodes that callers of that zone should use
    std::vector<std::string> addressesFor(const std::string &zone, bool withSelf, Instant now);

    std::size_t known() const { return m_nodes.size() + 1; }

private:
    struct Row
    {
        NodeInfo info;
        std::uint64_t rank = 0; // the lowest of a zone are its ingress nodes
        std::uint64_t started = 0;
        bool leaving = false;
        double requestsPerSecond = 0.0;
        bool storeReached = true;
        Instant heardAt; // zero: never
        Instant namedAt; // last time anybody named it
    };
    using Rows = std::vector<const Row *>;
    struct Held
    {
        std::size_t count = 0;
        Instant until;
    };

    bool isLive(const Row &row, Instant now) const;
    bool isNamed(const Row &row, Instant now) const;
    bool isThere(const Row &row, bool onlyLive, Instant now) const;
    static bool hasTraffic(const Row &row);
    std::map<std::string, Rows> byZone(bool onlyLive, Instant now) const;
    Rows byRank(const std::string &zone, bool onlyLive, Instant now) const;
    Rows hubs(Instant now) const;
    std::size_t ingressByTraffic(const Rows &live) const;
    static Rows reachedFirst(Rows rows, std::size_t count);
    static void sortByRank(Rows &rows);
    static std::vector<NodeInfo> infosOf(const Rows &rows);

    Row m_self; // always live
    DirectorySettings m_settings;
    Random m_random;
    std::map<std::string, Held> m_ingress; // by zone
    std::uint64_t m_beats = 0;
    std::map<std::string, Row> m_nodes;
    HolderClaim m_holder;
};

} // namespace burdock
