// Where faults strike placement in its tests, what they are, and which mechanisms can be off.
//
// Index
//   WorldStep, WorldFault, Injection            where and what strikes
//   EngineMix, WorldAblations, WorldOptions     kinds of engines; mechanisms switched off
#pragma once

#include "decide/engineaccount.h"

#include <cstdint>

namespace burdock::testing {

// ---- Faults -------------------------------------------------------------------------------------

enum class WorldStep {
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

inline const char *stepName(WorldStep step)
{
    constexpr const char *Names[] = { "lease take",     "lease renewal", "journal open",
                                      "journal orders", "load order",    "unload order",
                                      "raise order",    "engine report", "VM list",
                                      "catalog" };
    return Names[static_cast<std::size_t>(step)];
}

enum class WorldFault {
    Lost,          // the message or write never arrives
    Late,          // it arrives seconds later
    Doubled,       // it arrives twice, the second time seconds later
    AnswerLost,    // it takes effect, the answer does not come back
    KilledBefore,  // the sender dies before it, and starts anew later
    KilledAfter,   // the sender dies after it
    FrozenBefore,  // the sender is paused past its lease, and then sends it at once
    FrozenAfter,   // the sender is paused past its lease after it
    StoreDown,     // the Object API answers nothing for some seconds
    StoreSlow,     // its answers take long
    EngineCrash,   // an engine with copies restarts empty
    ZoneCut,       // an availability zone is cut off for some seconds
    LinkCutOneWay, // orders to a zone's engines are lost and reports come, or the other way round
    VmListLate,    // the VM list shows an old state for some seconds
    OperatorsRace, // operators publish and take back; nodes learn it at different times
    DemandJump,    // one model's demand grows tenfold
    Count,
};

inline const char *faultName(WorldFault fault)
{
    constexpr const char *Names[] = {
        "lost",         "late",          "doubled",          "answer lost",  "killed before",
        "killed after", "frozen before", "frozen after",     "store down",   "store slow",
        "engine crash", "zone cut",      "link cut one way", "VM list late", "operators race",
        "demand jump"
    };
    return Names[static_cast<std::size_t>(fault)];
}

struct Injection
{
    WorldStep step = WorldStep::LeaseTake; // where it strikes
    WorldFault fault = WorldFault::Lost;   // what strikes
    int occurrence = 1;                    // at the how-manieth such step
    bool struck = false;                   // it has
};

// ---- Options ------------------------------------------------------------------------------------

enum class EngineMix { Checked, Ignored, Mixed };

/// Mechanisms that are switched off from outside, to see that the checker notices.
struct WorldAblations
{
    bool sendBeforeJournal = false; // orders go out when the journal write is sent
    bool noInheritance = false;     // a new holder sees a journal without orders
    bool claimFencing = false;      // engines that ignore numbers say that they check them
    bool readyWhenOrdered = false;  // a loading copy is reported as ready: unload before load
    bool blindWrites = false;       // the store ignores the expected version
    bool anyIncarnation = false;    // orders reach later incarnations of the engine
};

struct WorldOptions
{
    EngineMix mix = EngineMix::Checked;
    UncheckedEngines rule = UncheckedEngines::NeverUnload;
    WorldAblations ablations;
    std::uint64_t seed = 1;
};

} // namespace burdock::testing
