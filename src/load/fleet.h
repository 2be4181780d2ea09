// One run of an experiment: entry nodes with the decision library, fake engines, virtual time.
//
// Index
//   RoutingKind, PlacementKind, ReportMode   what is compared
//   RunSettings                              one run
//   RequestRow, ClassResult, RunResult       what came of it
//   Fleet                                    the run
//
// Entry nodes hold what the product's do: UpstreamTable, PrefixIndex, a RoutingPolicy, Dispatcher.
// Messages take the time of the network; load reports and cache events come late, and some cache
// events not at all. Callers keep an entry node for a minute and come back when it dies.
#pragma once

#include "decide/dispatcher.h"
#include "decide/weightbudget.h"
#include "load/eventqueue.h"
#include "load/placementdriver.h"
#include "load/workload.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdock {

// ---- Settings -----------------------------------------------------------------------------------

enum class RoutingKind { Cost, Random, RoundRobin, LeastLoaded, TwoChoices };
enum class PlacementKind { Planned, Static, Reactive };
enum class ReportMode {
    Broadcast,   // each engine reports to each node twice a second
    Digest,      // each second every node gets the load of all engines, 1.5 s old
    WithAnswers, // an answer's first and last byte carry the load; nothing else is sent
};

std::string routingName(RoutingKind kind);
std::string placementName(PlacementKind kind);

struct RunSettings
{
    Deployment deployment;                            // sizes
    Scenario scenario = Scenario::Diurnal;            // demand and failures
    RoutingKind routing = RoutingKind::Cost;          // how requests are routed
    PlacementKind placement = PlacementKind::Planned; // how models are placed
    ReportMode reports = ReportMode::Broadcast;       // how load becomes known
    Duration length = std::chrono::minutes(30);       // of the demand
    std::uint64_t seed = 1;                           // of everything random
    double moveWeight = 10.0;                         // of the planner
    bool fairCustomers = true;                        // customers take turns in the queues
    bool prefixAffinity = true;                       // the router looks at prefix caches
    double mayWaitShare = 0.8; // of the slots that requests that may wait can take
    int draws = 8;             // of the cost router
};

// ---- Results ------------------------------------------------------------------------------------

struct RequestRow
{
    Arrival arrival;        // as it came
    bool arrived = false;   // it has reached an entry node
    std::size_t node = 0;   // entry node it came to last
    std::size_t engine = 0; // where it was sent last
    int attempt = 0;        // last attempt
    int generated = 0;      // tokens that reached the caller before the last attempt
    Instant firstToken;     // at the caller; zero while none has come
    Instant lastToken;      // at the caller; zero until the answer is whole
    bool refused = false;   // got a refusal
    bool failed = false;    // got an error after it had begun to run
};

struct ClassResult
{
    std::uint64_t offered = 0;  // requests
    std::uint64_t attained = 0; // in time: first token and pace, or deadline
    std::uint64_t refused = 0;  // refused
    std::uint64_t late = 0;     // answered whole, too late or too slowly
    std::uint64_t failed = 0;   // neither answered whole nor refused
};

struct RunResult
{
    ClassResult fast;                // requests that must answer fast
    ClassResult mayWait;             // requests that may wait
    ClassResult others;              // of every customer but the large one
    double bound = 1.0;              // no policy could attain a larger share
    double engineHours = 0.0;        // engines times length
    std::uint64_t moves = 0;         // model loads ordered
    double hours = 0.0;              // length of the demand
    double unreachableSeconds = 0.0; // sum over models of time without a serving copy
    std::uint64_t retries = 0;       // sends beyond the first of each request
    std::uint64_t wrongUpstream = 0; // sends to an engine without the model

    double attainment() const;
    double attainedPerEngineHour() const;
    double movesPerHour() const { return double(moves) / hours; }
};

/// @return an upper bound on the share of requests in time, from perfect and instant knowledge: all
/// engines as one pool, each model everywhere, full batches, every shared prefix cached
double attainmentBound(const std::vector<RequestRow> &requests, const RunSettings &settings);

// ---- Run ----------------------------------------------------------------------------------------

class Fleet
{
public:
    explicit Fleet(const RunSettings &settings);

    RunResult run();

private:
    struct Engine
    {
        explicit Engine(const EngineSettings &settings)
            : engine(settings)
        {
        }
        FakeEngine engine;
        std::string name;
        std::string zone;
        bool alive = true;
        std::uint64_t incarnation = 1;
        std::uint64_t reportSequence = 0;
        std::uint64_t cacheSequence = 0;
        CacheEvent pendingCacheEvent; // what is published next
    };
    struct Node
    {
        Node(const RunSettings &settings, const std::string &zoneName, std::uint64_t seed);

        std::string zone;
        bool alive = true;
        UpstreamTable table;
        PrefixIndex prefixes;
        std::unique_ptr<RoutingPolicy> policy;
        Dispatcher dispatcher;
    };

    // fleet.cpp: requests
    void scheduleArrival();
    void offer(std::uint64_t id);
    std::size_t nodeFor(const Arrival &arrival) const;
    void carryOut(std::size_t node);
    void send(std::size_t node, const SendRequest &action);
    void reachEngine(std::size_t node, std::size_t engine, EngineRequest request,
                     const std::string &adapter);
    void loadAdapter(std::size_t engine, const EngineRequest &request, const std::string &adapter);
    void startStep(std::size_t engine);
    void endStep(std::size_t engine);
    void answer(std::size_t engine, const EngineRequest &request, bool ended);
    void failAttempt(std::uint64_t id, int attempt, std::size_t engine, bool connected);
    Duration distance(std::size_t node, std::size_t engine) const;
    void tickNode(std::size_t node);

    // fleetstate.cpp: reports, placement, availability zones
    void placeInitially();
    void announce(std::size_t engine);
    void report(std::size_t engine);
    void publishCacheEvent(std::size_t engine);
    LoadReport loadReport(std::size_t engine, Duration age);
    void tickPlacement();
    FleetView view();
    void carryOutMove(const FleetMove &move);
    void releaseUnused();
    void loseZone();
    void returnZone();
    RunResult result();
    void countClass(ClassResult &sum, const RequestRow &row) const;

    RunSettings m_settings;
    EventQueue m_events;
    Random m_random;
    Workload m_workload;
    std::vector<Engine> m_engines;
    std::vector<std::unique_ptr<Node>> m_nodes;
    std::vector<RequestRow> m_requests; // by id - 1
    std::vector<CopyRow> m_copies;
    std::unique_ptr<PlacementDriver> m_placement;
    WeightBudget m_budget;
    std::map<std::size_t, std::deque<Instant>> m_recent; // arrivals lately, by model
    int m_loadsUnderWay = 0;
    int m_adapterLoads = 0;
    RunResult m_result;
};

} // namespace burdock
