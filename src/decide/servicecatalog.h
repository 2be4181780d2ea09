// The configuration that operators publish: services with their routes, models and adapters.
//
// Index
//   RequestClass     latency class of a request, and whether it may be sent again
//   Route            one HTTP method and path prefix of a service
//   AdapterEntry, ModelEntry
//                    models of a service and the adapters of a model
//   PlacementPolicy  weights and load limits for the placement of models
//   Service          one published service file
//   ServiceCatalog   all published services at one revision
//
// The types here are plain data. settings/servicefile.h reads them from JSON and validates them.
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
    Fast,       // idempotent and latency-sensitive; has precedence over the other classes
    MayWait,    // idempotent; may wait in a bounded queue
    AtMostOnce, // not idempotent; recorded before it is sent, and sent only once
};

/// @return "fast", "may-wait" or "at-most-once"
std::string requestClassName(RequestClass requestClass);

/// @param name a name as requestClassName() returns it
/// @return the class of that name, or nothing when there is none
std::optional<RequestClass> requestClassFromName(const std::string &name);

struct Route
{
    std::string method = "GET";                     // HTTP method in capitals
    std::string pathPrefix = "/";                   // the route matches paths that begin with it
    RequestClass requestClass = RequestClass::Fast; // decides on queueing, retries and recording
    std::chrono::milliseconds timeout { 10'000 };   // from arrival to the response's first byte
    bool keyRequired = true; // at-most-once only: refuses requests without an Idempotency-Key
};

// ---- Models -------------------------------------------------------------------------------------

struct AdapterEntry
{
    std::string name;          // unique within the model
    std::string version = "1"; // version in force
};

struct ModelEntry
{
    std::string name;                   // unique in the catalog
    std::string version = "1";          // version in force
    std::int64_t memoryMb = 0;          // accelerator memory of one copy, in MB
    int minReplicas = 1;                // number of copies that stay resident at all times
    std::vector<AdapterEntry> adapters; // loaded onto a copy of the model on demand
};

// ---- Services -----------------------------------------------------------------------------------

enum class ServiceKind {
    Plain,  // HTTP service without models
    Models, // its upstreams are model engines
};

struct PlacementPolicy
{
    double moveWeight = 1.0;       // cost of one model move, in late or refused requests
    double loadsPerSecond = 1.0;   // model loads per second that the weight store sustains
    int loadsAtOnce = 1;           // concurrent loads that the weight store serves at full speed
    int adapterLoadsInFlight = 24; // with more in flight, each takes proportionally longer
};

struct Service
{
    std::string name; // unique in the catalog
    ServiceKind kind = ServiceKind::Plain;
    std::string upstreamGroup;      // upstreams are the VMs of this group in the VM list
    std::vector<Route> routes;      // the longest matching path prefix wins
    std::vector<ModelEntry> models; // ServiceKind::Models only
    PlacementPolicy placement;      // ServiceKind::Models only
};

/// Finds the route of a request.
/// @param service the service that the request addresses
/// @param method the HTTP method
/// @param path the path within the service
/// @return the route of that method with the longest matching path prefix, or null
const Route *findRoute(const Service &service, const std::string &method, const std::string &path);

/// @return the model of that name, or null
const ModelEntry *findModel(const Service &service, const std::string &model);

// ---- Catalog ------------------------------------------------------------------------------------

struct ServiceCatalog
{
    std::uint64_t revision = 0;              // grows by one with each publish; 0 before the first
    std::string publishId;                   // identifies the publish that created this revision
    std::map<std::string, Service> services; // by service name
};

} // namespace burdock
