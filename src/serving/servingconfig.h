// The configuration in force at a node: which service answers a request, and within which bounds.
//
// Index
//   ServiceShare, ServingRoute     where requests of a host and path prefix go
//   EngineModel, EngineLimits      models of a pool of model replicas, and what a replica holds
//   ServingService
//   CallerLimits                   bounds on what callers may send
//   ServingConfig                  all of it, as one version
//   RouteTable                     finds the route of a request
//
// Plain data, whichever interface it was read from. A version is taken as a whole and never gives
// way to an earlier one within a process.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace burdock {

// ---- Routes -------------------------------------------------------------------------------------

struct ServiceShare
{
    std::string service; // name of the service
    double weight = 1.0; // its share of the route's requests, against the other shares
};

struct ServingRoute
{
    std::string name;                                     // for logs
    std::string host;                                     // compared with the Host header
    std::string pathPrefix = "/";                         // the longest one that matches wins
    bool streams = false;                                 // the answer is a stream of events
    bool repeatable = false;                              // may run more than once
    bool resumable = false;                               // a stream may go on at another replica
    std::chrono::milliseconds timeout { 10'000 };         // from arrival to the final answer
    std::chrono::milliseconds latencyObjective { 1'000 }; // to the first byte; earns full credit
    std::chrono::milliseconds gapObjective { 0 };         // longest pause between events; 0: none
    int priority = 0;                                     // 0 is the most urgent
    int attempts = 1;                  // replicas that one request may be sent to
    bool hasModels = false;            // requests name a model
    std::vector<ServiceShare> targets; // one, or a split
};

// ---- Services -----------------------------------------------------------------------------------

struct EngineModel
{
    std::string name;                              // unique within the service
    double memoryMb = 0.0;                         // accelerator memory of one copy
    std::chrono::milliseconds storeLoad { 0 };     // load time from the weight store
    std::chrono::milliseconds hostCopyLoad { 0 };  // from a copy in the replica's host memory
    std::chrono::milliseconds localDiskLoad { 0 }; // from a copy on the replica's disk
    int adapters = 0;                              // named a1, a2, ...
    double adapterMb = 0.0;                        // accelerator memory of one adapter
};

struct EngineLimits
{
    int slots = 64;                  // requests in a batch
    int kvTokens = 0;                // tokens of KV cache
    int tokensPerEvent = 2;          // of a stream
    double weightsMb = 0.0;          // memory for weights and adapters together
    int adapterSlots = 0;            // adapters at once
    double loadsPerSecond = 1.0;     // weight store, over all replicas
    std::vector<EngineModel> models; // in the order of the configuration
};

struct ServingService
{
    std::string name;                   // unique
    int maxConnections = 0;             // a replica takes from all nodes together; 0: not said
    std::optional<EngineLimits> engine; // set for model replicas
};

/// @return the model of that name, or null
const EngineModel *findModel(const EngineLimits &engine, std::string_view model);

// ---- Configuration ------------------------------------------------------------------------------

struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;            // larger ones get 431 or 413
    std::size_t maxBodyBytes = 4 * 1024 * 1024;        // larger ones get 413
    std::chrono::milliseconds headerTimeout { 3'000 }; // to send a request
    std::chrono::milliseconds idleTimeout { 15'000 };  // between requests of a connection
};

struct ServingConfig
{
    std::uint64_t version = 0; // grows, in uneven steps; 0: none yet
    std::vector<ServingRoute> routes;
    std::map<std::string, ServingService> services; // by name
    CallerLimits limits;
};

/// Finds the route of a request: among the routes of its host, the longest prefix of its path.
class RouteTable
{
public:
    /// @param config the configuration to index
    explicit RouteTable(std::shared_ptr<const ServingConfig> config);

    /// @param host the Host header, with or without a port
    /// @param path the path without the query
    /// @return the route, valid as long as the table; or null
    const ServingRoute *find(std::string_view host, std::string_view path) const;

    const ServingConfig &config() const { return *m_config; }

private:
    std::shared_ptr<const ServingConfig> m_config;
    std::unordered_map<std::string, std::vector<const ServingRoute *>> m_byHost; // longest first
};

/// @param route a route with at least one target
/// @param point a number from 0 up to, but not including, 1
/// @return the service that serves this share of the requests
const std::string &chooseService(const ServingRoute &route, double point);

} // namespace burdock
