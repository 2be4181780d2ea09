// The planner's working tables and steps. Internal: plan() in placementplanner.h runs it.
//
// Index
//   MinGain, NoEngine   constants
//   ModelCounts         copies of one model after the moves planned so far
//   Planner             the steps; run() executes them in order
//
// A copy is current if it has the published version, and serving if it is ready on a serving
// engine. Copies, engines and models are indexes into the tables of PlacementInput.
//
// The steps are in three files: plannertables.cpp (which copies may be loaded or unloaded where),
// plannerrepair.cpp (missing, old and unpublished copies) and placementplanner.cpp (demand).
#pragma once

#include "decide/demandfill.h"
#include "decide/placementplanner.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdock {

/// Smaller gains, in requests per second at cost 1, are rounding errors.
constexpr double MinGain = 1e-6;
/// Engine index that stands for no engine.
constexpr std::size_t NoEngine = static_cast<std::size_t>(-1);

struct ModelCounts
{
    int readyCurrent = 0;               // serving copies of the published version
    int readyAll = 0;                   // serving copies of any version
    int loadingCurrent = 0;             // open and planned loads of the published version
    std::vector<std::size_t> copies;    // indexes of all copies of the model
    std::map<std::string, int> perZone; // serving and loading copies of the published version
};

class Planner
{
public:
    explicit Planner(const PlacementInput &input);

    PlacementPlan run();

private:
    // Copies of one engine that could be unloaded for a load.
    struct Eviction
    {
        std::size_t engine = NoEngine;   // engine of the copies
        std::vector<std::size_t> copies; // copies to unload
        double loss = 0.0;               // load that would no longer be served in time
        bool isSufficient = false;       // whether the unloads free enough memory
    };

    void countCopies();
    void finishUnloads();
    void unloadUnpublished();
    void repair();
    void repairModel(std::size_t model);
    bool revokeUnload(std::size_t model);
    void freeMemoryFor(std::size_t model);
    bool relocateFor(std::size_t model);
    void unloadOldVersions();
    void spreadZones();
    void addCopiesForDemand();
    std::size_t bestEngineForDemand(std::size_t model) const;
    bool isWorthMoves(double gain, double moves) const;
    bool addCopyForDemand(std::size_t model);
    Eviction cheapestEviction(std::size_t model, std::size_t engine) const;
    void evictForDemand(std::size_t model);

    bool isCurrent(const PlannerCopy &copy) const;
    bool isServing(const PlannerCopy &copy) const;
    bool isRemovable(std::size_t copy) const;
    bool isNeededForRollout(std::size_t copy) const;
    bool mayHost(std::size_t engine, std::size_t model) const;
    std::int64_t neededMb(std::size_t engine, std::size_t model) const;
    bool hasMemoryBeyondReserve(std::size_t engine, std::size_t model) const;
    bool hasMemory(std::size_t engine, std::size_t model) const;
    int copiesInZone(std::size_t engine, std::size_t model) const;
    std::size_t bestEngine(std::size_t model, bool newZoneOnly) const;
    std::int64_t surplusMb(std::size_t engine, std::size_t exceptModel) const;
    void addLoad(std::size_t engine, std::size_t model, MoveReason reason, double gain);
    void addUnload(std::size_t copy, MoveReason reason);
    bool mayPlanLoad() const { return m_loadCount < m_input.settings.maxLoads; }
    bool mayPlanUnload() const { return m_unloadCount < m_input.settings.maxUnloads; }

    const PlacementInput &m_input;
    PlacementPlan m_plan;
    std::vector<std::int64_t> m_freeMb;                   // of each engine, in MB
    std::vector<std::int64_t> m_pendingFreeMb;            // of each engine, in MB
    std::vector<std::vector<std::size_t>> m_engineCopies; // copies of each engine
    std::vector<ModelCounts> m_counts;                    // of each model
    std::vector<bool> m_removed; // of each copy: whether it is unloaded or its unload is revoked
    // Engine and model of existing and planned copies, which exclude another load of the model
    // there.
    std::set<std::pair<std::size_t, std::size_t>> m_occupied;
    std::int64_t m_largestModelMb = 0; // memory of one copy of the largest published model, in MB
    std::size_t m_zoneCount = 0;       // availability zones with a serving engine
    std::size_t m_loadCount = 0;       // loads planned so far
    std::size_t m_unloadCount = 0;     // unloads planned so far
    DemandFill m_fill;
};

} // namespace burdock
