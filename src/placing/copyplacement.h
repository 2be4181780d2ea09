// Decides which models and adapters are loaded on which replicas, and issues the orders for it.
//
// Index
//   CopyPlacementSettings
//   SendCommand, RequestReport, AnnounceCopyChange, NoteUnplaced, PlacingAction
//   CopyPlacement                  the decision module
//
// Terms. A copy is a model or an adapter that a replica has loaded. The holder is the node that
// has the placement lease; only the holder issues orders. The listing is the replica's entry in the
// replica registry; a report is what a replica itself returns about its models and its accepted
// orders. The listing can lag behind the report.
//
// Usage. CopyPlacement does no I/O. The caller passes in every event, calls tick() several times a
// second while the node holds the lease, and carries out the actions that takeActions() returns.
//
// Policy. Every model gets at least one copy. Models get more copies as their demand grows: first
// in free memory, then in place of the copies that are needed least. Where replicas state their
// work time, models in demand get spare copies while much of the fleet's capacity is unused. These
// come after all other loads, go to replicas that no request for an adapter depends on, and replace
// only copies beyond the planned ones, of models without adapters.
//
// Where the replicas cannot hold one copy of each model, a requested model without one replaces an
// idle one, and after CopyPlacementSettings::maxMissingTime also one that is not idle. Adapters are
// loaded ahead of demand while adapter slots are free; a requested adapter replaces an idle one,
// and one in use after CopyPlacementSettings::maxAdapterWait, so that adapters in demand take
// turns. The slot that is freed for it is kept for it, for a bounded time.
//
// A load makes its replica refuse all other orders for seconds, so models are loaded on replicas
// that no request for an adapter depends on, where one has memory. The last replica that can take
// the adapters of a model is kept free of model loads for less demand, for a bounded time.
//
// Orders with an unknown outcome. Each order carries the number of orders that the replica had
// accepted when the holder learned what it holds. The replica carries out the order only while that
// number is unchanged. So an order whose response was lost can take effect late, but only on the
// state that it was decided for, and at most one order takes effect on each state. The holder sends
// no order to a replica whose number it does not know for certain: it requests a report first. See
// OrderCount.
//
// The policy is designed for demand that moves to other models within seconds, for rarely used
// models that must be served as soon as they are requested, and for replicas that leave or crash
// with the only copy of a model.
#pragma once

#include "placing/demandtable.h"
#include "placing/enginerecord.h"
#include "placing/loadratelimiter.h"
#include "serving/servingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace burdock {

// ---- Input --------------------------------------------------------------------------------------

struct CopyPlacementSettings
{
    std::string node; // name of this node, sent as the holder in orders

    /// Prompt tokens per second that one copy is planned to serve. Less than half of what a replica
    /// can process, because a replica has other copies too.
    double tokensPerCopy = 8'000.0;
    /// The same while the fleet has capacity to spare, for services whose replicas state their work
    /// time. On heavy days a quarter of the replicas was given half of all prompt tokens, while all
    /// together could read three times as many.
    double spareTokensPerCopy = 5'000.0;
    /// Prompt tokens per second that a replica can read.
    double tokensPerReplica = 19'000.0;
    /// Share of the fleet's capacity in demand up to which it counts as spare, and from which on
    /// copies are planned at tokensPerCopy; between them the rate rises evenly, so that a small
    /// change of demand changes few copies.
    double spareCapacityShare = 0.4;
    double usedCapacityShare = 0.5;

    /// Loads from the weight store at once after a pause; its limit allows three.
    double loadBurst = 2.0;
    /// And as many more as the store's rate allows within this time: half of what its limit allows
    /// beyond the rate, which leaves a margin for orders that are delayed on their way.
    Duration loadBurstTime = std::chrono::milliseconds(250);

