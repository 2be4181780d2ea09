// The stored records of the at-most-once ledger, and how they fold into the state of a shard.
//
// Index
//   OrderKey         a service and the caller's Idempotency-Key
//   RecordedAnswer   the part of an upstream's response that is kept for resends
//   LedgerRecord     one entry of the log: an order entered a state
//   SegmentRef       reference to one immutable object that holds older records
//   LedgerHead       the only mutable object of a shard
//   LedgerIndex      the folded state: the latest record of each order
//   applyRecord      folds one record into an index
//   mergeRecords     joins two sequences of records, keeping the latest of each order
//   ledgerShardOf, ledgerHeadName, ledgerSegmentPrefix
//
// An order is one request that must run at most once, identified by its OrderKey. An attempt is one
// try of an entry node to run an order. Orders are partitioned over shards by hash.
//
// The log of a shard consists of the records of its segments, in the order in which the head lists
// them, followed by the head's recent records. Only the owner of the shard writes it, and only by
// conditional update of the head. The log therefore has a single order, and every later owner
// reads the same log.
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
    std::string key;     // value of the caller's Idempotency-Key header

    auto operator<=>(const OrderKey &) const = default; // NOLINT(modernize-use-nullptr)
};

enum class OrderState {
    Granted,        // one attempt may send the order, or has sent it
    OutcomeUnknown, // the order was sent and no response arrived; it may have run
    Answered,       // the order was sent and the upstream's response is recorded
    Released,       // the attempt sent no byte and never will; another attempt may be granted
};

struct RecordedAnswer
{
    int status = 0;           // HTTP status
    std::string contentType;  // Content-Type of the body
    std::string body;         // complete body; empty if it was too large to keep
    bool bodyOmitted = false; // whether the body was too large to keep

    bool operator==(const RecordedAnswer &) const = default;
};

struct LedgerRecord
{
    OrderKey order;
    std::uint64_t fingerprint = 0;     // hash of the request; one key identifies one request
    std::string attempt;               // name of the attempt that holds the grant
    std::string node;                  // entry node of the attempt
    std::uint64_t nodeIncarnation = 0; // incarnation of the entry node
    OrderState state = OrderState::Granted;
    RecordedAnswer answer;                 // response of the upstream; for OrderState::Answered
    std::chrono::seconds recordedAt { 0 }; // owner's wall clock; used only for retention
};

/// Size of the fixed-length fields of a stored record, in bytes.
constexpr std::size_t RecordOverheadBytes = 32;

/// @return the approximate stored size, in bytes
inline std::size_t recordBytes(const LedgerRecord &record)
{
    return RecordOverheadBytes + record.order.service.size() + record.order.key.size()
            + record.attempt.size() + record.node.size() + record.answer.contentType.size()
            + record.answer.body.size();
}

/// @return the approximate stored size of all records, in bytes
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
    std::string name;                    // object name; never reused
    std::uint64_t bytes = 0;             // approximate size
    std::chrono::seconds newestAt { 0 }; // `recordedAt` of the segment's newest record
};

struct LedgerHead
{
    std::string owner;                  // node that last took over the shard
    std::uint64_t ownerIncarnation = 0; // incarnation of the owner
    std::uint64_t batch = 0;            // number of the owner's write that produced this head
    std::vector<LedgerRecord> recent;   // records that are not in a segment yet, oldest first
    std::vector<SegmentRef> segments;   // oldest first
};

/// @return the shard of an order, in [0, shards)
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

/// The latest record of each order; released orders have no entry.
using LedgerIndex = std::map<OrderKey, LedgerRecord>;

/// Folds a record into an index. Records must be applied in the order of the log.
inline void applyRecord(LedgerIndex &index, const LedgerRecord &record)
{
    if (record.state == OrderState::Released)
        index.erase(record.order);
    else
        index.insert_or_assign(record.order, record);
}

/// Joins two sequences of records. Released records are kept because they supersede records of
/// older segments.
/// @param older records that precede `newer` in the log
/// @param newer records that follow `older` in the log
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

/// @return `recordedAt` of the newest record, or 0 if there are no records
inline std::chrono::seconds newestRecordAt(const std::vector<LedgerRecord> &records)
{
    std::chrono::seconds newest { 0 };
    for (const LedgerRecord &record : records)
        newest = std::max(newest, record.recordedAt);
    return newest;
}

} // namespace burdock
