// What the experiments serve: deployments, scenarios and the requests they bring.
//
// Index
//   Deployment      sizes of a fleet; peachline(), lachance(), futureRegion()
//   Scenario        how demand moves and what fails
//   DemandModel     one model and its share of the demand
//   Arrival         one request
//   Workload        a seeded stream of arrivals
#pragma once

#include "base/instant.h"
#include "base/random.h"
#include "decide/servicecatalog.h"
#include "load/fakeengine.h"

#include <optional>
#include <string>
#include <vector>

namespace burdock {

// ---- Deployments --------------------------------------------------------------------------------

struct Deployment
{
    std::string name;              // "peachline"
    int replicas = 18;             // engines
    int zones = 3;                 // availability zones
    int entryNodes = 8;            // nodes that route
    int models = 20;               // published models
    int adapters = 110;            // over all models
    double loadsPerSecond = 2.0;   // the weight store's rate
    int loadsAtOnce = 3;           // at full speed
    int adapterKnee = 24;          // adapter loads in flight before they slow down
    Duration zoneOneWay {};        // between availability zones
    Duration clientOneWay {};      // from callers to entry nodes
    double requestsPerSecond = 44; // mean demand
    EngineSettings engine;         // each engine
};

Deployment peachline();
Deployment lachance();

/// A fleet on the way to the sizes of two years on.
/// @param replicas 18 to 1,700; models and demand grow along
Deployment futureFleet(int replicas);

// ---- Scenarios ----------------------------------------------------------------------------------

enum class Scenario {
    Diurnal,  // a day's curve, drawn together
    Burst,    // shift change and truck cutoff
    Tenfold,  // one model's demand grows tenfold
    Flood,    // one large customer floods one assistant
    ZoneLost, // an availability zone is gone for a while
};

std::string scenarioName(Scenario scenario);
std::vector<Scenario> allScenarios();

// ---- Requests -----------------------------------------------------------------------------------

struct DemandModel
{
    std::string name;                  // "model-03"
    std::string key;                   // its serving key
    std::int64_t memoryMb = 0;         // of one copy
    double share = 0.0;                // of the mean demand
    std::vector<std::string> adapters; // may be empty
};

struct Arrival
{
    Instant at;                                     // when the caller sends it
    std::uint64_t id = 0;                           // unique in the run
    RequestClass requestClass = RequestClass::Fast; // Fast or MayWait
    std::string customer;                           // "customer-07"; the flooding one is "large"
    std::size_t model = 0;                          // index into the models
    std::string adapter;                            // may be empty
    std::vector<std::uint64_t> prefix;              // hash chain of its prompt's beginning
    int promptTokens = 0;                           // length of the prompt
    int outputTokens = 0;                           // tokens it will generate
    Duration patience {};                           // to the first token
};

class Workload
{
public:
    Workload(const Deployment &deployment, Scenario scenario, Duration length, std::uint64_t seed);

    const std::vector<DemandModel> &models() const { return m_models; }

    /// @return the next request, or nothing after the end
    std::optional<Arrival> next();

    /// @return how many times its mean the demand for a model is at a moment
    double factor(std::size_t model, Instant at) const;

    /// @return requests a second for a model at a moment; for policies with perfect knowledge
    double rate(std::size_t model, Instant at) const;

private:
    void makeModels();
    std::size_t drawModel(Instant at);
    std::string drawCustomer();
    std::optional<Arrival> nextFlood();
    Arrival make(Instant at, std::size_t model, const std::string &customer,
                 RequestClass requestClass);

    Deployment m_deployment;
    Scenario m_scenario;
    Duration m_length;
    Random m_random;
    std::vector<DemandModel> m_models;
    Instant m_next;      // of the common stream
    Instant m_nextFlood; // of the flooding customer
    std::uint64_t m_nextId = 1;
};

/// @return whether a scenario's zone is lost at a moment
bool zoneIsLost(Scenario scenario, Instant at, Duration length);

} // namespace burdock
