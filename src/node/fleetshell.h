// Carries out what membership and the configuration keeper decide: gossip, pulls, watches.
//
// Index
//   FleetSettings   who this node is
//   FleetListener   is told of a new configuration and of changes among the live nodes
//   FleetShell      the shell
#pragma once

#include "decide/configtracker.h"
#include "decide/membership.h"
#include "net/decisionlog.h"
#include "net/endpoint.h"
#include "peer/peerlink.h"
#include "platform/objectclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Interface ----------------------------------------------------------------------------------

/// A process's incarnation is the time of its start, shifted by these bits; each suspicion that the
/// node refutes adds one below.
constexpr int RefutationBits = 12;

/// @return an incarnation that grows with each start of a node's process
std::uint64_t newIncarnation();

/// @return the part of a member's incarnation that stays for the life of its process
constexpr std::uint64_t processOf(std::uint64_t incarnation)
{
    return incarnation >> RefutationBits;
}

struct FleetSettings
{
    std::string name;      // this node
    std::string zone;      // its availability zone
    Endpoint peerEndpoint; // where its peer link listens; the port is the same on every node
    std::uint64_t incarnation = 1; // from newIncarnation()
    std::uint64_t seed = 1;        // of its random choices
};

/// @return whether a member's process is there, as far as is known
bool isRunning(const MemberRow &row);

class FleetListener
{
public:
    virtual ~FleetListener() = default;

    /// A revision came into force on this node.
    virtual void onConfiguration(const ApplyConfig &config) = 0;

    /// A fact of another module arrived.
    virtual void onNote(const GossipRecord &note) = 0;

    /// The nodes that run, or their incarnations, changed.
    virtual void onLiveNodes() = 0;
};

// ---- Shell --------------------------------------------------------------------------------------

class FleetShell
{
public:
    FleetShell(boost::asio::io_context &io, PeerLink &link, ObjectClient &objects, DecisionLog &log,
               FleetListener &listener, FleetSettings settings);

    /// Takes the entry VMs of a VM list.
    void onVmList(const std::vector<VmEntry> &vms);

    /// Takes a message of another node, if it is one of membership or configuration.
    /// @return whether it was
    bool onPeerMessage(const wire::PeerMessage &message);

    /// Lets both systems see the time.
    void tick();

    /// Tells the fleet that this node drains, or is about to end.
    void announceLeaving();
    void announceStopped();

    /// Sends a message to a node.
    /// @return whether its address is known
    bool sendTo(const std::string &node, const wire::PeerMessage &message);

    /// @return names of the nodes that run, this one included
    std::vector<std::string> runningNodes() const;

    /// @return how many other nodes can take callers now
    std::size_t otherUsableNodes() const;

    /// Spreads a fact through the fleet.
    void disseminateRecord(const GossipRecord &note);

    const Membership &membership() const { return m_membership; }
    const ConfigTracker &keeper() const { return m_keeper; }

private:
    void carryOut();
    void carryOutMembership();
    void carryOutKeeper();
    void carryOut(const WatchHead &action);
    void carryOut(const FetchEntry &action);
    boost::asio::awaitable<void> watchHead(WatchHead action);
    boost::asio::awaitable<void> fetchEntry(FetchEntry action);
    void tellKeeperOfMembers();

    boost::asio::io_context &m_io;
    PeerLink &m_link;
    ObjectClient &m_objects;
    DecisionLog &m_log;
    FleetListener &m_listener;
    FleetSettings m_settings;
    Membership m_membership;
    ConfigTracker m_keeper;
};

} // namespace burdock
