// The nodes that this node knows: who lives, who gets its heartbeats, which addresses callers get.
//
// Index
//   NodeInfo, HolderClaim     what nodes tell of themselves and of the placement's holder
//   NodeBeat                  one heartbeat
//   DirectorySettings
//   NodeDirectory             the table
//
// A node sends its heartbeat to the nodes of its availability zone, to the holder of the placement
// and to a few others, so that messages a node do not grow with the fleet. Heartbeats carry a few
// other nodes each, which is how nodes find each other from any one of them. There is no agreement
// here: a wrong belief costs a caller one more connection.
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
    std::vector<NodeInfo> others; // some nodes that the sender hears
};

struct DirectorySettings
{
    Duration liveFor = std::chrono::milliseconds(1'700); // three heartbeats and their way
    Duration knownFor = std::chrono::minutes(10);        // then a silent node is forgotten
    std::size_t zonePeers = 10;   // nodes of the own zone that get every heartbeat
    std::size_t otherPeers = 2;   // others, drawn anew each time
    std::size_t othersTold = 6;   // nodes named in a heartbeat
    std::size_t smallFleet = 128; // up to here all nodes are neighbours; a note for each prompt
                                  // costs each of them some microseconds
    Duration neighbourFor = std::chrono::seconds(5); // named by somebody within it
    std::size_t addressesMost = 16;                  // in one answer to a caller
    std::size_t addressesLeast = 2;                  // with fewer in the zone, others are added
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

    /// @return whether a node was heard a short time ago and is not leaving
    bool isLive(const std::string &name, Instant now) const;

    /// @return addresses that get the next heartbeat
    std::vector<std::string> beatTargets(Instant now);

    /// @return nodes to name in the next heartbeat
    std::vector<NodeInfo> nodesToTell(Instant now);

    /// @return this node and the live ones, by name
    std::vector<std::string> liveNames(Instant now) const;

    /// @return the first nodes of the own availability zone by name, this one included; those that
    ///         anybody named a short time ago, since not every node hears every other
    std::vector<NodeInfo> firstOfZone(std::size_t count, Instant now) const;

    /// @return addresses of the nodes that send to the same replicas as this one: those of the
    ///         availability zone, or all nodes of a small fleet
    std::vector<std::string> neighbours(Instant now) const;

    /// @return live nodes' addresses
    std::vector<std::string> liveAddresses(Instant now) const;

    /// @param zone the caller's availability zone
    /// @param withSelf whether this node takes callers
    /// @return IP addresses of nodes that callers of that zone should use
    std::vector<std::string> addressesFor(const std::string &zone, bool withSelf, Instant now);

    std::size_t known() const { return m_nodes.size() + 1; }

private:
    struct Row
    {
        NodeInfo info;
        std::uint64_t started = 0;
        bool leaving = false;
        Instant heardAt; // zero: never
        Instant namedAt; // last time anybody named it
    };

    bool isLive(const Row &row, Instant now) const;

    NodeInfo m_self;
    DirectorySettings m_settings;
    Random m_random;
    std::map<std::string, Row> m_nodes;
    HolderClaim m_holder;
};

} // namespace burdock
