// The planner's working tables and steps. Internal to placementplanner.h, whose plan() runs it.
//
// Index
//   MinimumGain, NoEngine   constants
//   ModelCounts             copies of one model, as the plan so far leaves them
//   Planner                 the steps; run() takes them in order
//
// The steps are in three files: plannertables.cpp (what may go where), plannerrepair.cpp (missing,
// old and unpublished copies) and placementplanner.cpp (demand).
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

// A gain below this share of a request per second is noise.
constexpr double MinimumGain = 1e-6;
/// No engine was found.
constexpr std::size_t NoEngine = static_cast<std::size_t>(-1);

struct ModelCounts
{
    int readyCurrent = 0;               // firm copies of the published version
    int readyAll = 0;                   // firm copies of any version
    int comingCurrent = 0;              // loads under way of the published version
    std::vector<std::size_t> copies;    // indexes of all its copies
    std::map<std::string, int> perZone; // ready and coming copies of the published version
};

class Planner
{
public:
    explicit Planner(const PlacementInput &input);

    PlacementPlan run();

private:
    struct Eviction
    {
        std::size_t engine = NoEngine;   // where
        std::vector<std::size_t> copies; // what would go
        double loss = 0.0;               // served less without them
        bool enough = false;             // they make enough room
    };

    void count();
    void finishUnloads();
    void unloadUnpublished();
    void repair();
    void repairModel(std::size_t model);
    bool keepVanishing(std::size_t model);
    void findRoom(std::size_t model);
    bool relocateFor(std::size_t model);
    void unloadOldVersions();
    void spreadZones();
    void followDemand();
    std::size_t bestEngineForDemand(std::size_t model) const;
    bool worth(double gain, double moves) const;
    bool addForDemand(std::size_t model);
    Eviction cheapestEviction(std::size_t model, std::size_t engine) const;
    void evictForDemand(std::size_t model);

    bool isCurrent(const PlannerCopy &copy) const;
    bool isFirm(const PlannerCopy &copy) const;
    bool isRemovable(std::size_t copy) const;
    bool servesRollout(std::size_t copy) const;
    bool mayHost(std::size_t engine, std::size_t model) const;
    std::int64_t neededMb(std::size_t engine, std::size_t model) const;
    bool hasRoomToSpare(std::size_t engine, std::size_t model) const;
    bool hasRoom(std::size_t engine, std::size_t model) const;
    int zoneCopies(std::size_t engine, std::size_t model) const;
    std::size_t bestEngine(std::size_t model, bool newZoneOnly) const;
    std::int64_t surplusMb(std::size_t engine, std::size_t exceptModel) const;
    void addLoad(std::size_t engine, std::size_t model, MoveReason reason, double gain);
    void addUnload(std::size_t copy, MoveReason reason);
    bool loadsLeft() const { return m_loads < m_input.settings.maxLoads; }
    bool unloadsLeft() const { return m_unloads < m_input.settings.maxUnloads; }

    const PlacementInput &m_input;
    PlacementPlan m_plan;
    std::vector<std::int64_t> m_freeMb;                       // of each engine
    std::vector<std::int64_t> m_comingMb;                     // of each engine
    std::vector<std::vector<std::size_t>> m_engineCopies;     // copies of each engine
    std::vector<ModelCounts> m_counts;                        // of each model
    std::vector<bool> m_removed;                              // copies with an unload planned
    std::set<std::pair<std::size_t, std::size_t>> m_occupied; // engine, model: no load there
    std::int64_t m_largestModelMb = 0;                        // of the published models
    std::size_t m_zones = 0;                                  // zones with a serving engine
    std::size_t m_loads = 0;                                  // planned
    std::size_t m_unloads = 0;                                // planned
    DemandFill m_fill;
};

} // namespace burdock
