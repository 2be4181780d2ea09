// The owner's side of the at-most-once ledger: grants each keyed order to one attempt.
//
// Index
//   LedgerSettings     limits and intervals
//   ReadHead, ReadSegment, ListSegments, WriteHead, CreateSegment, DeleteSegment
//                      actions for the Object API; the caller of Ledger reports the result of each
//                      action except DeleteSegment
//   ObjectStatus       result of an Object API call
//   LedgerShardRow     status of one shard
//   Ledger             the decision module: events and ticks go in, actions come out
//
// Ownership
//   Orders are partitioned over shards by hash. Each shard has one head object and a list of
//   segments, see ledgerrecord.h. The live node that ranks first for a shard by rendezvous hashing
//   owns it. A new owner reads the head and writes its own identity into it by conditional update.
//   From then on each of its writes carries the version that it read or wrote last. Versions never
//   repeat, so an owner that was suspended or superseded cannot write, regardless of clocks. No
//   order is granted without a successful write.
//
// Group commit
//   Requests are collected and written together, with at most one write in flight per shard.
//   Replies that depend on a write are sent only after it succeeds. If the response to a write is
//   lost, the head is read back. If it still has the old version, the next write uses that version
//   again, so the lost write and the next one cannot both take effect. If it has another version,
//   either the lost write took effect and is adopted, or another owner has written the head and
//   this node abandons the shard.
//
// Open grants
//   A grant whose entry node is no longer live remains a grant: it is reported as "outcome unknown"
//   and the order is never granted again. The owner resends the grants of live nodes as reminders;
//   a node that does not know the attempt responds with a Release.
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

/// Disables single mechanisms, so that the fault tests can show that their checker detects the
/// violations that each mechanism prevents. Must not be used in production.
struct LedgerAblation
{
    bool grantBeforeCommit = false;  // send replies without waiting for the write
    bool trustUnknownWrites = false; // treat a write without a response as successful
    bool ackBeforeCommit = false;    // acknowledge outcomes without waiting for the write
    bool regrantDeadNodes = false;   // grant an order again if the holder's entry node is dead
};

struct LedgerSettings
{
    // Number of shards. Must be the same on every node and must never change.
    unsigned shards = 16;

    // Minimum time between two writes of one shard.
    std::chrono::milliseconds commitInterval { 100 };

    // The head's records move to a segment when they reach this many bytes, or this many times
    // the bytes of new records in the last write, whichever is more.
    std::size_t segmentThresholdBytes = 8 * 1024;
    std::size_t segmentThresholdBatches = 4;

    // Segments are merged up to this size.
    std::size_t maxSegmentBytes = 768 * 1024;

    // Larger response bodies are not stored.
    std::size_t maxRecordedBodyBytes = 16 * 1024;

    // A write takes no further requests once its new records reach this size.
    std::size_t maxBatchBytes = 256 * 1024;

    // Admits are refused while this many requests are queued in the shard; outcomes are dropped
    // at twice this number.
    std::size_t maxQueuedRequests = 4'096;

    // Admits are refused while the shard's index holds this many orders.
    std::size_t maxRecords = 150'000;

