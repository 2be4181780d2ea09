// One shard of the ledger on one node: ownership, group commit, read-back, segments.
//
// Index
//   LedgerContext   state that the shards of a node share
//   LedgerShard     the state machine of a shard
//
// Internal to Ledger; ledger.h describes the protocol. Phases of a shard:
//
//   Idle -> ReadingHead -> ReadingSegments -> TakingOver -> Serving <-> Writing
//    ^                                                        ^           |
//    |                                                        |           v
//    +------- another owner wrote the head ---------------- ReadingBack <-+  no response, or
//                                                                            a conflict
#pragma once

#include "decide/ledger.h"

#include <deque>
#include <map>
#include <optional>
#include <set>

namespace burdock {

struct LedgerContext
{
    LedgerSettings settings;
    NodeIdentity self;
    std::set<NodeIdentity> live;       // live nodes, to tell which grants are in progress
    std::vector<std::string> names;    // names of the live nodes, for rendezvous hashing
    std::chrono::seconds wallClock {}; // wall clock at the last tick
    std::uint64_t lastCall = 0;        // number of the last Object API call
    std::uint64_t lastBatch = 0;       // number of the last head write
    std::uint64_t lastSegment = 0;     // number of the last segment created by this process
    std::vector<LedgerAction> actions; // actions that the caller has not taken yet

    std::uint64_t nextCall() { return ++lastCall; }
    void send(const std::string &node, LedgerMessage message)
    {
        actions.emplace_back(SendToNode { node, std::move(message) });
    }
};

class LedgerShard
{
public:
    LedgerShard(unsigned shard, LedgerContext &context);

    void onLiveNodes(Instant now);
    void onAdmit(const Admit &message, Instant now);
    void onOutcome(const Outcome &message, Instant now);
    void onRelease(const Release &message);
    void onHead(std::uint64_t call, ObjectStatus status, std::uint64_t version,
                const LedgerHead &head, Instant now);
    void onSegment(std::uint64_t call, ObjectStatus status,
                   const std::vector<LedgerRecord> &records, Instant now);
    void onSegmentList(std::uint64_t call, ObjectStatus status,
                       const std::vector<std::string> &names);
    void onWritten(std::uint64_t call, ObjectStatus status, std::uint64_t version, Instant now);
    void tick(Instant now);

    LedgerShardRow row() const;
    const LedgerRecord *record(const OrderKey &order) const;

private:
    enum class Phase {
        Idle,
        ReadingHead,
        ReadingSegments,
        TakingOver,
        Serving,
        Writing,
        ReadingBack
    };

    using Message = std::variant<Admit, Outcome, Release>;

    struct QueuedRequest // a request that waits for a write or for its result
    {
        Message message;
        Instant refuseAt; // an Admit that is still queued then is refused
    };

    struct Batch // one write of the head and the requests that it serves
    {
        LedgerHead head;                          // content as written
        std::vector<LedgerRecord> records;        // records that this write adds
        std::deque<QueuedRequest> requests;       // requests that this write serves
        std::vector<SendToNode> replies;          // messages to send once the write has succeeded
        std::vector<std::string> droppedSegments; // segments that the new head no longer lists

        // Names of stored segments. Those that the head does not list are deleted once the write
        // has succeeded, which proves that this node still owns the shard.
        std::vector<std::string> orphans;

        LedgerIndex overlay; // latest of `records` for each order, Released ones included

        // Whether to write even without new records, to prove that this node owns the shard.
        bool mustWrite = false;

        bool listsPendingSegment = false; // whether the new head lists m_pendingSegment
    };

    struct PendingSegment // a segment that is being created from the records of the head
    {
        std::string name;
        std::uint64_t call = 0;            // the CreateSegment call
        std::size_t recentCount = 0;       // number of the head's oldest records that it contains
        std::set<std::string> replaced;    // names of the segments that were merged into it
        std::vector<LedgerRecord> records; // content
        bool created = false;              // whether it is stored and the next head can list it
    };

