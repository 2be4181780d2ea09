// The owner's side of the at-most-once ledger: grants each keyed order to one attempt.
//
// Index
//   LedgerSettings     bounds and intervals
//   ReadHead, ReadSegment, ListSegments, WriteHead, CreateSegment, DeleteSegment
//                      actions towards the Object API; every action but the deletion is answered
//   ObjectStatus       how the Object API answered
//   Ledger             the system: events in, tick, actions out
//
// How it works
//   Orders are split over shards by hash. Each shard has one head object and some segments, see
//   ledgerrecord.h. The live node that comes first by rendezvous hashing owns the shard: it reads
//   the head, writes itself in by conditional update, and from then on each of its writes carries
//   the version that it read or wrote last. Versions never repeat, so an owner that was paused or
//   superseded cannot write, whatever any clock says; no write, no grant.
//
//   Requests are collected and written together, one write in flight a shard (group commit).
//   Replies that rest on a write are sent only after it succeeded. When the answer of a write is
//   lost, the head is read back: a head of the old version means that the next write, again on
//   that version, shuts the lost one out; another version is either the lost write, which is then
//   adopted, or another owner, whom the shard is left to.
//
//   A grant whose entry node is gone stays a grant, is reported as "outcome unknown" and is never
//   given again. Grants of live nodes are repeated as reminders; a node that has no use for one
//   answers with a Release.
//
// Example: tests/decide/test_ledger.cpp
#pragma once

#include "base/instant.h"
#include "decide/ledgermessages.h"
#include "decide/ledgerrecord.h"

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Settings -----------------------------------------------------------------------------------

/// Switches a mechanism off, to show that the checker of the fault tests notices. Never in service.
struct LedgerAblation
{
    bool grantBeforeCommit = false;  // replies without waiting for the write
    bool trustUnknownWrites = false; // takes a write without an answer for done
    bool ackBeforeCommit = false;    // acknowledges outcomes without waiting for the write
    bool regrantDeadNodes = false;   // grants again what a lost entry node held
};

