// Hashes that are equal on every node, for fingerprints and rendezvous choices.
//
// Index
//   hashText          64-bit hash of a text
//   hashPair          64-bit hash of a key under a seed
//   hashToHex         sixteen hexadecimal digits
//   rendezvousOrder   candidates for a key, most preferred first
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace burdock {

std::uint64_t hashText(std::string_view text);

std::uint64_t hashPair(std::uint64_t seed, std::string_view text);

std::string hashToHex(std::uint64_t hash);

/// Orders candidates for a key by rendezvous hashing: each node that knows the same candidates
/// computes the same order, and losing one candidate moves only the keys it held.
/// @param key what is to be placed
/// @param candidates names, in any order
/// @return the names, most preferred first
std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &candidates);

} // namespace burdock
