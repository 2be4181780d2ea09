#include "support/faultreport.h"
#include "support/placementmatrix.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t PairSchedules = 20'000 / ScheduleDivisor;

// Draws two faults, each at a step at which it can be injected.
std::vector<FaultInjection> drawPair(const PlacementVariant &variant, Random &random)
{
    std::vector<FaultInjection> pair;
    while (pair.size() < 2) {
        const auto step = static_cast<PlacementStep>(
                random.below(static_cast<std::size_t>(PlacementStep::Count)));
        const auto fault = static_cast<PlacementFault>(
                random.below(static_cast<std::size_t>(PlacementFault::Count)));
        if (skipReason(step, fault, variant).empty())
            pair.push_back(makeInjection(step, fault, random));
    }
    return pair;
}

std::string pairName(const std::vector<FaultInjection> &pair)
{
    const bool ordered = pair[0].fault <= pair[1].fault;
    return std::string(faultName(pair[ordered ? 0 : 1].fault)) + " + "
            + faultName(pair[ordered ? 1 : 0].fault);
}

} // namespace

TEST_GROUP(PlacementPairFaults) {};

TEST(PlacementPairFaults, NoViolationWithTwoFaultsAtTwoSteps)
{
    MatrixOutcome total;
    std::map<std::pair<std::string, std::string>, FaultCell> cells;
    for (std::uint64_t seed = 1; seed <= PairSchedules; ++seed) {
        Random random(seed);
        const PlacementVariant &variant =
                PlacementVariants[random.below(std::size(PlacementVariants))];
        const std::vector<FaultInjection> pair = drawPair(variant, random);
        const std::uint64_t before = total.schedules;
        const SimulationChecks checks = runSchedule(variant, pair, seed, total);
        if (checks.violations() > 0)
            printFailure(variant, pair, seed);
        FaultCell &cell = cells[{ variant.name, pairName(pair) }];
        cell.protocol = "placement";
        cell.step = "any two steps";
        cell.fault = pairName(pair);
        cell.variant = variant.name;
        cell.schedules += total.schedules - before;
        cell.violations += checks.violations() > 0 ? 1 : 0;
    }
    std::vector<FaultCell> report;
    report.reserve(cells.size());
    for (const auto &[key, cell] : cells)
        report.push_back(cell);
    reportCells(report);
    UT_PRINT(StringFromFormat("%lu schedules of seeds 1..%lu in which both faults were injected, "
                              "%lu with a violation, %lu excused, %lu without free memory",
                              total.schedules, PairSchedules, total.violations, total.excused,
                              total.outOfMemory)
                     .asCharString());
    LONGS_EQUAL(0, total.violations);
}
