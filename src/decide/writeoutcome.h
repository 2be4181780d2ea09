// The outcome of a conditional write to the Object API.
#pragma once

namespace burdock {

enum class WriteOutcome {
    Done,        // the write took effect
    Conflict,    // the object has another version; nothing was changed
    Unavailable, // the write was rejected and had no effect
    Unknown,     // no response: the write may have taken effect, or may do so later
};

} // namespace burdock
