// What a node is told about itself and its surroundings when it starts.
#pragma once

#include "base/instant.h"
#include "fleet/vmcapacity.h"
#include "net/endpoint.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace burdock {

/// Promises of the deployment, as the node's settings state them.
struct ServingBounds
{
    std::chrono::milliseconds graceTime { 8'000 };       // from SIGTERM until the process is killed
    std::chrono::milliseconds drainTime { 2'000 };       // a leaving replica may be used this long
    std::chrono::milliseconds configApplyTime { 2'000 }; // a version is in force this soon
    std::chrono::milliseconds leaseTime { 3'000 };       // holders may not take turns within it
    std::chrono::milliseconds answerLifetimeMax { 5'000 }; // callers keep address answers this long
    std::chrono::milliseconds ceilingWindow { 5'000 }; // loads from the weight store count in it
    double loadBurstFactor = 1.1;                      // over the store's rate, in that window
    double retryRatio = 0.2;                           // sends beyond the first, against requests
    /// Whether a node that does not know the configuration of this long ago stops serving requests
    /// that need a key: keys may have been taken away since.
    bool revokesStrictly = false;
    std::chrono::milliseconds revocationTime { 5'000 };
    std::chrono::milliseconds quotaWindow { 8'000 }; // over which quotas are judged
    double retrySlack = 50; // and this many more, in the budget's window, over all nodes
};

/// @return time within which a change in the store must be in force at every node
inline std::chrono::milliseconds noticeTime(const ServingBounds &bounds)
{
    return std::min(bounds.drainTime, bounds.configApplyTime);
}

struct NodeProfile
{
    std::string name;               // unique among the nodes
    std::string zone;               // its availability zone
    std::string ip;                 // address of the VM
    Endpoint callers;               // requests arrive here
    Endpoint readiness;             // the platform asks here whether the node is ready
    Endpoint directory;             // callers ask here which addresses to use
    Endpoint control;               // calls of other nodes
    Endpoint metrics;               // counters and latencies, for operators
    std::uint16_t peerPort = 0;     // datagrams between nodes
    std::uint16_t feedPort = 0;     // questions of other nodes about changes in the store
    std::vector<std::string> seeds; // IP addresses of nodes to ask first; may be stale
    Endpoint store;                 // the platform's store
    ServingBounds bounds;
    std::size_t descriptors = 1'024; // file descriptors that the process may open
    VmLimits limits;                 // what the VM bears
};

} // namespace burdock
