// Turns the tables of the lease holder into the planner's input.
//
// Index
//   GroupModels        models and policy of one upstream group
//   groupModels        collects them from the catalog
//   PlacementTables    what the holder knows
//   placementInput     the planner's input for one group
#pragma once

#include "decide/demandtable.h"
#include "decide/engineaccount.h"
#include "decide/placementplanner.h"
#include "decide/placementtypes.h"
#include "decide/servicecatalog.h"

#include <map>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace burdock {

// ---- Groups -------------------------------------------------------------------------------------

struct GroupModels
{
    std::string group;              // upstream group
    PlacementPolicy policy;         // of the first service, by name, that uses the group
    std::vector<ModelEntry> models; // by name
};

/// @param catalog the catalog in force
/// @return the groups with models, by name
std::vector<GroupModels> groupModels(const ServiceCatalog &catalog);

// ---- Tables -------------------------------------------------------------------------------------

using CopyOnEngine = std::tuple<std::string, std::string, std::string>; // engine, model, version

struct PlacementTables
{
    const std::map<std::string, EngineRow> &engines;       // by name
    const std::vector<OpenOrder> &open;                    // unsettled orders
    const std::vector<RetiredEngine> &retired;             // see RetiredEngine
    const std::map<CopyOnEngine, Instant> &keepUntil;      // copies loaded a short time ago
    const std::map<CopyOnEngine, Instant> &avoidUntil;     // loads that failed a short time ago
    const DemandTable &demand;                             // smoothed
    UncheckedEngines rule = UncheckedEngines::NeverUnload; // for engines that ignore numbers
    std::uint64_t epoch = 0;                               // reports of an earlier one are not used
};

/// @return whether the engine's last report may be relied upon and it is here to stay
bool isServing(const EngineRow &row, const PlacementTables &tables, Instant now);

/// @return the planner's input, with engines and models in the order of their names
PlacementInput placementInput(const GroupModels &group, const PlacementTables &tables, Instant now);

} // namespace burdock
