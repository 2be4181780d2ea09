// Computes the memory that an engine may occupy, from its last report and its open orders.
//
// Index
//   UnfencedEnginePolicy  which orders engines that ignore fencing numbers may get
//   isSettled             whether an order can have no further effect
//   EngineAccount         reserved memory, pending loads and unloads
//   computeAccount        computes it
//
// Assumptions, which the fault matrix relies on:
//   - a report is a consistent snapshot (see EngineState);
//   - an order reaches only the incarnation for which it was issued: the caller sends it on a
//     connection on which it has read that incarnation;
//   - an engine that checks fencing refuses numbers below the highest it has seen, runs at most one
//     load or unload at a time for one model version, and ignores a load of a resident copy;
//   - no engine is assumed to recognise a duplicated order;
//   - an engine that ignores fencing numbers may receive an order at any time, and under
//     NeverUnload also twice.
#pragma once

#include "decide/placementtypes.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdock {

/// Which orders engines that ignore fencing numbers may get.
enum class UnfencedEnginePolicy {
    /// Loads only, until the process restarts. A delayed or duplicated load of a copy that is never
    /// unloaded has no effect. Safe under every fault that is tested.
    NeverUnload,
    /// Loads and unloads. The memory of a copy is reused once the engine has reported every order
    /// for that copy as seen. Safe when the network delivers one send at most once, as TCP does.
    UnloadAfterSeen,
};

/// @param order a stored order
/// @param state the newest report of its engine
/// @return whether that report contains the effect of the order, if it has any, and the order can
/// have no later effect
bool isSettled(const EngineOrder &order, const EngineState &state,
               UnfencedEnginePolicy unfencedPolicy);

using CopyKey = std::pair<std::string, std::string>; // model, version

struct EngineAccount
{
    std::int64_t reservedMb = 0; // memory of all copies and of all open loads, MB
    std::set<CopyKey> loading;   // copies with an open load that are not resident
    std::set<CopyKey> unloading; // copies with an open unload, even if a newer order exists
};

/// @param state the newest report
/// @param open orders of that engine that are not settled
EngineAccount computeAccount(const EngineState &state, const std::vector<EngineOrder> &open);

} // namespace burdock
