// The fault matrix of planned stops: callers that keep addresses, nodes that drain alone, at the
// same time and during faults, and upstreams that leave. One checker counts cut requests, refusals
// of callers with a valid answer, late requests to a leaving upstream and nodes that do not stop.
#include "decide/addressanswer.h"
#include "decide/drain.h"
#include "decide/faultmatrix.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace burdock;
using namespace burdock::testing;
using namespace std::chrono_literals;

namespace {

constexpr ProtocolStep Steps[] = {
    { "ping", false },   { "ack", false },          { "ping request", false },
    { "notice", false }, { "pull request", false }, { "pull reply", false },
    { "watch", true },   { "watch answer", true },  { "entry fetch", true },
};

enum class Scenario {
    OneDrains,       // one of six nodes
    ThreeDrain,      // three of six at the same moment
    AllDrainOneJoins // all six, and a new node joins later
};

constexpr const char *ScenarioNames[] = { "one drains", "three drain at once",
                                          "all drain, one joins" };

// ---- Nodes and callers --------------------------------------------------------------------------

/// Mechanisms switched off, to show that the checker detects the violations.
struct Ablation
{
    bool skipsExpiryWait = false;      // does not wait until address answers expire
    bool skipsConvergenceWait = false; // waits only until the answers of the node itself expire
    bool disablesGossipRepair = false; // configuration is disseminated by notices alone
    bool stopsWithRequestsInProgress = false; // stops with requests in progress
};

struct DrainResult
{
    bool allFaultsInjected = false;
    std::uint64_t cutRequests = 0;  // requests in progress when their node stopped as planned
    std::uint64_t refusals = 0;     // callers with a valid answer that a draining node refused
    std::uint64_t lateRequests = 0; // new requests to a leaving upstream after the time limit
    std::uint64_t notStopped = 0;
    std::uint64_t served = 0;
    std::map<std::string_view, int> counts;

    std::uint64_t violations() const { return cutRequests + refusals + lateRequests + notStopped; }
};

struct EntryRunner
{
    std::unique_ptr<NodeDrain> drain;
    std::unique_ptr<AddressDirectory> directory;
    LeavingUpstreams upstreams;
    std::uint64_t processIncarnation = 0;
    Instant rebuildAt {};
    bool isDraining = false;
};

/// Simulates how burdock-entry uses the modules, with callers that hold address answers.
class DrainRun
{
public:
    DrainRun(Scenario scenario, const std::vector<FaultSpec> &specs, std::uint64_t seed,
             const Ablation &ablation)
        : m_fleet(6, 2, seed * 1000)
        , m_random(seed)
        , m_scenario(scenario)
        , m_ablation(ablation)
    {
        m_fleet.tickInterval = 250ms;
        m_fleet.trackerDefaults.watchersPerZone = 1;
        m_fleet.trackerDefaults.pullOnGossip = !ablation.disablesGossipRepair;
        for (auto &[name, node] : m_fleet.nodes)
            m_fleet.start(node);
        m_settings.serveUntilAnswersExpire = !ablation.skipsExpiryWait;
        if (ablation.skipsConvergenceWait)
            m_settings.convergenceTime = {};
        m_fleet.onApplied = [this](const FleetNode &node, const ApplyConfig &action) {
            m_runners[node.name].upstreams.onConfig(action.texts);
        };
        m_plan = std::make_unique<FaultPlan>(m_fleet, specs);
    }

