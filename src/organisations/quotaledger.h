// Keeps organisations within quotas that hold for all nodes together, without asking other nodes.
//
// Index
//   QuotaUse, QuotaNote     what a node tells the others about its spending
//   FleetView               what is known of the other nodes
//   QuotaExceeded           when a refused caller may come back
//   QuotaLedgerSettings
//   QuotaLedger             the buckets of all organisations, as this node sees them
//
// Answers the load of an organisation that sends many times its quota through any number of nodes,
// while callers move between nodes and nodes come and go. Every node keeps one token bucket for
// each organisation that stands for the whole fleet. It refills at the full rate, and both the
// node's own requests and those that other nodes report are taken from it:
//
//   if (const auto refusal = ledger.tryTake(name, cost, now))
//       ... 429, with refusal->retryAfter ...
//   ledger.giveBack(name, cost, now);                // the request never ran
//   if (const auto note = ledger.nextNote(now))      // often, at least ten times a second
//       ... to the other nodes that take callers ...
//   ledger.onNote(note, now);                        // from another node
//
// A request is admitted while the bucket is not empty, or by no more than a note's usual delay, and
// may overdraw it. What several nodes
// overdraw before they hear of each other is a debt that is paid before anything else is admitted.
// The fleet therefore spends the quota's rate over time, and at most what arrives within the delay
// of the notes beyond it. Between two notes, a node's spending is estimated by its latest rate.
//
// A note states totals since the start of the sender's process, so that a lost, repeated or late
// note changes nothing for good.
//
// A node whose notes stop without its word may be dead or out of reach, where it goes on spending.
// Its share of the organisation's spending before is then kept free for it, and it does the same
// for the nodes that it does not hear. The shares follow from the same totals at all nodes, so that
// all sides of a split fleet together spend one quota. docs/design/quotas.md has the details.
#pragma once

#include "base/instant.h"
#include "organisations/organisation.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock {

// ---- Notes --------------------------------------------------------------------------------------

struct QuotaUse
{
    std::string organisation;
    double spent = 0.0;     // since the sender's process started
    double perSecond = 0.0; // that the sender is expected to spend further
    double level = 0.0;     // of the sender's bucket; below 0: debt; or UnknownLevel
    bool isActive = false;  // notes with it follow at least every QuotaLedgerSettings::noteInterval
};

/// States that the sender has just started and does not know the level.
constexpr double UnknownLevel = -1e15;

/// Uses that fit into one datagram.
constexpr std::size_t MaxQuotaUses = 40;

struct QuotaNote
{
    std::string node;            // name of the sender
    std::uint64_t startedMs = 0; // start of its process, Unix ms
    std::uint64_t number = 0;    // counts the notes of its process
    std::vector<QuotaUse> uses;  // at most MaxQuotaUses
};

// ---- Ledger -------------------------------------------------------------------------------------

struct FleetView
{
    std::unordered_set<std::string> live; // other nodes with a recent heartbeat
    std::unordered_set<std::string> left; // other nodes that said that they stop
    bool isCutOff = false;                // other nodes are known, and none of them is heard
    bool reachesStore = true;             // recent calls to the store have not failed
    std::size_t known = 0;                // number of other nodes that have not said that they stop
};

struct QuotaExceeded
{
    std::chrono::milliseconds retryAfter { 0 }; // until the bucket has credit again
};

