// Placement: which model copies are resident where. One process per region acts, under a lease.
//
// Index
//   PlacementSettings              intervals, time limits, rule for engines that ignore numbers
//   SendEngineOrder, PlacementDecision, PlacementAction
//   Placement                      the system
//
// Every control process runs one Placement; the lease picks the one that acts. Each plan goes
// through the same steps:
//   1. choose moves (placementplanner.h) from reports, catalog and demand;
//   2. write the orders into the journal; from then on a load counts as using its memory;
//   3. send each order once, as the weight store's budget allows;
//   4. wait until the engine's report settles it (engineaccount.h). An order that stays open is
//      never sent again: a new one with a higher number is written and sent.
// A new holder inherits the open orders with the journal. At engines that check fencing numbers it
// raises the number, which settles them; at others they keep their memory reserved.
//
// What the shell does:
//   - carry out the actions and hand in the answers;
//   - ask engines for their state and put reportEpoch(), as it was when the question was sent, into
//     EngineState::epoch. Reports asked for before this process became holder are not acted upon:
//     the journal may have forgotten orders that such a report does not yet show;
//   - send an order only on a connection on which the engine has told the order's incarnation;
//   - call tick() several times a second, and right after a pause before any action is carried out.
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
    std::string region = "region";                         // one holder for each region
    std::string node;                                      // this node's name
    std::uint64_t incarnation = 0;                         // of this process
    std::size_t candidates = 3;                            // nodes that poll the lease often
    LeaseSettings lease;                                   // see lease.h
    JournalSettings journal;                               // see orderjournal.h
    DemandSettings demand;                                 // see demandtable.h
    UncheckedEngines rule = UncheckedEngines::NeverUnload; // see engineaccount.h
    std::chrono::milliseconds planInterval { 1'000 };      // between plans
    std::chrono::milliseconds warmUp { 10'000 };           // wait for reports after a takeover
    std::chrono::milliseconds silentAfter { 15'000 };      // an engine without reports is silent
    std::chrono::milliseconds orderTimeout { 10'000 };     // an order unseen for this long is lost
    std::chrono::milliseconds loadTimeout { 30'000 };      // a load occupies the store this long
    std::chrono::milliseconds dwell { 300'000 };           // a new copy is kept at least this long
    std::chrono::milliseconds unpublishGrace { 60'000 };   // copies outlive their model this long
    std::chrono::milliseconds retireAfter { 60'000 };      // out of VM list and silent: forgotten
    std::chrono::milliseconds adapterTimeout { 5'000 };    // an adapter load is under way this long
    bool preloadAdapters = true;                           // load published adapters onto copies
};

struct SendEngineOrder
{
    EngineOrder order; // send once, without retry
};

/// One log line for each order, with what it was based on.
struct PlacementDecision
{
    std::uint64_t id = 0; // the order's number
    EngineOrderKind kind = EngineOrderKind::Load;
    std::string engine;         // where
    std::string model;          // what
    std::string version;        // its version
    std::string reason;         // see MoveReason
    std::uint64_t term = 0;     // lease term
    double gain = 0.0;          // requests per second gained
    double demand = 0.0;        // requests per second of the model
    std::int64_t freeMb = 0;    // free on the engine before
    std::uint64_t revision = 0; // catalog revision
};

using PlacementAction = std::variant<LeaseRead, LeaseWrite, JournalRead, JournalWrite,
                                     SendEngineOrder, PlacementDecision>;

// ---- System -------------------------------------------------------------------------------------

class Placement
{
public:
    explicit Placement(PlacementSettings settings);

    // Events.
    void onControlNodes(const std::vector<std::string> &live, Instant now);
    void onVmList(const std::vector<PlacementVm> &engines, Instant now);
    void onCatalog(const ServiceCatalog &catalog);
    void onDemand(const DemandReport &report, Instant now);
    void onEngineState(const EngineState &state, Instant now);
    void onLeaseRead(const LeaseReadAnswer &answer, Instant now);
    void onLeaseWritten(const LeaseWriteAnswer &answer, Instant now);
    void onJournalRead(const JournalReadAnswer &answer, Instant now);
    void onJournalWritten(const JournalWriteAnswer &answer, Instant now);
    void tick(Instant now);

    /// Gives the lease back, for a planned stop. Call it, then go on with tick() and the actions
    /// until owns() is false.
    void release(Instant now);

    std::vector<PlacementAction> takeActions();

    // Status.
    /// @return whether this process may act now
    bool isActive(Instant now) const;
    /// @return whether the lease names this process
    bool owns() const { return m_lease.owns(); }
    std::uint64_t term() const { return m_lease.term(); }
    /// @return the lease as last seen; its holder is for status pages only
    const LeaseValue &lease() const { return m_lease.lastSeen(); }
    /// @return to be put into EngineState::epoch
    std::uint64_t reportEpoch() const { return m_epoch; }
    const std::map<std::string, EngineRow> &engines() const { return m_engines; }
    const std::vector<OpenOrder> &openOrders() const { return m_open; }
    /// @return per upstream group: the latest plan
    const std::map<std::string, PlacementPlan> &plans() const { return m_plans; }

private:
    struct Group
    {
        GroupModels models;
        WeightBudget budget;
    };

    // Lease and journal.
    void afterAnswer(Instant now);
    void becomeHolder(Instant now);
    void stopHolding();
    void followJournal(Instant now);
    void adoptJournal(Instant now);
    void settleOrders(Instant now);
    void avoidAfterFailure(const OpenOrder &open, const EngineState &state, Instant now);
    void retireEngines(Instant now);

    // Plans and orders.
    bool isReadyToPlan(Instant now) const;
    void noteUnpublished(Instant now);
    void planAll(Instant now);
    void planGroup(Group &group, std::vector<EngineOrder> &orders, Instant now);
    void commitOrders(std::vector<EngineOrder> orders, Instant now);
    void sendOrders(Instant now);
    bool maySend(OpenOrder &row, Instant now);
    bool isOvertaking(const EngineOrder &order, Instant now) const;
    bool unloadIsSafe(const EngineOrder &order, Instant now) const;
    bool hasOtherFirmCopy(const EngineState &state, const EngineOrder &unload) const;
    int loadsUnderWay(const std::string &group, Instant now) const;
    void raiseNumbers(Instant now);
    void loadAdapters(Instant now);
    void orderAdapters(const EngineRow &row, const ModelEntry &model, const ResidentCopy &copy,
                       std::size_t limit, Instant now);
    PlacementTables tables() const;
    Group *groupOf(const std::string &engine);

    PlacementSettings m_settings;
    Lease m_lease;
    OrderJournal m_journal;
    DemandTable m_demand;
    ServiceCatalog m_catalog;
    std::map<std::string, Group> m_groups;         // by upstream group
    std::map<std::string, EngineRow> m_engines;    // by name
    std::map<std::string, bool> m_vmList;          // engine name to whether it leaves
    bool m_vmListKnown = false;                    // any VM list has come
    std::vector<OpenOrder> m_open;                 // not settled
    std::vector<RetiredEngine> m_retired;          // see RetiredEngine
    std::map<CopyOnEngine, Instant> m_keepUntil;   // see dwell
    std::map<std::string, Instant> m_graceUntil;   // resident models that are not published
    std::map<CopyOnEngine, Instant> m_avoidUntil;  // loads that failed a short time ago
    std::map<std::string, Instant> m_retireAt;     // engines out of the VM list with open orders
    std::map<std::string, Instant> m_raiseAt;      // engines: next raise of the number
    std::map<std::string, Instant> m_adapterLoads; // "engine/model/adapter" under way until
    std::map<std::string, PlacementPlan> m_plans;  // the latest, for status pages
    std::uint64_t m_epoch = 0;                     // grows when the journal is opened
    std::uint64_t m_counter = 0;                   // of order numbers in this term
    bool m_journalRead = false;                    // m_open is this term's
    bool m_committing = false;                     // orders in m_open wait for the journal
    bool m_shrink = false;                         // the journal lists settled orders
    Instant m_warmUntil;                           // first plan without all reports
    Instant m_planAt;                              // next plan
    std::vector<PlacementAction> m_actions;
};

} // namespace burdock
