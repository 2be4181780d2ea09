// Orders to model replicas and what comes back.
//
// Index
//   EngineCommand    one order
//   OrderAnswer      how the replica took it
//   EngineReport     what a replica holds, by its own word
#pragma once

#include "serving/replicatable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdock {

struct EngineCommand
{
    std::string replica;              // the process it is meant for
    bool load = true;                 // or unload
    std::string model;                // which model
    std::string adapter;              // of that model; empty: the model itself
    std::uint64_t ordersAccepted = 0; // carried out only if the replica has accepted this many
    std::string holder;               // node that holds the lease
    std::uint64_t term = 0;           // of the lease; the fencing token
};

enum class OrderAnswer {
    Accepted,     // it is being carried out
    AlreadySo,    // nothing to do
    Conflict,     // another order is under way, or another number of orders was accepted
    Fenced,       // a higher term was seen
    Invalid,      // the replica does not know what is asked
    OtherReplica, // another process has the address
    Unanswered,   // it may be carried out, also later
};

/// @return the name in log lines
const char *orderAnswerName(OrderAnswer answer);

struct EngineReport
{
    std::uint64_t startedMs = 0;      // Unix milliseconds; tells a restart under the same id
    std::uint64_t ordersAccepted = 0; // since that start
    bool busy = false;                // an order is being carried out
    std::vector<ModelCopy> models;
};

} // namespace burdock
