// Notes on suspects as short texts, for records that nodes spread by gossip.
#pragma once

#include "suspects/crashsuspects.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdock {

/// @return "KIND ROUND SERVED TRIALS CRASH..." without the key; below 200 bytes
std::string suspectText(const SuspectNote &note);

/// @param key hexadecimal
/// @param text from suspectText()
/// @return the note, or nothing if key or text cannot be read
std::optional<SuspectNote> suspectFromText(const std::string &key, const std::string &text);

} // namespace burdock
