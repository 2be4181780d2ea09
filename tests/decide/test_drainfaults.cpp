// The fault matrix of planned stops: callers that keep addresses, nodes that drain alone, at once
// and through faults, and upstreams that leave. One checker counts cuts and false refusals.
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
    AllDrainOneJoins // all six, and a new one comes later
};

constexpr const char *ScenarioNames[] = { "one drains", "three drain at once",
                                          "all drain, one joins" };

// ---- Nodes and callers --------------------------------------------------------------------------

/// Mechanisms switched off, to show that the checker sees it.
struct Ablation
{
    bool refuseAtOnce = false;   // does not wait for answers to expire
    bool noConvergence = false;  // waits for its own answers only
    bool noRepair = false;       // configuration is spread by notices alone
    bool stopInProgress = false; // ends with requests in progress
};

struct DrainResult
{
    bool struck = false;
    std::uint64_t cuts = 0;     // requests in progress when their node ended as planned
    std::uint64_t refused = 0;  // callers turned away by a node that drains, with a good answer
    std::uint64_t lateWork = 0; // new work to a leaving upstream after the bound
    std::uint64_t notStopped = 0;
    std::uint64_t served = 0;
    std::map<std::string_view, int> counts;

    std::uint64_t violations() const { return cuts + refused + lateWork + notStopped; }
};

struct EntryShell
{
    std::unique_ptr<NodeDrain> drain;
    std::unique_ptr<AddressDirectory> directory;
    LeavingUpstreams upstreams;
    std::uint64_t life = 0;
    Instant rebuildAt {};
    bool drains = false;
};