struct QuotaLedgerSettings
{
    Duration window = std::chrono::seconds(8); // span over which quotas are judged
    // Interval of notes while something was spent that other nodes need not know at once.
    Duration noteInterval = std::chrono::milliseconds(250);
    // Interval while it matters: the bucket is below urgentLevel, or urgentShare of the burst was
    // spent since the latest note.
    Duration urgentNoteInterval = std::chrono::milliseconds(50);
    // Usual delay of a note. A bucket that was full meanwhile lost the refill of this time, so that
    // it may be overdrawn by as much.
    Duration noteDelay = std::chrono::milliseconds(50);
    double urgentLevel = 0.5;  // share of the burst
    double urgentShare = 0.03; // of the burst
    // Least time for which a full bucket lasts at the quota's rate, whatever the burst.
    Duration minBurstTime = std::chrono::milliseconds(100);
    // Time constant of the spending that notes state.
    Duration rateTime = std::chrono::milliseconds(500);
    // A node goes on sending notes for this long after it has spent something, so that the others
    // notice when it is out of reach.
    Duration activeTime = std::chrono::seconds(8);
    // An active node that has sent no note for this long is silent. Single notes are lost.
    Duration quietTime = std::chrono::milliseconds(900);
    Duration checkInterval = std::chrono::milliseconds(100); // of silent nodes
    // A live node that has sent no note for this long spends nothing. Longer than a node counts as
    // live after its latest heartbeat, so that one that was cut off is not taken for idle.
    Duration idleTime = std::chrono::milliseconds(3'500);
    // Shares kept free for silent nodes are given up after this time if most nodes are heard or the
    // store is reached: the silent ones are gone.
    Duration reserveTime = std::chrono::seconds(60);
    // This much of the shares of silent nodes is given up after two windows already. Should they
    // still spend it, that is within the excess that is allowed over a window, which is 0.1.
    double reserveTolerance = 0.06;
    // After a start, the level of other nodes is taken over for this long, until each of them has
    // sent a note.
    Duration syncTime = std::chrono::milliseconds(700);
    // update() or another call was not made for this long: the process was suspended, and knows the
    // spending of other nodes no more than a new process.
    Duration maxUpdateGap = std::chrono::seconds(2);
    // Least share of a quota that a node uses.
    double minShare = 0.02;
    std::chrono::milliseconds minRetryAfter { 100 };
    std::chrono::milliseconds maxRetryAfter { 5'000 };
};

class QuotaLedger
{
public:
    /// @param node name of this node
    /// @param startedMs start of this process, Unix ms
    QuotaLedger(std::string node, std::uint64_t startedMs, QuotaLedgerSettings settings = {});

    /// Sets the quotas in force. A lower quota holds at once, a higher one fills up at its rate.
    void setOrganisations(const std::vector<Organisation> &organisations, Instant now);

    /// Sets what is known of the other nodes. Call it with each heartbeat.
    void setFleet(const FleetView &fleet, Instant now);

    /// Takes a request from the organisation's bucket.
    /// @param cost see requestCost()
    /// @return nothing if it may be sent
    std::optional<QuotaExceeded> tryTake(const std::string &organisation, double cost, Instant now);

    /// Gives back what was taken for a request that has not run and will not.
    void giveBack(const std::string &organisation, double cost, Instant now);

    /// Takes what another node has spent.
    void onNote(const QuotaNote &note, Instant now);

    /// @return the note that is due now, if any
    std::optional<QuotaNote> nextNote(Instant now);

    // ---- Queries ----

    struct Status
    {
        double level = 0.0; // of the bucket; below 0: debt
        double quotaPerSecond = 0.0;
        double ownPerSecond = 0.0;    // spent at this node
        double othersPerSecond = 0.0; // spent at other nodes, by their latest notes
        double share = 1.0;           // of the quota, that this node and those it hears may use
    };

    /// @return nothing if the organisation has no quota
    std::optional<Status> status(const std::string &organisation, Instant now);

    /// @return the organisations that spend most of their quota over all nodes, at most `count`
    std::vector<std::pair<std::string, Status>> busiest(std::size_t count, Instant now);

    /// @return number of organisations with a quota
    std::size_t size() const { return m_accounts.size(); }

private:
    /// What was spent lately, with less weight the longer ago.
    struct RecentUse
    {
        double sum = 0.0;
        Instant updatedAt;
    };

    /// The spending of another node for one organisation.
    struct PeerUse
    {
        double spent = 0.0;     // as its latest note states
        double perSecond = 0.0; // estimated spending since then
        Instant heardAt;        // of the latest note with it
        RecentUse recent;
        std::uint64_t number = 0; // of the latest note with it
        bool isActive = false;    // as it states
        double share = 0.0;       // of the quota, kept free for it while it is silent
        double charged = 0.0;     // estimated spending from the latest note until it was silent
        Instant silentAt;         // zero: it is not silent
    };

    struct Account
    {
        Quota quota;
        double level = 0.0;
        Instant updatedAt;
        Instant syncUntil;      // the levels of other nodes are taken over
        bool isSynced = false;  // whether another node's level was taken over since the start
        double spent = 0.0;     // by this process
        double noted = 0.0;     // spent as of the latest note
        Instant notedAt;        // latest note with this organisation
        double perSecond = 0.0; // spent lately by this process
        double squares = 0.0;   // sum of the squares of what makes up perSecond
        Instant spentAt;
        bool wasActive = false;       // as the latest note states
        RecentUse recent;             // by this process
        double share = 1.0;           // of the quota that this node may use
        bool isMinimal = false;       // cut off, and it had no part in the spending before
        double othersPerSecond = 0.0; // sum over peers
        std::unordered_map<std::string, PeerUse> peers; // by node
    };

    struct Peer
    {
        std::uint64_t startedMs = 0; // of its process
        Instant heardAt;             // latest note
        Instant contactSince;        // since then there was no long gap between its notes
    };

    void restart(Instant now);
    void noteCall(Instant now);
    void update(Account &account, Instant now) const;
    void begin(Account &account, Instant now) const;
    double addRecent(RecentUse &recent, double amount, Instant now) const;
    void setPeerRate(Account &account, PeerUse &use, double perSecond) const;
    bool isSilent(const std::string &node, const PeerUse &use, Instant now) const;
    bool isGone(const std::string &node, const PeerUse &use, Instant now) const;
    void checkPeers(Instant now);
    void expirePeers(Account &account, Instant now);
    void reserveShares(Account &account, Instant now);
    void setShare(Account &account, Instant now) const;
    double takeTotal(Account &account, PeerUse &use, const QuotaUse &stated, bool isPartial,
                     Instant now) const;
    void noteUrgency(const Account &account);
    static double expectedRate(const Account &account);
    double burstOf(const Account &account) const;

    std::string m_node;
    std::uint64_t m_startedMs;
    QuotaLedgerSettings m_settings;
    FleetView m_fleet;
    Instant m_calledAt;             // latest call
    Instant m_notedAt;              // latest note
    Instant m_checkedAt;            // for silent nodes
    std::uint64_t m_lastNumber = 0; // of the latest note
    bool m_isUrgent = false;        // the next note is due after urgentNoteInterval
    std::unordered_map<std::string, Account> m_accounts; // by organisation
    std::unordered_map<std::string, Peer> m_peers;       // by node
};

} // namespace burdock
