// Membership of the fleet's entry nodes: SWIM-style failure detection and gossip.
//
// Index
//   MemberState          joining, alive, leaving, suspect, dead
//   VmRecord             one row of the platform's VM list
//   MemberItem           a claim about one member's state, disseminated by gossip
//   GossipRecord         a short record of another module, disseminated by gossip
//   GossipMessage        ping, ack or ping request; carries items, records and revisions
//   encodedSize          bytes of a message on the wire
//   MemberRow            what this node knows of one node
//   SendGossip, MemberChanged, RecordReceived, MembershipAction
//   MembershipSettings   intervals and bounds
//   Membership           the decision module; one instance on each node
//
// How it works
//   The VM list, which lags, says which nodes may exist; probes say which of them are alive. Each
//   period a node pings two others: the next one of a shuffled probe cycle over all nodes, and a
//   random one in another availability zone. If a ping is not acknowledged, the node asks indirect
//   probers to ping the target, which works around a link that is cut in one direction. If there is
//   still no ack, the target becomes suspect. The suspicion is disseminated to every node, the
//   suspect included, which refutes it by raising its incarnation. A suspect that does not refute
//   in time becomes dead. Dead nodes that the VM list still shows are pinged at intervals, so that
//   the two sides of a healed network partition find each other.
//
// Traffic
//   Each node sends an item about 3 log10(n) times, and a message carries a bounded number of items
//   whatever the size n of the fleet. A full mesh of heartbeats among 380 nodes would cost each
//   node 379 messages a second; gossip costs each node eight, sent and received together.
#pragma once

#include "base/instant.h"
#include "base/random.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace burdock {

// ---- States -------------------------------------------------------------------------------------

/// Listed in ascending order of precedence among claims of the same incarnation.
enum class MemberState {
    Joining, // in the VM list or announced by gossip, no message received yet
    Alive,   // acknowledges pings
    Leaving, // draining: acknowledges pings, takes no new callers
    Suspect, // did not acknowledge pings; may still refute the suspicion
    Dead,    // did not refute the suspicion in time, or announced its stop
};

/// @return the state's name in lower case, for logs
std::string memberStateName(MemberState state);

struct VmRecord
{
    std::string name;     // unique in the fleet
    std::string zone;     // availability zone
    std::string address;  // IP address and port of its control endpoint
    bool leaving = false; // the platform is about to remove the VM
};

// ---- Messages -----------------------------------------------------------------------------------

struct MemberItem
{
    std::string name;                       // the node that the claim is about
    MemberState state = MemberState::Alive; // the claimed state
    std::uint64_t incarnation = 0;          // the incarnation of the node that the claim is about
    std::string zone;                       // set only if the state is alive or leaving
    std::string address;                    // set only if the state is alive or leaving
};

struct GossipRecord
{
    std::string topic;        // identifies the module that reads the record, e.g. "quarantine"
    std::string key;          // a newer record of the same topic and key replaces the older one
    std::uint64_t number = 0; // version; increases with each record of the key
    std::string payload;      // at most MaxRecordPayloadBytes
};

constexpr std::size_t MaxRecordPayloadBytes = 200;

enum class GossipKind {
    Ping,        // asks the receiver for an ack
    Ack,         // acknowledges a ping, or reports that an indirect probe was acknowledged
    PingRequest, // asks the receiver to ping the target for the sender
};

struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::string from;                       // sender's name
    std::uint64_t incarnation = 0;          // sender's incarnation
    MemberState state = MemberState::Alive; // sender's own state: alive, leaving or dead
    std::string zone;                       // sender's zone, set while it is recently started
    std::string address;                    // sender's address, set while it is recently started
    std::uint64_t number = 0;               // number of the ping; an ack repeats it
    std::string target;                     // PingRequest: the node to ping
    std::uint64_t configRevision = 0;       // revision of the configuration in force at the sender
    std::uint64_t placementRevision = 0;    // revision of the sender's newest placement
    std::vector<MemberItem> members;        // at most maxItemsPerMessage
    std::vector<GossipRecord> records;      // at most maxRecordsPerMessage
};

/// Estimates the protobuf size: tag, length and bytes of a string; tag and varint of an integer;
/// tag and length of a nested message. Empty fields take no bytes. Transport headers are not
/// counted.
/// @return size in bytes
std::size_t encodedSize(const GossipMessage &message);

// ---- Rows ---------------------------------------------------------------------------------------