    DrainResult run()
    {
        const Instant start = m_fleet.now;
        m_fleet.at(start + 6s, [this] { m_plan->arm(); });
        m_fleet.at(start + 8s, [this] { startDrains(); });
        m_fleet.at(start + 3s, [this] { publish(serviceKey("s")); });
        m_fleet.at(start + 8s, [this] { publish(drainKey("engine-1")); });
        if (m_scenario == Scenario::AllDrainOneJoins)
            m_fleet.at(start + 40s, [this] { join(); });
        const Instant end = start + 90s;
        while (m_fleet.now < end) {
            m_fleet.runUntil(m_fleet.now + 500ms);
            if (m_fleet.now >= start + 30s && !m_disarmed) {
                m_disarmed = true;
                m_plan->disarm();
            }
            step();
        }
        for (auto &[name, runner] : m_runners) {
            const bool same = runner.processIncarnation == m_drainedIncarnations[name];
            if (runner.isDraining && same && runner.drain->phase() != DrainPhase::Stopped)
                ++m_result.notStopped;
        }
        m_result.allFaultsInjected = m_plan->allInjected();
        m_result.counts = m_plan->counts();
        return m_result;
    }

private:
    struct HeldAnswer
    {
        std::vector<std::string> addresses;
        Instant expiry {};
    };

    void startDrains()
    {
        int count = m_scenario == Scenario::OneDrains ? 1
                : m_scenario == Scenario::ThreeDrain  ? 3
                                                      : 6;
        for (auto &[name, runner] : m_runners) {
            if (count-- <= 0)
                break;
            runner.isDraining = true; // SIGTERM; a suspended process receives it when it resumes
        }
    }

    void join()
    {
        m_fleet.vmList.push_back({ "vm-9", "zone-0", "vm-9:7000", false });
        m_fleet.nodes["vm-9"].name = "vm-9";
        m_fleet.nodes["vm-9"].zone = "zone-0";
        m_fleet.start(m_fleet.nodes["vm-9"]);
        for (auto &[name, node] : m_fleet.nodes) {
            if (node.isRunning)
                node.membership->onVmList(m_fleet.vmList, m_fleet.now);
        }
    }

    // An operator's publish, without faults: the test covers its dissemination.
    void publish(const std::string &key)
    {
        ConfigHead head = m_fleet.storedHead;
        ++head.revision;
        head.publishId = key;
        head.entries[key] = contentHash("{}");
        m_fleet.entries[entryPath(key, contentHash("{}"))] = "{}";
        appendRecord(head, { head.revision, key, "ann", { key } });
        m_fleet.writeHead(m_fleet.headVersion, head);
    }

    void step()
    {
        for (auto &[name, node] : m_fleet.nodes) {
            if (node.isRunning && !node.isSuspended)
                stepNode(node);
        }
        for (int caller = 0; caller < 8; ++caller)
            call(m_callers[caller]);
        std::erase_if(m_requests, [this](const auto &request) {
            if (m_fleet.now < request.end)
                return false;
            EntryRunner &runner = m_runners[request.node];
            if (runner.processIncarnation == request.processIncarnation
                && m_fleet.nodes.at(request.node).isRunning && runner.drain->inProgress() > 0)
                runner.drain->onRequestFinished(m_fleet.now);
            return true;
        });
    }

    void stepNode(FleetNode &node)
    {
        EntryRunner &runner = m_runners[node.name];
        if (runner.processIncarnation
            != node.processIncarnation) { // a process that has just started
            runner.processIncarnation = node.processIncarnation;
            runner.drain = std::make_unique<NodeDrain>(m_settings);
            runner.directory =
                    std::make_unique<AddressDirectory>(AddressSettings {}, node.processIncarnation);
            runner.upstreams = {};
            runner.upstreams.onConfig(node.tracker->inForce().texts);
            if (m_drainedIncarnations.contains(node.name))
                runner.isDraining =
                        false; // killed while it drained: the new process receives no SIGTERM
        }
        rebuild(node, runner);
        if (runner.isDraining && runner.drain->phase() == DrainPhase::Running) {
            m_drainedIncarnations[node.name] = node.processIncarnation;
            runner.drain->start(m_fleet.now);
        }
        runner.drain->tick(m_fleet.now);
        for (const DrainAction &action : runner.drain->takeActions()) {
            if (std::holds_alternative<AnnounceLeaving>(action))
                node.membership->announceLeaving(m_fleet.now);
            if (std::holds_alternative<StopNow>(action)
                || (m_ablation.stopsWithRequestsInProgress
                    && std::holds_alternative<RefuseNewWork>(action)))
                stop(node);
        }
    }

