// Placement policies of the experiments.
//
// Index
//   CopyRow, EngineView, FleetView     what a policy sees
//   FleetMove                          what it asks for
//   PlacementDriver                    the interface
//   makeStaticPlacement                never moves; repairs only
//   makeReactivePlacement              copies hot models, drops cold ones, by thresholds
//   makePlannedPlacement               the product's planner
//   initialCopies                      where each run begins
#pragma once

#include "base/instant.h"
#include "load/workload.h"

#include <memory>
#include <string>
#include <vector>

namespace burdock {

// ---- Tables -------------------------------------------------------------------------------------

struct CopyRow
{
    std::size_t engine = 0; // index of the engine
    std::size_t model = 0;  // index of the model
    bool ready = false;     // it serves
    bool leaving = false;   // it serves no more and frees its memory soon
    Instant readySince;     // when it became ready
};

struct EngineView
{
    std::string name;          // its name
    std::string zone;          // its availability zone
    bool alive = true;         // it reports
    std::int64_t memoryMb = 0; // in all
    std::int64_t usedMb = 0;   // by copies in any state
};

struct FleetView
{
    std::vector<EngineView> engines; // by index
    std::vector<CopyRow> copies;     // of engines that are alive
    std::vector<double> demand;      // requests a second offered lately, by model
    double engineCapacity = 1.0;     // requests a second that one engine serves
    int loadsAvailable = 0;          // that the weight store admits now
    Instant now;                     // the present
};

struct FleetMove
{
    bool load = true;       // load or unload
    std::size_t engine = 0; // index of the engine
    std::size_t model = 0;  // index of the model
};

// ---- Policies -----------------------------------------------------------------------------------

class PlacementDriver
{
public:
    PlacementDriver() = default;
    virtual ~PlacementDriver() = default;
    PlacementDriver(const PlacementDriver &) = delete;
    PlacementDriver &operator=(const PlacementDriver &) = delete;

    /// Asked every two seconds. Loads beyond what the weight store admits are not carried out.
    virtual std::vector<FleetMove> tick(const FleetView &view) = 0;
};

using DemandModels = std::vector<DemandModel>;

std::unique_ptr<PlacementDriver> makeStaticPlacement(std::vector<CopyRow> initial);
std::unique_ptr<PlacementDriver> makeReactivePlacement(const DemandModels &models);

/// @param moveWeight cost of a move, in requests late or refused
std::unique_ptr<PlacementDriver> makePlannedPlacement(const DemandModels &models,
                                                      double moveWeight);

/// Copies at the start, by mean demand: two of each model in different availability zones, then
/// more for the models with most demand a copy while there is memory.
std::vector<CopyRow> initialCopies(const DemandModels &models,
                                   const std::vector<EngineView> &engines);

/// Copies of a model at all times.
constexpr int MinCopies = 2;

} // namespace burdock
