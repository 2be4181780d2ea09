// Finds the organisation that a caller's key belongs to.
//
// Index
//   KeyTable
//
// A lookup takes the same time for any number of keys, and right and wrong keys of one length take
// the same time, so that its duration does not help anyone to guess a key. Keys are found by a
// hash; its seed has to be secret, so that callers cannot choose keys that collide.
#pragma once

#include "organisations/organisation.h"

#include <cstdint>
#include <string_view>
#include <unordered_map>

namespace burdock {

class KeyTable
{
public:
    /// @param organisations must outlive the table; a key that several of them have is in none
    /// @param seed of the hashes; secret, drawn anew by each process
    KeyTable(const std::vector<Organisation> &organisations, std::uint64_t seed);

    /// @param key as the caller sent it
    /// @return the organisation that has the key, or null
    const Organisation *find(std::string_view key) const;

    /// @return names of the organisations that have a key in common with another one
    const std::vector<std::string> &conflicts() const { return m_conflicts; }

    /// @return number of keys that identify an organisation
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry
    {
        std::string_view key;
        const Organisation *organisation = nullptr;
    };

    std::uint64_t m_seed;
    std::unordered_map<std::uint64_t, Entry> m_entries; // by hash of the key
    std::vector<std::string> m_conflicts;
};

/// @param seed drawn anew by each process, so that the text does not identify the key elsewhere
/// @return a short text that stands for the key in log records
std::string keyDigest(std::string_view key, std::uint64_t seed);

} // namespace burdock
