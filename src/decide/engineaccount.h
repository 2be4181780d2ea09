// What an engine's memory may hold, given its last report and the orders still open.
//
// Index
//   UncheckedEngines   rule for engines that ignore fencing numbers
//   isSettled          whether an order can no longer change anything
//   EngineAccount      memory taken, copies on their way, copies that may vanish
//   accountOf          works it out
//
// Assumptions, which the fault matrix relies upon:
//   - a report is a consistent snapshot (see EngineState);
//   - an order reaches only the incarnation it was meant for: the shell sends it on a connection on
//     which it has read that incarnation;
//   - an engine that checks refuses numbers below the highest it has seen, loads and unloads at
//     most once at a time for one model version, and a load of a resident copy changes nothing;
//   - no engine is assumed to recognise a repeated order;
//   - an engine that ignores numbers may receive an order any time, also twice with NeverUnload.
#pragma once

#include "decide/placementtypes.h"

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdock {

/// What may be ordered from engines that ignore fencing numbers.
enum class UncheckedEngines {
    /// Loads only, until the process restarts. A copy that is never unloaded makes a late or
    /// doubled load of it harmless. Safe under every fault that is tested.
    NeverUnload,
    /// Memory is used again once the engine has reported every order for that copy as seen. Safe
    /// when the network delivers one send at most once, as TCP does.
    UnloadAfterSeen,
};

/// @param order a stored order
/// @param state the newest report of its engine
/// @return whether its effect, if any, is in that report and it can have none later
bool isSettled(const EngineOrder &order, const EngineState &state, UncheckedEngines rule);

using CopyKey = std::pair<std::string, std::string>; // model, version

struct EngineAccount
{
    std::int64_t reservedMb = 0; // copies and everything that an open order may load
    std::set<CopyKey> loading;   // open loads of copies that are not resident
    std::set<CopyKey> vanishing; // open unloads, newest order for that copy or not
};

/// @param state the newest report
/// @param open orders of that engine that are not settled
EngineAccount accountOf(const EngineState &state, const std::vector<EngineOrder> &open);

} // namespace burdock
