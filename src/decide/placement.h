// Placement decides which model copies are resident on which engine. One process per region acts at
// a time, under a lease.
//
// Index
//   PlacementSettings   intervals, timeouts, policy for engines that ignore fencing numbers
//   SendEngineOrder, PlacementDecision, PlacementAction   actions for the caller
//   Placement           the state machine
//
// Every control process runs one Placement; the lease selects the one that acts. Each plan goes
// through the same steps:
//   1. choose moves (placementplanner.h) from engine reports, catalog and demand;
//   2. write the orders into the journal; from then on a load counts as occupying its memory;
//   3. send each order once, within the load limits of the weight store;
//   4. wait until a report of the engine settles the order (engineaccount.h). An order that stays
//      open is never sent again: a new one with a higher number is written and sent.
// A new lease holder inherits the open orders with the journal. At engines that check fencing
// numbers it raises the number, which settles these orders; at other engines their memory stays
// reserved.
//
// Placement does no I/O. The caller must
//   - carry out the actions of takeActions() and pass in their results;
//   - query the engines for their state and set EngineState::epoch to the value that reportEpoch()
//     had when the query was sent. Reports queried before this process became the lease holder are
//     not used: the journal may no longer list orders whose effect such a report does not show yet;
//   - send an order only on a connection on which the engine has reported the order's incarnation;
//   - call tick() several times a second, and after a suspension call it before carrying out any
//     action.
#pragma once

#include "decide/demandtable.h"
#include "decide/lease.h"
#include "decide/orderjournal.h"
#include "decide/placementinput.h"
#include "decide/weightbudget.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Types --------------------------------------------------------------------------------------

struct PlacementSettings
{
    std::string region = "region"; // each region has one lease and one lease holder
    std::string node;              // name of this node
    std::uint64_t incarnation = 0; // incarnation of this process
    std::size_t candidates = 3;    // nodes per region that poll the lease at the short interval
    LeaseSettings lease;           // see lease.h
    JournalSettings journal;       // see orderjournal.h
    DemandSettings demand;         // see demandtable.h

