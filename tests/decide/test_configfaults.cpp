// Fault matrix of publishing, configuration fan-out and membership: injects every fault at every
// message and call, alone and in pairs. One checker verifies the invariants from outside.
#include "decide/faultmatrix.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>

using namespace burdock;
using namespace burdock::testing;
using namespace std::chrono_literals;

namespace {

constexpr ProtocolStep Steps[] = {
    { "ping", false },         { "ack", false },        { "ping request", false },
    { "pull request", false }, { "pull reply", false }, { "notice", false },
    { "report", false },       { "watch", true },       { "watch answer", true },
    { "entry fetch", true },   { "head read", true },   { "head write", true },
    { "entry create", true },  { "entry read", true },
};

class AcceptingChecker : public CatalogChecker
{
public:
    Result<Done> check(const std::map<std::string, std::string> &) const override
    {
        return Done {};
    }
};

// ---- Checker ------------------------------------------------------------------------------------

/// Verifies the invariants from outside: which heads are stored, in which order, and which revision
/// comes into force on each node.
class Checker
{
public:
    explicit Checker(Fleet &fleet)
        : m_fleet(fleet)
    {
        fleet.onStored = [this](const ConfigHead &head) {
            onStored(head);
        };
        fleet.onApplied = [this](const FleetNode &node, const ApplyConfig &action) {
            onApplied(node, action);
        };
    }

    void fail(const std::string &what)
    {
        ++violations;
        if (first.empty())
            first = what;
    }

    void onStored(const ConfigHead &head)
    {
        const ConfigHead &previous = m_storedHeads.empty() ? m_emptyHead : m_storedHeads.back();
        if (head.revision != previous.revision + 1)
            fail("a revision was stored out of order");
        std::set<std::string> touched;
        if (!head.history.empty())
            touched.insert(head.history.back().touched.begin(), head.history.back().touched.end());
        auto before = previous.entries;
        auto after = head.entries;
        for (const std::string &key : touched) {
            before.erase(key);
            after.erase(key);
        }
        if (before != after)
            fail("a publish reverted an entry of another publish");
        m_storedHeads.push_back(head);
    }

    void onApplied(const FleetNode &node, const ApplyConfig &action)
    {
        std::uint64_t &highest = m_highestRevisions[{ node.name, node.processIncarnation }];
        if (action.revision <= highest)
            fail(node.name + " put a revision in force that is not higher");
        highest = std::max(highest, action.revision);
        const auto stored =
                std::find_if(m_storedHeads.begin(), m_storedHeads.end(),
                             [&](const auto &head) { return head.revision == action.revision; });
        if (stored == m_storedHeads.end()) {
            fail("a revision that was never stored came into force");
            return;
        }
        std::map<std::string, std::string> hashes;
        for (const auto &[key, text] : action.texts)
            hashes[key] = contentHash(text);
        if (hashes != stored->entries)
            fail("a node has other content in force than was stored for the revision");
    }

    void onOutcome(const std::string &publishId, const Result<std::uint64_t> &outcome)
    {
        m_outcomes.emplace_back(publishId, outcome);
    }

    void checkFinalState()
    {
        for (const auto &[id, outcome] : m_outcomes) {
            const PublishRecord *record = findPublish(m_fleet.storedHead, id);
            if (isOk(outcome) && (record == nullptr || record->revision != valueOf(outcome)))
                fail("a publish reported as done is missing or has another revision");
            const bool unknown =
                    !isOk(outcome) && errorOf(outcome).code == ResultCode::PlatformUnknownOutcome;
            if (!isOk(outcome) && !unknown && record != nullptr)
                fail("a publish reported as refused is in force");
        }
        for (const auto &[name, node] : m_fleet.nodes) {
            if (node.tracker->revision() != m_fleet.storedHead.revision)
                fail(name + " does not have the newest revision 15 s after the faults");
            for (const auto &[other, row] : node.membership->members()) {
                if (row.state != MemberState::Alive)
                    fail("a running node is listed as " + memberStateName(row.state));
            }
        }
    }

