// What operators publish: services with their routes, models, adapters and versions.
//
// Index
//   RequestClass     which requests may wait, must answer fast, must never run twice
//   Route            one method and path prefix of a service
//   AdapterEntry, ModelEntry
//   Service          one published file
//   PlacementPolicy  the weight between attainment and model moves
//   ServiceCatalog   everything published, as one revision
//
// The catalog is plain data. settings/servicefile.h reads it from JSON and checks it.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdock {

// ---- Requests -----------------------------------------------------------------------------------

enum class RequestClass {
    Fast,       // idempotent; must answer fast, goes first
    MayWait,    // idempotent; waits in a bounded queue
    AtMostOnce, // not idempotent; recorded before it is sent, sent once
};

/// @return "fast", "may-wait" or "at-most-once"
std::string requestClassName(RequestClass requestClass);

/// @return the class of that name, or nothing
std::optional<RequestClass> requestClassFromName(const std::string &name);

struct Route
{
    std::string method = "GET";                     // HTTP method in capitals
    std::string pathPrefix = "/";                   // every path that begins with it
    RequestClass requestClass = RequestClass::Fast; // how it is queued, retried and recorded
    std::chrono::milliseconds timeout { 10'000 };   // from arrival to the first byte of the answer
    bool keyRequired = true;                        // at-most-once only: refuse without a key
};

// ---- Models -------------------------------------------------------------------------------------

struct AdapterEntry
{
    std::string name;          // unique within its model
    std::string version = "1"; // the version in force
};

struct ModelEntry
{
    std::string name;                   // unique in the whole catalog
    std::string version = "1";          // the version in force
    std::int64_t memoryMb = 0;          // accelerator memory that one copy takes
    int minReplicas = 1;                // copies resident at all times
    std::vector<AdapterEntry> adapters; // loaded onto the model on demand
};

// ---- Services -----------------------------------------------------------------------------------

enum class ServiceKind {
    Plain,  // any HTTP service
    Models, // model engines
};

struct PlacementPolicy
{
    double moveWeight = 1.0;       // cost of one model move, in requests late or refused
    double loadsPerSecond = 1.0;   // the weight store's rate
    int loadsAtOnce = 1;           // loads that the weight store serves at full speed
    int adapterLoadsInFlight = 24; // above it adapter loads slow down in proportion
};

struct Service
{
    std::string name; // unique in the catalog
    ServiceKind kind = ServiceKind::Plain;
    std::string upstreamGroup;      // group name in the VM list
    std::vector<Route> routes;      // the longest matching prefix wins
    std::vector<ModelEntry> models; // for ServiceKind::Models
    PlacementPolicy placement;      // for ServiceKind::Models
};

/// Finds the route of a request.
/// @param service the service that was addressed
/// @param method the HTTP method
/// @param path the path within the service
/// @return the route with the longest matching prefix, or null
const Route *findRoute(const Service &service, const std::string &method, const std::string &path);

/// @return the model of that name, or null
const ModelEntry *findModel(const Service &service, const std::string &model);

// ---- Catalog ------------------------------------------------------------------------------------

struct ServiceCatalog
{
    std::uint64_t revision = 0;              // grows by one with each publish; 0 is "none yet"
    std::string publishId;                   // names the publish that made this revision
    std::map<std::string, Service> services; // by name
};

} // namespace burdock
