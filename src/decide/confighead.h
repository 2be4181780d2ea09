// The published configuration as stored and as passed between nodes.
//
// Index
//   contentHash, entryPath     names of stored entries
//   serviceKey, drainKey       keys of the two kinds of entries
//   PublishRecord              who changed what in one revision
//   ConfigHead                 the one object whose conditional update is a publish
//   headHash                   proves that a delta was applied to the right base
//   ConfigSnapshot             a head with the text of each entry
//   ConfigDelta                what changed since a revision
//   makeDelta, applyDelta
//
// In the Object API: `config/head` holds a ConfigHead, `config/<key>/<hash>` one entry's text.
// Entries are created if absent and never changed, so a repeated or late write of one is harmless.
#pragma once

#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Entries ------------------------------------------------------------------------------------

constexpr const char *ConfigHeadPath = "config/head";
constexpr std::size_t MaxPublishRecords = 64;

/// @return 32 hexadecimal digits that name the text
std::string contentHash(const std::string &text);

/// @return the Object API path of an entry's text
std::string entryPath(const std::string &key, const std::string &hash);

/// @return the key of a service's file
std::string serviceKey(const std::string &service);

/// @return the key of an operator's order that an upstream gets no new work
std::string drainKey(const std::string &upstream);

// ---- Head ---------------------------------------------------------------------------------------

struct PublishRecord
{
    std::uint64_t revision = 0;       // the revision that the publish made
    std::string publishId;            // unique for each publish
    std::string operatorName;         // who published
    std::vector<std::string> touched; // keys that it added, changed or removed
};

struct ConfigHead
{
    std::uint64_t revision = 0;                 // grows by one with each publish; 0 is "none yet"
    std::string publishId;                      // the publish that made it
    std::map<std::string, std::string> entries; // key -> content hash
    std::vector<PublishRecord> history;         // oldest first, at most MaxPublishRecords
};

/// @return a hash over revision, publish id and entries; the history is not part of it
std::string headHash(const ConfigHead &head);

/// @return the publish of that id in the history, or null
const PublishRecord *findPublish(const ConfigHead &head, const std::string &publishId);

/// @return whether the history names each publish after that revision
bool historyReaches(const ConfigHead &head, std::uint64_t revision);

/// Appends a record and drops the oldest above MaxPublishRecords.
void appendRecord(ConfigHead &head, PublishRecord record);

// ---- Snapshots and deltas -----------------------------------------------------------------------

struct ConfigSnapshot
{
    ConfigHead head;
    std::map<std::string, std::string> texts; // key -> text of its entry
};

struct ConfigDelta
{
    std::uint64_t baseRevision = 0;           // what it applies to; 0: to nothing, it is whole
    std::uint64_t revision = 0;               // what it leads to
    std::string publishId;                    //
    std::string headHash;                     // of the head it leads to
    std::vector<PublishRecord> records;       // those after the base; all of them if whole
    std::map<std::string, std::string> texts; // added and changed entries
    std::vector<std::string> removed;         // keys
};

/// Computes what a holder of an older revision lacks.
/// @param snapshot what this node has in force
/// @param haveRevision the other's revision; 0 or too old gives a whole delta
ConfigDelta makeDelta(const ConfigSnapshot &snapshot, std::uint64_t haveRevision);

/// Applies a delta as a whole.
/// @param snapshot the base
/// @param delta what a peer sent
/// @return the new snapshot, or PlatformConflict if base or hash do not fit
Result<ConfigSnapshot> applyDelta(const ConfigSnapshot &snapshot, const ConfigDelta &delta);

} // namespace burdock
