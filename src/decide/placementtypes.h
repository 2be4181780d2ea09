// Data types that the parts of placement share: engine reports, engine orders, the stored journal,
// the tables of the lease holder, demand and the VM list.
//
// Index
//   CopyState, ResidentCopy, EngineState    engine reports
//   EngineOrderKind, EngineOrder            orders to engines
//   RetiredEngine, JournalValue             the stored journal
//   EngineRow, EngineMembership, OpenOrder  the tables of the lease holder
//   ModelDemand, DemandReport               request rates
//   PlacementVm                             one entry of the VM list
//
// Terms. A *copy* is one model version resident on one engine. An order is *open* until the
// engine's reports prove that the order can have no effect later than the report; then it is
// *settled*. A *fencing number* is the order's number: an engine that checks fencing refuses an
// order whose number is below the highest that it has seen.
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
    Loading, // occupies its memory and does not serve requests yet
    Ready,   // serves requests
};

struct ResidentCopy
{
    std::string model;                    // model name
    std::string version;                  // model version
    std::int64_t memoryMb = 0;            // accelerator memory that the copy occupies, MB
    CopyState state = CopyState::Loading; // whether the copy serves requests
    std::vector<std::string> adapters;    // loaded adapters as "name@version"
};

/// A consistent snapshot of one engine: `highestNumber`, `seenOrders` and `copies` belong together,
/// so the effect of every order that counts as seen is in `copies` (a load at least as Loading).
struct EngineState
{
    std::string name;                      // engine name, as in the VM list
    std::string group;                     // upstream group
    std::string zone;                      // availability zone
    std::uint64_t incarnation = 0;         // increases with each start of the engine's process
    std::uint64_t sequence = 0;            // increases with each report of one incarnation
    std::uint64_t epoch = 0;               // Placement::reportEpoch() when the report was requested
    bool checksFencing = false;            // the engine refuses numbers below the highest seen
    std::int64_t memoryMb = 0;             // total accelerator memory, MB
    double capacity = 1.0;                 // requests per second that the engine serves in time
    std::uint64_t highestNumber = 0;       // highest fencing number seen; 0 before the first order
    std::vector<std::uint64_t> seenOrders; // numbers of the last few hundred orders received
    std::vector<ResidentCopy> copies;      // resident copies
};

// ---- Orders -------------------------------------------------------------------------------------

enum class EngineOrderKind {
    Load,        // load the model version
    Unload,      // unload the model version and free its memory
    Raise,       // only raise the engine's highest fencing number
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

/// An order to one engine, sent at most once. A retry is a new order with a new number.
struct EngineOrder
{
    std::uint64_t number = 0;                     // fencing number, see fencingNumber()
    EngineOrderKind kind = EngineOrderKind::Load; // what the engine does
    std::string engine;                           // name of the receiving engine
    std::uint64_t incarnation = 0;                // the only engine incarnation that may receive it
    std::string model;                            // model name; empty for Raise
    std::string version;                          // model version; empty for Raise
    std::string adapter;                          // "name@version"; LoadAdapter only
    std::int64_t memoryMb = 0;                    // memory that a load occupies, MB

    friend bool operator==(const EngineOrder &, const EngineOrder &) = default;
};

/// Low bits of a fencing number that count the orders of one lease term.
constexpr int OrderCounterBits = 32;

/// @return the fencing number of an order. Every number of a later term is above all numbers of an
/// earlier term.
constexpr std::uint64_t fencingNumber(std::uint64_t term, std::uint64_t counter)
{
    return (term << OrderCounterBits) + counter;
}

// ---- Stored journal -----------------------------------------------------------------------------

/// An engine process that was removed from the VM list while it had open orders. If the same
/// process reappears it gets no more orders, because the open ones may still reach it.
struct RetiredEngine
{
    std::string engine;            // engine name
    std::uint64_t incarnation = 0; // incarnation that had open orders

    friend bool operator==(const RetiredEngine &, const RetiredEngine &) = default;
};

struct JournalValue
{
    std::uint64_t term = 0;             // lease term of the writer; never decreases
    std::uint64_t writeCounter = 0;     // number of this write within the term
    std::uint64_t catalogRevision = 0;  // highest catalog revision that a plan was based on
    std::vector<EngineOrder> orders;    // open orders of this lease holder and of earlier ones
    std::vector<RetiredEngine> retired; // retired engines, oldest first
};

// ---- Engine table -------------------------------------------------------------------------------

enum class EngineMembership {
    Unlisted, // no VM list has been received yet
    Live,     // in the VM list
    Leaving,  // in the VM list and marked as about to stop
    Absent,   // not in the VM list: removed, or not added yet
};

struct EngineRow
{
    EngineState state;                                        // the newest report
    EngineMembership membership = EngineMembership::Unlisted; // status in the VM list
    Instant staleAt;                                          // when the newest report expires
};

/// One open order in the lease holder's table. The deadlines are on this node's clock.
struct OpenOrder
{
    EngineOrder order;      // the order as stored in the journal
    bool sent = false;      // this holder or an earlier one may have sent it
    bool inherited = false; // an earlier holder issued it
    Instant overdueAt;      // if still unseen then, the order counts as lost and may be replaced
    Instant loadSlotUntil;  // until then a load counts as one of the concurrent loads
};

// ---- Demand and VM list -------------------------------------------------------------------------

struct ModelDemand
{
    std::string model;              // model name
    double requestsPerSecond = 0.0; // offered rate: served, queued and refused requests
};

struct DemandReport
{
    std::string node;                // name of the reporting node
    std::vector<ModelDemand> models; // models with at least one request
};

struct PlacementVm
{
    std::string name;     // engine name
    bool leaving = false; // the VM is about to stop
};

} // namespace burdock
