// An in-memory Object API for the ledger: heads with versions that never repeat, and segments.
#pragma once

#include "decide/ledger.h"

#include <map>
#include <string>
#include <vector>

namespace burdock::testing {

struct StoredHead
{
    std::uint64_t version = 0;
    LedgerHead head;
};

class FakeLedgerStore
{
public:
    bool blindWrites = false; // ablation: writes ignore the expected version

    ObjectStatus readHead(const std::string &name, StoredHead &found) const
    {
        const auto entry = m_heads.find(name);
        if (entry == m_heads.end())
            return ObjectStatus::Missing;
        found = entry->second;
        return ObjectStatus::Done;
    }

    ObjectStatus writeHead(const WriteHead &write, std::uint64_t &version)
    {
        const auto entry = m_heads.find(write.name);
        const std::uint64_t current = entry == m_heads.end() ? 0 : entry->second.version;
        if (current != write.expectedVersion && !blindWrites)
            return ObjectStatus::Conflict;
        version = ++m_lastVersion;
        m_heads[write.name] = { version, write.head };
        return ObjectStatus::Done;
    }

    ObjectStatus createSegment(const CreateSegment &create)
    {
        const bool created = m_segments.emplace(create.name, create.records).second;
        return created ? ObjectStatus::Done : ObjectStatus::Conflict;
    }

    ObjectStatus readSegment(const std::string &name, std::vector<LedgerRecord> &records) const
    {
        const auto entry = m_segments.find(name);
        if (entry == m_segments.end())
            return ObjectStatus::Missing;
        records = entry->second;
        return ObjectStatus::Done;
    }

    void deleteSegment(const std::string &name) { m_segments.erase(name); }

    std::vector<std::string> segmentNames(const std::string &prefix) const
    {
        std::vector<std::string> names;
        for (const auto &[name, records] : m_segments) {
            if (name.starts_with(prefix))
                names.push_back(name);
        }
        return names;
    }

    const std::map<std::string, StoredHead> &heads() const { return m_heads; }

private:
    std::map<std::string, StoredHead> m_heads;
    std::map<std::string, std::vector<LedgerRecord>> m_segments;
    std::uint64_t m_lastVersion = 0;
};

} // namespace burdock::testing
