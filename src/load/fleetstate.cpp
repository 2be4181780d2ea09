#include "load/fleet.h"

#include <algorithm>
#include <utility>

namespace burdock {

using namespace std::chrono_literals;

namespace {

constexpr Duration ReportEvery = 500ms;     // load reports and cache events
constexpr Duration ReportLag = 300ms;       // until they arrive
constexpr Duration DigestEvery = 1s;        // digests of load reports
constexpr Duration DigestLag = 1500ms;      // until they arrive
constexpr Duration AnnounceLag = 300ms;     // until nodes know what an engine holds
constexpr Duration ListLag = 10s;           // of the VM list
constexpr Duration PlacementEvery = 2s;     // placement looks at the tables
constexpr Duration DemandWindow = 10s;      // over which demand is counted
constexpr double StoreMbPerSecond = 2'000;  // of one load at full speed
constexpr double LostCacheEvents = 0.02;    // share of cache events that do not arrive
constexpr Duration FirstTokenLimit = 460ms; // for requests that must answer fast
constexpr Duration TokenPaceLimit = 75ms;   // between tokens, in the mean over an answer

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// @return engine time that a request takes at the least: a full batch, the shared prefix cached
double leastWork(const Arrival &arrival, const EngineSettings &engine)
{
    const double perToken =
            seconds(engine.stepPerModel) / engine.slots + seconds(engine.stepPerRequest);
    const int cached = static_cast<int>(arrival.prefix.size()) * engine.blockTokens;
    const int prompt = std::max(1, arrival.promptTokens - cached);
    return arrival.outputTokens * perToken + prompt / engine.prefillTokensPerSecond;
}

} // namespace

// ---- Reports ------------------------------------------------------------------------------------

void Fleet::announce(std::size_t engine)
{
    const Engine &row = m_engines[engine];
    UpstreamInfo info;
    info.name = row.name;
    info.address = row.name;
    info.group = "engines";
    info.zone = row.zone;
    info.incarnation = row.incarnation;
    info.slots = row.engine.settings().slots;
    for (const DemandModel &model : m_workload.models()) {
        if (!row.engine.isReady(model.key))
            continue;
        ResidentModel resident { model.name, "1", {} };
        for (const std::string &adapter : row.engine.adapters()) {
            if (adapter.starts_with(model.name + "/"))
                resident.adapters.push_back(adapter);
        }
        info.resident.push_back(std::move(resident));
    }
    m_events.after(AnnounceLag, [this, info] {
        for (const auto &node : m_nodes)
            node->table.onAnnounced(info, m_events.now());
    });
}

LoadReport Fleet::loadReport(std::size_t engine, Duration age)
{
    Engine &row = m_engines[engine];
    return { row.name,
             ++row.reportSequence,
             age,
             row.engine.running(),
             row.engine.waiting(),
             row.engine.settings().slots };
}

void Fleet::report(std::size_t engine)
{
    constexpr std::uint64_t AnnounceEvery = 4; // reports; adapters come and go
    const bool digest = m_settings.reports == ReportMode::Digest;
    if (m_engines[engine].alive) {
        const Duration lag = digest ? DigestLag : ReportLag;
        if (m_settings.reports != ReportMode::WithAnswers) {
            const LoadReport made = loadReport(engine, lag);
            m_events.after(lag, [this, made] {
                for (const auto &node : m_nodes)
                    node->table.onLoadReport(made, m_events.now());
            });
        }
        if (m_settings.reports == ReportMode::Broadcast)
            publishCacheEvent(engine);
        // Without broadcasts a node knows of adapters from its own requests alone.
        if (m_settings.reports == ReportMode::Broadcast && m_random.below(AnnounceEvery) == 0)
            announce(engine);
    }
    m_events.after(digest ? DigestEvery : ReportEvery, [this, engine] { report(engine); });
}

void Fleet::publishCacheEvent(std::size_t engine)
{
    Engine &row = m_engines[engine];
    CacheEvent event = std::exchange(row.pendingCacheEvent, {});
    event.upstream = row.name;
    event.incarnation = row.incarnation;
    event.sequence = ++row.cacheSequence;
    if (m_random.unit() < LostCacheEvents)
        return;
    m_events.after(2 * ReportLag, [this, event] {
        for (const auto &node : m_nodes) {
            const UpstreamRow *upstream = node->table.find(event.upstream);
            if (upstream != nullptr)
                node->prefixes.onCacheEvent(upstream->number, event);
        }
    });
}

// ---- Placement ----------------------------------------------------------------------------------

void Fleet::placeInitially()
{
    m_copies = initialCopies(m_workload.models(), view().engines);
    for (const CopyRow &each : m_copies) {
        const DemandModel &model = m_workload.models()[each.model];
        m_engines[each.engine].engine.reserve(model.key, model.memoryMb);
        m_engines[each.engine].engine.setReady(model.key);
    }
    switch (m_settings.placement) {
    case PlacementKind::Planned:
        m_placement = makePlannedPlacement(m_workload.models(), m_settings.moveWeight);
        break;
    case PlacementKind::Static:
        m_placement = makeStaticPlacement(m_copies);
        break;
    case PlacementKind::Reactive:
        m_placement = makeReactivePlacement(m_workload.models());
        break;
    }
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        announce(engine);
        const auto offset = ReportEvery * int(engine) / int(m_engines.size());
        m_events.after(offset, [this, engine] { report(engine); });
    }
    m_events.runUntil(Instant(AnnounceLag)); // the run begins when the nodes know the engines
    m_events.after(PlacementEvery, [this] { tickPlacement(); });
}

