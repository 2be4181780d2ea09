// What the holder of the placement knows of one model replica, and what follows from it.
//
// Index
//   EngineRecord                     the record
//   restart                          it is another process now
//   copyOn, hasAdapter, adaptersOn   what it holds
//   mayOrder, freeMemory             whether it takes more
//   loadsFromStore, loadTime         what a load would cost
#pragma once

#include "placing/enginetypes.h"
#include "serving/servingconfig.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace burdock {

struct EngineRecord
{
    ReplicaInfo info;                  // as listed
    std::uint64_t ordersAccepted = 0;  // by this process of the replica
    bool trusted = false;              // the number of orders is known, not in doubt
    std::vector<ModelCopy> reported;   // held by the last report; the listing may lag behind it
    Instant reportedUntil;             // a listing that comes after it shows what was reported
    std::optional<EngineCommand> open; // sent, no answer yet
    Instant openUntil;                 // then it counts as unanswered
    bool openTakesStoreLoad = false;   // it took a token of the ceiling
    std::map<std::string, Instant> loading;         // models ordered, not listed yet: given up then
    std::set<std::string> unloading;                // models ordered out, still listed
    std::map<std::string, Instant> pendingAdapters; // "model/adapter" not listed yet: ordered at
    std::map<std::string, Instant> keepUntil;       // models loaded a short time ago
    std::string roomFor;                            // a copy was taken out so that this model fits
    Instant roomUntil;                              // others may take the room then
    Instant reportAt;                               // next report may be asked for then
    int reportsUnanswered = 0;                      // in a row
    Instant lastOrderAt;                            // an order was accepted
};

/// Forgets everything: a new process of a replica knows nothing of the orders to the one before.
void restart(EngineRecord &engine, const ReplicaInfo &info);

/// @return the listed copy of a model; null if there is none
const ModelCopy *copyOn(const EngineRecord &engine, const std::string &model);

/// @return whether an adapter is listed, was reported, or was ordered and is about to be listed
bool hasAdapter(const EngineRecord &engine, const std::string &model, const std::string &adapter);

/// @return how many adapters it may hold at most, by all that is known
int adaptersOn(const EngineRecord &engine);

/// @return whether an order may be sent: a replica carries out one load or unload of a model at a
///         time, and none may be in doubt
bool mayOrder(const EngineRecord &engine);

/// @param usableShare of its memory for weights
/// @return megabytes that no model, listed or ordered, and no place for an adapter may need
double freeMemory(const EngineRecord &engine, const EngineLimits &limits, double usableShare);

/// @return whether a load of the model would read the weight store
bool loadsFromStore(const EngineRecord &engine, const std::string &model);

/// @param model null: not known, takes no time
Duration loadTime(const EngineRecord &engine, const EngineModel *model);

} // namespace burdock
