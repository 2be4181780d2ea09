#include "support/faultreport.h"
#include "support/placementmatrix.h"

#include <CppUTest/TestHarness.h>

#include <map>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t PairSchedules = 20'000 / ScheduleShare;

// Draws two faults, each at a step where it can strike.
std::vector<Injection> drawPair(const PlacementVariant &variant, Random &random)
{
    std::vector<Injection> pair;
    while (pair.size() < 2) {
        const auto step =
                static_cast<WorldStep>(random.below(static_cast<std::size_t>(WorldStep::Count)));
        const auto fault =
                static_cast<WorldFault>(random.below(static_cast<std::size_t>(WorldFault::Count)));
        if (whyNotRun(step, fault, variant).empty())
            pair.push_back(injectionAt(step, fault, random));
    }
    return pair;
}

std::string pairName(const std::vector<Injection> &pair)
{
    const bool ordered = pair[0].fault <= pair[1].fault;
    return std::string(faultName(pair[ordered ? 0 : 1].fault)) + " + "
            + faultName(pair[ordered ? 1 : 0].fault);
}

} // namespace

TEST_GROUP(PlacementPairFaults) {};

TEST(PlacementPairFaults, TwoFaultsAtTwoSteps)
{
    MatrixOutcome total;
    std::map<std::pair<std::string, std::string>, FaultCell> cells;
    for (std::uint64_t seed = 1; seed <= PairSchedules; ++seed) {
        Random random(seed);
        const PlacementVariant &variant =
                PlacementVariants[random.below(std::size(PlacementVariants))];
        const std::vector<Injection> pair = drawPair(variant, random);
        const std::uint64_t before = total.schedules;
        const WorldChecks checks = runSchedule(variant, pair, seed, total);
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
    UT_PRINT(StringFromFormat("%lu schedules of seeds 1..%lu in which both faults struck, %lu with "
                              "a violation, %lu excused, %lu without room",
                              total.schedules, PairSchedules, total.violations, total.excused,
                              total.noRoom)
                     .asCharString());
    LONGS_EQUAL(0, total.violations);
}
