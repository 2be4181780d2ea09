// Time of day, for log lines and to tell restarts; decisions use base/instant.h.
#pragma once

#include <chrono>

namespace burdock {

/// @return the time since the Unix epoch; may jump
inline std::chrono::milliseconds unixTime()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now().time_since_epoch());
}

} // namespace burdock
