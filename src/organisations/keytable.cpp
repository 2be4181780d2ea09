#include "organisations/keytable.h"

#include "base/hashing.h"

#include <algorithm>

namespace burdock {

namespace {

/// Compares in a time that depends on the length of the key sent alone.
bool isEqualInConstantTime(std::string_view sent, std::string_view known)
{
    unsigned difference = sent.size() == known.size() ? 0U : 1U;
    for (std::size_t index = 0; index < sent.size(); ++index) {
        const char other = known.empty() ? '\0' : known[index % known.size()];
        difference |= static_cast<unsigned char>(sent[index]) ^ static_cast<unsigned char>(other);
    }
    return difference == 0;
}

} // namespace

KeyTable::KeyTable(const std::vector<Organisation> &organisations, std::uint64_t seed)
    : m_seed(seed)
{
    const auto noteConflict = [&](const Organisation *organisation) {
        if (std::find(m_conflicts.begin(), m_conflicts.end(), organisation->name)
            == m_conflicts.end())
            m_conflicts.push_back(organisation->name);
    };
    for (const Organisation &organisation : organisations) {
        for (const std::string &key : organisation.keys) {
            if (key.empty())
                continue;
            const auto [position, isNew] =
                    m_entries.try_emplace(hashPair(m_seed, key), Entry { key, &organisation });
            Entry &entry = position->second;
            if (isNew || entry.organisation == &organisation)
                continue;
            noteConflict(&organisation);
            if (entry.organisation != nullptr)
                noteConflict(entry.organisation);
            entry.organisation = nullptr;
        }
    }
    std::erase_if(m_entries, [](const auto &each) { return each.second.organisation == nullptr; });
}

const Organisation *KeyTable::find(std::string_view key) const
{
    const auto entry = m_entries.find(hashPair(m_seed, key));
    const bool isFound = entry != m_entries.end();
    const bool isEqual = isEqualInConstantTime(key, isFound ? entry->second.key : key);
    return isFound && isEqual && !key.empty() ? entry->second.organisation : nullptr;
}

std::string keyDigest(std::string_view key, std::uint64_t seed)
{
    constexpr std::size_t DigestDigits = 8;
    return hashToHex(hashPair(seed + 1, key)).substr(0, DigestDigits);
}

} // namespace burdock