    void stop(FleetNode &node)
    {
        for (const auto &request : m_requests) {
            if (request.node == node.name && request.processIncarnation == node.processIncarnation
                && m_fleet.now < request.end)
                ++m_result.cutRequests;
        }
        m_stoppedIncarnations[node.name] = node.processIncarnation;
        node.membership->announceStopped(m_fleet.now);
        m_fleet.after(250ms, [&node, processIncarnation = node.processIncarnation, this] {
            if (node.processIncarnation == processIncarnation)
                m_fleet.kill(node);
        });
    }

    void rebuild(FleetNode &node, EntryRunner &runner)
    {
        std::vector<EntryNode> nodes;
        std::size_t others = 0;
        for (const auto &[name, row] : node.membership->members()) {
            if (row.state == MemberState::Joining || row.state == MemberState::Dead)
                continue;
            EntryNodeState state = EntryNodeState::Leaving;
            if (node.membership->isUsable(row, m_fleet.now))
                state = EntryNodeState::Usable;
            else if (row.state == MemberState::Suspect)
                state = EntryNodeState::Suspect;
            nodes.push_back({ name, row.zone, name, state });
            others += state == EntryNodeState::Usable && name != node.name ? 1 : 0;
        }
        runner.directory->rebuild(std::move(nodes), {});
        runner.drain->setOtherUsableNodes(others, m_fleet.now);
    }

    /// Simulates one caller: it queries any running node for addresses when its answer has expired,
    /// and uses the first node that admits its request.
    void call(HeldAnswer &held)
    {
        if (m_fleet.now >= held.expiry) {
            FleetNode &queried = anyRunning();
            if (!m_runners[queried.name].directory)
                return;
            const auto answer =
                    m_runners[queried.name].directory->answer({ "s", "", queried.zone });
            if (!isOk(answer))
                return;
            held.addresses = valueOf(answer).addresses;
            held.expiry = m_fleet.now + valueOf(answer).lifetime;
            // A caller may use any address of the answer, not only the first.
            std::shuffle(held.addresses.begin(), held.addresses.end(), m_random.engine());
        }
        for (const std::string &name : held.addresses) {
            FleetNode &node = m_fleet.nodes.at(name);
            EntryRunner &runner = m_runners[name];
            if (!node.isRunning && m_stoppedIncarnations[name] == node.processIncarnation)
                ++m_result.refusals; // it stopped as planned, but a caller still holds its address
            if (!node.isRunning || node.isSuspended
                || runner.processIncarnation != node.processIncarnation)
                continue; // a crash, not a planned stop
            if (!runner.drain->onRequest()) {
                ++m_result.refusals;
                continue;
            }
            const auto span = std::chrono::milliseconds(500 + 500 * m_random.below(60));
            m_requests.push_back({ name, node.processIncarnation, m_fleet.now + span });
            ++m_result.served;
            routeToUpstream(node, runner);
            return;
        }
    }

    // The drain is published at 8 s and the faults end at 30 s; 15 s later, from 45 s on, no node
    // may send new work.
    void routeToUpstream(const FleetNode &node, EntryRunner &runner)
    {
        // A node without any configuration must not serve.
        const bool sends = node.tracker->revision() > 0 && runner.upstreams.mayReceive("engine-1");
        if (sends && m_fleet.now >= Instant(1000s) + 45s)
            ++m_result.lateRequests;
    }

    FleetNode &anyRunning()
    {
        std::vector<FleetNode *> running;
        for (auto &[name, node] : m_fleet.nodes) {
            if (node.isRunning && !node.isSuspended)
                running.push_back(&node);
        }
        if (running.empty())
            return m_fleet.nodes.begin()->second;
        return *running[m_random.below(running.size())];
    }

