#include "base/hashing.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace burdock {

std::uint64_t hashText(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t hashPair(std::uint64_t seed, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string hashToHex(std::uint64_t hash)
{
    constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = Digits[hash & 0xF];
        hash >>= 4;
    }
    return text;
}

std::vector<std::string> rendezvousOrder(std::string_view key,
                                         const std::vector<std::string> &candidates)
{
    const std::uint64_t seed = hashText(key);
    std::vector<std::pair<std::uint64_t, std::string>> scored;
    scored.reserve(candidates.size());
    for (const std::string &candidate : candidates)
        scored.emplace_back(hashPair(seed, candidate), candidate);
    std::sort(scored.begin(), scored.end(), std::greater<>());

    std::vector<std::string> ordered;
    ordered.reserve(scored.size());
    for (auto &entry : scored)
        ordered.push_back(std::move(entry.second));
    return ordered;
}

} // namespace burdock
