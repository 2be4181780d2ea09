// Since when this node's callers have waited for copies, for a holder that did not hear of it.
//
// Index
//   WantAges      the times, by copy
//
// Nobody takes requests for copies while the placement lease has no holder. The next holder serves
// those first that have waited longest, so each node states with a request how long ago it sent the
// first one for that copy. The number of entries is bounded by MaxEntries.
#pragma once

#include "base/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace burdock {

class WantAges
{
public:
    static constexpr std::size_t MaxEntries = 4'096; // a wait beyond these counts as new

    /// @param lifetime a wait is forgotten when no request has come for the copy for this long
    explicit WantAges(Duration lifetime)
        : m_lifetime(lifetime)
    {
    }

    /// Records that a request waits for the copy.
    /// @param copy "model" or "model/adapter"
    /// @return time since the first of these requests
    Duration onWant(const std::string &service, const std::string &copy, Instant now);

    /// Records that the copy was loaded: its wait is over.
    void onLoaded(const std::string &copy);

private:
    struct Wait
    {
        Instant since;
        Instant expiresAt;
    };

    Duration m_lifetime;
    std::map<std::pair<std::string, std::string>, Wait> m_waits; // by copy and service
};

} // namespace burdock