    struct Request
    {
        std::string node;
        std::uint64_t processIncarnation = 0;
        Instant end {};
    };

    Fleet m_fleet;
    Random m_random;
    Scenario m_scenario;
    Ablation m_ablation;
    DrainSettings m_settings;
    std::unique_ptr<FaultPlan> m_plan;
    std::map<std::string, EntryRunner> m_runners;
    std::map<std::string, std::uint64_t> m_drainedIncarnations; // processes that received SIGTERM
    std::map<std::string, std::uint64_t> m_stoppedIncarnations; // processes that stopped as planned
    std::map<int, HeldAnswer> m_callers;
    std::vector<Request> m_requests;
    DrainResult m_result;
    bool m_disarmed = false;
};

DrainResult runSchedule(Scenario scenario, const std::vector<FaultSpec> &specs, std::uint64_t seed,
                        const Ablation &ablation = {})
{
    return DrainRun(scenario, specs, seed, ablation).run();
}

std::vector<FaultSpec> allFaults()
{
    std::vector<FaultSpec> specs;
    for (const ProtocolStep &step : Steps) {
        for (const FaultType &fault : FaultTypes) {
            if (step.isCall ? fault.onCalls : fault.onMessages)
                specs.push_back({ &step, &fault, 1 });
        }
    }
    return specs;
}

/// Chooses at which occurrence of its step a fault is injected: before, during or after the start
/// of the drain.
FaultSpec withRandomOccurrence(FaultSpec spec, const std::map<std::string_view, int> &counts,
                               Random &random)
{
    const auto count = counts.find(spec.step->name);
    const int maxOccurrence = count == counts.end() ? 2 : std::min(count->second, 150);
    spec.occurrence = 1 + static_cast<int>(random.below(static_cast<std::size_t>(maxOccurrence)));
    return spec;
}

void addResult(MatrixCells &cells, std::string &violationTexts, const FaultSpec &step,
               const std::string &faults, int scenario, const DrainResult &result)
{
    cells.add(step.step->name, faults, ScenarioNames[scenario], result.allFaultsInjected,
              result.violations());
    if (result.violations() == 0)
        return;
    violationTexts += "\n  ";
    violationTexts += step.step->name;
    violationTexts += ", " + faults + ", " + ScenarioNames[scenario];
    violationTexts += ": cuts " + std::to_string(result.cutRequests) + ", refused "
            + std::to_string(result.refusals);
    violationTexts += ", late work " + std::to_string(result.lateRequests);
    violationTexts += ", not stopped " + std::to_string(result.notStopped);
}

void printSummary(const char *name, const MatrixCells &cells, const std::string &violationTexts)
{
    std::printf("%s: %llu schedules, %llu more in which a fault found no occasion, %llu with a "
                "violation%s\n",
                name, static_cast<unsigned long long>(cells.schedules),
                static_cast<unsigned long long>(cells.notInjected),
                static_cast<unsigned long long>(cells.violating),
                violationTexts.substr(0, 2000).c_str());
}

constexpr std::uint64_t Seed = 20261203;

std::uint64_t runSingles(int rounds, const Ablation &ablation, const char *name, bool report)
{
    Random random(Seed);
    MatrixCells cells("planned stop");
    std::string violationTexts;
    for (int scenario = 0; scenario < 3; ++scenario) {
        const auto counts = runSchedule(static_cast<Scenario>(scenario), {}, 1).counts;
        for (const FaultSpec &spec : allFaults()) {
            for (int round = 0; round < rounds; ++round) {
                const FaultSpec chosen = withRandomOccurrence(spec, counts, random);
                const auto result = runSchedule(static_cast<Scenario>(scenario), { chosen },
                                                random.below(1'000'000), ablation);
                addResult(cells, violationTexts, spec, spec.fault->name, scenario, result);
            }
        }
    }
    printSummary(name, cells, report ? violationTexts : violationTexts.substr(0, 160));
    if (report)
        cells.report();
    return cells.violating;
}

} // namespace