/// What burdock-entry does with the modules, and callers that hold answers, in a few lines.
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
        m_fleet.keeperDefaults.watchersPerZone = 1;
        m_fleet.keeperDefaults.pullOnGossip = !ablation.noRepair;
        for (auto &[name, node] : m_fleet.nodes)
            m_fleet.start(node);
        m_settings.serveUntilAnswersExpire = !ablation.refuseAtOnce;
        if (ablation.noConvergence)
            m_settings.convergence = {};
        m_fleet.onApplied = [this](const FleetNode &node, const ApplyConfig &action) {
            m_shells[node.name].upstreams.onConfig(action.texts);
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
        for (auto &[name, shell] : m_shells) {
            const bool same = shell.life == m_drainedLife[name];
            if (shell.drains && same && shell.drain->phase() != DrainPhase::Stopped)
                ++m_result.notStopped;
        }
        m_result.struck = m_plan->allInjected();
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
        for (auto &[name, shell] : m_shells) {
            if (count-- <= 0)
                break;
            shell.drains = true; // SIGTERM; a frozen process gets it when it resumes
        }
    }

    void join()
    {
        m_fleet.vmList.push_back({ "vm-9", "zone-0", "vm-9:7000", false });
        m_fleet.nodes["vm-9"].name = "vm-9";
        m_fleet.nodes["vm-9"].zone = "zone-0";
        m_fleet.start(m_fleet.nodes["vm-9"]);
        for (auto &[name, node] : m_fleet.nodes) {
            if (node.up)
                node.membership->onVmList(m_fleet.vmList, m_fleet.now);
        }
    }

    // An operator's publish, done without faults: the fan-out is what is tested here.
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
            if (node.up && !node.frozen)
                stepNode(node);
        }
        for (int caller = 0; caller < 8; ++caller)
            call(m_callers[caller]);
        std::erase_if(m_requests, [this](const auto &request) {
            if (m_fleet.now < request.end)
                return false;
            EntryShell &shell = m_shells[request.node];
            if (shell.life == request.life && m_fleet.nodes.at(request.node).up
                && shell.drain->inProgress() > 0)
                shell.drain->onRequestFinished(m_fleet.now);
            return true;
        });
    }

    void stepNode(FleetNode &node)
    {
        EntryShell &shell = m_shells[node.name];
        if (shell.life != node.life) { // a process that has just started
            shell.life = node.life;
            shell.drain = std::make_unique<NodeDrain>(m_settings);
            shell.directory = std::make_unique<AddressDirectory>(AddressSettings {}, node.life);
            shell.upstreams = {};
            shell.upstreams.onConfig(node.keeper->inForce().texts);
            if (m_drainedLife.contains(node.name))
                shell.drains =
                        false; // killed while it drained: the new process is not told to stop
        }
        rebuild(node, shell);
        if (shell.drains && shell.drain->phase() == DrainPhase::Running) {
            m_drainedLife[node.name] = node.life;
            shell.drain->start(m_fleet.now);
        }
        shell.drain->tick(m_fleet.now);
        for (const DrainAction &action : shell.drain->takeActions()) {
            if (std::holds_alternative<AnnounceLeaving>(action))
                node.membership->announceLeaving(m_fleet.now);
            if (std::holds_alternative<StopNow>(action)
                || (m_ablation.stopInProgress && std::holds_alternative<RefuseNewWork>(action)))
                stop(node);
        }
    }

    void stop(FleetNode &node)
    {
        for (const auto &request : m_requests) {
            if (request.node == node.name && request.life == node.life && m_fleet.now < request.end)
                ++m_result.cuts;
        }
        m_stoppedLife[node.name] = node.life;
        node.membership->announceStopped(m_fleet.now);
        m_fleet.after(250ms, [&node, life = node.life, this] {
            if (node.life == life)
                m_fleet.kill(node);
        });
    }

    void rebuild(FleetNode &node, EntryShell &shell)
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
        shell.directory->rebuild(std::move(nodes), {});
        shell.drain->onOtherUsableNodes(others, m_fleet.now);
    }

    /// One caller: asks some node for addresses when its answer has expired, and uses the first
    /// one that takes it.
    void call(HeldAnswer &held)
    {
        if (m_fleet.now >= held.expiry) {
            FleetNode &asked = anyRunning();
            if (!m_shells[asked.name].directory)
                return;
            const auto answer = m_shells[asked.name].directory->answer({ "s", "", asked.zone });
            if (!isOk(answer))
                return;
            held.addresses = valueOf(answer).addresses;
            held.expiry = m_fleet.now + valueOf(answer).lifetime;
            // A caller may use any address it was told, not just the best.
            std::shuffle(held.addresses.begin(), held.addresses.end(), m_random.engine());
        }
        for (const std::string &name : held.addresses) {
            FleetNode &node = m_fleet.nodes.at(name);
            EntryShell &shell = m_shells[name];
            if (!node.up && m_stoppedLife[name] == node.life)
                ++m_result.refused; // it ended as planned, and somebody still holds its address
            if (!node.up || node.frozen || shell.life != node.life)
                continue; // a crash, not a planned stop
            if (!shell.drain->onRequest()) {
                ++m_result.refused;
                continue;
            }
            const auto span = std::chrono::milliseconds(500 + 500 * m_random.below(60));
            m_requests.push_back({ name, node.life, m_fleet.now + span });
            ++m_result.served;
            routeToUpstream(node, shell);
            return;
        }
    }

    // The order was accepted at 8 s; faults end at 30 s; 15 s later nobody may send new work.
    void routeToUpstream(const FleetNode &node, EntryShell &shell)
    {
        // A node without any configuration must not serve.
        const bool sends = node.keeper->revision() > 0 && shell.upstreams.mayReceive("engine-1");
        if (sends && m_fleet.now >= Instant(1000s) + 45s)
            ++m_result.lateWork;
    }

    FleetNode &anyRunning()
    {
        std::vector<FleetNode *> running;
        for (auto &[name, node] : m_fleet.nodes) {
            if (node.up && !node.frozen)
                running.push_back(&node);
        }
        if (running.empty())
            return m_fleet.nodes.begin()->second;
        return *running[m_random.below(running.size())];
    }

    struct Request
    {
        std::string node;
        std::uint64_t life = 0;
        Instant end {};
    };

    Fleet m_fleet;
    Random m_random;
    Scenario m_scenario;
    Ablation m_ablation;
    DrainSettings m_settings;
    std::unique_ptr<FaultPlan> m_plan;
    std::map<std::string, EntryShell> m_shells;
    std::map<std::string, std::uint64_t> m_drainedLife; // lives that were told to stop
    std::map<std::string, std::uint64_t> m_stoppedLife; // lives that ended as planned
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

/// Chooses at which occurrence a fault strikes: before, during and after the start of the drain.
FaultSpec placed(FaultSpec spec, const std::map<std::string_view, int> &counts, Random &random)
{
    const auto count = counts.find(spec.step->name);
    const int most = count == counts.end() ? 2 : std::min(count->second, 150);
    spec.occurrence = 1 + static_cast<int>(random.below(static_cast<std::size_t>(most)));
    return spec;
}

void addTo(MatrixCells &cells, std::string &first, const FaultSpec &step, const std::string &faults,
           int scenario, const DrainResult &result)
{
    cells.add(step.step->name, faults, ScenarioNames[scenario], result.struck, result.violations());
    if (result.violations() == 0)
        return;
    first += "\n  ";
    first += step.step->name;
    first += ", " + faults + ", " + ScenarioNames[scenario];
    first +=
            ": cuts " + std::to_string(result.cuts) + ", refused " + std::to_string(result.refused);
    first += ", late work " + std::to_string(result.lateWork);
    first += ", not stopped " + std::to_string(result.notStopped);
}

