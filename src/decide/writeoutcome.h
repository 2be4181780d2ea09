// What became of a conditional write to the Object API.
#pragma once

namespace burdock {

enum class WriteOutcome {
    Done,        // took effect
    Conflict,    // another version is there; nothing changed
    Unavailable, // refused before it took effect
    Unknown,     // sent, and no answer came: it may have taken effect, or may do so later
};

} // namespace burdock
