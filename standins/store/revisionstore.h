// The objects of the users' platform: kinds and names, revisions, a history for watches, and the
// return from an older copy.
//
//   store.create("config", "main", spec);
//   store.save();       // the copy from which it may come back
//   store.replace(...);
//   store.restore();    // what was written since save() is gone; its revisions are given out again
#pragma once

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standin {

struct StoredObject
{
    std::string name;
    std::uint64_t revision = 0; // of its last change
    boost::json::value spec;
};

struct ObjectEvent
{
    std::uint64_t revision = 0;
    std::string kind;
    StoredObject object; // deleted: as it was
    bool deleted = false;
};

/// A change, also one that the store lost later.
struct WrittenChange
{
    std::uint64_t era = 0;
    ObjectEvent event;
    std::chrono::steady_clock::time_point at;
};

class RevisionStore
{
public:
    /// @return the object, or null
    const StoredObject *find(const std::string &kind, const std::string &name) const;

    /// @return all objects of a kind, by name
    std::vector<StoredObject> list(const std::string &kind) const;

    /// @return the new revision, or nothing if there is such an object already
    std::optional<std::uint64_t> create(const std::string &kind, const std::string &name,
                                        boost::json::value spec);

    /// @param expected revision that the object must have; nothing: any
    /// @return the new revision, or nothing if there is no such object of that revision
    std::optional<std::uint64_t> replace(const std::string &kind, const std::string &name,
                                         std::optional<std::uint64_t> expected,
                                         boost::json::value spec);

    /// @return whether there was such an object
    bool remove(const std::string &kind, const std::string &name);

    /// @return changes of a kind after a revision; nothing if the store does not have that revision
    std::optional<std::vector<ObjectEvent>> eventsAfter(const std::string &kind,
                                                        std::uint64_t revision) const;

    /// Keeps a copy of everything.
    void save();

    /// Comes back from the copy, in the next era.
    void restore();

    std::uint64_t revision() const { return m_content.revision; }
    std::uint64_t era() const { return m_era; }

    /// @return every change of all eras, in the order in which they were made
    const std::vector<WrittenChange> &written() const { return m_written; }

private:
    struct Content
    {
        std::map<std::string, std::map<std::string, StoredObject>> kinds;
        std::deque<ObjectEvent> history;
        std::uint64_t revision = 0;
    };

    void note(const std::string &kind, StoredObject object, bool deleted);

    Content m_content;
    Content m_copy;
    std::uint64_t m_era = 1;
    std::vector<WrittenChange> m_written;
};

} // namespace standin
