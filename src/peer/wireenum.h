// Reads enumerations from the wire, where any number may arrive.
#pragma once

#include <cstdint>
#include <optional>

namespace burdock {

/// @param number as received
/// @param last the enumeration's last value; its values count from 0
/// @return the value, or nothing for a number that the enumeration does not have
template <typename Enum>
std::optional<Enum> readEnum(std::uint32_t number, Enum last)
{
    if (number > static_cast<std::uint32_t>(last))
        return std::nullopt;
    return static_cast<Enum>(number);
}

} // namespace burdock
