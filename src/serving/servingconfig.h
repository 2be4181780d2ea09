// The configuration in force at a node: which service a request is sent to, and within which
// limits.
//
// Index
//   ServiceShare, ServingRoute     route from a host and path prefix to services
//   EngineModel, EngineLimits      models of a service's replicas, and the capacity of one replica
//   ServingService
//   CallerLimits                   limits on what callers may send
//   RankTable                      ranks of the priorities that a configuration uses
//   ServingConfig                  one version of the complete configuration
//   RouteTable                     finds the route of a request
//   chooseService()                selects a service of a route
//
// The structs hold plain data, independent of the interface that it was read from. A version is
// applied as a whole, and a process never replaces it by an earlier one. A version whose store lost
// it may be written again with another content.
#pragma once

#include "base/instant.h"
#include "organisations/organisation.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdock {

// ---- Routes -------------------------------------------------------------------------------------

struct ServiceShare
{
    std::string service; // name of the service
    double weight = 1.0; // share of the route's requests, relative to the other targets' weights
};

struct ServingRoute
{
    std::string name;             // for log records
    std::string host;             // compared with the Host header, without the port
    std::string pathPrefix = "/"; // the longest matching prefix has precedence
    bool streams = false;         // whether the response is a stream of events
    bool repeatable = false;      // whether a request may run more than once
    bool resumable = false;       // whether another replica may continue a broken stream
    std::chrono::milliseconds timeout { 10'000 }; // from arrival to the complete response
    // Target time from arrival to the first byte; a later response has less value for the caller.
    std::chrono::milliseconds latencyObjective { 1'000 };
    std::chrono::milliseconds gapObjective { 0 }; // longest pause between events; 0: no limit
    // Callers of a stream leave if its first event has not come after this time; 0: no limit.
    std::chrono::milliseconds firstEventTimeout { 0 };
    int priority = 0;                  // 0 is the most urgent
    int attempts = 1;                  // maximum number of replicas that may run one request
    bool hasModels = false;            // whether requests name a model
    bool isPublic = false;             // whether requests need no key of an organisation
    std::vector<ServiceShare> targets; // several targets share the requests by weight
};

// ---- Services -----------------------------------------------------------------------------------

struct EngineModel
{
    std::string name;                                   // unique within the service
    double memoryMb = 0.0;                              // accelerator memory of one copy in MB
    std::chrono::milliseconds storeLoadTime { 0 };      // from the weight store
    std::chrono::milliseconds hostMemoryLoadTime { 0 }; // from a copy in the replica's host memory
    std::chrono::milliseconds localDiskLoadTime { 0 };  // from a copy on the replica's disk
    int adapters = 0;       // number of adapters, which are named a1, a2, ...
    double adapterMb = 0.0; // accelerator memory of one adapter in MB
};

struct EngineLimits
{
    int slots = 64;                  // maximum number of requests in a batch
    int kvTokens = 0;                // capacity of the KV cache in tokens; 0: unknown
    int tokensPerEvent = 2;          // tokens in one event of a stream
    double weightsMb = 0.0;          // memory for weights and adapters together in MB
    int adapterSlots = 0;            // maximum number of adapters loaded at the same time
    double loadsPerSecond = 1.0;     // limit of the weight store, over all replicas
    std::vector<EngineModel> models; // in the order of the configuration
};

struct ServingService
{
    std::string name;                   // unique
    int maxConnections = 0;             // per replica, from all nodes together; 0: not configured
    std::optional<EngineLimits> engine; // set for services of model replicas, empty for plain ones
};

/// @return the model of that name, or null
const EngineModel *findModel(const EngineLimits &engine, std::string_view model);

// ---- Configuration ------------------------------------------------------------------------------

struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;            // larger headers get status 431 or 413
    std::size_t maxBodyBytes = 4 * 1024 * 1024;        // larger bodies get status 413
    std::chrono::milliseconds headerTimeout { 3'000 }; // for receiving a request
    std::chrono::milliseconds idleTimeout { 15'000 };  // between two requests on a connection
};

struct ServingConfig
{
    std::uint64_t version = 0;     // increases, not always by 1; 0: no configuration received yet
    std::uint64_t contentHash = 0; // tells two contents under one version apart
    std::vector<ServingRoute> routes;
    std::map<std::string, ServingService> services; // by name
    CallerLimits limits;
    // Organisations whose callers are served; nothing: requests need no key.
    std::optional<std::vector<Organisation>> organisations;
    std::vector<std::string> problems; // parts that could not be read and are left out, for the log
};

/// Orders the pairs of an organisation's and a route's priority that a configuration uses.
class RankTable
{
public:
    explicit RankTable(const ServingConfig &config);

    /// @param organisationPriority, routePriority used by the configuration
    /// @return 0 for the most urgent pair, 1 for the next; without organisations the route's
    ///         priority itself
    int rank(int organisationPriority, int routePriority) const;

    /// @return number of ranks; 0 without organisations
    std::size_t count() const { return m_pairs.size(); }

private:
    bool m_hasOrganisations = false;
    std::vector<std::pair<int, int>> m_pairs; // sorted, the most urgent first
};

/// Finds the route of a request: among the routes of its host, the one with the longest prefix of
/// its path. Routes without a target are left out.
class RouteTable
{
public:
    /// @param config the configuration to index; not null
    explicit RouteTable(std::shared_ptr<const ServingConfig> config);

    /// @param host value of the Host header, with or without a port
    /// @param path the path without the query
    /// @return the route, which is valid as long as the table, or null
    const ServingRoute *find(std::string_view host, std::string_view path) const;

    const ServingConfig &config() const { return *m_config; }

private:
    std::shared_ptr<const ServingConfig> m_config;
    // By host; the longest prefix comes first.
    std::unordered_map<std::string, std::vector<const ServingRoute *>> m_byHost;
};

/// Selects one of a route's services according to their weights.
/// @param route a route with at least one target
/// @param point random number in [0, 1)
/// @return name of the service
const std::string &chooseService(const ServingRoute &route, double point);

} // namespace burdock