struct MemberRow
{
    std::string name;
    std::string zone;
    std::string address;
    MemberState state = MemberState::Joining;
    std::uint64_t incarnation = 0;
    MemberState claimedState = MemberState::Joining; // in the last message from the node itself
    std::uint64_t claimedIncarnation = 0;            // in the last message from the node itself
    bool listed = false;                             // the newest VM list contains the node
    bool listedLeaving = false;                      // the newest VM list shows it as leaving
    std::uint64_t configRevision = 0;                // highest that the node itself has reported
    std::uint64_t placementRevision = 0;             // highest that the node itself has reported
    Instant lastReceivedAt {}; // time of the last message from the node itself
    // Suspect: when the node becomes dead. Dead: when the row may be removed.
    Instant stateDeadline {};
    bool suspectedBySelf = false; // suspect: this node's own probe failed
    bool finalPingSent = false;   // suspect: the ping shortly before it becomes dead was decided on
    Instant unlistedDeadline {};  // not in the VM list: unusable from this time on
};

// ---- Actions ------------------------------------------------------------------------------------

struct SendGossip
{
    std::string to;      // name of the receiver
    std::string address; // IP address and port
    GossipMessage message;
};

struct MemberChanged
{
    std::string name;
    MemberState before = MemberState::Joining;
    MemberState after = MemberState::Joining;
    std::uint64_t incarnation = 0;
    std::string reason; // phrase for the log line
};

struct RecordReceived
{
    GossipRecord record;
};

using MembershipAction = std::variant<SendGossip, MemberChanged, RecordReceived>;

// ---- Settings -----------------------------------------------------------------------------------

struct MembershipSettings
{
    std::string self;    // this node's name
    std::string zone;    // this node's availability zone
    std::string address; // IP address and port of this node's control endpoint
    // Must be above the incarnation of the previous process of this node, if that is known.
    std::uint64_t incarnation = 1;
    std::uint64_t seed = 1; // of the random choice of peers
    // Time between two rounds of pings.
    Duration probePeriod = std::chrono::seconds(1);
    // Time without an ack after which indirect probers are asked.
    Duration ackTimeout = std::chrono::milliseconds(300);
    // Time without an ack after which the target becomes suspect.
    Duration probeTimeout = std::chrono::seconds(1);
    // Time after which a suspect that has not refuted becomes dead.
    Duration suspicionTime = std::chrono::seconds(5);
    // Replaces suspicionTime when another node reports as dead a node that is alive here.
    Duration indirectSuspicionTime = std::chrono::seconds(3);
    // Time between two pings to dead nodes.
    Duration deadProbeInterval = std::chrono::seconds(2);
    // Time from becoming dead until the row is removed, if the VM list does not show the node.
    Duration deadRetention = std::chrono::minutes(10);
    // Time for which a node stays usable without being in the VM list.
    Duration unlistedGrace = std::chrono::minutes(2);
    // Time after the start during which each message carries this node's zone and address.
    Duration introductionTime = std::chrono::seconds(30);
    // A longer gap between two ticks means that this process was suspended.
    Duration suspensionGap = std::chrono::seconds(3);
    std::size_t indirectProbers = 3;      // nodes that are asked to ping a target for this node
    std::size_t maxItemsPerMessage = 6;   // member items in a message
    std::size_t maxRecordsPerMessage = 2; // records in a message
    std::size_t maxRecords = 1024;        // records kept; the oldest is evicted first
};

// ---- Membership ---------------------------------------------------------------------------------

/// One node's view of the fleet's entry nodes. Does no I/O: the caller feeds VM lists, messages and
/// ticks and carries out the actions. Call tick() several times a second, and takeActions() after
/// each call.
class Membership
{
public:
    Membership(MembershipSettings settings, Instant now);

    /// Applies a snapshot of the VM list.
    /// @param records the entry nodes in the list, without other VMs
    void onVmList(const std::vector<VmRecord> &records, Instant now);

    /// Applies a message of another node and answers it.
    void onGossip(const GossipMessage &message, Instant now);

    /// Sends the pings that are due, and ends the probes and suspicions whose deadlines have
    /// passed.
    void tick(Instant now);

    /// Sets the revisions that this node's messages carry.
    void setRevisions(std::uint64_t configRevision, std::uint64_t placementRevision);