    std::uint64_t violations = 0;
    std::string first;

private:
    Fleet &m_fleet;
    ConfigHead m_emptyHead;
    std::vector<ConfigHead> m_storedHeads;
    std::map<std::pair<std::string, std::uint64_t>, std::uint64_t> m_highestRevisions;
    std::vector<std::pair<std::string, Result<std::uint64_t>>> m_outcomes;
};

// ---- Operators ----------------------------------------------------------------------------------

/// Runs one burdockctl publish against the store of the fleet; each call is subject to faults.
class Operator
{
public:
    Operator(Fleet &fleet, Checker &checker, const std::string &name, const std::string &id,
             const std::string &key)
        : m_fleet(fleet)
        , m_checker(checker)
        , m_name(name)
    {
        m_request.publishId = id;
        m_request.operatorName = name;
        m_request.changes[key] = "text of " + id;
    }

    void start()
    {
        ++m_run;
        PublisherSettings settings;
        settings.publishTimeout = 7s;
        m_publisher = std::make_unique<Publisher>(settings, m_request, m_accepting, m_fleet.now);
        step();
    }

    /// Terminates the operator's process and starts it again 2 s later with the same publish id.
    void restart()
    {
        m_fleet.after(Duration(1), [this] {
            ++m_run;
            m_publisher.reset();
            m_request.mayHaveBeenSent = true;
        });
        m_fleet.after(2s, [this] { start(); });
    }

    const std::string &name() const { return m_name; }

private:
    void step()
    {
        if (!m_publisher)
            return;
        m_publisher->tick(m_fleet.now);
        for (const PublisherAction &action : m_publisher->takeActions())
            std::visit([&](const auto &each) { call(each); }, action);
        if (m_publisher->outcome()) {
            m_checker.onOutcome(m_request.publishId, *m_publisher->outcome());
            m_publisher.reset();
            return;
        }
        m_fleet.after(150ms, [run = m_run, this] {
            if (run == m_run)
                step();
        });
    }

    /// Sends one call.
    /// @param serve performs the effect of the call, or none if its argument is false, and returns
    /// the function that delivers the response
    void send(const char *step, const std::function<std::function<void(Publisher &)>(bool)> &serve)
    {
        const Delivery delivery = m_fleet.fault(step, m_name, "store");
        for (int copy = 0; copy < delivery.copies; ++copy) {
            m_fleet.after(std::chrono::milliseconds(3 + copy) + delivery.delay,
                          [=, run = m_run, this] {
                              const auto deliver = serve(!delivery.isRefused);
                              if (delivery.isAnswerLost)
                                  return;
                              m_fleet.after(3ms, [=, this] {
                                  if (run != m_run || !m_publisher)
                                      return;
                                  deliver(*m_publisher);
                                  for (const PublisherAction &action : m_publisher->takeActions())
                                      std::visit([&](const auto &each) { call(each); }, action);
                              });
                          });
        }
    }

    void call(const ReadConfigHead &action)
    {
        send("head read", [=, this](bool served) -> std::function<void(Publisher &)> {
            const ConfigHead head = m_fleet.storedHead;
            const std::uint64_t version = m_fleet.headVersion;
            return [=, this](Publisher &publisher) {
                if (served)
                    publisher.onHeadRead(action.requestId, head, version, m_fleet.now);
                else
                    publisher.onReadFailed(action.requestId, m_fleet.now);
            };
        });
    }

    void call(const ReadConfigEntry &action)
    {
        send("entry read", [=, this](bool served) -> std::function<void(Publisher &)> {
            const std::string text = m_fleet.entries[entryPath(action.key, action.hash)];
            return [=, this](Publisher &publisher) {
                if (served)
                    publisher.onEntryRead(action.requestId, text, m_fleet.now);
                else
                    publisher.onReadFailed(action.requestId, m_fleet.now);
            };
        });
    }