    // Which orders engines that ignore fencing numbers may get, see engineaccount.h.
    UnfencedEnginePolicy unfencedPolicy = UnfencedEnginePolicy::NeverUnload;
    // Time between two plans.
    std::chrono::milliseconds planInterval { 1'000 };
    // A new holder waits at most this long for the reports of all engines before its first plan.
    std::chrono::milliseconds warmUp { 10'000 };
    // A report expires after this time. An engine without a valid report gets no planned orders and
    // does not count as serving.
    std::chrono::milliseconds maxReportAge { 15'000 };
    // An order that no report shows as seen for this long counts as lost.
    std::chrono::milliseconds orderTimeout { 10'000 };
    // A sent load counts as one of the weight store's concurrent loads for at most this long.
    std::chrono::milliseconds loadTimeout { 30'000 };
    // A copy stays resident for at least this long after its load was sent.
    std::chrono::milliseconds minResidency { 300'000 };
    // Copies of a model stay resident for this long after the model was removed from the catalog.
    std::chrono::milliseconds unpublishGrace { 60'000 };
    // Open orders of an engine that is not in the VM list and sends no reports are dropped after
    // this time, and its process is retired.
    std::chrono::milliseconds retireDelay { 60'000 };
    // An adapter load that no report confirms counts as in flight for this long.
    std::chrono::milliseconds adapterTimeout { 5'000 };
    // Whether the adapters in the catalog are loaded onto resident copies in advance.
    bool preloadAdapters = true;
};

struct SendEngineOrder
{
    EngineOrder order; // to be sent once, without retry
};

/// A log record about one order and the data on which it is based.
struct PlacementDecision
{
    std::uint64_t id = 0; // fencing number of the order
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string engine;         // engine that gets the order
    std::string model;          // model name
    std::string version;        // model version
    std::string reason;         // moveReasonName() of the move, see MoveReason
    std::uint64_t term = 0;     // lease term
    double gain = 0.0;          // gain of the move in requests per second, see placementplanner.h
    double demand = 0.0;        // demand for the model in requests per second
    std::int64_t freeMb = 0;    // free memory of the engine before the plan, MB
    std::uint64_t revision = 0; // catalog revision
};

using PlacementAction = std::variant<LeaseRead, LeaseWrite, JournalRead, JournalWrite,
                                     SendEngineOrder, PlacementDecision>;

// ---- Placement ----------------------------------------------------------------------------------

class Placement
{
public:
    explicit Placement(PlacementSettings settings);

    // Events.
    /// Makes this node a lease candidate if rendezvous hashing ranks it among the first
    /// PlacementSettings::candidates.
    /// @param live names of the live control nodes
    void onControlNodes(const std::vector<std::string> &live, Instant now);
    /// @param engines the complete VM list; engines that it lacks count as absent
    void onVmList(const std::vector<PlacementVm> &engines, Instant now);
    /// Ignores catalogs whose revision is not higher than the newest received.
    void onCatalog(const ServiceCatalog &catalog);
    void onDemand(const DemandReport &report, Instant now);
    /// Ignores reports older than the newest report of the same engine.
    void onEngineState(const EngineState &state, Instant now);
    void onLeaseRead(const LeaseReadResult &result, Instant now);
    void onLeaseWritten(const LeaseWriteResult &result, Instant now);
    void onJournalRead(const JournalReadResult &result, Instant now);
    void onJournalWritten(const JournalWriteResult &result, Instant now);
    /// Renews the lease, settles and sends orders, and plans when a plan is due.
    void tick(Instant now);

    /// Releases the lease before a planned stop. Keep calling tick() and carrying out the actions
    /// until owns() is false.
    void release(Instant now);

    /// @return the actions to carry out now, in order; each is returned once
    std::vector<PlacementAction> takeActions();

    // Status.
    /// @return whether this process holds the lease and has opened the journal, so it may act now
    bool isActive(Instant now) const;
    /// @return whether the lease object, as last seen, names this process
    bool owns() const { return m_lease.owns(); }
    /// @return the lease term; 0 when this process does not own the lease
    std::uint64_t term() const { return m_lease.term(); }
    /// @return the lease object as last seen, for status pages only: its holder may have changed
    const LeaseValue &lease() const { return m_lease.lastSeen(); }
    /// @return the value for EngineState::epoch of reports queried from now on
    std::uint64_t reportEpoch() const { return m_epoch; }
    const std::map<std::string, EngineRow> &engines() const { return m_engines; }
    const std::vector<OpenOrder> &openOrders() const { return m_open; }
    /// @return the latest plan of each upstream group, by group name
    const std::map<std::string, PlacementPlan> &plans() const { return m_plans; }

private:
    struct Group
    {
        GroupModels models;
        WeightBudget budget;
    };

    // Lease and journal.
    void applyStateChanges(Instant now);
    void startHolding(Instant now);
    void stopHolding();
    void handleJournalState(Instant now);
    void adoptJournal(Instant now);
    void settleOrders(Instant now);
    void avoidAfterFailure(const OpenOrder &open, const EngineState &state, Instant now);
    void retireEngines(Instant now);

    // Planning and orders.
    bool isReadyToPlan(Instant now) const;
    void updateUnpublishGrace(Instant now);
    void planAll(Instant now);
    void planGroup(Group &group, std::vector<EngineOrder> &orders, Instant now);
    void commitOrders(std::vector<EngineOrder> orders, Instant now);
    void sendOrders(Instant now);
    bool maySend(OpenOrder &row, Instant now);
    bool hasEarlierOrderInFlight(const EngineOrder &order, Instant now) const;
    bool isUnloadSafe(const EngineOrder &order, Instant now) const;
    bool hasOtherServingCopy(const EngineState &state, const EngineOrder &unload) const;
    int loadsInFlight(const std::string &group, Instant now) const;
    void raiseFencingNumbers(Instant now);
    void loadAdapters(Instant now);
    void loadMissingAdapters(const EngineRow &row, const ModelEntry &model,
                             const ResidentCopy &copy, std::size_t limit, Instant now);
    PlacementTables makeTables() const;
    Group *findGroup(const std::string &engine);

    PlacementSettings m_settings;
    Lease m_lease;
    OrderJournal m_journal;
    DemandTable m_demand;
    ServiceCatalog m_catalog;
    std::map<std::string, Group> m_groups;       // by upstream group
    std::map<std::string, EngineRow> m_engines;  // by engine name
    std::map<std::string, bool> m_vmList;        // engine name to whether the engine is leaving
    bool m_vmListKnown = false;                  // a VM list has been received
    std::vector<OpenOrder> m_open;               // orders that are not settled
    std::vector<RetiredEngine> m_retired;        // oldest first
    std::map<CopyOnEngine, Instant> m_keepUntil; // copies loaded recently: end of minResidency
    std::map<std::string, Instant> m_graceUntil; // unpublished models: end of unpublishGrace
    // Loads that failed recently: until when the same load is not ordered again.
    std::map<CopyOnEngine, Instant> m_avoidUntil;
    // Absent engines with open orders: when they are retired.
    std::map<std::string, Instant> m_retireAt;
    // Engine name to the earliest time of the next Raise order.
    std::map<std::string, Instant> m_nextRaiseAt;
    // Adapter loads in flight, as "engine/model/adapter": when they stop counting as in flight.
    std::map<std::string, Instant> m_adapterLoadDeadlines;
    std::map<std::string, PlacementPlan> m_plans; // latest plan by group, for status pages
    std::uint64_t m_epoch = 0;                    // increases each time the journal is opened
    std::uint64_t m_orderCounter = 0;             // orders numbered in this term
    bool m_journalAdopted = false;                // m_open contains the journal's orders
    bool m_committing = false;                    // a commit with the orders of m_open is in flight
    bool m_hasSettledOrders = false;              // the stored journal lists orders to be removed
    Instant m_warmUpUntil; // until then plans wait for the reports of all engines
    Instant m_nextPlanAt;  // earliest time of the next plan
    std::vector<PlacementAction> m_actions;
};

} // namespace burdock
