#include "decide/placementplanner.h"

#include "base/random.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace burdock;

namespace {

PlannerEngine engine(const std::string &name, const std::string &zone, std::int64_t freeMb)
{
    PlannerEngine row;
    row.name = name;
    row.zone = zone;
    row.freeMb = freeMb;
    row.capacity = 10.0;
    return row;
}

PlannerModel model(const std::string &name, std::int64_t memoryMb, int copies, double demand)
{
    PlannerModel row;
    row.name = name;
    row.version = "1";
    row.memoryMb = memoryMb;
    row.minReplicas = copies;
    row.demand = demand;
    return row;
}

PlannerCopy copy(const PlacementInput &input, std::size_t engineIndex, std::size_t modelIndex)
{
    PlannerCopy row;
    row.engine = engineIndex;
    row.model = modelIndex;
    row.modelName = input.models[modelIndex].name;
    row.version = input.models[modelIndex].version;
    row.memoryMb = input.models[modelIndex].memoryMb;
    return row;
}

int countMoves(const PlacementPlan &result, MoveReason reason)
{
    int sum = 0;
    for (const PlannedMove &move : result.moves)
        sum += move.reason == reason ? 1 : 0;
    return sum;
}

// Two engines in two zones with 20 MB of free memory each, and one surplus copy of "idle".
PlacementInput fullFleet()
{
    PlacementInput input;
    input.engines = { engine("engine-1", "zone-1", 20), engine("engine-2", "zone-2", 20) };
    input.models = { model("busy", 40, 1, 0.0), model("idle", 40, 1, 0.0) };
    input.copies = { copy(input, 0, 0), copy(input, 0, 1), copy(input, 1, 1) };
    return input;
}

} // namespace

TEST_GROUP(PlacementPlanner) {};

// Also the example of how to call plan().
TEST(PlacementPlanner, MissingCopiesAreSpreadOverZones)
{
    PlacementInput input;
    input.engines = { engine("engine-1", "zone-1", 100), engine("engine-2", "zone-1", 100),
                      engine("engine-3", "zone-2", 100) };
    input.models = { model("assistant", 40, 2, 1.0) };
    const PlacementPlan result = plan(input);
    LONGS_EQUAL(2, result.moves.size());
    std::set<std::string> zones;
    for (const PlannedMove &move : result.moves) {
        CHECK(move.load && move.reason == MoveReason::Repair);
        zones.insert(input.engines[move.engine].zone);
    }
    LONGS_EQUAL(2, zones.size());
}

TEST(PlacementPlanner, DemandLoadIsPlannedOnlyIfItsGainExceedsTheMoveWeight)
{
    PlacementInput input;
    input.engines = { engine("engine-1", "zone-1", 0), engine("engine-2", "zone-2", 100) };
    input.models = { model("busy", 40, 1, 8.0) }; // 1 request per second above the target of 7
    input.copies = { copy(input, 0, 0) };
    input.settings.moveWeight = 20.0;
    LONGS_EQUAL(1, countMoves(plan(input), MoveReason::Demand));
    input.settings.moveWeight = 1'000.0; // the move gains 600 requests within the horizon
    LONGS_EQUAL(0, plan(input).moves.size());
}

TEST(PlacementPlanner, SurplusCopyIsUnloadedWithoutALoadInTheSamePlan)
{
    PlacementInput input = fullFleet();
    input.models[0].demand = 12.0;
    const PlacementPlan result = plan(input);
    LONGS_EQUAL(1, countMoves(result, MoveReason::FreeMemory));
    LONGS_EQUAL(1, result.moves.size());
    LONGS_EQUAL(1, result.moves[0].engine); // the engine without a copy of "busy"
}

TEST(PlacementPlanner, FallingDemandCausesNoMove)
{
    LONGS_EQUAL(0, plan(fullFleet()).moves.size());
}

TEST(PlacementPlanner, OldVersionIsUnloadedOnlyOnceTheNewVersionIsReady)
{
    PlacementInput input = fullFleet();
    input.models[0].version = "2";
    input.engines[1].freeMb = 60;
    PlacementPlan result = plan(input);
    LONGS_EQUAL(1, result.moves.size());
    CHECK(result.moves[0].load && result.moves[0].version == "2");

    PlannerCopy loaded = copy(input, 1, 0);
    loaded.state = PlannerCopyState::Loading;
    input.copies.push_back(loaded);
    input.engines[1].freeMb = 20;
    LONGS_EQUAL(0, plan(input).moves.size());

    input.copies.back().state = PlannerCopyState::Ready;
    result = plan(input);
    LONGS_EQUAL(1, result.moves.size());
    CHECK(!result.moves[0].load && result.moves[0].version == "1");
}

TEST(PlacementPlanner, LastCopyOnALeavingEngineIsLoadedElsewhere)
{
    PlacementInput input = fullFleet();
    input.engines[0].serving = false;
    input.engines[0].takesLoads = false;
    input.engines[1].freeMb = 60;
    const PlacementPlan result = plan(input);
    LONGS_EQUAL(1, result.moves.size());
    STRCMP_EQUAL("busy", result.moves[0].model.c_str());
    LONGS_EQUAL(1, result.moves[0].engine);
}

