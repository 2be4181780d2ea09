// Each mechanism switched off in turn: the checker must see what the mechanism is for. The same
// schedules with the mechanism on must be clean.
#include "support/placementmatrix.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t Seeds = 600 / ScheduleShare;

struct Strike
{
    WorldStep step;
    WorldFault fault;
};

struct Ablation
{
    const char *name;
    PlacementVariant variant;
    std::vector<Strike> strikes;
    bool WorldAblations::*off; // the mechanism that is switched off; null: none
    int WorldChecks::*seen;    // what the checker must see then
    bool allAsk = false;       // see WorldAblations
};

const PlacementVariant Checked = PlacementVariants[0];
const PlacementVariant NeverUnload = PlacementVariants[1];
const PlacementVariant AfterSeen = PlacementVariants[2];

MatrixOutcome runAll(const Ablation &ablation, bool off)
{
    MatrixOutcome outcome;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        Random random(seed);
        std::vector<Injection> injections;
        int occurrence = 0;
        for (const Strike &strike : ablation.strikes) {
            injections.push_back(injectionAt(strike.step, strike.fault, random));
            // Two faults at one step strike the same message.
            if (injections.size() > 1 && strike.step == ablation.strikes.front().step)
                injections.back().occurrence = occurrence;
            occurrence = injections.back().occurrence;
        }
        WorldAblations ablations;
        ablations.allAsk = ablation.allAsk;
        if (off)
            ablations.*ablation.off = true;
        runSchedule(ablation.variant, injections, seed, outcome, ablations);
    }
    return outcome;
}

} // namespace

TEST_GROUP(PlacementAblations) {};

TEST(PlacementAblations, CheckerSeesEachMissingMechanism)
{
    const std::vector<Ablation> ablations = {
        { "orders sent before the journal has them",
          Checked,
          { { WorldStep::LoadOrder, WorldFault::Late },
            { WorldStep::LoadOrder, WorldFault::KilledAfter } },
          &WorldAblations::sendBeforeJournal,
          &WorldChecks::memoryOver },
        { "a new holder does not inherit open orders",
          Checked,
          { { WorldStep::LoadOrder, WorldFault::Late },
            { WorldStep::LoadOrder, WorldFault::KilledAfter } },
          &WorldAblations::noInheritance,
          &WorldChecks::memoryOver },
        { "engines that ignore numbers treated as if they checked them",
          AfterSeen,
          { { WorldStep::LoadOrder, WorldFault::Late },
            { WorldStep::LoadOrder, WorldFault::KilledAfter } },
          &WorldAblations::claimFencing,
          &WorldChecks::memoryOver },
        { "unload before load",
          Checked,
          {},
          &WorldAblations::readyWhenOrdered,
          &WorldChecks::lastCopyGone },
        { "reports from before the takeover acted upon",
          Checked,
          {},
          &WorldAblations::oldReports,
          &WorldChecks::memoryOver,
          true },
        { "unconditional writes",
          Checked,
          { { WorldStep::LeaseRenew, WorldFault::FrozenBefore } },
          &WorldAblations::blindWrites,
          &WorldChecks::activeTwice },
        { "orders not bound to the engine's incarnation",
          Checked,
          { { WorldStep::LoadOrder, WorldFault::Late },
            { WorldStep::LoadOrder, WorldFault::EngineCrash } },
          &WorldAblations::anyIncarnation,
          &WorldChecks::memoryOver },
    };
    for (const Ablation &ablation : ablations) {
        const MatrixOutcome on = runAll(ablation, false);
        const MatrixOutcome off = runAll(ablation, true);
        UT_PRINT(StringFromFormat("%s: %d of %lu schedules, with the mechanism %lu of %lu [mem %d "
                                  "last %d rate %d loading %d active %d unreach %d old %d]",
                                  ablation.name, off.sum.*ablation.seen, off.schedules,
                                  on.violations, on.schedules, off.sum.memoryOver,
                                  off.sum.lastCopyGone, off.sum.rateOver, off.sum.loadingOver,
                                  off.sum.activeTwice, off.sum.notReachable, off.sum.oldVersion)
                         .asCharString());
    }
}
