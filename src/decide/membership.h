// Who is in the fleet and who is alive: SWIM-style probing and gossip between the entry nodes.
//
// Index
//   MemberState          joining, alive, leaving, suspect, dead
//   VmRecord             one row of the platform's VM list
//   MemberItem           one membership fact on its way through the fleet
//   FleetNote            one small fact of another module on its way through the fleet
//   GossipMessage        ping, ack or ping request; carries items, notes and revisions
//   encodedSize          bytes of a message on the wire
//   MemberRow            what this node knows of one node
//   SendGossip, MemberChanged, NoteArrived, MembershipAction
//   MembershipSettings   intervals and bounds
//   Membership           the system; one on each node
//
// How it works
//   The VM list says who may exist; it lags. Probes say who lives. Each period a node pings two
//   others: the next of a shuffled round over all, and a random one in another availability zone.
//   A ping that is not answered goes again through helpers, which carries it around a link that is
//   cut one way. Still no answer: the node is suspect; everybody hears of it, itself included, and
//   it refutes by raising its incarnation. An unrefuted suspicion ends in dead.
//   Dead nodes that the VM list still shows are pinged now and then, so that a healed cut is found.
//
// What an event costs
//   Each item is sent about 3 log10(n) times by each node, whatever the fleet's size a bounded
//   number of items in a message. A full mesh of heartbeats at 380 nodes would take 379 messages a
//   second each; here it is eight, in and out together.
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

/// In ascending order of precedence within one incarnation.
enum class MemberState {
    Joining, // in the VM list or announced, not heard of yet
    Alive,   // answers
    Leaving, // draining; answers, takes no new callers
    Suspect, // did not answer; may still refute it
    Dead,    // did not refute it in time, or stopped
};

/// @return the state's name in lower case, for logs
std::string memberStateName(MemberState state);

struct VmRecord
{
    std::string name;     // unique in the fleet
    std::string zone;     // availability zone
    std::string address;  // IP address and port of its control endpoint
    bool leaving = false; // the platform is about to take it away
};

// ---- Messages -----------------------------------------------------------------------------------

struct MemberItem
{
    std::string name;                       // whom it is about
    MemberState state = MemberState::Alive; // what is claimed
    std::uint64_t incarnation = 0;          // the life it is claimed of
    std::string zone;                       // set on alive and leaving items only
    std::string address;                    // set on alive and leaving items only
};

struct FleetNote
{
    std::string topic;        // the module that reads it, e.g. "quarantine"
    std::string key;          // the newest note of a topic and key replaces older ones
    std::uint64_t number = 0; // grows with each note of the key
    std::string payload;      // at most MaxNotePayloadBytes
};

constexpr std::size_t MaxNotePayloadBytes = 200;

enum class GossipKind {
    Ping,        // "are you there?"
    Ack,         // "yes", or a helper's "yes, it is"
    PingRequest, // "please ping the target for me"
};

struct GossipMessage
{
    GossipKind kind = GossipKind::Ping;
    std::string from;                       // sender's name
    std::uint64_t incarnation = 0;          // sender's incarnation
    MemberState state = MemberState::Alive; // sender's own state: alive, leaving or dead
    std::string zone;                       // sender's zone, while it is new
    std::string address;                    // sender's address, while it is new
    std::uint64_t number = 0;               // number of the ping; an ack repeats it
    std::string target;                     // PingRequest: whom to ping
    std::uint64_t configRevision = 0;       // the configuration in force at the sender
    std::uint64_t placementRevision = 0;    // the newest placement that the sender has
    std::vector<MemberItem> members;        // bounded by itemsPerMessage
    std::vector<FleetNote> notes;           // bounded by notesPerMessage
};

/// Estimates the protobuf size: per string tag, length and bytes; per integer tag and varint; per
/// nested message tag and length; empty fields take nothing. No transport headers.
/// @return bytes
std::size_t encodedSize(const GossipMessage &message);

// ---- Rows ---------------------------------------------------------------------------------------