    /// Planning starts this long after the last new replica was listed. It covers one heartbeat, so
    /// that all replicas which start together are listed.
    Duration listSettleTime = std::chrono::milliseconds(1'500);
    /// Upper bound of that wait, from the first listed replica on.
    Duration maxListWait = std::chrono::seconds(5);

    /// Nodes report their demand to a new holder within this time. Before, no model is evicted and
    /// nothing is loaded ahead of requests: all copies would look idle. Adapters are, since they
    /// are back within milliseconds.
    Duration demandSettleTime = std::chrono::milliseconds(600);
    /// A row of a node's demand reports is dropped after this time.
    Duration demandLifetime = std::chrono::seconds(4);
    /// Rows are looked through for those that are too old this often.
    Duration demandExpiryInterval = std::chrono::milliseconds(500);
    /// An order without a response counts as unanswered after this time.
    Duration orderTimeout = std::chrono::milliseconds(600);
    /// An order without a response may still be carried out within this time.
    Duration lateOrderLifetime = std::chrono::seconds(20);
    /// A report without a response is requested again after this time.
    Duration reportTimeout = std::chrono::milliseconds(600);
    /// Delay of the report request after a conflict, in which the replica finishes the order that
    /// it is carrying out.
    Duration conflictReportDelay = std::chrono::milliseconds(150);
    /// Memory freed for a model is reserved for it this long, and an adapter slot for an adapter.
    Duration reservationTime = std::chrono::seconds(8);
    /// Within this time after its load, a new copy is not evicted for a model that has one already.
    Duration minResidencyTime = std::chrono::seconds(6);
    /// Time from an accepted adapter order until the adapter serves requests.
    Duration adapterLoadTime = std::chrono::milliseconds(40);
    /// Listings that arrive at least this long after an adapter order show the adapter.
    Duration adapterListingTimeout = std::chrono::seconds(3);
    /// Adapter loads in progress on one replica.
    int maxAdapterLoadsPerReplica = 4;
    /// A report with a lower number of orders than expected is taken as stale if it arrives within
    /// this time after the last accepted order, and as correct later.
    Duration staleReportWindow = std::chrono::milliseconds(1'500);
    /// Upper bound of the backoff between report requests to a replica that does not respond.
    Duration maxReportDelay = std::chrono::seconds(4);
    /// This long after a report, a listing that has changed since shows what was reported.
    Duration maxListingLag = std::chrono::milliseconds(2'500);
    /// A request for a copy is kept this long after a node announced it.
    Duration requestLifetime = std::chrono::milliseconds(1'500);
    /// Share of a replica's weight memory that may be used.
    double usableMemoryShare = 0.995;
    /// Tokens per second below which an adapter counts as idle. A single request's share of the
    /// smoothed demand stays above this value for some seconds.
    double idleAdapterDemand = 25.0;
    /// An adapter that requests have waited for this long may replace one that is not idle, so that
    /// no adapter is starved. The time counts from the first request on, over several callers.
    Duration maxAdapterWait = std::chrono::milliseconds(200);
    /// A new holder takes over since when requests have waited from nodes for this long.
    Duration waitHandoverTime = std::chrono::seconds(5);
    /// That time is forgotten when no request has come for the adapter for this long.
    Duration adapterWaitLifetime = std::chrono::seconds(15);
    /// While an adapter in use is being unloaded, no further one is, for at most this long.
    Duration maxAdapterUnloadWait = std::chrono::seconds(1);
    /// An adapter loaded for a request is not evicted within this time, in which the request uses
    /// it.
    Duration minAdapterResidencyTime = std::chrono::seconds(1);
    /// An evicted adapter is not preloaded again within this time.
    Duration preloadCooldown = std::chrono::seconds(10);
    /// Preloading pauses while this many adapter orders over all replicas have no response; the
    /// bound is low enough to keep each order fast.
    int maxOpenAdapterOrders = 6;
    int replicasPerOpenAdapterOrder = 8; // large services: one more open order for each so many
    /// A copy that its model needs is evicted for a further copy of another model only if that
    /// model's demand per copy is more than this many times the demand per copy of its own model.
    double evictionDemandRatio = 2.0;
    /// Tokens per second below which a model counts as idle.
    double idleModelDemand = 25.0;
    /// A model that requests have waited for this long without any copy may replace the only copy
    /// of a model with more demand, so that no model is starved.
    Duration maxMissingTime = std::chrono::seconds(5);
    /// A load may go to the last replica that can take the adapters of a model after this time: of
    /// a model without a copy, and of one that has copies.
    Duration maxHeldBackTime = std::chrono::seconds(10);
    Duration maxHeldBackCopyTime = std::chrono::seconds(30);
    /// And if another replica only has to answer an adapter order first, after this time.
    Duration maxAnswerWait = std::chrono::seconds(1);
    /// These times are forgotten when no plan has asked for the load for this long.
    Duration heldBackLoadLifetime = std::chrono::seconds(2);
    /// Models for which one planning pass looks for a copy to evict.
    std::size_t maxEvictionsTried = 8;
    /// Report requests that are open at the same time; a new holder needs a report of each replica.
    int maxOpenReports = 32;
    /// A copy that stays unplaced is noted again after this time, and earlier if the reason
    /// changes.
    Duration unplacedNoteInterval = std::chrono::seconds(2);
    Duration minUnplacedNoteInterval = std::chrono::milliseconds(500);
    /// Cost of a load from the weight store compared to a load from the replica's own host memory
    /// or disk, in units of tokensPerCopy: a load from the store takes several times as long.
    double storeLoadPenalty = 2.0;
};

// ---- Actions ------------------------------------------------------------------------------------

/// Sends an order to a replica; pass the outcome to CopyPlacement::onOrderResult().
struct SendCommand
{
    EngineCommand command;
    std::string address;     // of the replica
    const char *reason = ""; // for the log
    double demand = 0.0;     // tokens per second: of the model, or of the adapter in adapter orders
    int copies = 0;          // copies before the order
};

/// Requests a report of a replica; pass the response to CopyPlacement::onReport().
struct RequestReport
{
    std::string replica;
    std::string address;
};

enum class CopyChange {
    Usable,    // an adapter was loaded; the listing shows it later
    Loading,   // a model is being loaded; the listing shows it once it is loaded
    Unloading, // the holder ordered the copy to be unloaded
};

/// Announces to all nodes that a copy is being loaded or unloaded.
struct AnnounceCopyChange
{
    std::string replica;
    std::string copy; // "model" or "model/adapter"
    CopyChange change = CopyChange::Usable;
    Duration usableIn {}; // Usable, Loading: shortest time until the copy serves requests
};

/// For the log: a copy that requests wait for, or a model in demand without a copy, got no load in
/// the latest plan.
struct NoteUnplaced
{
    std::string service;
    std::string copy;        // "model" or "model/adapter"
    const char *reason = ""; // why it got none
    double demand = 0.0;     // tokens per second
    int replicas = 0;        // that take orders now
    Duration unplacedFor {}; // since this was first so
};

using PlacingAction = std::variant<SendCommand, RequestReport, AnnounceCopyChange, NoteUnplaced>;

// ---- Decision module ----------------------------------------------------------------------------

class CopyPlacement
{
public:
    explicit CopyPlacement(CopyPlacementSettings settings);

    // ---- Events ----
    void onConfig(const ServingConfig &config);
    /// Takes the current listing of a replica; a new process under the same id starts empty.
    void onReplica(const ReplicaInfo &info, Instant now);
    void onReplicaRemoved(const std::string &id);
    /// Records that the source of the listings came back from an older copy. What replicas are
    /// known to hold stays known until they report themselves; before, they get no orders.
    void onSourceReverted(Instant now);
    /// Records that a replica said in an answer that it is about to terminate; its listing may not
    /// show it yet. It gets no more orders, and its copies count as missing.
    /// @param startedMs start of its process; other processes are ignored
    void onReplicaLeaving(const std::string &id, std::uint64_t startedMs);
    /// Takes a demand report of a node; earlier rows that it does not have stay for a while.
    void onDemand(const std::string &node, const std::vector<CopyDemand> &demand, Instant now);
    /// Records that a replica of the service states its work time in its load reports. The models
    /// of the service then get spare copies; see CopyPlacementSettings::spareTokensPerCopy.
    void onWorkTimeStated(const std::string &service);
    /// Records that a request waits for the copy.
    /// @param adapter empty: the request needs only the model
    /// @param waited time since the first such request at its node (see WantAges). It counts only
    ///        for a new holder: later ones have heard of the first request, and of loads since.
    void onCopyRequest(const std::string &service, const std::string &model,
                       const std::string &adapter, Instant now, Duration waited = {});
    /// Takes the outcome of an order. It is ignored if the order has timed out or the replica has
    /// restarted since.
    void onOrderResult(const EngineCommand &command, OrderResult result, Instant now);
    /// Takes the result of a report request.
    /// @param report empty if the replica did not respond
    void onReport(const std::string &replica, const std::optional<EngineReport> &report,
                  Instant now);

    /// Sets whether this node is the holder.
    /// @param term of the lease
    /// @param hasPredecessor whether another holder may have issued orders before
    void setHolder(bool isHolder, std::uint64_t term, bool hasPredecessor, Instant now);

    /// Expires old state, requests reports and issues orders. Does nothing unless this node is the
    /// holder.
    void tick(Instant now);

    /// @return the actions since the last call, in the order in which they were decided
    std::vector<PlacingAction> takeActions();

private:
    enum class AdapterRole;
    struct EngineView; // one replica, for one planning pass
    struct ModelView;  // one model over all replicas of its service, for one planning pass
    struct Plan;
    enum class PlaceResult {
        Ordered,  // a load was ordered
        Waits,    // the model fits, and waits for the weight store's limits or for adapters
        NoMemory, // no replica that takes orders has memory for it
    };

    enum class AdapterNeed {
        None,      // it is loaded ahead of demand
        Requested, // requests wait for it: it may replace an idle adapter
        Overdue,   // and have waited for long: it may replace any
    };

    /// A copy that was not placed when it was last planned.
    struct Unplaced
    {
        const char *reason = "";
        Instant since;
        Instant notedAt;
    };

    /// An adapter that requests have come for and that no replica has held since.
    struct AdapterWait
    {
        Instant since;
        Instant expiresAt;
    };

    /// A load of a model that waits because its replicas are kept free for adapters.
    struct HeldBackLoad
    {
        Instant since;
        Instant expiresAt;
    };

    struct RequestedCopy
    {
        std::string service;
        std::string model;
        std::string adapter;
        Instant expiresAt;
    };

    void expire(Instant now);
    void expireDemand(Instant now);
    void requestReports(int open, Instant now);
    void planService(const ServingService &service, Instant now);
    void addDemand(Plan &plan) const;
    void addEngines(Plan &plan);
    void setDesiredCopies(Plan &plan) const;
    bool fitsAllModels(const Plan &plan) const;
    void collectHeldAdapters(Plan &plan) const;
    void reserveForAdapters(Plan &plan, Instant now) const;
    bool isReserved(const ModelView &view, const EngineView &engine, Instant now);
    void noteUnplaced(Plan &plan, Instant now);
    void placeModels(Plan &plan, Instant now);
    void noteMissing(Plan &plan, Instant now);
    PlaceResult placeModel(Plan &plan, ModelView &view, const char *reason, Instant now);
    bool canWaitForAnswer(const Plan &plan, const ModelView &view, Instant now);
    const HeldBackLoad &heldBackLoad(const std::string &service, const ModelView &view,
                                     Instant now);
    bool canReceiveCopy(const ModelView &view, const EngineView &engine, Instant now) const;
    bool mayReplaceLastCopy(const Plan &plan, const ModelView &view, const ModelView &victim,
                            Instant now) const;
    const char *evictForModel(Plan &plan, const ModelView &view, Instant now);
    void placeAdapters(Plan &plan, Instant now);
    void forgetServedWaits(const Plan &plan, Instant now);
    void placeClaimants(Plan &plan, Instant now);
    void preloadAdapters(Plan &plan, Instant now);
    bool placeAdapter(Plan &plan, const ModelView &model, const std::string &adapter,
                      AdapterNeed need, Instant now);
    bool loadAdapter(Plan &plan, const ModelView &model, const std::string &adapter,
                     const char *reason, Instant now);
    std::vector<std::pair<std::string, std::string>> loadedAdapters(const EngineRecord &engine,
                                                                    Instant now) const;
    const char *evictAdapter(Plan &plan, const ModelView &model, const std::string &claimant,
                             bool mayBeInUse, Instant now);
    void send(EngineRecord &engine, EngineCommand command, const char *reason, double demand,
              int copies, Instant now);
    bool canTakeAdapter(const EngineRecord &engine, Instant now) const;

    CopyPlacementSettings m_settings;
    bool m_isHolder = false;
    std::uint64_t m_term = 0;
    Instant m_waitsKnownAt;  // from then on this holder itself knows since when requests wait
    Instant m_demandKnownAt; // nodes have reported their demand to this holder from then on
    std::map<std::string, ServingService> m_services;      // services with models
    std::map<std::string, LoadRateLimiter> m_loadLimiters; // by service
    std::set<std::string> m_workTimeServices;      // services whose replicas state their work time
    std::map<std::string, EngineRecord> m_engines; // by replica
    std::map<std::string, OrderCount> m_removedOrders; // of removed replicas, which may come back
    DemandTable m_demand;
    Instant m_nextDemandExpiry;
    std::map<std::string, RequestedCopy> m_requestedCopies; // by service and copy
    Instant m_firstReplicaAt;                               // zero: no replica has been listed yet
    Instant m_lastNewReplicaAt;                        // last time that a new replica was listed
    std::map<std::string, Instant> m_preloadAllowedAt; // by copy; evicted adapters only
    /// By service and model: since when it has been requested without having a copy.
    std::map<std::pair<std::string, std::string>, Instant> m_missingSince;
    std::map<std::pair<std::string, std::string>, AdapterWait> m_adapterWaits; // as m_unplaced
    std::map<std::pair<std::string, std::string>, Unplaced> m_unplaced; // by service and copy
    std::map<std::pair<std::string, std::string>, HeldBackLoad>
            m_heldBackLoads; // by service and model
    std::vector<PlacingAction> m_actions;
};

} // namespace burdock