FleetView Fleet::view()
{
    FleetView made;
    made.now = m_events.now();
    for (const Engine &each : m_engines)
        made.engines.push_back({ each.name, each.zone, each.alive, each.engine.settings().memoryMb,
                                 each.engine.memoryUsedMb() });
    made.copies = m_copies;
    for (std::size_t model = 0; model < m_workload.models().size(); ++model) {
        std::deque<Instant> &recent = m_recent[model];
        while (!recent.empty() && recent.front() < made.now - DemandWindow)
            recent.pop_front();
        made.demand.push_back(double(recent.size()) / seconds(DemandWindow));
    }
    Arrival mean;
    mean.outputTokens = 200;
    mean.promptTokens = 200;
    made.engineCapacity = 1.0 / leastWork(mean, m_settings.deployment.engine);
    made.loadsAvailable = m_budget.available(m_loadsUnderWay, made.now);
    return made;
}

void Fleet::tickPlacement()
{
    releaseUnused();
    for (const FleetMove &move : m_placement->tick(view()))
        carryOutMove(move);
    for (std::size_t model = 0; model < m_workload.models().size(); ++model) {
        const bool served = std::any_of(m_copies.begin(), m_copies.end(), [&](const CopyRow &each) {
            return each.model == model && each.ready && !each.leaving;
        });
        if (!served && m_events.now() < Instant(m_settings.length))
            m_result.unreachableSeconds += seconds(PlacementEvery);
    }
    m_events.after(PlacementEvery, [this] { tickPlacement(); });
}

void Fleet::carryOutMove(const FleetMove &move)
{
    Engine &row = m_engines[move.engine];
    const DemandModel &model = m_workload.models()[move.model];
    const auto same = [move](const CopyRow &each) {
        return each.engine == move.engine && each.model == move.model;
    };
    const auto copy = std::find_if(m_copies.begin(), m_copies.end(), same);
    if (!move.load) {
        if (copy == m_copies.end() || !copy->ready || copy->leaving)
            return;
        copy->leaving = true;
        announce(move.engine);
        // The engine serves it until every node knows that it leaves.
        m_events.after(2 * AnnounceLag, [this, engine = move.engine, key = model.key] {
            m_engines[engine].engine.retire(key);
            announce(engine);
        });
        return;
    }
    if (copy != m_copies.end() || !row.alive
        || row.engine.memoryUsedMb() + model.memoryMb > row.engine.settings().memoryMb
        || !m_budget.take(m_loadsUnderWay, m_events.now()))
        return;
    row.engine.reserve(model.key, model.memoryMb);
    m_copies.push_back({ move.engine, move.model, false, false, Instant() });
    m_loadsUnderWay++;
    m_result.moves++;
    const auto took = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(double(model.memoryMb) / StoreMbPerSecond));
    m_events.after(took, [this, move, same, key = model.key, incarnation = row.incarnation] {
        m_loadsUnderWay--;
        const auto loaded = std::find_if(m_copies.begin(), m_copies.end(), same);
        if (m_engines[move.engine].incarnation != incarnation || loaded == m_copies.end())
            return;
        loaded->ready = true;
        loaded->readySince = m_events.now();
        m_engines[move.engine].engine.setReady(key);
        announce(move.engine);
    });
}

void Fleet::releaseUnused()
{
    std::erase_if(m_copies, [this](const CopyRow &each) {
        const std::string &key = m_workload.models()[each.model].key;
        FakeEngine &engine = m_engines[each.engine].engine;
        if (!each.leaving || engine.isReady(key) || engine.inUse(key))
            return false;
        engine.release(key);
        return true;
    });
}

// ---- Availability zones -------------------------------------------------------------------------