struct MemberRow
{
    std::string name;
    std::string zone;
    std::string address;
    MemberState state = MemberState::Joining;
    std::uint64_t incarnation = 0;
    MemberState claimedState = MemberState::Joining; // as it last said itself
    std::uint64_t claimedIncarnation = 0;            // as it last said itself
    bool listed = false;                             // in the newest VM list
    bool listedLeaving = false;                      // that list says that it is leaving
    std::uint64_t configRevision = 0;                // as it last told this node itself
    std::uint64_t placementRevision = 0;             // as it last told this node itself
    Instant heardAt {};                              // last message from itself
    Instant stateDeadline {};    // suspect: becomes dead; dead: may be forgotten
    bool accusedHere = false;    // suspect: it was this node that had no answer
    bool lastPingSent = false;   // suspect: the last ping before it counts as dead was decided on
    Instant unlistedDeadline {}; // unlisted: no longer usable from here on
};

// ---- Actions ------------------------------------------------------------------------------------

struct SendGossip
{
    std::string to;      // name
    std::string address; // IP address and port
    GossipMessage message;
};

struct MemberChanged
{
    std::string name;
    MemberState before = MemberState::Joining;
    MemberState after = MemberState::Joining;
    std::uint64_t incarnation = 0;
    std::string reason; // one phrase for the log line
};

struct NoteArrived
{
    FleetNote note;
};

using MembershipAction = std::variant<SendGossip, MemberChanged, NoteArrived>;

// ---- Settings -----------------------------------------------------------------------------------

struct MembershipSettings
{
    std::string self;                          // this node's name
    std::string zone;                          // its availability zone
    std::string address;                       // its control endpoint
    std::uint64_t incarnation = 1;             // above that of the process before, if known
    std::uint64_t seed = 1;                    // of the choice of peers
    Duration period = std::chrono::seconds(1); // between rounds of pings
    Duration ackTimeout = std::chrono::milliseconds(300); // then helpers are asked
    Duration probeTimeout = std::chrono::seconds(1);      // then the target is suspect
    Duration suspicionTime = std::chrono::seconds(5);     // then a suspect is dead
    Duration hearsayTime = std::chrono::seconds(3); // the same, for "dead" heard of a live node
    Duration deadProbeInterval = std::chrono::seconds(2); // between pings to a dead node
    Duration forgetTime = std::chrono::minutes(10);       // dead and unlisted: row goes
    Duration unlistedTime = std::chrono::minutes(2);      // heard of, but not in the VM list yet
    Duration newcomerTime = std::chrono::seconds(30);     // tells zone and address in each message
    Duration frozenGap = std::chrono::seconds(3);         // a gap between ticks that was a freeze
    std::size_t helpers = 3;                              // asked to ping for this node
    std::size_t itemsPerMessage = 6;                      // member items in a message
    std::size_t notesPerMessage = 2;                      // notes in a message
    std::size_t maxNotes = 1024;                          // kept, oldest out first
};

// ---- System -------------------------------------------------------------------------------------

/// One node's view of the fleet's entry nodes. Call tick() several times a second, and
/// takeActions() after each call.
class Membership
{
public:
    Membership(MembershipSettings settings, Instant now);

    /// Takes a reading of the VM list, entry nodes only.
    void onVmList(const std::vector<VmRecord> &records, Instant now);

    /// Takes a message of another node.
    void onGossip(const GossipMessage &message, Instant now);

    /// Sends this node's next pings, ends probes and suspicions that are due.
    void tick(Instant now);

    /// Sets the revisions that this node's messages carry.
    void setRevisions(std::uint64_t configRevision, std::uint64_t placementRevision);

    /// Spreads a note from here. Asserts that the payload is within MaxNotePayloadBytes.
    void spreadNote(const FleetNote &note);

    /// Tells the fleet that this node drains.
    void announceLeaving(Instant now);

    /// Tells the fleet that this node is about to end; sends at once to several peers.
    void announceStopped(Instant now);

