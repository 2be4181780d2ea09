// Decides which copies of models to load and to unload: a pure function from tables to moves.
//
// Index
//   PlannerEngine, PlannerModel, PlannerCopy   the tables
//   PlannerSettings                            weight of moves, target utilisation, limits
//   PlacementInput                             the tables and the settings
//   PlannedMove, BlockedModel, PlacementPlan   the result
//   plan                                       the function
//
// A copy is one version of a model on one engine. A move is the load or the unload of one copy.
//
// Order of work: copies of models that are no longer published are unloaded; missing copies are
// repaired, models without any copy first; old versions are unloaded once the published version
// serves; copies are added where demand exceeds what the present copies can serve, as long as the
// gain justifies the moves. A surplus copy stays until its memory is needed, so falling demand
// causes no move.
//
// A plan never relies on memory that its own unloads will free: a load is planned only into memory
// that is free now. An unload that frees memory for a load is planned without that load, which
// follows in a later plan.
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
    std::string name;               // engine name
    std::string zone;               // availability zone
    std::int64_t freeMb = 0;        // memory in MB that neither copies nor open loads occupy
    std::int64_t pendingFreeMb = 0; // memory in MB that open unloads free once they are confirmed
    double capacity = 1.0;          // requests per second at cost 1 that the engine serves in time
    bool serving = true;            // whether the engine sends load reports and is not leaving
    bool takesLoads = true;         // whether new copies may be loaded
    bool takesUnloads = true;       // whether memory that an unload frees can be used again
    // Model and version of loads with an unknown outcome. Their memory is not in freeMb, and
    // another load of the same copy uses it.
    std::set<std::pair<std::string, std::string>> reservedFor;
};

struct PlannerModel
{
    std::string name;          // model name
    std::string version;       // published version
    std::int64_t memoryMb = 0; // memory of one copy in MB
    int minReplicas = 1;       // minimum number of copies; values below 1 count as 1
    double demand = 0.0;       // smoothed demand in requests per second
    double cost = 1.0;         // engine capacity that one request per second takes
};

enum class PlannerCopyState {
    Ready,      // serves requests
    Loading,    // is being loaded, or its load is ordered
    Unreliable, // an open unload may remove the copy at any time, or a recent load of it failed
};

/// Model index of a copy whose model is not published.
constexpr std::size_t UnpublishedModel = static_cast<std::size_t>(-1);

struct PlannerCopy
{
    std::size_t engine = 0;                           // index into PlacementInput::engines
    std::size_t model = UnpublishedModel;             // index into PlacementInput::models
    std::string modelName;                            // model name that the engine reports
    std::string version;                              // version that the engine reports
    std::int64_t memoryMb = 0;                        // memory that the copy occupies, in MB
    PlannerCopyState state = PlannerCopyState::Ready; // whether the copy can be relied upon
    // Whether the copy must not be unloaded yet, because it was loaded or its model was unpublished
    // a short time ago. Ignored for old versions of published models.
    bool retained = false;
    bool pinned = false;          // whether an unload of the copy would free no memory
    bool unloadOverdue = false;   // Unreliable: whether the open unload is overdue
    bool unloadRevocable = false; // Unreliable: whether a new load revokes the open unload
};

struct PlannerSettings
{
    double moveWeight = 1.0;              // cost of one move, in requests that are late or refused
    std::chrono::seconds horizon { 600 }; // period over which the gain of a move is summed
    double targetUtilization = 0.7;       // target load as a fraction of an engine's capacity
    std::size_t maxLoads = 8;             // maximum number of loads in one plan
    std::size_t maxUnloads = 32;          // maximum number of unloads in one plan
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
    Unpublished,  // unload: the model is no longer published
    Repair,       // load: the model has fewer copies than its minimum
    RevokeUnload, // load: revokes an open unload of the same copy
    ZoneSpread,   // load: the model's copies are in too few availability zones
    OldVersion,   // unload: the published version serves the demand
    Demand,       // load: demand exceeds what the present copies can serve
    FinishUnload, // unload: repeats an unload with an unknown outcome
    FreeMemory, // unload: removes a surplus copy in favour of a repair or of a load that gains more
    Relocate,   // load: copies a model elsewhere, so that its memory can be used for another model
};

/// @return the reason's name in log lines
const char *moveReasonName(MoveReason reason);

struct PlannedMove
{
    bool load = true;                       // true: load; false: unload
    std::size_t engine = 0;                 // index into PlacementInput::engines
    std::string model;                      // model name
    std::string version;                    // model version
    std::int64_t memoryMb = 0;              // memory in MB that the move occupies or frees
    MoveReason reason = MoveReason::Repair; // why the move is planned
    double gain = 0.0; // Demand: additional engine capacity (requests per second at cost 1) in use
};

struct BlockedModel
{
    std::string model;         // name of the model that lacks copies
    std::int64_t memoryMb = 0; // memory in MB of one copy, which no engine has free or can free
};

struct PlacementPlan
{
    std::vector<PlannedMove> moves;    // most urgent first
    std::vector<BlockedModel> blocked; // models with missing copies that no engine can take
    double demand = 0.0;               // demand of all models, in requests per second at cost 1
    // Part of the demand above the target utilisation or without any copy, before the moves.
    double unserved = 0.0;
};

// ---- Function -----------------------------------------------------------------------------------

/// Plans moves. Deterministic: equal input gives an equal plan.
/// @param input the tables; all indexes must be in range
/// @return the moves, in the order in which they should use the weight store's load budget
PlacementPlan plan(const PlacementInput &input);

} // namespace burdock
