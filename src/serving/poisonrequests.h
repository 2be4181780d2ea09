// Detects poison requests: requests that crash the replicas that run them.
//
// A replica that crashes loses all requests that it was running, so a single loss does not show
// which of them caused the crash. A request that was running on several lost replicas, and was
// never served in between, counts as poison and is refused for a while. Nodes announce the losses
// they see to their peers, so that all nodes refuse the request.
//
// Requests are identified by a fingerprint of their content, so that a caller's retry counts as the
// same request.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

struct PoisonRequestSettings
{
    std::size_t lossesToRefuse = 3; // distinct replicas lost while they ran the request
    // The losses of a request are forgotten this long after the latest report of one; longer than
    // the pause that callers make between retries.
    Duration retention = std::chrono::seconds(60);
    std::size_t maxRequests = 10'000; // requests tracked at a time; bounds the memory
};

class PoisonRequests
{
public:
    explicit PoisonRequests(PoisonRequestSettings settings = {});

    /// Records that a replica was lost while it ran the request, as seen by this node or announced
    /// by a peer.
    /// @return whether the loss is new. It is not counted if this replica's loss is recorded
    /// already, the request is refused already, or too many requests are tracked.
    bool onReplicaLost(std::uint64_t fingerprint, const std::string &replica, Instant now);

    /// Records that the request was served, which shows that it does not crash replicas.
    void onServed(std::uint64_t fingerprint) { m_rows.erase(fingerprint); }

    /// @return whether the request has to be refused
    bool isPoison(std::uint64_t fingerprint, Instant now) const;

    /// Removes expired records.
    void tick(Instant now);

    /// @return number of requests tracked
    std::size_t size() const { return m_rows.size(); }

private:
    struct Row
    {
        std::vector<std::string> replicas; // ids of the replicas lost while they ran the request
        Instant expiresAt;
    };

    PoisonRequestSettings m_settings;
    std::unordered_map<std::uint64_t, Row> m_rows; // by fingerprint
};

} // namespace burdock