    /// @return what the shell has to do, in order; empty afterwards
    std::vector<MembershipAction> takeActions();

    /// @return every node known, this one included, by name
    const std::map<std::string, MemberRow> &members() const { return m_rows; }

    /// @return names of the nodes of a zone that are alive, leaving or suspect, this one included
    std::vector<std::string> runningInZone(const std::string &zone) const;

    /// @return whether new callers may be sent to the node now
    bool isUsable(const MemberRow &row, Instant now) const;

    /// @return whether nobody has answered this node for three periods while it asked
    bool isIsolated(Instant now) const;

    const std::string &self() const { return m_settings.self; }
    std::uint64_t incarnation() const { return m_rows.at(m_settings.self).incarnation; }

private:
    struct Probe
    {
        std::string target;
        Instant helpersDeadline {};        // ask helpers from here on
        Instant suspectDeadline {};        // suspect the target from here on
        bool helpersAsked = false;         //
        std::string requester;             // set when this node pings for another
        std::uint64_t requesterNumber = 0; // the requester's ping number
    };

    struct PendingItem
    {
        MemberItem item;
        std::size_t sendsLeft = 0;
    };

    struct PendingNote
    {
        FleetNote note;
        std::size_t sendsLeft = 0;
        std::uint64_t arrival = 0; // order of arrival, for eviction
    };

    using NoteKey = std::pair<std::string, std::string>;

    MemberRow &selfRow() { return m_rows.at(m_settings.self); }
    bool isNewcomer(Instant now) const { return now < m_newcomerDeadline; }
    std::size_t sendsPerItem() const;
    GossipMessage newMessage(GossipKind kind, const std::string &to, Instant now);
    void fillItems(GossipMessage &message, const std::string &to);
    void fillCorrections(GossipMessage &message);
    void fillRepair(GossipMessage &message);
    void fillNotes(GossipMessage &message);
    void send(const MemberRow &to, GossipMessage message);
    void ping(const std::string &target, Instant now);
    void pingFor(const GossipMessage &request, Instant now);
    void startRound(Instant now);
    std::string nextOfRound();
    std::string randomPeer(bool inOtherZone, MemberState highest, const std::string &except);
    void pingSomeDead(Instant now);
    void askHelpers(std::uint64_t number, Probe &probe, Instant now);
    void endProbes(Instant now);
    void endSuspicions(Instant now);
    void recoverFromSilence(Instant now);
    void suspectUntil(MemberRow &row, Instant deadline);
    bool admitSender(const GossipMessage &message, Instant now);
    void onAck(const GossipMessage &message, Instant now);
    void applyItem(const MemberItem &item, const std::string &reason, Instant now);
    void refute(const MemberItem &item);
    MemberRow *findOrAdd(const MemberItem &item, Instant now);
    void setState(MemberRow &row, MemberState state, std::uint64_t incarnation,
                  const std::string &reason, Instant now);
    void spreadItem(const MemberRow &row);
    void applyNote(const FleetNote &note, bool local);
    void forgetOld(Instant now);

    MembershipSettings m_settings;
    Random m_random;
    std::map<std::string, MemberRow> m_rows;
    std::map<std::string, PendingItem> m_items;
    std::map<NoteKey, PendingNote> m_notes;
    std::map<std::uint64_t, Probe> m_probes;
    std::vector<std::string> m_round;       // still to be pinged in this round over all
    std::vector<std::string> m_names;       // of m_rows, for random picks
    std::vector<std::string> m_corrections; // of whom the message being handled knows old facts
    std::vector<MembershipAction> m_actions;
    std::string m_repairCursor; // name of the row that fillRepair() sent last
    std::uint64_t m_nextNumber = 1;
    std::uint64_t m_noteArrivals = 0;
    Instant m_nextRoundAt {};
    Instant m_nextDeadProbeAt {};
    Instant m_nextSweepAt {}; // look for suspicions that end, and rows to forget
    Instant m_newcomerDeadline {};
    Instant m_lastTick {};
    Instant m_lastAck {};
};

} // namespace burdock