    /// Disseminates a record from this node to all others. Asserts that the payload is within
    /// MaxRecordPayloadBytes.
    void disseminateRecord(const GossipRecord &record);

    /// Announces to the fleet that this node drains.
    void announceLeaving(Instant now);

    /// Announces to the fleet that this node is about to stop; sends to several peers at once.
    void announceStopped(Instant now);

    /// @return the actions for the caller to carry out, in order; the list is empty afterwards
    std::vector<MembershipAction> takeActions();

    /// @return the rows of all known nodes by name, this node included
    const std::map<std::string, MemberRow> &members() const { return m_rows; }

    /// @return names of the nodes of a zone that are alive, leaving or suspect, this node included
    std::vector<std::string> runningInZone(const std::string &zone) const;

    /// @return whether new callers may be sent to the node now
    bool isUsable(const MemberRow &row, Instant now) const;

    /// @return whether other nodes are known and none has acknowledged a ping for three periods
    bool isIsolated(Instant now) const;

    const std::string &self() const { return m_settings.self; }
    std::uint64_t incarnation() const { return m_rows.at(m_settings.self).incarnation; }

private:
    struct Probe
    {
        std::string target;
        Instant indirectProbesAt {}; // when indirect probers are asked
        Instant suspectAt {};        // when the target becomes suspect
        bool indirectProbesSent = false;
        std::string requester;             // the node that asked for this ping, empty if none
        std::uint64_t requesterNumber = 0; // the requester's ping number
    };

    struct PendingItem
    {
        MemberItem item;
        std::size_t sendsLeft = 0;
    };

    struct PendingRecord
    {
        GossipRecord record;
        std::size_t sendsLeft = 0;
        std::uint64_t arrival = 0; // order of arrival, for eviction
    };

    using RecordKey = std::pair<std::string, std::string>;

    MemberRow &selfRow() { return m_rows.at(m_settings.self); }
    bool isRecentlyStarted(Instant now) const { return now < m_introductionDeadline; }
    std::size_t sendsPerItem() const;
    GossipMessage newMessage(GossipKind kind, const std::string &to, Instant now);
    void fillItems(GossipMessage &message, const std::string &to);
    void fillCorrections(GossipMessage &message);
    void fillRepair(GossipMessage &message);
    void fillRecords(GossipMessage &message);
    void send(const MemberRow &to, GossipMessage message);
    void ping(const std::string &target, Instant now);
    void pingForRequester(const GossipMessage &request, Instant now);
    void probePeers(Instant now);
    std::string nextInProbeCycle();
    std::string randomPeer(bool inOtherZone, MemberState highest, const std::string &except);
    void pingRandomDead(Instant now);
    void sendIndirectProbes(std::uint64_t number, Probe &probe, Instant now);
    void expireProbes(Instant now);
    void expireSuspicions(Instant now);
    void restartSuspicions(Instant now);
    void suspectUntil(MemberRow &row, Instant deadline);
    bool admitSender(const GossipMessage &message, Instant now);
    void onAck(const GossipMessage &message, Instant now);
    void applyItem(const MemberItem &item, const std::string &reason, Instant now);
    void refute(const MemberItem &item);
    MemberRow *findOrAdd(const MemberItem &item, Instant now);
    void setState(MemberRow &row, MemberState state, std::uint64_t incarnation,
                  const std::string &reason, Instant now);
    void queueItem(const MemberRow &row);
    void applyRecord(const GossipRecord &record, bool local);
    void removeExpiredRows(Instant now);

    MembershipSettings m_settings;
    Random m_random;
    std::map<std::string, MemberRow> m_rows;
    std::map<std::string, PendingItem> m_items;
    std::map<RecordKey, PendingRecord> m_records;
    std::map<std::uint64_t, Probe> m_probes;
    std::vector<std::string> m_probeCycle;  // nodes that are still to be pinged in this cycle
    std::vector<std::string> m_names;       // names in m_rows, for random picks
    std::vector<std::string> m_corrections; // nodes on which the handled message is outdated
    std::vector<MembershipAction> m_actions;
    std::string m_repairCursor; // name of the last row that fillRepair() considered
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_recordArrivals = 0;
    Instant m_nextProbeAt {};
    Instant m_nextDeadProbeAt {};
    Instant m_nextSweepAt {}; // next search for expired suspicions and rows to remove
    Instant m_introductionDeadline {};
    Instant m_lastTickAt {};
    Instant m_lastAckAt {};
};

} // namespace burdock
