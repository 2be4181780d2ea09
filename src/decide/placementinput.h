// Turns the tables of the lease holder into the planner's input.
//
// Index
//   GroupModels          models and policy of one upstream group
//   collectGroupModels   collects the GroupModels of all groups from the catalog
//   PlacementTables      references to the tables of the lease holder
//   isServing            whether an engine may get orders and count as serving
//   buildPlacementInput  builds the planner's input for one group
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
    PlacementPolicy policy;         // policy of the first service, by name, of the group
    std::vector<ModelEntry> models; // models, sorted by name
};

/// @param catalog the catalog in force
/// @return the upstream groups of services with models, sorted by group name
std::vector<GroupModels> collectGroupModels(const ServiceCatalog &catalog);

// ---- Tables -------------------------------------------------------------------------------------

using CopyOnEngine = std::tuple<std::string, std::string, std::string>; // engine, model, version

/// References to the tables of the lease holder; valid only as long as these are unchanged.
struct PlacementTables
{
    const std::map<std::string, EngineRow> &engines;   // by engine name
    const std::vector<OpenOrder> &open;                // orders that are not settled
    const std::vector<RetiredEngine> &retired;         // see RetiredEngine
    const std::map<CopyOnEngine, Instant> &keepUntil;  // copies loaded recently, kept until then
    const std::map<std::string, Instant> &graceUntil;  // unpublished models, kept until then
    const std::map<CopyOnEngine, Instant> &avoidUntil; // failed loads, not ordered until then
    const DemandTable &demand;                         // smoothed demand
    UnfencedEnginePolicy unfencedPolicy = UnfencedEnginePolicy::NeverUnload; // see engineaccount.h
    std::uint64_t epoch = 0; // reports of an earlier epoch are not used
};

/// @return whether the engine's newest report is valid, of this epoch, and the engine is neither
/// leaving, absent nor retired
bool isServing(const EngineRow &row, const PlacementTables &tables, Instant now);

/// @return the planner's input, with engines and models sorted by name
PlacementInput buildPlacementInput(const GroupModels &group, const PlacementTables &tables,
                                   Instant now);

} // namespace burdock
