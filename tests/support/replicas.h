// Creates replica announcements for tests.
#pragma once

#include "serving/replicatable.h"

#include <utility>

namespace burdock {

/// @return the announcement of a replica of the service "pool" in availability zone "a"
/// @param slots requests that it serves at once; 0: not announced
inline ReplicaInfo poolReplica(const std::string &id, std::vector<ModelCopy> models, int slots = 0)
{
    ReplicaInfo info;
    info.id = id;
    info.service = "pool";
    info.address = "127.0.0.1:9000";
    info.zone = "a";
    info.startedMs = 1;
    info.slots = slots;
    info.models = std::move(models);
    return info;
}

} // namespace burdock
