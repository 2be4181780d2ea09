// Fault model of the placement tests: the steps at which faults are injected, the faults, the kinds
// of engines and the mechanisms that a test can switch off.
//
// Index
//   PlacementStep, PlacementFault, FaultInjection     steps, faults and one injection
//   EngineMix, SimulationAblations, SimulationOptions kinds of engines; mechanisms switched off
#pragma once

#include "decide/engineaccount.h"

#include <cstdint>

namespace burdock::testing {

// ---- Faults -------------------------------------------------------------------------------------

enum class PlacementStep {
    LeaseTake,
    LeaseRenew,
    JournalOpen,
    JournalOrders,
    LoadOrder,
    UnloadOrder,
    RaiseOrder,
    EngineReport,
    VmList,
    Catalog,
    Count,
};

inline const char *stepName(PlacementStep step)
{
    constexpr const char *Names[] = { "lease take",     "lease renewal", "journal open",
                                      "journal orders", "load order",    "unload order",
                                      "raise order",    "engine report", "VM list",
                                      "catalog" };
    return Names[static_cast<std::size_t>(step)];
}

enum class PlacementFault {
    Lost,                // the message or write never arrives
    Delayed,             // it arrives seconds later
    Duplicated,          // it arrives twice, the second time seconds later
    ResponseLost,        // it takes effect, but the response is lost
    KilledBefore,        // the sender is killed before the send and restarts later
    KilledAfter,         // the sender is killed after the send and restarts later
    SuspendedBefore,     // the sender is suspended past its lease, and then sends immediately
    SuspendedAfter,      // the sender is suspended past its lease after the send
    StoreUnavailable,    // the Object API is unavailable for some seconds
    StoreSlow,           // the Object API takes long to respond
    EngineCrash,         // an engine with copies restarts without copies
    ZonePartition,       // an availability zone is partitioned for some seconds
    OneWayPartition,     // orders to a zone's engines are lost and reports arrive, or vice versa
    StaleVmList,         // the VM list shows an old state for some seconds
    ConcurrentPublishes, // operators publish and withdraw; nodes learn of it at different times
    DemandSpike,         // the demand for one model increases tenfold
    Count,
};

inline const char *faultName(PlacementFault fault)
{
    constexpr const char *Names[] = {
        "lost",         "late",          "doubled",          "answer lost",  "killed before",
        "killed after", "frozen before", "frozen after",     "store down",   "store slow",
        "engine crash", "zone cut",      "link cut one way", "VM list late", "operators race",
        "demand jump"
    };
    return Names[static_cast<std::size_t>(fault)];
}

struct FaultInjection
{
    PlacementStep step = PlacementStep::LeaseTake; // step at which the fault is injected
    PlacementFault fault = PlacementFault::Lost;   // fault to inject
    int occurrence = 1;                            // which occurrence of the step, from 1
    bool injected = false;                         // the fault has been injected
};

// ---- Options ------------------------------------------------------------------------------------

/// Whether all engines check fencing numbers, all ignore them, or half of them check.
enum class EngineMix { Checked, Ignored, Mixed };

/// Mechanisms that a test switches off to show that the checker detects their absence.
struct SimulationAblations
{
    bool sendBeforeJournal = false;     // orders are sent together with the journal write
    bool ignoreInheritedOrders = false; // a new lease holder reads a journal without orders
    bool claimFencingChecks = false;  // engines that ignore fencing numbers report that they check
    bool readyWhenOrdered = false;    // loading copies are reported as ready: unload before load
    bool unconditionalWrites = false; // the store ignores the expected version
    bool ignoreIncarnation = false;   // orders reach later incarnations of the engine
};

struct SimulationOptions
{
    EngineMix mix = EngineMix::Checked;
    UnfencedEnginePolicy unfencedPolicy = UnfencedEnginePolicy::NeverUnload;
    SimulationAblations ablations;
    std::uint64_t seed = 1;
};

} // namespace burdock::testing