    void call(const CreateConfigEntry &action)
    {
        send("entry create", [=, this](bool served) -> std::function<void(Publisher &)> {
            if (served)
                m_fleet.entries[entryPath(action.key, action.hash)] = action.text;
            return [=, this](Publisher &publisher) {
                publisher.onEntryCreated(action.requestId,
                                         served ? WriteOutcome::Done : WriteOutcome::Unavailable,
                                         m_fleet.now);
            };
        });
    }

    void call(const WriteConfigHead &action)
    {
        send("head write", [=, this](bool served) -> std::function<void(Publisher &)> {
            const WriteOutcome outcome = served
                    ? m_fleet.writeHead(action.expectedVersion, action.head)
                    : WriteOutcome::Unavailable;
            return [=, this](Publisher &publisher) {
                publisher.onHeadWritten(action.requestId, outcome, m_fleet.now);
            };
        });
    }

    Fleet &m_fleet;
    Checker &m_checker;
    std::string m_name;
    PublishRequest m_request;
    AcceptingChecker m_accepting;
    std::unique_ptr<Publisher> m_publisher;
    std::uint64_t m_run = 0;
};

// ---- One schedule -------------------------------------------------------------------------------

/// Mechanisms that are switched off to show that the checker detects their absence.
struct Ablation
{
    bool ignoresExpectedVersion = false; // the head is written without its version condition
    bool acceptAnyRevision = false;      // nodes accept lower revisions from peers
    bool noPullOnGossip = false;         // nodes ignore the revisions in gossip messages
};

struct ScheduleResult
{
    bool allInjected = false;
    std::uint64_t violations = 0;
    std::string first;
    std::map<std::string_view, int> counts;
};

ScheduleResult runSchedule(const std::vector<FaultSpec> &specs, std::uint64_t seed,
                           const Ablation &ablation)
{
    Fleet fleet(5, 2, seed * 1000);
    fleet.tickInterval = 250ms;
    fleet.trackerDefaults.watchersPerZone = 1;
    fleet.trackerDefaults.keepHighestRevision = !ablation.acceptAnyRevision;
    fleet.trackerDefaults.pullOnGossip = !ablation.noPullOnGossip;
    fleet.trackerDefaults.noticeFanout = 2;
    fleet.ignoresExpectedVersion = ablation.ignoresExpectedVersion;
    for (auto &[name, node] : fleet.nodes)
        fleet.start(node);

    Checker checker(fleet);
    FaultPlan plan(fleet, specs);
    const bool sameService = seed % 2 == 0;
    Operator first(fleet, checker, "operator-1", "p1", serviceKey("orders"));
    Operator second(fleet, checker, "operator-2", "p2", serviceKey("models"));
    Operator third(fleet, checker, "operator-3", "p3",
                   serviceKey(sameService ? "models" : "lookup"));
    Operator fourth(fleet, checker, "operator-4", "p4", drainKey("engine-1"));
    plan.onOperatorKilled = [&](const std::string &name) {
        for (Operator *each : { &first, &second, &third, &fourth }) {
            if (each->name() == name)
                each->restart();
        }
    };
    const Instant start = fleet.now;
    fleet.at(start + 3s, [&] { first.start(); });
    fleet.at(start + 5s, [&] { plan.arm(); });
    fleet.at(start + 5'500ms, [&] {
        second.start();
        third.start();
    });
    fleet.at(start + 10s, [&] { fourth.start(); });
    fleet.runUntil(start + 22s);
    plan.disarm();
    fleet.runUntil(start + 37s);
    checker.checkFinalState();
    return { plan.allInjected(), checker.violations, checker.first, plan.counts() };
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

/// Chooses a random occurrence of the step for the fault, among those counted in a run without
/// faults (2 if the step did not occur there, at most 60).
FaultSpec withRandomOccurrence(FaultSpec spec, const std::map<std::string_view, int> &counts,
                               Random &random)
{
    const auto count = counts.find(spec.step->name);
    const int maxOccurrence = count == counts.end() ? 2 : std::min(count->second, 60);
    spec.occurrence = 1 + static_cast<int>(random.below(static_cast<std::size_t>(maxOccurrence)));
    return spec;
}

void printSummary(const char *name, const MatrixCells &cells, const std::string &first)
{
    std::printf("%s: %llu schedules, %llu more in which a fault was not injected, %llu with a "
                "violation%s%s\n",
                name, static_cast<unsigned long long>(cells.schedules),
                static_cast<unsigned long long>(cells.notInjected),
                static_cast<unsigned long long>(cells.violating),
                first.empty() ? "" : "; first: ", first.c_str());
}

constexpr std::uint64_t Seed = 20261203;

/// Runs each fault alone at randomly chosen occurrences.
/// @param rounds schedules per fault
/// @return number of schedules with a violation
std::uint64_t runSingles(int rounds, const Ablation &ablation, const char *name, bool report)
{
    Random random(Seed);
    MatrixCells cells("configuration");
    std::string first;
    const auto counts = runSchedule({}, 1, {}).counts;
    for (const FaultSpec &spec : allFaults()) {
        for (int round = 0; round < rounds; ++round) {
            const FaultSpec chosen = withRandomOccurrence(spec, counts, random);
            const auto result = runSchedule({ chosen }, random.below(1'000'000), ablation);
            cells.add(spec.step->name, spec.fault->name, "", result.allInjected, result.violations);
            if (first.empty() && result.violations > 0)
                first = std::string(spec.step->name) + ", " + spec.fault->name + ": "
                        + result.first;
        }
    }
    printSummary(name, cells, first);
    if (report)
        cells.report();
    return cells.violating;
}

} // namespace

