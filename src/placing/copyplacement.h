// Decides which models and adapters are loaded on which replicas, and orders it.
//
// Index
//   CopyDemand                     what callers ask for, as nodes report it
//   CopyPlacementSettings
//   SendCommand, AskReport, CopyChanged, PlacingAction
//   CopyPlacement                  the system
//
// One node acts, the holder of a lease; its shell calls tick() several times a second. Every model
// gets one copy at least; models get more copies as the demand for them grows, of the memory that
// is free, then of copies that the demand needs least. Adapters are loaded ahead of demand as far
// as there are places; one that is asked for takes the place of an idle one.
//
// Orders and doubt. Each order carries the number of orders that the replica had accepted when the
// holder knew what it holds. The replica carries it out only while that number stands. So an order
// whose answer was lost can take effect late, but only upon the state it was decided for, and at
// most one order takes effect upon each state. No order is sent to a replica whose number is in
// doubt: its report is asked for first.
//
// The loads it answers: demand that moves to other models within seconds, rare models asked for at
// once, replicas that leave or crash with the only copy of a model.
#pragma once

#include "placing/enginerecord.h"
#include "placing/loadceiling.h"
#include "serving/servingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Input --------------------------------------------------------------------------------------

struct CopyDemand
{
    std::string service;
    std::string model;
    std::string adapter;          // empty: all requests of the model
    double tokensPerSecond = 0.0; // prompt tokens asked for, smoothed
};