    // An Admit that is queued for longer is refused. Also the lower bound of
    // AdmitReply::retryAfter.
    std::chrono::milliseconds maxAdmitWait { 2'000 };

    // Time until a store call is retried while the store is unavailable.
    std::chrono::milliseconds retryInterval { 500 };

    // Upper bound of AdmitReply::retryAfter, reached in a long outage of the store.
    std::chrono::milliseconds maxRetryAfter { 30'000 };

    // Wait before loading a shard again after losing it to another owner.
    std::chrono::milliseconds takeoverBackoff { 1'000 };

    // Time between two reminders of the same grant.
    std::chrono::milliseconds remindInterval { 2'000 };

    // Records are kept for this long.
    std::chrono::seconds retention { 24 * 3'600 };

    // Time between scans for orphaned segments: stored segments that the head does not list.
    std::chrono::minutes orphanScanInterval { 60 };

    // For fault tests only.
    LedgerAblation ablation;
};

// ---- Object API ---------------------------------------------------------------------------------

enum class ObjectStatus {
    Done,        // the read or write succeeded
    Missing,     // the object does not exist
    Conflict,    // the object has another version, or exists already; nothing was changed
    Unavailable, // the call failed and had no effect
    Unknown,     // no response: the call may have taken effect, or may do so later
};

struct ReadHead
{
    std::uint64_t call = 0; // identifies the call in onHead()
    unsigned shard = 0;
    std::string name; // object name
};

struct ReadSegment
{
    std::uint64_t call = 0; // identifies the call in onSegment()
    unsigned shard = 0;
    std::string name; // object name
};

struct ListSegments
{
    std::uint64_t call = 0; // identifies the call in onSegmentList()
    unsigned shard = 0;
    std::string prefix; // prefix of the object names to list
};

struct WriteHead
{
    std::uint64_t call = 0; // identifies the call in onWritten()
    unsigned shard = 0;
    std::string name;                  // object name
    std::uint64_t expectedVersion = 0; // the write is conditional on it; 0: create if absent
    LedgerHead head;                   // new content
};

struct CreateSegment
{
    std::uint64_t call = 0; // identifies the call in onWritten()
    unsigned shard = 0;
    std::string name;                  // object name; created only if absent
    std::vector<LedgerRecord> records; // content
};

struct DeleteSegment
{
    unsigned shard = 0;
    std::string name; // object name; the result is not reported
};

using LedgerAction = std::variant<SendToNode, ReadHead, ReadSegment, ListSegments, WriteHead,
                                  CreateSegment, DeleteSegment>;

// ---- Status -------------------------------------------------------------------------------------

struct LedgerShardRow
{
    unsigned shard = 0;
    std::string phase;           // idle, loading, taking, serving, writing or settling
    std::string preferredOwner;  // owner according to this node's view of the live nodes
    std::uint64_t version = 0;   // version of the head; 0 if no head is loaded
    std::size_t records = 0;     // number of orders in the index
    std::size_t openGrants = 0;  // number of granted orders without an outcome
    std::size_t queued = 0;      // number of requests that wait for a write
    std::size_t recentBytes = 0; // approximate size of the records in the head
    std::size_t segments = 0;    // number of segments that the head lists
    std::uint64_t commits = 0;   // successful writes of the head, takeovers included
    std::uint64_t takeovers = 0; // successful writes that took over the shard
    std::uint64_t readBacks = 0; // reads of the head after a conflict or an unconfirmed write
    std::uint64_t refused = 0;   // number of Admits that were refused
};

// ---- Ledger -------------------------------------------------------------------------------------

struct LedgerContext;
class LedgerShard;

class Ledger
{
public:
    /// @param self identity of this process; no earlier process of this node may have used the
    ///             same incarnation
    /// @param settings `shards` must be the same on every node
    Ledger(NodeIdentity self, LedgerSettings settings);
    ~Ledger();
    Ledger(const Ledger &) = delete;
    Ledger &operator=(const Ledger &) = delete;

    // Events. Call tick() after each group of events and at least every commitInterval.

    /// The set of live nodes changed. It determines the owner of each shard and which grants count
    /// as in progress.
    void onLiveNodes(std::vector<NodeIdentity> live, Instant now);

    // Messages from entry nodes. Replies are emitted as SendToNode actions.

    void onAdmit(const Admit &message, Instant now);
    void onOutcome(const Outcome &message, Instant now);
    void onRelease(const Release &message, Instant now);

    /// Result of a ReadHead. Unknown and Unavailable are equivalent for a read.
    void onHead(std::uint64_t call, unsigned shard, ObjectStatus status, std::uint64_t version,
                const LedgerHead &head, Instant now);

    /// Result of a ReadSegment.
    void onSegment(std::uint64_t call, unsigned shard, ObjectStatus status,
                   const std::vector<LedgerRecord> &records, Instant now);

    /// Result of a ListSegments.
    void onSegmentList(std::uint64_t call, unsigned shard, ObjectStatus status,
                       const std::vector<std::string> &names, Instant now);

    /// Result of a WriteHead or CreateSegment.
    /// @param version the new version of the object; for ObjectStatus::Done
    void onWritten(std::uint64_t call, unsigned shard, ObjectStatus status, std::uint64_t version,
                   Instant now);

    /// Advances timers and starts writes that are due.
    /// @param now monotonic clock
    /// @param wallClock seconds since the epoch; used only for the retention of records
    void tick(Instant now, std::chrono::seconds wallClock);

    /// @return the actions since the last call, in the order in which to carry them out
    std::vector<LedgerAction> takeActions();

    // State for tests and status pages.

    std::vector<LedgerShardRow> shardRows() const;

    /// @return the record of an order, or null if there is none or this node does not own its shard
    const LedgerRecord *record(const OrderKey &order) const;

private:
    LedgerShard &shardOf(const OrderKey &order) const;

    std::unique_ptr<LedgerContext> m_context;
    std::vector<std::unique_ptr<LedgerShard>> m_shards;
};

} // namespace burdock