void show(const char *name, const MatrixCells &cells, const std::string &first)
{
    std::printf("%s: %llu schedules, %llu more in which a fault found no occasion, %llu with a "
                "violation%s\n",
                name, static_cast<unsigned long long>(cells.schedules),
                static_cast<unsigned long long>(cells.notInjected),
                static_cast<unsigned long long>(cells.violating), first.substr(0, 2000).c_str());
}

constexpr std::uint64_t Seed = 20261203;

std::uint64_t runSingles(int rounds, const Ablation &ablation, const char *name, bool report)
{
    Random random(Seed);
    MatrixCells cells("planned stop");
    std::string first;
    for (int scenario = 0; scenario < 3; ++scenario) {
        const auto counts = runSchedule(static_cast<Scenario>(scenario), {}, 1).counts;
        for (const FaultSpec &spec : allFaults()) {
            for (int round = 0; round < rounds; ++round) {
                const FaultSpec chosen = placed(spec, counts, random);
                const auto result = runSchedule(static_cast<Scenario>(scenario), { chosen },
                                                random.below(1'000'000), ablation);
                addTo(cells, first, spec, spec.fault->name, scenario, result);
            }
        }
    }
    show(name, cells, report ? first : first.substr(0, 160));
    if (report)
        cells.report();
    return cells.violating;
}

} // namespace

TEST_GROUP(DrainFaults) {};

TEST(DrainFaults, EveryFaultAtEveryStep)
{
    LONGS_EQUAL(0, runSingles(6, {}, "single faults", true));
}

TEST(DrainFaults, EveryPairOfFaults)
{
    Random random(Seed + 1);
    MatrixCells cells("planned stop");
    std::string first;
    const auto counts = runSchedule(Scenario::OneDrains, {}, 1).counts;
    const std::vector<FaultSpec> specs = allFaults();
    for (const FaultSpec &left : specs) {
        for (const FaultSpec &right : specs) {
            const std::vector<FaultSpec> pair { placed(left, counts, random),
                                                placed(right, counts, random) };
            const int scenario = static_cast<int>(random.below(3));
            const auto result =
                    runSchedule(static_cast<Scenario>(scenario), pair, random.below(1'000'000));
            addTo(cells, first, left, std::string(left.fault->name) + " + " + right.fault->name,
                  scenario, result);
        }
    }
    show("pairs of faults", cells, first);
    cells.report();
    LONGS_EQUAL(0, cells.violating);
}

// A zone is cut off just before the drain: that zone goes on naming the node until it suspects it.
std::uint64_t runZoneCutsAroundTheStart(const Ablation &ablation, const char *name)
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
        cells.add("ping", cut->name, "", result.struck, result.violations());
    }
    show(name, cells, "");
    return cells.violating;
}

TEST(DrainFaults, ZoneCutJustBeforeTheDrain)
{
    LONGS_EQUAL(0, runZoneCutsAroundTheStart({}, "zone cut just before"));
    const Ablation ablation { false, true, false, false };
    CHECK(runZoneCutsAroundTheStart(ablation, "the same, waits for its own answers only") > 0);
}

// The checker has teeth: with a mechanism switched off it sees violations.
TEST(DrainFaults, AblationsAreSeen)
{
    CHECK(runSingles(1, { true, false, false, false }, "refuses at once", false) > 0);
    CHECK(runSingles(1, { false, false, true, false }, "no repair by gossip", false) > 0);
    CHECK(runSingles(1, { false, false, false, true }, "stops in progress", false) > 0);
}

TEST(DrainFaults, NoFaultNoCutNoRefusal)
{
    for (int scenario = 0; scenario < 3; ++scenario) {
        const auto result = runSchedule(static_cast<Scenario>(scenario), {}, 1);
        std::printf("%s: served %llu, cuts %llu, refused %llu, late work %llu, not stopped %llu\n",
                    ScenarioNames[scenario], static_cast<unsigned long long>(result.served),
                    static_cast<unsigned long long>(result.cuts),
                    static_cast<unsigned long long>(result.refused),
                    static_cast<unsigned long long>(result.lateWork),
                    static_cast<unsigned long long>(result.notStopped));
        CHECK(result.served > 100);
        LONGS_EQUAL(0, result.violations());
    }
}