TEST_GROUP(DrainFaults) {};

TEST(DrainFaults, SingleFaultAtEveryStepCausesNoViolation)
{
    LONGS_EQUAL(0, runSingles(6, {}, "single faults", true));
}

TEST(DrainFaults, EveryPairOfFaultsCausesNoViolation)
{
    Random random(Seed + 1);
    MatrixCells cells("planned stop");
    std::string violationTexts;
    const auto counts = runSchedule(Scenario::OneDrains, {}, 1).counts;
    const std::vector<FaultSpec> specs = allFaults();
    for (const FaultSpec &left : specs) {
        for (const FaultSpec &right : specs) {
            const std::vector<FaultSpec> pair { withRandomOccurrence(left, counts, random),
                                                withRandomOccurrence(right, counts, random) };
            const int scenario = static_cast<int>(random.below(3));
            const auto result =
                    runSchedule(static_cast<Scenario>(scenario), pair, random.below(1'000'000));
            addResult(cells, violationTexts, left,
                      std::string(left.fault->name) + " + " + right.fault->name, scenario, result);
        }
    }
    printSummary("pairs of faults", cells, violationTexts);
    cells.report();
    LONGS_EQUAL(0, cells.violating);
}

// A zone is cut off just before the drain: its nodes keep the draining node in their answers until
// they suspect it.
std::uint64_t runZoneCutsBeforeDrain(const Ablation &ablation, const char *name)
{
    Random random(Seed);
    MatrixCells cells("planned stop");
    const ProtocolStep *ping = &Steps[0];
    const auto cut = std::find_if(std::begin(FaultTypes), std::end(FaultTypes),
                                  [](const auto &row) { return row.kind == FaultKind::ZoneCut; });
    for (int round = 0; round < 400; ++round) {
        const FaultSpec spec { ping, &*cut, 10 + static_cast<int>(random.below(15)) };
        const auto result =
                runSchedule(Scenario::OneDrains, { spec }, random.below(1'000'000), ablation);
        cells.add("ping", cut->name, "", result.allFaultsInjected, result.violations());
    }
    printSummary(name, cells, "");
    return cells.violating;
}

TEST(DrainFaults, ZonePartitionBeforeDrainCausesNoViolation)
{
    LONGS_EQUAL(0, runZoneCutsBeforeDrain({}, "zone cut just before"));
    const Ablation ablation { false, true, false, false };
    CHECK(runZoneCutsBeforeDrain(ablation, "the same, waits for its own answers only") > 0);
}

// Shows that the checker detects violations: each run switches one mechanism off.
TEST(DrainFaults, CheckerDetectsAblations)
{
    CHECK(runSingles(1, { true, false, false, false }, "refuses at once", false) > 0);
    CHECK(runSingles(1, { false, false, true, false }, "no repair by gossip", false) > 0);
    CHECK(runSingles(1, { false, false, false, true }, "stops in progress", false) > 0);
}

TEST(DrainFaults, RunsWithoutFaultsHaveNoViolation)
{
    for (int scenario = 0; scenario < 3; ++scenario) {
        const auto result = runSchedule(static_cast<Scenario>(scenario), {}, 1);
        std::printf("%s: served %llu, cuts %llu, refused %llu, late work %llu, not stopped %llu\n",
                    ScenarioNames[scenario], static_cast<unsigned long long>(result.served),
                    static_cast<unsigned long long>(result.cutRequests),
                    static_cast<unsigned long long>(result.refusals),
                    static_cast<unsigned long long>(result.lateRequests),
                    static_cast<unsigned long long>(result.notStopped));
        CHECK(result.served > 100);
        LONGS_EQUAL(0, result.violations());
    }
}
