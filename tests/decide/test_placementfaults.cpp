#include "support/faultreport.h"
#include "support/placementmatrix.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t SchedulesPerCell = 22 / ScheduleDivisor;

// Runs one fault at one step. Replaces seeds whose fault is not injected, up to six seeds for each
// schedule.
MatrixOutcome runCell(const PlacementVariant &variant, PlacementStep step, PlacementFault fault)
{
    MatrixOutcome outcome;
    const std::uint64_t cell =
            static_cast<std::uint64_t>(step) * 100 + static_cast<std::uint64_t>(fault);
    for (std::uint64_t number = 1; number <= 6 * SchedulesPerCell; ++number) {
        if (outcome.schedules == SchedulesPerCell)
            break;
        const std::uint64_t seed = cell * 1'000 + number;
        Random random(seed);
        const std::vector<FaultInjection> injections = makeInjections(step, fault, random);
        const SimulationChecks checks = runSchedule(variant, injections, seed, outcome);
        if (checks.violations() > 0)
            printFailure(variant, injections, seed);
    }
    return outcome;
}

} // namespace

TEST_GROUP(PlacementFaults) {};

TEST(PlacementFaults, NoViolationWithAnyFaultAtAnyStep)
{
    MatrixOutcome total;
    std::vector<FaultCell> cells;
    int cellsWithoutSchedule = 0;
    for (const PlacementVariant &variant : PlacementVariants) {
        for (int step = 0; step < static_cast<int>(PlacementStep::Count); ++step) {
            for (int fault = 0; fault < static_cast<int>(PlacementFault::Count); ++fault) {
                const auto placementStep = static_cast<PlacementStep>(step);
                const auto placementFault = static_cast<PlacementFault>(fault);
                FaultCell cell { "placement",
                                 stepName(placementStep),
                                 faultName(placementFault),
                                 variant.name,
                                 0,
                                 0,
                                 skipReason(placementStep, placementFault, variant) };
                if (cell.notCovered.empty()) {
                    const MatrixOutcome outcome = runCell(variant, placementStep, placementFault);
                    cell.schedules = outcome.schedules;
                    cell.violations = outcome.violations;
                    cellsWithoutSchedule += outcome.schedules == 0 ? 1 : 0;
                    total.schedules += outcome.schedules;
                    total.violations += outcome.violations;
                    total.excused += outcome.excused;
                    total.outOfMemory += outcome.outOfMemory;
                }
                cells.push_back(cell);
            }
        }
    }
    reportCells(cells);
    UT_PRINT(StringFromFormat("%lu schedules, seeds cell * 1000 + 1.., %lu with a violation, "
                              "%lu excused, %lu without free memory",
                              total.schedules, total.violations, total.excused, total.outOfMemory)
                     .asCharString());
    LONGS_EQUAL(0, total.violations);
    LONGS_EQUAL(0, cellsWithoutSchedule);
}