    // Ownership: ledgershard.cpp
    void startLoading();
    void onHeadLoaded(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                      Instant now);
    void readNextSegment(Instant now);
    void takeOver(Instant now);
    void onTakeoverWritten(ObjectStatus status, std::uint64_t version, Instant now);
    void onBatchWritten(ObjectStatus status, std::uint64_t version, Instant now);
    void readBackHead();
    void onReadBack(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                    Instant now);
    void backOffFromStore(Instant now);
    void abandonShard(const std::string &hint, Instant retryAt);
    /// @param all whether to refuse every queued Admit, or only those whose `refuseAt` has passed
    void refuseQueuedAdmits(bool all, Instant now);
    bool entryIsLive(const LedgerRecord &record) const;

    // Requests and group commit: ledgercommit.cpp
    bool isOwner() const;
    bool replyFromIndex(const Admit &message);
    bool removeQueuedAdmit(const std::string &attempt);
    void enqueue(Message message, Instant now);
    void untrackRequest(const QueuedRequest &request);
    void refuse(const Admit &message, Instant now);
    AdmitReply makeReply(const Admit &message, const LedgerRecord &record) const;
    void commit(Instant now);
    void decideAdmit(Batch &batch, const Admit &message);
    void decideOutcome(Batch &batch, const Outcome &message);
    void decideRelease(Batch &batch, const Release &message);
    const LedgerRecord *recordIn(const Batch &batch, const OrderKey &order) const;
    void appendRecord(Batch &batch, LedgerRecord record);
    void fillHead(Batch &batch);
    void startWrite(Batch batch, Instant now);
    void sendReplies(const Batch &batch);
    void completeBatch(std::size_t index, std::uint64_t version, Instant now);
    void requeue(Batch &batch);

    // Segments, reminders and expiry: ledgermaintenance.cpp
    void addToIndex(const LedgerRecord &record, Instant now);
    void startSegment();
    void onSegmentWritten(ObjectStatus status);
    void sendReminders(Instant now);
    void expireRecords(Instant now);
    bool isExpired(const SegmentRef &segment) const;
    void startOrphanScan(Instant now);
    void deleteOrphans(const std::vector<std::string> &names);

    unsigned m_shard;
    LedgerContext &m_context;
    Phase m_phase = Phase::Idle;
    std::string m_preferredOwner;     // owner according to this node's view of the live nodes
    std::uint64_t m_awaitedCall = 0;  // head or segment call whose result is awaited; 0: none
    std::uint64_t m_version = 0;      // version of m_head
    LedgerHead m_head;                // as last read or written
    std::size_t m_lastBatchBytes = 0; // size of the new records in the last write
    std::size_t m_recentBytes = 0;    // size of the records in m_head
    LedgerIndex m_index;              // folded state of the shard
    std::map<OrderKey, Instant> m_openGrants; // time of the next reminder of each open grant
    // Records of the segments that are small enough to be merged, by segment name.
    std::map<std::string, std::vector<LedgerRecord>> m_mergeableSegments;
    std::size_t m_nextSegment = 0;           // index in m_head.segments of the one being read
    std::deque<QueuedRequest> m_queue;       // requests that are in no write yet
    std::map<OrderKey, int> m_pendingCounts; // requests per order, queued or being written
    std::set<std::string> m_pendingAdmits;   // attempts of the Admits among these requests
    // Writes that expect m_version; the last may be in flight.
    std::vector<Batch> m_unconfirmedWrites;
    std::optional<PendingSegment> m_pendingSegment;
    std::uint64_t m_awaitedListCall = 0; // ListSegments call that is awaited; 0: none
    std::vector<std::string> m_orphans;  // names found by the last ListSegments
    OrderKey m_lastSweptOrder;           // last order that expireRecords() has checked
    Instant m_retryAt {};                // no store call is retried before this time
    Instant m_nextCommitAt {};           // earliest time of the next write of the head
    Instant m_nextReminderAt {};         // next check of m_openGrants
    Instant m_nextSweepAt {};            // next check for expired records
    Instant m_nextScanAt {};             // next scan for orphaned segments
    // Set by backOffFromStore(), cleared by the next successful write or read-back of the head.
    bool m_storeDown = false;
    Instant m_storeDownSince {}; // first failure of the current outage
    LedgerShardRow m_counters;   // only its event counters are maintained
};

} // namespace burdock
