// Chooses which model copies to load and to unload: a pure function from tables to wanted moves.
//
// Index
//   PlannerEngine, PlannerModel, PlannerCopy   the tables
//   PlannerSettings                            weight of moves, utilisation, limits
//   PlacementInput                             all of it
//   PlannedMove, BlockedModel, PlacementPlan   the result
//   plan                                       the function
//
// Order of work: copies of models that are no longer published go; missing copies are repaired,
// models without any first; old versions go once the new one serves; copies are added where demand
// is above what the present copies serve, as long as the gain is worth the move. A surplus copy
// stays until its memory is needed, so a falling demand causes no move.
//
// Nothing here frees memory within a plan: a load is planned only into memory that is free now.
// An unload that makes room is planned alone, and the load follows in a later plan.
#pragma once

#include "base/instant.h"

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdock {

// ---- Tables -------------------------------------------------------------------------------------

struct PlannerEngine
{
    std::string name;          // engine name
    std::string zone;          // availability zone
    std::int64_t freeMb = 0;   // not taken by copies or open loads
    std::int64_t comingMb = 0; // becomes free when open unloads are confirmed
    double capacity = 1.0;     // requests per second that it serves in time, at cost 1
    bool serving = true;       // reports, and is not leaving
    bool takesLoads = true;    // may be given new copies
    bool takesUnloads = true;  // memory that it frees can be used again
    // Model and version of loads whose fate is open: their memory is not free, but for them.
    std::set<std::pair<std::string, std::string>> reservedFor;
};

struct PlannerModel
{
    std::string name;          // model name
    std::string version;       // the published version
    std::int64_t memoryMb = 0; // of one copy
    int minReplicas = 1;       // copies wanted at all times, at least 1
    double demand = 0.0;       // requests per second, smoothed
    double cost = 1.0;         // engine capacity that one request per second takes
};

enum class PlannerCopyState {
    Ready,     // serves
    Coming,    // loading, or ordered
    Vanishing, // an open unload may remove it at any time
};

/// Model index of a copy whose model is not published.
constexpr std::size_t UnpublishedModel = static_cast<std::size_t>(-1);

struct PlannerCopy
{
    std::size_t engine = 0;                           // index into PlacementInput::engines
    std::size_t model = UnpublishedModel;             // index into PlacementInput::models
    std::string modelName;                            // as resident
    std::string version;                              // as resident
    std::int64_t memoryMb = 0;                        // memory that it takes
    PlannerCopyState state = PlannerCopyState::Ready; // what it is good for
    bool recent = false;                              // loaded a short time ago; kept for now
    bool pinned = false;                              // an unload of it would free nothing
    bool cancellable = false;                         // Vanishing: a new load revokes the unload
};

struct PlannerSettings
{
    double moveWeight = 1.0;              // cost of one move, in requests late or refused
    std::chrono::seconds horizon { 600 }; // a gain is counted for this long
    double targetUtilization = 0.7;       // of an engine's capacity
    std::size_t maxLoads = 8;             // loads in one plan
    std::size_t maxUnloads = 32;          // unloads in one plan
};

struct PlacementInput
{
    std::vector<PlannerEngine> engines; // in a fixed order, e.g. by name
    std::vector<PlannerModel> models;   // in a fixed order, e.g. by name
    std::vector<PlannerCopy> copies;    // at most one for each engine, model and version
    PlannerSettings settings;
};

// ---- Result -------------------------------------------------------------------------------------

enum class MoveReason {
    Unpublished,   // unload: the model is not published any more
    Repair,        // load: fewer copies than wanted
    KeepVanishing, // load: revokes an open unload
    ZoneSpread,    // load: all copies stand in too few availability zones
    OldVersion,    // unload: the published version serves
    Demand,        // load: demand is above what the copies serve
    MakeRoom,      // unload: a surplus copy gives way to a load that is worth more
    Relocate,      // load: a copy moves so that another model finds room
};

/// @return the reason's name in log lines
const char *moveReasonName(MoveReason reason);

struct PlannedMove
{
    bool load = true;                       // load or unload
    std::size_t engine = 0;                 // index into PlacementInput::engines
    std::string model;                      // model name
    std::string version;                    // model version
    std::int64_t memoryMb = 0;              // memory that it takes or frees
    MoveReason reason = MoveReason::Repair; // why
    double gain = 0.0;                      // requests per second served in time more
};

struct BlockedModel
{
    std::string model;         // model that lacks copies
    std::int64_t memoryMb = 0; // no engine has or can free that much
};

struct PlacementPlan
{
    std::vector<PlannedMove> moves;    // most urgent first
    std::vector<BlockedModel> blocked; // repairs that found no engine
    double demand = 0.0;               // requests per second over all models
    double unserved = 0.0;             // of them, above the target utilisation before the moves
};

// ---- Function -----------------------------------------------------------------------------------

/// Plans moves. Deterministic: equal input gives an equal plan.
/// @param input the tables; indexes must be in range
/// @return the moves, in the order in which they should be spent on the weight store
PlacementPlan plan(const PlacementInput &input);

} // namespace burdock
