// Tables and messages of placement: what engines report, what they are ordered to do, what is
// stored.
//
// Index
//   CopyState, ResidentCopy, EngineState    what an engine reports
//   EngineOrderKind, EngineOrder            what an engine is told
//   RetiredEngine, JournalValue             the stored journal
//   EngineRow, EngineMembership, OpenOrder  the tables
//   ModelDemand, DemandReport               requests offered
//   PlacementVm                             one line of the VM list
//
// Words used throughout: a *copy* is one model version resident on one engine; an order is *open*
// until its effect can no longer change without a further order.
#pragma once

#include "base/instant.h"
#include "decide/writeoutcome.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace burdock {

// ---- Engine reports -----------------------------------------------------------------------------

enum class CopyState {
    Loading, // holds its memory, serves nothing yet
    Ready,   // serves requests
};

struct ResidentCopy
{
    std::string model;                    // model name
    std::string version;                  // model version
    std::int64_t memoryMb = 0;            // accelerator memory that it takes
    CopyState state = CopyState::Loading; // whether it serves
    std::vector<std::string> adapters;    // loaded adapters as "name@version"
};

/// A consistent snapshot of one engine: `highestNumber`, `seenOrders` and `copies` belong together,
/// so an order that counts as seen has its effect in `copies` (a load at least as Loading).
struct EngineState
{
    std::string name;                      // as in the VM list
    std::string group;                     // upstream group
    std::string zone;                      // availability zone
    std::uint64_t incarnation = 0;         // grows each time the process starts
    std::uint64_t sequence = 0;            // grows with each report of one incarnation
    std::uint64_t epoch = 0;               // Placement::reportEpoch() when the report was asked for
    bool checksFencing = false;            // refuses an order with a number below the highest seen
    std::int64_t memoryMb = 0;             // accelerator memory in all
    double capacity = 1.0;                 // requests per second that it serves in time
    std::uint64_t highestNumber = 0;       // highest fencing number seen; 0 before the first
    std::vector<std::uint64_t> seenOrders; // order numbers that arrived, the last few hundred
    std::vector<ResidentCopy> copies;      // what is resident
};

// ---- Orders -------------------------------------------------------------------------------------

enum class EngineOrderKind {
    Load,        // make the model version resident
    Unload,      // free it
    Raise,       // no effect but to raise the highest fencing number
    LoadAdapter, // load an adapter onto a resident model
};

/// @return "load", "unload", "raise" or "load-adapter"
inline const char *engineOrderKindName(EngineOrderKind kind)
{
    switch (kind) {
    case EngineOrderKind::Load:
        return "load";
    case EngineOrderKind::Unload:
        return "unload";
    case EngineOrderKind::Raise:
        return "raise";
    case EngineOrderKind::LoadAdapter:
        return "load-adapter";
    }
    return "unknown";
}

/// One order, which is sent at most once. A repeat is a new order with a new number.
struct EngineOrder
{
    std::uint64_t number = 0;                     // fencing number: lease term, then a counter
    EngineOrderKind kind = EngineOrderKind::Load; // what to do
    std::string engine;                           // to whom
    std::uint64_t incarnation = 0;                // only to this start of the engine's process
    std::string model;                            // model name; empty for Raise
    std::string version;                          // model version; empty for Raise
    std::string adapter;                          // "name@version"; LoadAdapter only
    std::int64_t memoryMb = 0;                    // memory that a load takes

    friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

/// Bits of a fencing number that count the orders of one lease term.
constexpr int OrderCounterBits = 32;

/// @return the fencing number of an order; orders of a later term are above all of an earlier one
constexpr std::uint64_t fencingNumber(std::uint64_t term, std::uint64_t counter)
{
    return (term << OrderCounterBits) + counter;
}

// ---- Stored journal -----------------------------------------------------------------------------

/// An engine that left the VM list with open orders. Should the same process come back, it gets no
/// more orders, because those that were open may still reach it.
struct RetiredEngine
{
    std::string engine;            // its name
    std::uint64_t incarnation = 0; // the start of the process that had open orders

    friend bool operator==(const RetiredEngine &, const RetiredEngine &) = default;
};

struct JournalValue
{
    std::uint64_t term = 0;             // lease term of the writer; never falls
    std::uint64_t writeCounter = 0;     // counts the writes of that term; names this one
    std::uint64_t catalogRevision = 0;  // highest catalog revision that placement acted upon
    std::vector<EngineOrder> orders;    // open orders of this holder and of earlier ones
    std::vector<RetiredEngine> retired; // oldest first
};

// ---- Engine table -------------------------------------------------------------------------------

enum class EngineMembership {
    Unlisted, // no VM list has come yet
    Live,     // in the VM list
    Leaving,  // the VM list says that it is about to stop
    Gone,     // not in the VM list, any more or not yet
};

struct EngineRow
{
    EngineState state;                                        // the newest report
    EngineMembership membership = EngineMembership::Unlisted; // what the VM list says
    Instant staleAt;                                          // silent from here on
};

/// One open order of the holder, with its node-local deadlines.
struct OpenOrder
{
    EngineOrder order;      // as stored
    bool sent = false;      // may have been sent, by this holder or an earlier one
    bool inherited = false; // an earlier holder's
    Instant overdueAt;      // not reported as seen by then: ordered anew
    Instant slotUntil;      // counts against the loads at once until then
};

// ---- Demand and VM list -------------------------------------------------------------------------

struct ModelDemand
{
    std::string model;              // model name
    double requestsPerSecond = 0.0; // offered: served, queued and refused together
};

struct DemandReport
{
    std::string node;                // who counted
    std::vector<ModelDemand> models; // models with any requests
};

struct PlacementVm
{
    std::string name;     // engine name
    bool leaving = false; // it is about to stop
};

} // namespace burdock
