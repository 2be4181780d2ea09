// The stand-in's objects: versions, conditional updates and a change log for watches.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standin {

struct Object
{
    std::string value;         // what was written last
    std::uint64_t version = 0; // sequence number of that write
};

struct Change
{
    std::uint64_t sequence = 0; // number of the write; the object's version
    std::string key;            // which object
    bool deleted = false;       // whether the write deleted it
};

class ObjectStore
{
public:
    const Object *find(const std::string &key) const;

    /// Writes if the version is the expected one; 0 expects that there is none.
    /// @return the new version, or nothing on a conflict
    std::optional<std::uint64_t> write(const std::string &key, std::string value,
                                       std::uint64_t expectedVersion);

    /// Deletes if the version is the expected one.
    /// @return the sequence of the deletion, or nothing on a conflict
    std::optional<std::uint64_t> remove(const std::string &key, std::uint64_t expectedVersion);

    /// @return changes of keys with the prefix after a sequence, the latest of each key only
    std::vector<Change> changesAfter(const std::string &prefix, std::uint64_t sequence) const;

    const std::map<std::string, Object> &objects() const { return m_objects; }
    std::uint64_t sequence() const { return m_sequence; }

private:
    std::uint64_t versionNow(const std::string &key) const;

    std::map<std::string, Object> m_objects;
    std::map<std::string, Change> m_latestChanges;
    std::uint64_t m_sequence = 0;
};

} // namespace standin