struct CopyPlacementSettings
{
    std::string node;               // holder's name in orders
    double tokensPerCopy = 8'000.0; // prompt tokens a second that one copy is to serve:
                                    // under half of a replica, which has other copies too
    Duration listSettles =
            std::chrono::milliseconds(1'500);        // a heartbeat after the last new replica,
                                                     // all that start together are listed
    Duration listWaitMost = std::chrono::seconds(5); // for that, from the first replica on
    Duration demandFresh = std::chrono::seconds(3);  // older reports of a node are dropped
    Duration orderTimeout = std::chrono::milliseconds(600);  // then an order counts as unanswered
    Duration reportTimeout = std::chrono::milliseconds(600); // then a report is asked for again
    Duration reportPause = std::chrono::milliseconds(150); // after a conflict: the order under way
                                                           // at the replica ends
    Duration roomKept = std::chrono::seconds(8); // for the model that a copy made room for
    Duration keepFor = std::chrono::seconds(6);  // a new copy is not taken out for another's demand
    Duration adapterReady = std::chrono::milliseconds(40);     // from an order until it serves
    Duration adapterPending = std::chrono::seconds(3);         // listings after it show the adapter
    int adaptersInTransit = 4;                                 // that a replica takes at once
    Duration lowerAccepted = std::chrono::milliseconds(1'500); // a report with a lower number of
                                                               // orders is right after this time
    Duration reportPauseMost = std::chrono::seconds(4);     // between reports of a silent replica
    Duration listingLag = std::chrono::milliseconds(2'500); // a listing shows what a report showed
    Duration wantFresh = std::chrono::milliseconds(1'500); // a request waits for the copy this long
    double memoryMargin = 0.995;                           // of a replica's memory that is used
    double adapterIdle = 25.0; // tokens a second; a request's share of the smoothed demand is above
                               // it for some seconds
    Duration noPreloadFor = std::chrono::seconds(10); // an adapter that gave way
    int adapterOrdersAtOnce = 6; // under way over all replicas; few enough to keep each fast
    double surplusRatio = 2.0;   // a copy moves only to demand this many times its own
    double storeLoadCost = 2.0;  // a load from the weight store against one from the replica's own
                                 // copies, in copies' loads: it takes several times as long
};

// ---- Actions ------------------------------------------------------------------------------------

struct SendCommand
{
    EngineCommand command;
    std::string address;     // of the replica
    const char *reason = ""; // for the log
    double demand = 0.0;     // tokens a second of the model
    int copies = 0;          // of the model, before
};

struct AskReport
{
    std::string replica;
    std::string address;
};

enum class CopyChange {
    Usable,  // an adapter was loaded; the listing shows it later
    Coming,  // a model is being loaded; the listing shows when it is there
    Leaving, // it was ordered out
};

/// Tell all nodes what happens to a copy.
struct CopyChanged
{
    std::string replica;
    std::string copy; // "model" or "model/adapter"
    CopyChange change = CopyChange::Usable;
    Duration usableIn {}; // Usable, Coming: not before
};

using PlacingAction = std::variant<SendCommand, AskReport, CopyChanged>;

// ---- System -------------------------------------------------------------------------------------

class CopyPlacement
{
public:
    explicit CopyPlacement(CopyPlacementSettings settings);

    // ---- Events ----
    void onConfig(const ServingConfig &config);
    void onReplica(const ReplicaInfo &info, Instant now);
    void onReplicaGone(const std::string &id);
    void onDemand(const std::string &node, std::vector<CopyDemand> demand, Instant now);
    void onWant(const std::string &service, const std::string &model, const std::string &adapter,
                Instant now);
    void onOrderAnswer(const EngineCommand &command, OrderAnswer answer, Instant now);
    /// @param report nothing when the replica did not answer
    void onReport(const std::string &replica, const std::optional<EngineReport> &report,
                  Instant now);

    /// This node became the holder, or stopped being it.
    /// @param term of the lease; in the first term nobody has given orders before
    void setHolder(bool holder, std::uint64_t term, Instant now);

    void tick(Instant now);

    std::vector<PlacingAction> takeActions();

private:
    struct ModelView; // one model over all replicas of its service, for one plan
    struct Plan;

    struct NodeDemand
    {
        std::vector<CopyDemand> demand;
        Instant until;
    };
    struct Want
    {
        std::string service;
        std::string model;
        std::string adapter;
        Instant until;
    };

    void expire(Instant now);
    Plan makePlan(const ServingService &service, Instant now) const;
    void planService(const ServingService &service, Instant now);
    void placeModels(Plan &plan, Instant now);
    bool placeModel(Plan &plan, ModelView &view, const char *reason, Instant now);
    bool makeRoom(Plan &plan, const ModelView &view, Instant now);
    bool isOpenFor(const ModelView &view, const EngineRecord &engine, Instant now) const;
    void findHeldAdapters(Plan &plan) const;
    void keepFreeForAdapters(Plan &plan, Instant now) const;
    void placeAdapters(Plan &plan, Instant now);
    void preloadAdapters(Plan &plan, Instant now);
    bool placeAdapter(Plan &plan, const EngineModel &model, const std::string &adapter, bool wanted,
                      Instant now);
    std::vector<std::pair<std::string, std::string>> settledAdapters(const EngineRecord &engine,
                                                                     Instant now) const;
    void makeAdapterRoom(Plan &plan, const EngineModel &model, Instant now);
    void send(EngineRecord &engine, EngineCommand command, const char *reason, double demand,
              int copies, Instant now);
    int adapterOrdersOpen() const;
    int storeLoadsUnderWay(const std::string &service) const;
    bool takesAdapters(const EngineRecord &engine, Instant now) const;

    CopyPlacementSettings m_settings;
    bool m_holder = false;
    std::uint64_t m_term = 0;
    std::map<std::string, ServingService> m_services; // those with models
    std::map<std::string, LoadCeiling> m_ceilings;    // by service
    std::map<std::string, EngineRecord> m_engines;    // by replica
    std::map<std::string, NodeDemand> m_demand;       // by node
    std::map<std::string, Want> m_wants;              // by service and copy
    Instant m_firstReplicaAt;                         // zero: none yet
    Instant m_newReplicaAt;                           // the last one listed for the first time
    std::map<std::string, Instant> m_noPreload;       // adapters taken out a short time ago
    std::vector<PlacingAction> m_actions;
};

} // namespace burdock
