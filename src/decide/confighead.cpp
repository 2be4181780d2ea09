#include "decide/confighead.h"

#include "base/hashing.h"

#include <algorithm>
#include <set>

namespace burdock {

namespace {

// Seed of the second 64-bit hash; both hashes together give 128 bits.
constexpr std::uint64_t SecondHashSeed = 1;

} // namespace

// ---- Entries ------------------------------------------------------------------------------------

std::string contentHash(const std::string &text)
{
    return hashToHex(hashText(text)) + hashToHex(hashPair(SecondHashSeed, text));
}

std::string entryPath(const std::string &key, const std::string &hash)
{
    return "config/" + key + "/" + hash;
}

std::string serviceKey(const std::string &service)
{
    return "services/" + service;
}

std::string drainKey(const std::string &upstream)
{
    return "drain/" + upstream;
}

// ---- Head ---------------------------------------------------------------------------------------

std::string headHash(const ConfigHead &head)
{
    std::string text = std::to_string(head.revision) + '\n' + head.publishId + '\n';
    for (const auto &[key, hash] : head.entries) {
        text += key;
        text += '\t';
        text += hash;
        text += '\n';
    }
    return contentHash(text);
}

const PublishRecord *findPublish(const ConfigHead &head, const std::string &publishId)
{
    for (const PublishRecord &record : head.history) {
        if (record.publishId == publishId)
            return &record;
    }
    return nullptr;
}

bool historyReaches(const ConfigHead &head, std::uint64_t revision)
{
    if (revision >= head.revision)
        return true;
    return !head.history.empty() && head.history.front().revision <= revision + 1;
}

void appendRecord(ConfigHead &head, PublishRecord record)
{
    head.history.push_back(std::move(record));
    if (head.history.size() > MaxPublishRecords)
        head.history.erase(head.history.begin());
}

// ---- Deltas -------------------------------------------------------------------------------------

ConfigDelta makeDelta(const ConfigSnapshot &snapshot, std::uint64_t haveRevision)
{
    const ConfigHead &head = snapshot.head;
    ConfigDelta delta;
    delta.revision = head.revision;
    delta.publishId = head.publishId;
    delta.headHash = headHash(head);
    if (haveRevision == 0 || haveRevision > head.revision || !historyReaches(head, haveRevision)) {
        delta.records = head.history;
        delta.texts = snapshot.texts;
        return delta;
    }
    delta.baseRevision = haveRevision;
    std::set<std::string> touched;
    for (const PublishRecord &record : head.history) {
        if (record.revision <= haveRevision)
            continue;
        delta.records.push_back(record);
        touched.insert(record.touched.begin(), record.touched.end());
    }
    for (const std::string &key : touched) {
        const auto text = snapshot.texts.find(key);
        if (text == snapshot.texts.end())
            delta.removed.push_back(key);
        else
            delta.texts.insert(*text);
    }
    return delta;
}

Result<ConfigSnapshot> applyDelta(const ConfigSnapshot &snapshot, const ConfigDelta &delta)
{
    const bool isFull = delta.baseRevision == 0;
    if (!isFull && delta.baseRevision != snapshot.head.revision)
        return Error {
            ResultCode::PlatformConflict,
            "the base revision of the configuration delta is not the revision in force"
        };
    ConfigSnapshot result = isFull ? ConfigSnapshot {} : snapshot;
    result.head.revision = delta.revision;
    result.head.publishId = delta.publishId;
    for (const std::string &key : delta.removed) {
        result.head.entries.erase(key);
        result.texts.erase(key);
    }
    for (const auto &[key, text] : delta.texts) {
        result.head.entries[key] = contentHash(text);
        result.texts[key] = text;
    }
    for (const PublishRecord &record : delta.records)
        appendRecord(result.head, record);
    if (headHash(result.head) != delta.headHash)
        return Error { ResultCode::PlatformConflict,
                       "the configuration delta does not produce the head hash that it states" };
    return result;
}

} // namespace burdock