struct LedgerSettings
{
    unsigned shards = 16;                               // the same on every node, for good
    std::chrono::milliseconds commitInterval { 100 };   // at most one write a shard in this time
    std::size_t recentBytes = 8 * 1024;                 // records in the head before a segment
    std::size_t recentBatches = 4;                      // or as many writes like the last one
    std::size_t segmentBytes = 768 * 1024;              // segments are merged up to this size
    std::size_t answerBytes = 16 * 1024;                // larger answer bodies are not kept
    std::size_t batchBytes = 256 * 1024;                // new records in one write
    std::size_t queuedRequests = 4'096;                 // waiting requests a shard
    std::size_t maxRecords = 150'000;                   // orders kept a shard; then it refuses
    std::chrono::milliseconds admitWait { 2'000 };      // then a waiting Admit is refused
    std::chrono::milliseconds retryInterval { 500 };    // between tries when the store is down
    std::chrono::milliseconds retryAfterMax { 30'000 }; // told to callers in a long outage
    std::chrono::milliseconds takeoverPause { 1'000 };  // after losing a shard to another owner
    std::chrono::milliseconds remindInterval { 2'000 }; // between reminders of one grant
    std::chrono::seconds retention { 24 * 3'600 };      // records are kept this long
    std::chrono::minutes orphanScanInterval { 60 };     // between searches for lost segments
    LedgerAblation ablation;                            // for fault tests
};

// ---- Object API ---------------------------------------------------------------------------------

enum class ObjectStatus {
    Done,        // read, or written
    Missing,     // no such object
    Conflict,    // written by somebody else; nothing was carried out
    Unavailable, // nothing was carried out
    Unknown,     // no answer: carried out, or not, or later
};

struct ReadHead
{
    std::uint64_t call = 0; // answered by onHead()
    unsigned shard = 0;
    std::string name; // object name
};

struct ReadSegment
{
    std::uint64_t call = 0; // answered by onSegment()
    unsigned shard = 0;
    std::string name; // object name
};

struct ListSegments
{
    std::uint64_t call = 0; // answered by onSegmentList()
    unsigned shard = 0;
    std::string prefix; // of the object names
};

struct WriteHead
{
    std::uint64_t call = 0; // answered by onWritten()
    unsigned shard = 0;
    std::string name;                  // object name
    std::uint64_t expectedVersion = 0; // put-if-version; 0 is create-if-absent
    LedgerHead head;                   // the new content
};

struct CreateSegment
{
    std::uint64_t call = 0; // answered by onWritten()
    unsigned shard = 0;
    std::string name;                  // object name; create-if-absent
    std::vector<LedgerRecord> records; // the content
};

struct DeleteSegment
{
    unsigned shard = 0;
    std::string name; // object name; no answer is expected
};

using LedgerAction = std::variant<SendToNode, ReadHead, ReadSegment, ListSegments, WriteHead,
                                  CreateSegment, DeleteSegment>;

// ---- Status -------------------------------------------------------------------------------------

struct LedgerShardRow
{
    unsigned shard = 0;
    std::string phase;           // idle, loading, taking, serving, writing, settling
    std::string preferredOwner;  // by this node's view of the live nodes
    std::uint64_t version = 0;   // of the head; 0 when none is loaded
    std::size_t records = 0;     // orders in the index
    std::size_t openGrants = 0;  // orders without an outcome
    std::size_t queued = 0;      // requests that wait for a write
    std::size_t recentBytes = 0; // records in the head
    std::size_t segments = 0;    // segments that the head lists
    std::uint64_t commits = 0;   // head writes that succeeded
    std::uint64_t takeovers = 0; // of which took the shard over
    std::uint64_t readBacks = 0; // reads after a write without an answer
    std::uint64_t refused = 0;   // Admits answered with Refused
};

// ---- System -------------------------------------------------------------------------------------

struct LedgerContext;
class LedgerShard;

class Ledger
{
public:
    /// @param self this process; its incarnation must be one that no process of this node had
    /// @param settings bounds and intervals; `shards` must be the same on every node
    Ledger(NodeIdentity self, LedgerSettings settings);
    ~Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    // Events. Call tick() after a group of them, and at least every commitInterval.

    /// The live nodes changed. They decide who owns which shard, and which grants are still open.
    void onLiveNodes(std::vector<NodeIdentity> live, Instant now);

    void onAdmit(const Admit &message, Instant now);
    void onOutcome(const Outcome &message, Instant now);
    void onRelease(const Release &message, Instant now);

    /// Answers ReadHead. Unknown and Unavailable mean the same for a read.
    void onHead(std::uint64_t call, unsigned shard, ObjectStatus status, std::uint64_t version,
                const LedgerHead &head, Instant now);

    /// Answers ReadSegment.
    void onSegment(std::uint64_t call, unsigned shard, ObjectStatus status,
                   const std::vector<LedgerRecord> &records, Instant now);

    /// Answers ListSegments.
    void onSegmentList(std::uint64_t call, unsigned shard, ObjectStatus status,
                       const std::vector<std::string> &names, Instant now);

    /// Answers WriteHead and CreateSegment.
    /// @param version the new version, for ObjectStatus::Done
    void onWritten(std::uint64_t call, unsigned shard, ObjectStatus status, std::uint64_t version,
                   Instant now);

    /// @param now the monotonic clock
    /// @param wallClock seconds since the epoch, used only for how long records are kept
    void tick(Instant now, std::chrono::seconds wallClock);

    std::vector<LedgerAction> takeActions();

    // Tables, for tests and status pages.

    std::vector<LedgerShardRow> shardRows() const;

    /// @return the record of an order in a shard that this node owns, or null
    const LedgerRecord *record(const OrderKey &order) const;

private:
    LedgerShard &shardOf(const OrderKey &order) const;

    std::unique_ptr<LedgerContext> m_context;
    std::vector<std::unique_ptr<LedgerShard>> m_shards;
};

} // namespace burdock
