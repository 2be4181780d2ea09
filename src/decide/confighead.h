// The published configuration: its stored form and the deltas that nodes exchange.
//
// The configuration is a set of entries, each a text under a key. A head lists the keys with the
// hash of each text. A publish writes a new head with the next revision number.
//
// Index
//   contentHash, entryPath     hash and Object API path of a stored entry
//   serviceKey, drainKey       keys of the two kinds of entries
//   PublishRecord              who changed which keys in one revision
//   ConfigHead                 the single object whose conditional update is a publish
//   headHash                   verifies that a delta was applied to the right base
//   findPublish, historyReaches, appendRecord    use of the head's publish history
//   ConfigSnapshot             a head with the text of each entry
//   ConfigDelta                what changed since a revision
//   makeDelta, applyDelta      compute and apply a delta
//
// In the Object API, `config/head` holds a ConfigHead and `config/<key>/<hash>` the text of one
// entry. Entries are created if absent and never changed, so a repeated or late write of one has no
// effect.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Entries ------------------------------------------------------------------------------------

constexpr const char *ConfigHeadPath = "config/head";
/// Number of publishes that a head keeps in its history.
constexpr std::size_t MaxPublishRecords = 64;

/// @return 128-bit hash of the text as 32 hexadecimal digits
std::string contentHash(const std::string &text);

/// @return the Object API path of the text of an entry
/// @param key key of the entry
/// @param hash contentHash() of its text
std::string entryPath(const std::string &key, const std::string &hash);

/// @return the key of the entry that holds the service file of a service
std::string serviceKey(const std::string &service);

/// @return the key of the entry by which an operator drains an upstream: it receives no new work
std::string drainKey(const std::string &upstream);

// ---- Head ---------------------------------------------------------------------------------------

/// Records who published one revision and which keys it changed.
struct PublishRecord
{
    std::uint64_t revision = 0;       // revision created by this publish
    std::string publishId;            // unique per publish
    std::string operatorName;         // operator who published
    std::vector<std::string> touched; // keys added, changed or removed
};

/// Lists the entries of one revision and its most recent publishes.
struct ConfigHead
{
    std::uint64_t revision = 0; // increases by one per publish; 0: nothing published yet
    std::string publishId;      // publish that created this revision
    std::map<std::string, std::string> entries; // key -> content hash
    std::vector<PublishRecord> history;         // oldest first, at most MaxPublishRecords
};

/// @return a hash over revision, publish id and entries; the history is not included
std::string headHash(const ConfigHead &head);

/// @return the record of the publish with this id, or null if the history does not contain it
const PublishRecord *findPublish(const ConfigHead &head, const std::string &publishId);

/// @return whether the history contains every publish after the revision
bool historyReaches(const ConfigHead &head, std::uint64_t revision);

/// Appends a record to the history and removes the oldest one if there are more than
/// MaxPublishRecords.
void appendRecord(ConfigHead &head, PublishRecord record);

// ---- Snapshots and deltas -----------------------------------------------------------------------

/// The whole configuration of one revision.
struct ConfigSnapshot
{
    ConfigHead head;
    std::map<std::string, std::string> texts; // key -> text of the entry
};

/// The changes that lead from one revision to a later one. A full delta contains every entry and
/// applies to any base.
struct ConfigDelta
{
    std::uint64_t baseRevision = 0;     // revision that it applies to; 0: full delta
    std::uint64_t revision = 0;         // resulting revision
    std::string publishId;              // publish that created the resulting revision
    std::string headHash;               // headHash() of the resulting head
    std::vector<PublishRecord> records; // publishes after the base; full delta: the whole history
    std::map<std::string, std::string> texts; // key -> text of each added or changed entry
    std::vector<std::string> removed;         // keys of the removed entries
};

/// Computes the changes that a node with an older revision lacks.
/// @param snapshot the configuration in force on this node
/// @param haveRevision revision in force on the other node
/// @return a full delta if haveRevision is 0, higher than the snapshot's revision or older than the
/// history reaches; otherwise a delta from haveRevision
ConfigDelta makeDelta(const ConfigSnapshot &snapshot, std::uint64_t haveRevision);

/// Applies a delta completely or not at all.
/// @param snapshot the configuration that the delta is applied to
/// @param delta the delta received from a peer
/// @return the new snapshot, or PlatformConflict if the base revision or the resulting head hash
/// does not match
Result<ConfigSnapshot> applyDelta(const ConfigSnapshot &snapshot, const ConfigDelta &delta);

} // namespace burdock
