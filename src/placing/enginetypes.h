// Orders to model replicas, their outcomes, and the reports of replicas.
//
// Index
//   EngineCommand    one order
//   OrderResult      outcome of an order
//   EngineReport     what a replica reports that it holds
#pragma once

#include "serving/replicatable.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdock {

struct EngineCommand
{
    std::string replica;              // process that the order is for
    bool load = true;                 // false: unload
    std::string model;                // model to load, or model of the adapter
    std::string adapter;              // empty: the order is for the model itself
    std::uint64_t ordersAccepted = 0; // executed only if the replica accepted this many before
    std::string holder;               // node that holds the placement lease
    std::uint64_t term = 0;           // of the lease; serves as the fencing token
};

enum class OrderResult {
    Accepted,     // the replica is carrying out the order
    AlreadyDone,  // the replica was already in the ordered state
    Conflict,     // another order is in progress, a different number of orders was accepted, or
                  // the order was not sent
    Fenced,       // the replica has seen a higher term
    Invalid,      // the replica does not know what is ordered
    OtherReplica, // another process uses the address
    Unanswered,   // unknown outcome: the order may be carried out, also later
};

/// @return the name of the result in log lines
const char *orderResultName(OrderResult result);

struct EngineReport
{
    std::uint64_t startedMs = 0;      // start of the process, Unix milliseconds; differs after a
                                      // restart under the same id
    std::uint64_t ordersAccepted = 0; // since that start
    bool busy = false;                // an order is being carried out
    std::vector<ModelCopy> models;
};

} // namespace burdock
