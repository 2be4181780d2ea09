// Requests that may crash the replicas that run them.
//
// A replica that is lost takes all its requests with it, so one loss accuses nobody. A request that
// was lost with several replicas, and never served in between, is refused for a while, on every
// node: nodes tell each other of their losses.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

struct SuspectSettings
{
    std::size_t lossesToRefuse = 3;               // distinct replicas lost while they ran it
    Duration remember = std::chrono::seconds(60); // longer than callers pause between their tries
    std::size_t mostRequests = 10'000;            // bounds the memory
};

class SuspectRequests
{
public:
    explicit SuspectRequests(SuspectSettings settings = {});

    /// A replica was lost while it ran the request, as seen here or told by another node.
    /// @return whether that was news
    bool onLost(std::uint64_t fingerprint, const std::string &replica, Instant now);

    /// The request was served: it crashes nobody.
    void onServed(std::uint64_t fingerprint) { m_rows.erase(fingerprint); }

    /// @return whether the request is to be refused
    bool isRefused(std::uint64_t fingerprint, Instant now) const;

    void tick(Instant now);

    std::size_t size() const { return m_rows.size(); }

private:
    struct Row
    {
        std::vector<std::string> replicas; // lost with it
        Instant forgetAt;
    };

    SuspectSettings m_settings;
    std::unordered_map<std::uint64_t, Row> m_rows;
};

} // namespace burdock
