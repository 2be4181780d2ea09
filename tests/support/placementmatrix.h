// The fault matrix of placement: variants, at which occurrences of a step a fault is injected, and
// which cells are not run.
//
// Index
//   PlacementVariant, PlacementVariants   kinds of engines and policies
//   skipReason                            why a cell is not run
//   makeInjection, makeInjections         a fault at a random occurrence of its step
//   MatrixOutcome, runSchedule            runs one schedule and counts its outcome
//   printFailure                          prints how to reproduce a schedule
#pragma once

#include "support/placementsimulation.h"

#include <string>
#include <utility>
#include <vector>

namespace burdock::testing {

// ---- Variants -----------------------------------------------------------------------------------

struct PlacementVariant
{
    const char *name;
    EngineMix mix;
    UnfencedEnginePolicy unfencedPolicy;
};

constexpr PlacementVariant PlacementVariants[] = {
    { "fencing checked", EngineMix::Checked, UnfencedEnginePolicy::NeverUnload },
    { "fencing ignored, never unload", EngineMix::Ignored, UnfencedEnginePolicy::NeverUnload },
    { "fencing ignored, unload after seen", EngineMix::Ignored,
      UnfencedEnginePolicy::UnloadAfterSeen },
    { "fencing mixed, never unload", EngineMix::Mixed, UnfencedEnginePolicy::NeverUnload },
};

// The sanitizers make a schedule many times slower, so their pass runs a tenth of the schedules.
#ifdef __SANITIZE_ADDRESS__
constexpr std::uint64_t ScheduleDivisor = 10;
#else
constexpr std::uint64_t ScheduleDivisor = 1;
#endif

// ---- Cells --------------------------------------------------------------------------------------

// Highest occurrence of a step at which a fault is injected, in the order of PlacementStep; higher
// ones are rare.
inline int maxOccurrence(PlacementStep step)
{
    constexpr int Last[] = { 2, 20, 2, 14, 15, 4, 2, 120, 60, 15 };
    return Last[static_cast<std::size_t>(step)];
}

/// @return why the fault matrix does not run a fault at a step; empty when it runs it
inline std::string skipReason(PlacementStep step, PlacementFault fault,
                              const PlacementVariant &variant)
{
    const bool isWrite = step <= PlacementStep::JournalOrders;
    const bool isOrder = step >= PlacementStep::LoadOrder && step <= PlacementStep::RaiseOrder;
    const bool ignored = variant.mix == EngineMix::Ignored;
    if (ignored && step == PlacementStep::RaiseOrder)
        return "not sent to engines that ignore numbers";
    if (ignored && variant.unfencedPolicy == UnfencedEnginePolicy::NeverUnload
        && step == PlacementStep::UnloadOrder)
        return "not sent under this rule";
    if (fault == PlacementFault::ResponseLost && !isWrite)
        return "the message has no answer";
    if (fault >= PlacementFault::KilledBefore && fault <= PlacementFault::SuspendedAfter && !isWrite
        && !isOrder)
        return "not a send of control; killing and pausing it is run at its own sends";
    if (variant.unfencedPolicy == UnfencedEnginePolicy::UnloadAfterSeen && isOrder
        && fault == PlacementFault::Duplicated)
        return "this rule assumes that one send arrives at most once";
    return "";
}

inline FaultInjection makeInjection(PlacementStep step, PlacementFault fault, Random &random)
{
    const auto last = static_cast<std::size_t>(maxOccurrence(step));
    return FaultInjection { step, fault, 1 + static_cast<int>(random.below(last)), false };
}

/// @return the fault at a random occurrence of the step. Raise orders are sent only when orders are
/// left open, so their cells first kill a lease holder.
inline std::vector<FaultInjection> makeInjections(PlacementStep step, PlacementFault fault,
                                                  Random &random)
{
    std::vector<FaultInjection> injections;
    if (step == PlacementStep::RaiseOrder)
        injections.push_back(
                makeInjection(PlacementStep::LoadOrder, PlacementFault::KilledBefore, random));
    injections.push_back(makeInjection(step, fault, random));
    return injections;
}

// ---- Schedules ----------------------------------------------------------------------------------

struct MatrixOutcome
{
    std::uint64_t schedules = 0;  // schedules in which every fault was injected
    std::uint64_t violations = 0; // schedules with at least one violation
    // Schedules in which an unload removed a last copy after a crash unknown to the sender.
    std::uint64_t excused = 0;
    // Schedules in which at the end no engine had free memory for some model.
    std::uint64_t outOfMemory = 0;
    SimulationChecks violationsByCheck; // schedules with a violation, for each check
};

/// Runs one schedule and counts it if every fault was injected.
/// @return the result of the checks; all zero if a fault was not injected
inline SimulationChecks runSchedule(const PlacementVariant &variant,
                                    std::vector<FaultInjection> injections, std::uint64_t seed,
                                    MatrixOutcome &outcome,
                                    const SimulationAblations &ablations = {})
{
    SimulationOptions options;
    options.mix = variant.mix;
    options.unfencedPolicy = variant.unfencedPolicy;
    options.seed = seed;
    options.ablations = ablations;
    PlacementSimulation simulation(options, std::move(injections));
    simulation.run();
    if (!simulation.allInjected())
        return SimulationChecks {};
    const SimulationChecks &checks = simulation.checks();
    ++outcome.schedules;
    outcome.violations += checks.violations() > 0 ? 1 : 0;
    outcome.excused += checks.excused > 0 ? 1 : 0;
    outcome.outOfMemory += checks.outOfMemory > 0 ? 1 : 0;
    outcome.violationsByCheck.memoryExceeded += checks.memoryExceeded > 0 ? 1 : 0;
    outcome.violationsByCheck.lastCopyRemoved += checks.lastCopyRemoved > 0 ? 1 : 0;
    outcome.violationsByCheck.loadRateExceeded += checks.loadRateExceeded > 0 ? 1 : 0;
    outcome.violationsByCheck.concurrentLoadsExceeded += checks.concurrentLoadsExceeded > 0 ? 1 : 0;
    outcome.violationsByCheck.multipleActive += checks.multipleActive > 0 ? 1 : 0;
    outcome.violationsByCheck.modelUnreachable += checks.modelUnreachable > 0 ? 1 : 0;
    outcome.violationsByCheck.versionNotReady += checks.versionNotReady > 0 ? 1 : 0;
    return checks;
}

/// Prints the variant, the seed and the faults that reproduce a failed schedule.
inline void printFailure(const PlacementVariant &variant,
                         const std::vector<FaultInjection> &injections, std::uint64_t seed)
{
    std::cout << "violation: " << variant.name << ", seed " << seed;
    for (const FaultInjection &each : injections)
        std::cout << "; " << faultName(each.fault) << " at " << stepName(each.step) << " number "
                  << each.occurrence;
    std::cout << '\n';
}

} // namespace burdock::testing
