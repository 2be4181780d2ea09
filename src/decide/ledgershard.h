// One shard of the ledger on one node: ownership, group commit, read-back, segments.
//
// Index
//   LedgerContext   what the shards of a node share
//   LedgerShard     the state machine of a shard
//
// Used by Ledger only; ledger.h explains how it works.
//
//   Idle -> ReadingHead -> ReadingSegments -> Taking -> Serving <-> Writing
//                ^                                         ^          |
//                |                                         |          v
//                +---- another owner wrote the head ------ Settling <-+  no answer, or a conflict
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
    std::set<NodeIdentity> live;       // the live nodes
    std::vector<std::string> names;    // their names, for rendezvous hashing
    std::chrono::seconds wallClock {}; // as of the last tick
    std::uint64_t lastCall = 0;        // numbers the calls of the Object API
    std::uint64_t lastBatch = 0;       // numbers the head writes
    std::uint64_t lastSegment = 0;     // numbers the segments
    std::vector<LedgerAction> actions; // not yet taken

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
    enum class Phase { Idle, ReadingHead, ReadingSegments, Taking, Serving, Writing, Settling };

    using Message = std::variant<Admit, Outcome, Release>;

    struct Request // waits for a write, or for its result
    {
        Message message;
        Instant refuseAt; // for Admit
    };

    struct Batch // one write of the head
    {
        LedgerHead head;                   // as written
        std::vector<LedgerRecord> records; // new in it
        std::deque<Request> requests;      // that it serves
        std::vector<SendToNode> replies;   // to send once it is done
        std::vector<std::string> dropped;  // segments that it no longer lists
        std::vector<std::string> orphans;  // unlisted segments; deleted if it proves ownership
        LedgerIndex overlay;               // its records folded, releases included
        bool mustWrite = false;            // even without records, as a proof of ownership
        bool rolled = false;               // lists the segment of m_roll
    };

    struct Roll // a segment being created from the head's oldest records
    {
        std::string name;
        std::uint64_t call = 0;
        std::size_t recentCount = 0;       // records of the head that it holds
        std::set<std::string> replaced;    // segments whose records it holds too
        std::vector<LedgerRecord> records; // its content
        bool created = false;              // ready to be listed
    };

    // Ownership: ledgershard.cpp
    void startLoading();
    void onHeadLoaded(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                      Instant now);
    void readNextSegment(Instant now);
    void takeOver(Instant now);
    void onTakeoverWritten(ObjectStatus status, std::uint64_t version, Instant now);
    void onBatchWritten(ObjectStatus status, std::uint64_t version, Instant now);
    void settle();
    void onReadBack(ObjectStatus status, std::uint64_t version, const LedgerHead &head,
                    Instant now);
    void pauseForStore(Instant now);
    void leave(const std::string &hint, Instant retryAt);
    void refuseWaiting(bool all, Instant now);
    bool entryIsLive(const LedgerRecord &record) const;

    // Requests and group commit: ledgercommit.cpp
    bool owning() const;
    bool answerSettled(const Admit &message);
    bool removeQueuedAdmit(const std::string &attempt);
    void enqueue(Message message, Instant now);
    void forgetRequest(const Request &request);
    void refuse(const Admit &message, Instant now);
    AdmitReply reply(const Admit &message, const LedgerRecord &record) const;
    void commit(Instant now);
    void decideAdmit(Batch &batch, const Admit &message);
    void decideOutcome(Batch &batch, const Outcome &message);
    void decideRelease(Batch &batch, const Release &message);
    const LedgerRecord *recordIn(const Batch &batch, const OrderKey &order) const;
    void append(Batch &batch, LedgerRecord record);
    void fillHead(Batch &batch);
    void write(Batch batch, Instant now);
    void sendReplies(const Batch &batch);
    void finishBatch(std::size_t number, std::uint64_t version, Instant now);
    void requeue(Batch &batch);

    // Segments, reminders and expiry: ledgerupkeep.cpp
    void apply(const LedgerRecord &record, Instant now);
    void startRoll();
    void onRollWritten(ObjectStatus status);
    void remind(Instant now);
    void expireRecords(Instant now);
    bool isExpired(const SegmentRef &segment) const;
    void startScan(Instant now);
    void deleteOrphans(const std::vector<std::string> &names);

    unsigned m_shard;
    LedgerContext &m_context;
    Phase m_phase = Phase::Idle;
    std::string m_preferred;            // owner by this node's view
    std::uint64_t m_call = 0;           // the call of the head or of a segment that is awaited
    std::uint64_t m_version = 0;        // of m_head
    LedgerHead m_head;                  // as last read or written
    std::size_t m_batchBytes = 0;       // of the new records in the last write
    std::size_t m_recentBytes = 0;      // of the records in m_head
    LedgerIndex m_index;                // folded state of the shard
    std::map<OrderKey, Instant> m_open; // grants without an outcome, and when to remind
    std::map<std::string, std::vector<LedgerRecord>> m_small; // segments that may be merged
    std::size_t m_loading = 0;                                // number of the segment being read
    std::deque<Request> m_queue;                              // requests that are in no write
    std::map<OrderKey, int> m_waiting;     // requests in m_queue or in the write in flight
    std::set<std::string> m_waitingAdmits; // attempts of those that are Admits
    std::vector<Batch> m_unsettled;        // writes on m_version; the last may be in flight
    std::optional<Roll> m_roll;            // the segment being created
    std::uint64_t m_listCall = 0;          // of ListSegments
    std::vector<std::string> m_orphans;    // listed last and not in the head
    OrderKey m_sweptTo;                    // progress of expireRecords()
    Instant m_retryAt {};                  // nothing is tried before
    Instant m_commitAt {};                 // next write of the head
    Instant m_remindAt {};                 // next look at m_open
    Instant m_sweepAt {};                  // next search for expired records
    Instant m_scanAt {};                   // next search for lost segments
    bool m_storeDown = false;              // the last call failed
    Instant m_storeDownSince {};           // the first of those that failed in a row
    LedgerShardRow m_counts;               // counters
};

} // namespace burdock