TEST(PlacementPlanner, ModelThatFitsOnNoEngineIsReportedAsBlocked)
{
    PlacementInput input = fullFleet();
    input.models.push_back(model("large", 90, 1, 1.0));
    const PlacementPlan result = plan(input);
    LONGS_EQUAL(1, result.blocked.size());
    STRCMP_EQUAL("large", result.blocked[0].model.c_str());
}

namespace {

// A random fleet with engines of 100 MB; copies reduce the free memory of their engine.
PlacementInput drawFleet(Random &random)
{
    PlacementInput input;
    for (std::size_t index = 0; index < 3 + random.below(6); ++index) {
        input.engines.push_back(engine("engine-" + std::to_string(index),
                                       "zone-" + std::to_string(index % 3), 100));
        input.engines.back().serving = random.below(8) != 0;
        input.engines.back().takesUnloads = random.below(4) != 0;
    }
    for (std::size_t index = 0; index < 2 + random.below(5); ++index) {
        input.models.push_back(model(
                "model-" + std::to_string(index), 10 + static_cast<std::int64_t>(random.below(40)),
                1 + static_cast<int>(random.below(2)), static_cast<double>(random.below(20))));
    }
    for (std::size_t index = 0; index < input.engines.size(); ++index) {
        for (std::size_t which = 0; which < input.models.size(); ++which) {
            PlannerCopy row = copy(input, index, which);
            if (random.below(3) != 0 || input.engines[index].freeMb < row.memoryMb)
                continue;
            row.state = static_cast<PlannerCopyState>(random.below(3));
            if (random.below(5) == 0)
                row.version = "0";
            input.engines[index].freeMb -= row.memoryMb;
            input.copies.push_back(row);
        }
    }
    input.settings.moveWeight = static_cast<double>(random.below(3)) * 100.0;
    return input;
}

// Checks that loads fit into the memory that is free before the plan, and that the unloads of one
// plan leave each model its minimum number of ready copies, or all that it had if that is fewer.
void checkPlan(const PlacementInput &input, const PlacementPlan &result)
{
    std::vector<std::int64_t> freeMb;
    for (const PlannerEngine &row : input.engines)
        freeMb.push_back(row.freeMb);
    std::map<std::string, int> ready;
    for (const PlannerCopy &row : input.copies) {
        if (row.state == PlannerCopyState::Ready && input.engines[row.engine].serving)
            ++ready[row.modelName];
    }
    std::map<std::string, int> left = ready;
    for (const PlannedMove &move : result.moves) {
        RC_ASSERT(input.engines[move.engine].serving);
        if (move.load) {
            freeMb[move.engine] -= move.reason == MoveReason::RevokeUnload ? 0 : move.memoryMb;
            RC_ASSERT(freeMb[move.engine] >= 0);
        } else if (move.reason != MoveReason::FinishUnload) {
            RC_ASSERT(input.engines[move.engine].takesUnloads);
            --left[move.model];
        }
    }
    for (const PlannerModel &row : input.models) {
        const int kept = std::min(ready[row.name], row.minReplicas);
        RC_ASSERT(left[row.name] >= kept);
    }
}

} // namespace

TEST(PlacementPlanner, PlansNeverOvercommitMemoryOrRemoveNeededCopies)
{
    CHECK(rc::check("random fleets", [](std::uint64_t seed) {
        Random random(seed);
        for (int fleet = 0; fleet < 50; ++fleet) {
            const PlacementInput input = drawFleet(random);
            const PlacementPlan result = plan(input);
            checkPlan(input, result);
            const PlacementPlan again = plan(input);
            RC_ASSERT(again.moves.size() == result.moves.size());
        }
    }));
}

// Guards against plans that undo each other: executing plan after plan must reach one without
// moves.
TEST(PlacementPlanner, ExecutedPlansConvergeToNoMoves)
{
    int moves = 0;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Random random(seed);
        PlacementInput input = drawFleet(random);
        for (PlannerCopy &row : input.copies)
            row.state = PlannerCopyState::Ready;
        bool converged = false;
        for (int round = 0; round < 60 && !converged; ++round) {
            const PlacementPlan result = plan(input);
            converged = result.moves.empty();
            for (const PlannedMove &move : result.moves) {
                ++moves;
                const auto same = [&move](const PlannerCopy &row) {
                    return row.engine == move.engine && row.modelName == move.model
                            && row.version == move.version;
                };
                if (!move.load) {
                    std::erase_if(input.copies, same);
                    input.engines[move.engine].freeMb += move.memoryMb;
                    continue;
                }
                input.engines[move.engine].freeMb -= move.memoryMb;
                const auto which = std::find_if(
                        input.models.begin(), input.models.end(),
                        [&move](const PlannerModel &row) { return row.name == move.model; });
                input.copies.push_back(
                        copy(input, move.engine,
                             static_cast<std::size_t>(which - input.models.begin())));
            }
        }
        CHECK(converged);
    }
    UT_PRINT(StringFromFormat("200 fleets (seeds 1 to 200) reached a plan without moves after %d "
                              "moves in all",
                              moves)
                     .asCharString());
}