void Fleet::loseZone()
{
    constexpr Duration NoticeAfter = 200ms; // broken streams
    const std::string zone = m_engines.front().zone;
    for (const auto &node : m_nodes)
        node->alive = node->zone != zone;
    for (RequestRow &row : m_requests) {
        const bool open = row.arrived && row.lastToken == Instant() && !row.refused && !row.failed;
        if (!open || m_nodes[row.node]->alive)
            continue;
        row.failed = row.firstToken != Instant(); // a stream in progress is cut
        if (row.attempt > 0)
            m_engines[row.engine].engine.cancel(row.arrival.id);
        row.attempt = -1;
        if (!row.failed)
            m_events.after(1s, [this, id = row.arrival.id] { offer(id); });
    }
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        Engine &row = m_engines[engine];
        if (row.zone != zone)
            continue;
        row.alive = false;
        row.incarnation++;
        for (const EngineRequest &lost : row.engine.crash()) {
            RequestRow &request = m_requests[lost.id - 1];
            request.generated += request.attempt == lost.attempt ? lost.generated : 0;
            m_events.after(NoticeAfter, [this, lost, engine] {
                failAttempt(lost.id, lost.attempt, engine, true);
            });
        }
        std::erase_if(m_copies, [&](const CopyRow &each) { return each.engine == engine; });
        m_events.after(ListLag, [this, name = row.name] {
            for (const auto &node : m_nodes)
                node->table.onRemoved(name);
        });
    }
}

void Fleet::returnZone()
{
    for (std::size_t node = 0; node < m_nodes.size(); ++node) {
        if (!m_nodes[node]->alive) // a new process, which knows nothing yet
            m_nodes[node] = std::make_unique<Node>(m_settings, m_nodes[node]->zone, node);
    }
    for (std::size_t engine = 0; engine < m_engines.size(); ++engine) {
        announce(engine);
        if (m_engines[engine].alive)
            continue;
        m_engines[engine].alive = true;
        m_engines[engine].reportSequence = 0;
        m_engines[engine].cacheSequence = 0;
        m_engines[engine].pendingCacheEvent = {};
    }
}

// ---- Results ------------------------------------------------------------------------------------

double RunResult::attainment() const
{
    const auto offered = fast.offered + mayWait.offered;
    return offered == 0 ? 1.0 : double(fast.attained + mayWait.attained) / double(offered);
}

double RunResult::attainedPerEngineHour() const
{
    return double(fast.attained + mayWait.attained) / engineHours;
}

void Fleet::countClass(ClassResult &sum, const RequestRow &row) const
{
    sum.offered++;
    const bool whole = row.lastToken != Instant();
    if (!whole) {
        sum.refused += row.refused ? 1 : 0;
        sum.failed += row.refused ? 0 : 1;
        return;
    }
    const bool fast = row.arrival.requestClass == RequestClass::Fast;
    const Duration first = row.firstToken - row.arrival.at;
    const Duration pace =
            (row.lastToken - row.firstToken) / std::max(1, row.arrival.outputTokens - 1);
    const bool inTime = fast ? first <= FirstTokenLimit && pace <= TokenPaceLimit
                             : first <= row.arrival.patience;
    sum.attained += inTime ? 1 : 0;
    sum.late += inTime ? 0 : 1;
}

RunResult Fleet::result()
{
    for (const RequestRow &row : m_requests) {
        const bool fast = row.arrival.requestClass == RequestClass::Fast;
        countClass(fast ? m_result.fast : m_result.mayWait, row);
        if (row.arrival.customer != "large")
            countClass(m_result.others, row);
    }
    m_result.hours = seconds(m_settings.length) / 3600.0;
    m_result.engineHours = m_result.hours * double(m_engines.size());
    m_result.bound = attainmentBound(m_requests, m_settings);
    return m_result;
}

double attainmentBound(const std::vector<RequestRow> &requests, const RunSettings &settings)
{
    // A request that arrives within a span may use the engines' time of the span and of the slack
    // after it, in which its deadline and its slowest pace would end. Cheapest first serves most.
    // Each span length gives a valid bound; the least of them holds.
    constexpr double Slack = 60.0; // seconds
    const double length = seconds(settings.length);
    double least = 1.0;
    for (const double span : { 300.0, 600.0, length }) {
        std::map<int, std::vector<double>> work; // by span
        for (const RequestRow &row : requests) {
            const double at = seconds(row.arrival.at.time_since_epoch());
            work[int(at / span)].push_back(leastWork(row.arrival, settings.deployment.engine));
        }
        double served = 0.0;
        for (auto &[index, each] : work) {
            double left = 0.0; // engine seconds
            for (double at = index * span; at < (index + 1) * span + Slack; at += 1.0) {
                const Instant moment { std::chrono::seconds(int(at)) };
                const bool lost = zoneIsLost(settings.scenario, moment, settings.length);
                left += settings.deployment.replicas
                        * (lost ? 1.0 - 1.0 / settings.deployment.zones : 1.0);
            }
            std::sort(each.begin(), each.end());
            for (const double cost : each) {
                if (cost > left)
                    break;
                left -= cost;
                served += 1.0;
            }
        }
        least = std::min(least, served / std::max(1.0, double(requests.size())));
    }
    return least;
}

} // namespace burdock
