// What the at-most-once ledger keeps, and how its records fold into a state.
//
// Index
//   OrderKey         a service and the caller's Idempotency-Key
//   RecordedAnswer   the part of an upstream's answer that is kept for resends
//   LedgerRecord     one line of the log: an order entered a state
//   SegmentRef       one immutable object that holds older records
//   LedgerHead       the only mutable object of a shard
//   LedgerIndex      the folded state: the latest record of each order
//   applyRecord      folds one record into an index
//   mergeRecords     joins two runs of records, keeping the latest of each order
//   ledgerShardOf, ledgerHeadName, ledgerSegmentPrefix
//
// A shard's log is: the records of its segments in the order the head lists them, then the head's
// recent records. Only the shard's owner writes it, and only by conditional update of the head, so
// the log has one order that every later owner reads alike.
#pragma once

#include "base/hashing.h"

#include <algorithm>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Records ------------------------------------------------------------------------------------

struct OrderKey
{
    std::string service; // name of the service
    std::string key;     // the caller's Idempotency-Key

    auto operator<=>(const OrderKey &) const = default; // NOLINT(modernize-use-nullptr)
};

enum class OrderState {
    Granted,        // one attempt may send it, or has sent it
    OutcomeUnknown, // sent, and no answer came
    Answered,       // sent, and the answer is recorded
    Released,       // the attempt never sent a byte; a resend may run
};

struct RecordedAnswer
{
    int status = 0;           // HTTP status
    std::string contentType;  // of the body
    std::string body;         // whole, or empty when it was too large to keep
    bool bodyOmitted = false; // the body was too large to keep

    bool operator==(const RecordedAnswer &) const = default;
};

struct LedgerRecord
{
    OrderKey order;                         // which order
    std::uint64_t fingerprint = 0;          // hash of the request; a key belongs to one request
    std::string attempt;                    // the attempt that holds the grant
    std::string node;                       // the entry node of that attempt
    std::uint64_t nodeIncarnation = 0;      // the process of that node
    OrderState state = OrderState::Granted; // what is known
    RecordedAnswer answer;                  // for OrderState::Answered
    std::chrono::seconds recordedAt { 0 };  // wall clock of the owner, for retention only
};

/// Bytes of a stored record besides its texts.
constexpr std::size_t RecordOverheadBytes = 32;

/// @return the approximate stored size, in bytes
inline std::size_t recordBytes(const LedgerRecord &record)
{
    return RecordOverheadBytes + record.order.service.size() + record.order.key.size()
            + record.attempt.size() + record.node.size() + record.answer.contentType.size()
            + record.answer.body.size();
}

inline std::size_t recordBytes(const std::vector<LedgerRecord> &records)
{
    std::size_t sum = 0;
    for (const LedgerRecord &record : records)
        sum += recordBytes(record);
    return sum;
}

// ---- Objects ------------------------------------------------------------------------------------

struct SegmentRef
{
    std::string name;                    // object name; never used twice
    std::uint64_t bytes = 0;             // approximate size
    std::chrono::seconds newestAt { 0 }; // wall clock of its newest record
};

struct LedgerHead
{
    std::string owner;                  // node that last took the shard over
    std::uint64_t ownerIncarnation = 0; // the process of that node
    std::uint64_t batch = 0;            // names the owner's write that made this head
    std::vector<LedgerRecord> recent;   // records not yet in a segment, oldest first
    std::vector<SegmentRef> segments;   // oldest first
};

/// @return the shard of an order
inline unsigned ledgerShardOf(const OrderKey &order, unsigned shards)
{
    return static_cast<unsigned>(hashPair(hashText(order.service), order.key) % shards);
}

inline std::string ledgerHeadName(unsigned shard)
{
    return "ledger/" + std::to_string(shard);
}

inline std::string ledgerSegmentPrefix(unsigned shard)
{
    return ledgerHeadName(shard) + "/segments/";
}

// ---- Fold ---------------------------------------------------------------------------------------

/// The latest record of each order that is not released.
using LedgerIndex = std::map<OrderKey, LedgerRecord>;

/// Folds a record into an index; records must come in the order of the log.
inline void applyRecord(LedgerIndex &index, const LedgerRecord &record)
{
    if (record.state == OrderState::Released)
        index.erase(record.order);
    else
        index.insert_or_assign(record.order, record);
}

/// Joins two runs of records. Releases stay, since they hide records of older segments.
/// @param older records that come first in the log
/// @param newer records that follow
/// @return the latest record of each order, sorted by order
inline std::vector<LedgerRecord> mergeRecords(const std::vector<LedgerRecord> &older,
                                              const std::vector<LedgerRecord> &newer)
{
    LedgerIndex latest;
    for (const std::vector<LedgerRecord> *run : { &older, &newer }) {
        for (const LedgerRecord &record : *run)
            latest.insert_or_assign(record.order, record);
    }
    std::vector<LedgerRecord> merged;
    merged.reserve(latest.size());
    for (auto &[order, record] : latest)
        merged.push_back(std::move(record));
    return merged;
}

/// @return the wall clock of the newest record, or 0 where there is none
inline std::chrono::seconds newestRecordAt(const std::vector<LedgerRecord> &records)
{
    std::chrono::seconds newest { 0 };
    for (const LedgerRecord &record : records)
        newest = std::max(newest, record.recordedAt);
    return newest;
}

} // namespace burdock
