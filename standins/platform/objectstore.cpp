#include "platform/objectstore.h"

#include <algorithm>

namespace standin {

const Object *ObjectStore::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

std::uint64_t ObjectStore::versionNow(const std::string &key) const
{
    const Object *object = find(key);
    return object == nullptr ? 0 : object->version;
}

std::optional<std::uint64_t> ObjectStore::write(const std::string &key, std::string value,
                                                std::uint64_t expectedVersion)
{
    if (versionNow(key) != expectedVersion)
        return std::nullopt;
    ++m_sequence;
    m_objects[key] = { std::move(value), m_sequence };
    m_latestChanges[key] = { m_sequence, key, false };
    return m_sequence;
}

std::optional<std::uint64_t> ObjectStore::remove(const std::string &key,
                                                 std::uint64_t expectedVersion)
{
    if (expectedVersion == 0 || versionNow(key) != expectedVersion)
        return std::nullopt;
    ++m_sequence;
    m_objects.erase(key);
    m_latestChanges[key] = { m_sequence, key, true };
    return m_sequence;
}

std::vector<Change> ObjectStore::changesAfter(const std::string &prefix,
                                              std::uint64_t sequence) const
{
    std::vector<Change> changes;
    for (const auto &[key, change] : m_latestChanges) {
        if (key.starts_with(prefix) && change.sequence > sequence)
            changes.push_back(change);
    }
    std::sort(changes.begin(), changes.end(),
              [](const Change &a, const Change &b) { return a.sequence < b.sequence; });
    return changes;
}

} // namespace standin
