// The fault matrix of placement as data: variants, how often each step is tried, what is not run.
//
// Index
//   PlacementVariant, PlacementVariants   kinds of engines and rules
//   whyNotRun                             names the cells that are left out
//   MatrixOutcome, runSchedule            one schedule
//   injectionAt                           a fault at a random occurrence of its step
#pragma once

#include "support/placementworld.h"

#include <string>
#include <utility>
#include <vector>

namespace burdock::testing {

// ---- Variants -----------------------------------------------------------------------------------

struct PlacementVariant
{
    const char *name;
    EngineMix mix;
    UncheckedEngines rule;
};

constexpr PlacementVariant PlacementVariants[] = {
    { "fencing checked", EngineMix::Checked, UncheckedEngines::NeverUnload },
    { "fencing ignored, never unload", EngineMix::Ignored, UncheckedEngines::NeverUnload },
    { "fencing ignored, unload after seen", EngineMix::Ignored, UncheckedEngines::UnloadAfterSeen },
    { "fencing mixed, never unload", EngineMix::Mixed, UncheckedEngines::NeverUnload },
};

// The sanitizers make a schedule many times slower, so their pass runs a tenth of the schedules.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t ScheduleShare = 10;
#else
constexpr std::uint64_t ScheduleShare = 1;
#endif

// ---- Cells --------------------------------------------------------------------------------------

// The last occurrence of a step at which a fault is tried; later ones are rare.
inline int lastOccurrence(WorldStep step)
{
    constexpr int Last[] = { 2, 20, 2, 14, 15, 4, 2, 120, 60, 15 };
    return Last[static_cast<std::size_t>(step)];
}

/// @return why a fault is not run at a step; empty when it is
inline std::string whyNotRun(WorldStep step, WorldFault fault, const PlacementVariant &variant)
{
    const bool isWrite = step <= WorldStep::JournalOrders;
    const bool isOrder = step >= WorldStep::LoadOrder && step <= WorldStep::RaiseOrder;
    const bool ignored = variant.mix == EngineMix::Ignored;
    if (ignored && step == WorldStep::RaiseOrder)
        return "not sent to engines that ignore numbers";
    if (ignored && variant.rule == UncheckedEngines::NeverUnload && step == WorldStep::UnloadOrder)
        return "not sent under this rule";
    if (fault == WorldFault::AnswerLost && !isWrite)
        return "the message has no answer";
    if (fault >= WorldFault::KilledBefore && fault <= WorldFault::FrozenAfter && !isWrite
        && !isOrder)
        return "not a send of control; killing and pausing it is run at its own sends";
    if (variant.rule == UncheckedEngines::UnloadAfterSeen && isOrder
        && fault == WorldFault::Doubled)
        return "this rule assumes that one send arrives at most once";
    return "";
}

inline Injection injectionAt(WorldStep step, WorldFault fault, Random &random)
{
    const auto last = static_cast<std::size_t>(lastOccurrence(step));
    return Injection { step, fault, 1 + static_cast<int>(random.below(last)), false };
}

/// Raises are sent only when orders are left open, so their cells begin with a lost holder.
inline std::vector<Injection> injectionsFor(WorldStep step, WorldFault fault, Random &random)
{
    std::vector<Injection> injections;
    if (step == WorldStep::RaiseOrder)
        injections.push_back(injectionAt(WorldStep::LoadOrder, WorldFault::KilledBefore, random));
    injections.push_back(injectionAt(step, fault, random));
    return injections;
}

// ---- Schedules ----------------------------------------------------------------------------------

struct MatrixOutcome
{
    std::uint64_t schedules = 0;  // in which every fault struck
    std::uint64_t violations = 0; // of them, with any violation
    std::uint64_t excused = 0;    // of them, with a last copy lost to a crash that was not known
    std::uint64_t noRoom = 0;     // of them, with a model left without room at the end
    WorldChecks sum;              // of single violations
};

/// Runs one schedule and counts it if every fault struck.
/// @return what the checker saw
inline WorldChecks runSchedule(const PlacementVariant &variant, std::vector<Injection> injections,
                               std::uint64_t seed, MatrixOutcome &outcome,
                               const WorldAblations &ablations = {})
{
    WorldOptions options;
    options.mix = variant.mix;
    options.rule = variant.rule;
    options.seed = seed;
    options.ablations = ablations;
    PlacementWorld world(options, std::move(injections));
    world.run();
    if (!world.allStruck())
        return WorldChecks {};
    const WorldChecks &checks = world.checks();
    ++outcome.schedules;
    outcome.violations += checks.violations() > 0 ? 1 : 0;
    outcome.excused += checks.excused > 0 ? 1 : 0;
    outcome.noRoom += checks.noRoom > 0 ? 1 : 0;
    outcome.sum.memoryOver += checks.memoryOver > 0 ? 1 : 0;
    outcome.sum.lastCopyGone += checks.lastCopyGone > 0 ? 1 : 0;
    outcome.sum.rateOver += checks.rateOver > 0 ? 1 : 0;
    outcome.sum.loadingOver += checks.loadingOver > 0 ? 1 : 0;
    outcome.sum.activeTwice += checks.activeTwice > 0 ? 1 : 0;
    outcome.sum.notReachable += checks.notReachable > 0 ? 1 : 0;
    outcome.sum.oldVersion += checks.oldVersion > 0 ? 1 : 0;
    return checks;
}

/// Prints how to play a failed schedule again.
inline void printFailure(const PlacementVariant &variant, const std::vector<Injection> &injections,
                         std::uint64_t seed)
{
    std::cout << "violation: " << variant.name << ", seed " << seed;
    for (const Injection &each : injections)
        std::cout << "; " << faultName(each.fault) << " at " << stepName(each.step) << " number "
                  << each.occurrence;
    std::cout << '\n';
}

} // namespace burdock::testing