TEST_GROUP(ConfigFaults) {};

TEST(ConfigFaults, RunWithoutFaultsHasNoViolation)
{
    const auto result = runSchedule({}, 1, {});
    for (const auto &[step, count] : result.counts)
        std::printf("%s %d, ", std::string(step).c_str(), count);
    std::printf("\n%s\n", result.first.c_str());
    LONGS_EQUAL(0, result.violations);
}

TEST(ConfigFaults, NoViolationWithAnyFaultAtAnyStep)
{
    LONGS_EQUAL(0, runSingles(50, {}, "single faults", true));
}

TEST(ConfigFaults, NoViolationWithAnyPairOfFaults)
{
    Random random(Seed + 1);
    MatrixCells cells("configuration");
    std::string first;
    const auto counts = runSchedule({}, 1, {}).counts;
    const std::vector<FaultSpec> specs = allFaults();
    for (const FaultSpec &left : specs) {
        for (const FaultSpec &right : specs) {
            const std::vector<FaultSpec> pair { withRandomOccurrence(left, counts, random),
                                                withRandomOccurrence(right, counts, random) };
            const auto result = runSchedule(pair, random.below(1'000'000), {});
            cells.add(left.step->name, std::string(left.fault->name) + " + " + right.fault->name,
                      "", result.allInjected, result.violations);
            if (result.violations > 0)
                first += std::string("\n  ") + left.step->name + ", " + left.fault->name + " + "
                        + right.step->name + ", " + right.fault->name + ": " + result.first;
        }
    }
    printSummary("pairs of faults", cells, first);
    cells.report();
    LONGS_EQUAL(0, cells.violating);
}

// With one mechanism switched off, the checker must find violations.
TEST(ConfigFaults, CheckerDetectsEachAblation)
{
    CHECK(runSingles(2, { true, false, false }, "blind put of the head", false) > 0);
    CHECK(runSingles(2, { false, true, false }, "any revision from peers", false) > 0);
    CHECK(runSingles(2, { false, false, true }, "no repair by gossip", false) > 0);
}
