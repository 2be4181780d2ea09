// State of one model replica as the holder of the placement lease knows it, and queries on it.
//
// Index
//   ModelCatalog                             models of a service by name
//   SlotClaim, EngineRecord                  the state
//   resetRecord                              starts the record of a new process
//   keepKnownCopies                          for when listings show an older state
//   listedCopy, maxHeldAdapters, slotsClaimedByOthers   what the replica holds
//   canTakeOrder, freeMemory, isProtected    whether the replica can take more, or give up a copy
//   loadTime                                 cost of a load
#pragma once

#include "placing/enginetypes.h"
#include "placing/ordercount.h"
#include "serving/servingconfig.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdock {

/// Models of a service by name. Refers to the limits that it was made of.
class ModelCatalog
{
public:
    explicit ModelCatalog(const EngineLimits &limits);

    /// @return position of the model in EngineLimits::models; nothing if it is unknown
    std::optional<std::size_t> indexOf(std::string_view model) const;

    const EngineLimits &limits() const { return m_limits; }

    /// @return megabytes that all adapter slots of a replica take together
    double adapterSlotsMb() const { return m_adapterSlotsMb; }

private:
    const EngineLimits &m_limits;
    std::unordered_map<std::string_view, std::size_t> m_indexes;
    double m_adapterSlotsMb = 0.0;
};

/// An adapter slot that was freed, or is being freed, for one adapter.
struct SlotClaim
{
    std::string victim; // adapter whose last requests still use the slot; empty: the slot is free
    Instant claimedAt;
    Instant expiresAt; // from then on other adapters may take the slot
};

struct EngineRecord
{
    ReplicaInfo info;                // as listed
    OrderCount orders;               // accepted by this process of the replica, and late ones
    std::vector<ModelCopy> reported; // models in the latest report; the listing may lag behind
    Instant reportedAt; // time of that report; the greatest: kept until the next report
    std::vector<ModelCopy> listedModels; // as listed last
    Instant listingChangedAt;            // since then

    std::optional<EngineCommand> openOrder; // order that was sent and has no response yet
    Instant openOrderDeadline;              // from then on the order counts as unanswered
    bool openOrderUsesToken = false;        // the order took a token of the load rate limiter
    std::string openOrderClaimant;          // "model/adapter" that the order frees a slot for

    /// Models ordered but not listed yet, with the time from which the load counts as failed.
    std::map<std::string, Instant> loading;
    std::set<std::string> unloading; // models ordered to be unloaded that are still listed
    /// Adapters ("model/adapter") ordered but not listed yet, with the time when the order was
    /// accepted or first reported.
    std::map<std::string, Instant> pendingAdapters;
    /// Adapters ordered to be unloaded that requests still use, with the time of the order; they
    /// take slots until then.
    std::map<std::string, Instant> unloadingAdapters;
    /// Adapters that were loaded, with the time until which a listing may not show them yet.
    std::map<std::string, Instant> listableAt;
    /// Adapters that were unloaded, with the time until which a listing may still show them.
    std::map<std::string, Instant> droppedAdapters;
    /// Models and adapters ordered to be loaded, with the time at which their protection from
    /// eviction ends.
    std::map<std::string, Instant> evictableAt;

    std::map<std::string, SlotClaim> slotClaims; // by the adapter ("model/adapter") that claims it

    std::string reservedFor;      // model for which a copy was evicted here
    Instant reservationExpiresAt; // from then on other models may use the memory

    bool reportOpen = false;      // a report was requested and has not come or failed yet
    Instant nextReportAt;         // earliest time of the next report request
    int failedReportRequests = 0; // consecutive ones without a response
    Instant lastOrderAt;          // when an order was last accepted
};

/// Resets the record: a new process of a replica has none of the orders of the previous one, but
/// for those without an answer, which may still reach it.
void resetRecord(EngineRecord &engine, const ReplicaInfo &info);

/// Adds what is listed or ordered to what the replica reported, so that a listing that shows less
/// does not lower it.
void keepKnownCopies(EngineRecord &engine);

/// @return the listed copy of a model; null if there is none
const ModelCopy *listedCopy(const EngineRecord &engine, const std::string &model);

/// @return upper bound of the number of adapters that the replica holds, from the listing, the last
///         report and the orders
int maxHeldAdapters(const EngineRecord &engine);

/// @param copy "model/adapter"
/// @return number of free adapter slots that are kept for other adapters than this one
int slotsClaimedByOthers(const EngineRecord &engine, const std::string &copy, Instant now);

/// @return whether an order may be sent: a replica carries out one load or unload of a model at a
///         time, and no order may have an unknown outcome
bool canTakeOrder(const EngineRecord &engine);

/// @param copy "model" or "model/adapter"
/// @return whether the copy was loaded so recently that it may not be evicted yet
bool isProtected(const EngineRecord &engine, const std::string &copy, Instant now);

/// @param usableShare share of the replica's weight memory that may be used
/// @return megabytes left after all models, listed or ordered, and all adapter slots; 0 if the size
///         of a held model is unknown; negative if the limits are exceeded
double freeMemory(const EngineRecord &engine, const ModelCatalog &catalog, double usableShare);

/// @param model null if the model is unknown; the result is then zero
/// @return expected duration of a load, by where the replica has the weights
Duration loadTime(const EngineRecord &engine, const EngineModel *model);

} // namespace burdock
