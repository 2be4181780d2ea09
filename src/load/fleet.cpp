#include "load/fleet.h"

#include "base/hashing.h"
#include "decide/routingbaselines.h"

#include <algorithm>
#include <utility>

namespace burdock {

using namespace std::chrono_literals;

namespace {

constexpr Duration NodeTick = 20ms;        // a node looks at its queues
constexpr Duration SameZoneOneWay = 150us; // within an availability zone
constexpr Duration ConnectTimeout = 200ms; // until a dead engine is noticed
constexpr Duration AdapterLoadMin = 6ms;   // while few are in flight
constexpr Duration AdapterLoadSpan = 14ms; //

std::unique_ptr<RoutingPolicy> makePolicy(const RunSettings &settings, const std::string &zone,
                                          const UpstreamTable &table, const PrefixIndex &prefixes,
                                          std::uint64_t seed)
{
    switch (settings.routing) {
    case RoutingKind::Random:
        return std::make_unique<RandomPolicy>(table, seed);
    case RoutingKind::RoundRobin:
        return std::make_unique<RoundRobinPolicy>(table);
    case RoutingKind::LeastLoaded:
        return std::make_unique<LeastLoadedPolicy>(table);
    case RoutingKind::TwoChoices:
        return std::make_unique<TwoChoicesPolicy>(table, seed);
    case RoutingKind::Cost:
        break;
    }
    RouterSettings router;
    router.zone = zone;
    router.zoneRoundTrip = 2 * settings.deployment.zoneOneWay;
    router.adapterLoadsInFlight = settings.deployment.adapterKnee;
    router.entryNodes = settings.deployment.entryNodes;
    router.draws = settings.draws;
    router.mayWaitShare = settings.mayWaitShare;
    if (!settings.prefixAffinity)
        router.prefixCandidates = 0;
    return std::make_unique<CostRouter>(table, prefixes, router, seed);
}

DispatcherSettings dispatcherSettings(const RunSettings &settings)
{
    DispatcherSettings made;
    made.admission.fairCustomers = settings.fairCustomers;
    return made;
}

} // namespace

std::string routingName(RoutingKind kind)
{
    switch (kind) {
    case RoutingKind::Cost:
        return "cost";
    case RoutingKind::Random:
        return "random";
    case RoutingKind::RoundRobin:
        return "round-robin";
    case RoutingKind::LeastLoaded:
        return "least-loaded";
    case RoutingKind::TwoChoices:
        return "two-choices";
    }
    return "cost";
}

std::string placementName(PlacementKind kind)
{
    switch (kind) {
    case PlacementKind::Planned:
        return "planned";
    case PlacementKind::Static:
        return "static";
    case PlacementKind::Reactive:
        return "reactive";
    }
    return "planned";
}

// ---- Construction -------------------------------------------------------------------------------

Fleet::Node::Node(const RunSettings &settings, const std::string &zoneName, std::uint64_t seed)
    : zone(zoneName)
    , policy(makePolicy(settings, zoneName, table, prefixes, seed))
    , dispatcher(table, prefixes, *policy, dispatcherSettings(settings))
{
}

Fleet::Fleet(const RunSettings &settings)
    : m_settings(settings)
    , m_random(settings.seed * 7919 + 1)
    , m_workload(settings.deployment, settings.scenario, settings.length, settings.seed)
{
    const Deployment &deployment = settings.deployment;
    const auto zoneOf = [&](int number) {
        return "zone-" + std::to_string(number % deployment.zones);
    };
    for (int number = 0; number < deployment.replicas; ++number) {
        m_engines.emplace_back(deployment.engine);
        m_engines.back().name = "engine-" + std::to_string(number);
        m_engines.back().zone = zoneOf(number);
    }
    for (int number = 0; number < deployment.entryNodes; ++number)
        m_nodes.push_back(std::make_unique<Node>(settings, zoneOf(number),
                                                 settings.seed * 1009 + std::uint64_t(number)));
    m_budget.setLimits(deployment.loadsPerSecond, deployment.loadsAtOnce);
}

Duration Fleet::distance(std::size_t node, std::size_t engine) const
{
    return m_nodes[node]->zone == m_engines[engine].zone ? SameZoneOneWay
                                                         : m_settings.deployment.zoneOneWay;
}

RunResult Fleet::run()
{
    placeInitially();
    scheduleArrival();
    for (std::size_t node = 0; node < m_nodes.size(); ++node)
        tickNode(node);
    if (m_settings.scenario == Scenario::ZoneLost) {
        m_events.at(Instant(m_settings.length * 3 / 10), [this] { loseZone(); });
        m_events.at(Instant(m_settings.length * 7 / 10), [this] { returnZone(); });
    }
    constexpr Duration Tail = 60s; // for what is in progress at the end
    m_events.runUntil(Instant(m_settings.length + Tail));
    return result();
}

void Fleet::tickNode(std::size_t node)
{
    if (m_nodes[node]->alive) {
        m_nodes[node]->dispatcher.tick(m_events.now());
        carryOut(node);
    }
    m_events.after(NodeTick, [this, node] { tickNode(node); });
}

// ---- Arrivals -----------------------------------------------------------------------------------

void Fleet::scheduleArrival()
{
    std::optional<Arrival> arrival = m_workload.next();
    if (!arrival)
        return;
    const std::uint64_t id = m_requests.size() + 1;
    const Instant at = arrival->at;
    RequestRow row;
    row.arrival = std::move(*arrival);
    row.arrival.id = id;
    m_requests.push_back(std::move(row));
    m_events.at(at + m_settings.deployment.clientOneWay, [this, id] {
        m_recent[m_requests[id - 1].arrival.model].push_back(m_events.now());
        offer(id);
        scheduleArrival();
    });
}

std::size_t Fleet::nodeFor(const Arrival &arrival) const
{
    // A customer's callers each keep one address for a minute.
    constexpr std::uint64_t CallersOfCustomer = 4;
    const auto minute = std::chrono::floor<std::chrono::minutes>(m_events.now().time_since_epoch());
    const std::string caller = arrival.customer + "/" + std::to_string(minute.count());
    const std::uint64_t first = hashPair(arrival.id % CallersOfCustomer, caller);
    for (std::size_t step = 0; step < m_nodes.size(); ++step) {
        const std::size_t node = (first + step) % m_nodes.size();
        if (m_nodes[node]->alive)
            return node;
    }
    return 0;
}

void Fleet::offer(std::uint64_t id)
{
    RequestRow &row = m_requests[id - 1];
    row.arrived = true;
    row.node = nodeFor(row.arrival);
    QueuedRequest request;
    request.routing.id = id;
    request.routing.requestClass = row.arrival.requestClass;
    request.routing.customer = row.arrival.customer;
    request.routing.key = m_workload.models()[row.arrival.model].key;
    request.routing.adapter = row.arrival.adapter;
    request.routing.prefix = row.arrival.prefix;
    request.routing.promptTokens = row.arrival.promptTokens;
    request.arrived = m_events.now();
    request.deadline = row.arrival.at + row.arrival.patience;
    m_nodes[row.node]->dispatcher.onRequest(request, m_events.now());
    carryOut(row.node);
}

void Fleet::carryOut(std::size_t node)
{
    for (const DispatchAction &action : m_nodes[node]->dispatcher.takeActions()) {
        if (const auto *sent = std::get_if<SendRequest>(&action)) {
            send(node, *sent);
        } else if (const auto *given = std::get_if<FailRequest>(&action)) {
            RequestRow &row = m_requests[given->refusal.id - 1];
            (given->refusal.notRun ? row.refused : row.failed) = true;
        }
    }
}

// ---- To the engine ------------------------------------------------------------------------------

void Fleet::send(std::size_t node, const SendRequest &action)
{
    const std::size_t engine = std::stoul(action.choice.upstream.substr(sizeof("engine-") - 1));
    RequestRow &row = m_requests[action.id - 1];
    row.engine = engine;
    row.attempt = action.attempt;
    m_result.retries += action.attempt > 1 ? 1 : 0;

    EngineRequest request;
    request.id = action.id;
    request.attempt = action.attempt;
    request.key = m_workload.models()[row.arrival.model].key;
    request.prefix = row.arrival.prefix;
    request.promptTokens = row.arrival.promptTokens + row.generated;
    request.outputTokens = std::max(1, row.arrival.outputTokens - row.generated);
    request.urgent = row.arrival.requestClass == RequestClass::Fast;
    m_events.after(distance(node, engine), [this, node, engine, request, id = action.id] {
        reachEngine(node, engine, request, m_requests[id - 1].arrival.adapter);
    });
}

void Fleet::reachEngine(std::size_t node, std::size_t engine, EngineRequest request,
                        const std::string &adapter)
{
    Engine &row = m_engines[engine];
    if (!row.alive) {
        m_events.after(ConnectTimeout, [this, request, engine] {
            failAttempt(request.id, request.attempt, engine, false);
        });
        return;
    }
    if (!row.engine.isReady(request.key)) {
        m_result.wrongUpstream++;
        m_events.after(distance(node, engine), [this, request, engine] {
            failAttempt(request.id, request.attempt, engine, true);
        });
        return;
    }
    if (!adapter.empty() && !row.engine.hasAdapter(adapter)) {
        loadAdapter(engine, request, adapter);
        return;
    }
    if (!adapter.empty())
        row.engine.touchAdapter(adapter);
    row.engine.add(std::move(request));
    startStep(engine);
}

void Fleet::loadAdapter(std::size_t engine, const EngineRequest &request,
                        const std::string &adapter)
{
    m_adapterLoads++;
    const double crowding =
            std::max(1.0, double(m_adapterLoads) / m_settings.deployment.adapterKnee);
    const double base =
            double(AdapterLoadMin.count()) + m_random.unit() * double(AdapterLoadSpan.count());
    const Duration took(static_cast<Duration::rep>(base * crowding));
    const std::uint64_t incarnation = m_engines[engine].incarnation;
    m_events.after(took, [this, engine, request, adapter, incarnation] {
        m_adapterLoads--;
        Engine &row = m_engines[engine];
        if (row.incarnation != incarnation || !row.alive) {
            failAttempt(request.id, request.attempt, engine, true);
            return;
        }
        row.engine.touchAdapter(adapter);
        row.engine.add(request);
        startStep(engine);
    });
}

void Fleet::failAttempt(std::uint64_t id, int attempt, std::size_t engine, bool connected)
{
    Node &node = *m_nodes[m_requests[id - 1].node];
    if (!node.alive || m_requests[id - 1].engine != engine)
        return;
    if (connected)
        node.dispatcher.onUpstreamFailed(id, attempt, true, m_events.now());
    else
        node.dispatcher.onConnectFailed(id, attempt, m_events.now());
    carryOut(m_requests[id - 1].node);
}

// ---- From the engine ----------------------------------------------------------------------------

void Fleet::startStep(std::size_t engine)
{
    Engine &row = m_engines[engine];
    if (!row.alive || row.engine.stepping())
        return;
    const Duration took = row.engine.beginStep();
    if (took == Duration::zero())
        return;
    m_events.after(took, [this, engine, incarnation = row.incarnation] {
        if (m_engines[engine].incarnation == incarnation)
            endStep(engine);
    });
}

void Fleet::endStep(std::size_t engine)
{
    Engine &row = m_engines[engine];
    const EngineOutput output = row.engine.endStep();
    CacheEvent &event = row.pendingCacheEvent;
    event.stored.insert(event.stored.end(), output.stored.begin(), output.stored.end());
    event.evicted.insert(event.evicted.end(), output.evicted.begin(), output.evicted.end());
    for (const EngineRequest &each : output.began)
        answer(engine, each, false);
    for (const EngineRequest &each : output.ended)
        answer(engine, each, true);
    startStep(engine);
}

void Fleet::answer(std::size_t engine, const EngineRequest &request, bool ended)
{
    const std::size_t node = m_requests[request.id - 1].node;
    const Duration travel = distance(node, engine);
    LoadReport carried;
    if (m_settings.reports == ReportMode::WithAnswers)
        carried = loadReport(engine, travel);
    m_events.after(travel,
                   [this, node, id = request.id, attempt = request.attempt, ended, carried] {
                       RequestRow &row = m_requests[id - 1];
                       if (!m_nodes[node]->alive || row.node != node || row.attempt != attempt)
                           return;
                       const Instant atCaller = m_events.now() + m_settings.deployment.clientOneWay;
                       if (row.firstToken == Instant())
                           row.firstToken = atCaller;
                       if (ended)
                           row.lastToken = atCaller;
                       Dispatcher &dispatcher = m_nodes[node]->dispatcher;
                       if (ended)
                           dispatcher.onFinished(id, attempt, m_events.now());
                       else
                           dispatcher.onFirstByte(id, attempt, m_events.now());
                       if (m_settings.reports == ReportMode::WithAnswers)
                           m_nodes[node]->table.onLoadReport(carried, m_events.now());
                       carryOut(node);
                   });
}

} // namespace burdock
