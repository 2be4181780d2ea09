#include "store/revisionstore.h"

#include <utility>

namespace standin {

const StoredObject *RevisionStore::find(const std::string &kind, const std::string &name) const
{
    const auto objects = m_content.kinds.find(kind);
    if (objects == m_content.kinds.end())
        return nullptr;
    const auto found = objects->second.find(name);
    return found == objects->second.end() ? nullptr : &found->second;
}

std::vector<StoredObject> RevisionStore::list(const std::string &kind) const
{
    std::vector<StoredObject> listed;
    if (const auto objects = m_content.kinds.find(kind); objects != m_content.kinds.end()) {
        for (const auto &[name, object] : objects->second)
            listed.push_back(object);
    }
    return listed;
}

void RevisionStore::note(const std::string &kind, StoredObject object, bool deleted)
{
    ObjectEvent event { object.revision, kind, std::move(object), deleted };
    m_written.push_back({ m_era, event, std::chrono::steady_clock::now() });
    m_content.history.push_back(std::move(event));
}

std::optional<std::uint64_t> RevisionStore::create(const std::string &kind, const std::string &name,
                                                   boost::json::value spec)
{
    if (find(kind, name) != nullptr)
        return std::nullopt;
    StoredObject &object = m_content.kinds[kind][name];
    object = { name, ++m_content.revision, std::move(spec) };
    note(kind, object, false);
    return object.revision;
}

std::optional<std::uint64_t> RevisionStore::replace(const std::string &kind,
                                                    const std::string &name,
                                                    std::optional<std::uint64_t> expected,
                                                    boost::json::value spec)
{
    const StoredObject *found = find(kind, name);
    if (found == nullptr || (expected && *expected != found->revision))
        return std::nullopt;
    StoredObject &object = m_content.kinds[kind][name];
    object = { name, ++m_content.revision, std::move(spec) };
    note(kind, object, false);
    return object.revision;
}

bool RevisionStore::remove(const std::string &kind, const std::string &name)
{
    const StoredObject *found = find(kind, name);
    if (found == nullptr)
        return false;
    StoredObject object = *found;
    object.revision = ++m_content.revision;
    m_content.kinds[kind].erase(name);
    note(kind, std::move(object), true);
    return true;
}

std::optional<std::vector<ObjectEvent>> RevisionStore::eventsAfter(const std::string &kind,
                                                                   std::uint64_t revision) const
{
    if (revision > m_content.revision)
        return std::nullopt;
    std::vector<ObjectEvent> events;
    for (const ObjectEvent &event : m_content.history) {
        if (event.kind == kind && event.revision > revision)
            events.push_back(event);
    }
    return events;
}

void RevisionStore::save()
{
    m_copy = m_content;
}

void RevisionStore::restore()
{
    m_content = m_copy;
    m_era++;
}

} // namespace standin
