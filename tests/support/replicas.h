// Announcements of replicas for tests.
#pragma once

#include "serving/replicatable.h"

#include <utility>

namespace burdock {

/// @return a replica of the service "pool" in availability zone "a"
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
