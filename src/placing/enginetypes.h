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
    std::string replica;              // id of the replica that carries out the order
    bool load = true;                 // false: unload
    std::string model;                // model to load, or model of the adapter
    std::string adapter;              // empty: the order is for the model itself
    std::uint64_t ordersAccepted = 0; // executed only if the replica accepted this many before
    std::string holder;               // node that holds the placement lease
    std::uint64_t term = 0;           // of the lease; serves as the fencing token
};

enum class OrderResult {
    Accepted,    // the replica is carrying out the order
    AlreadyDone, // the replica was already in the ordered state
    /// Another order is in progress, the replica has accepted a different number of orders, or the
    /// order was not sent.
    Conflict,
    Fenced,       // the replica has seen a higher term
    Invalid,      // the replica does not know what is ordered
    OtherReplica, // another process uses the address
    Unanswered,   // unknown outcome: the order may have been, or may still be, carried out
};

/// @return the name of the result in log lines
const char *orderResultName(OrderResult result);

struct EngineReport
{
    /// Start of the process, Unix milliseconds; differs after a restart under the same id.
    std::uint64_t startedMs = 0;
    std::uint64_t ordersAccepted = 0; // since that start
    bool busy = false;                // an order is being carried out
    std::vector<ModelCopy> models;
    /// Adapters on their way to the replica, "model/adapter"; they occupy slots already.
    std::vector<std::string> pendingAdapters;
};

} // namespace burdock
