// The fault matrix of the ledger: every fault at every step, alone and in pairs. The checker is
// independent of the ledger: it uses the runs that the plain service counted and the responses that
// callers received.
#include "ledgerfleet.h"
#include "support/faultreport.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr int MaxSingleOccurrence = 6;
constexpr int MaxPairOccurrence = 4;

struct Cell
{
    Step step;
    Fault fault;
};

std::vector<Cell> allCells()
{
    std::vector<Cell> cells;
    for (int step = 0; step < static_cast<int>(Step::Count); ++step) {
        for (int fault = 0; fault < static_cast<int>(Fault::Count); ++fault) {
            const Cell cell { static_cast<Step>(step), static_cast<Fault>(fault) };
            if (isApplicable(cell.step, cell.fault))
                cells.push_back(cell);
        }
    }
    return cells;
}

struct Tally
{
    std::uint64_t schedules = 0;
    std::uint64_t allInjected = 0; // schedules in which every fault was injected
    std::uint64_t violations = 0;  // schedules with at least one violation
    std::uint64_t unsafe = 0;      // of those, schedules with more than a missing final response

    void add(const Tally &other)
    {
        schedules += other.schedules;
        allInjected += other.allInjected;
        violations += other.violations;
        unsafe += other.unsafe;
    }

    void print(const char *name) const
    {
        std::printf("%s: seed %llu, %llu schedules, %llu with every fault injected, "
                    "%llu with violations, %llu of them unsafe\n",
                    name, static_cast<unsigned long long>(Seed),
                    static_cast<unsigned long long>(schedules),
                    static_cast<unsigned long long>(allInjected),
                    static_cast<unsigned long long>(violations),
                    static_cast<unsigned long long>(unsafe));
    }
};

void printViolation(std::uint64_t seed, const std::vector<InjectedFault> &injectedFaults,
                    const std::string &violation)
{
    static int printed = 0;
    if (++printed > 20)
        return;
    std::printf("  seed %llu:", static_cast<unsigned long long>(seed));
    for (const InjectedFault &injected : injectedFaults)
        std::printf(" [%s, %s %d]", nameOf(injected.fault), nameOf(injected.step),
                    injected.occurrence);
    std::printf(" %s\n", violation.c_str());
}

Tally runOne(std::uint64_t seed, const std::vector<InjectedFault> &injectedFaults,
             const FleetOptions &options, bool print)
{
    LedgerFleet fleet(seed, injectedFaults, options);
    fleet.run();
    const std::vector<std::string> violations = fleet.check();
    Tally tally { 1, fleet.allFaultsInjected() ? 1U : 0U, 0, 0 };
    if (violations.empty())
        return tally;
    tally.violations = 1;
    for (const std::string &violation : violations) {
        if (violation.find("no final response") == std::string::npos)
            tally.unsafe = 1;
    }
    if (print)
        printViolation(seed, injectedFaults, violations.front());
    return tally;
}

FaultCell reportRow(const std::string &step, const std::string &fault, const Tally &tally)
{
    FaultCell row { "ledger", step, fault, "", tally.schedules, tally.violations, "" };
    if (tally.allInjected == 0)
        row.notCovered = "the step is not passed in these schedules";
    return row;
}

/// Runs each fault at each step alone, at several occurrences of the step and with two timings.
Tally runSingles(const FleetOptions &options, bool print, std::vector<FaultCell> &rows)
{
    Tally sum;
    for (const Cell &cell : allCells()) {
        Tally tally;
        for (int occurrence = 1; occurrence <= MaxSingleOccurrence; ++occurrence) {
            for (std::uint64_t seed = Seed; seed < Seed + 2; ++seed)
                tally.add(runOne(seed, { { cell.step, cell.fault, occurrence } }, options, print));
        }
        sum.add(tally);
        rows.push_back(reportRow(nameOf(cell.step), nameOf(cell.fault), tally));
    }
    return sum;
}

/// Runs every stride-th pair of faults, each at one step.
Tally runPairs(const FleetOptions &options, std::uint64_t seed, std::size_t stride, bool print,
               std::vector<FaultCell> &rows)
{
    const std::vector<Cell> cells = allCells();
    Random random(seed);
    std::map<std::pair<Fault, Fault>, Tally> tallies;
    std::size_t number = 0;
    for (std::size_t first = 0; first < cells.size(); ++first) {
        for (std::size_t second = first; second < cells.size(); ++second) {
            const int occurrence = 1 + static_cast<int>(random.below(MaxPairOccurrence));
            const int other = 1 + static_cast<int>(random.below(MaxPairOccurrence));
            if (++number % stride != 0)
                continue;
            const std::vector<InjectedFault> injectedFaults = {
                { cells[first].step, cells[first].fault, occurrence },
                { cells[second].step, cells[second].fault, other }
            };
            const std::pair<Fault, Fault> faults =
                    std::minmax(cells[first].fault, cells[second].fault);
            tallies[faults].add(runOne(seed + number, injectedFaults, options, print));
        }
    }
    Tally sum;
    for (const auto &[faults, tally] : tallies) {
        const std::string names = std::string(nameOf(faults.first)) + " + " + nameOf(faults.second);
        rows.push_back(reportRow("any two steps", names, tally));
        sum.add(tally);
    }
    return sum;
}

/// @return the rows of the fault report for faults that these tests do not inject
std::vector<FaultCell> cellsNotCovered()
{
    const auto cell = [](const char *step, const char *fault, const char *reason) {
        return FaultCell { "ledger", step, fault, "", 0, 0, reason };
    };
    return {
        cell("list-segments", "every fault but store down",
             "the fleet strikes no other fault there"),
        cell("run, answer", "doubled", "a connection does not double what it carries"),
        cell("any step", "three faults or more", "only single faults and pairs are run"),
        cell("any step", "paused for longer than the retention", "beyond what the ledger promises"),
        cell("any step", "wall clock wrong by more than the retention",
             "beyond what the ledger promises"),
    };
}

/// Runs part of the matrix with one mechanism disabled.
Tally runAblation(const char *name, const FleetOptions &options)
{
    std::vector<FaultCell> ignored;
    Tally tally = runSingles(options, false, ignored);
    tally.add(runPairs(options, Seed, 40, false, ignored));
    tally.print(name);
    return tally;
}

void checkDetectsAblation(const char *name, const FleetOptions &options)
{
    CHECK_TEXT(runAblation(name, options).unsafe > 0, name);
}

} // namespace

TEST_GROUP(LedgerFaults) {};

TEST(LedgerFaults, WithoutFaultsEveryOrderIsAnsweredAndEveryStepOccurs)
{
    LedgerFleet fleet(Seed, {}, {});
    fleet.run();
    for (const std::string &violation : fleet.check())
        FAIL(violation.c_str());
    LONGS_EQUAL(0, fleet.unknownOutcomes());
    for (const auto &[step, count] : fleet.stepCounts())
        std::printf("  %s %d\n", nameOf(step), count);
    LONGS_EQUAL(static_cast<int>(Step::Count), fleet.stepCounts().size());
}

TEST(LedgerFaults, EachSingleFaultCausesNoViolation)
{
    std::vector<FaultCell> rows;
    const Tally tally = runSingles({}, true, rows);
    reportCells(rows);
    tally.print("single faults");
    LONGS_EQUAL(0, tally.violations);
}

TEST(LedgerFaults, PairsOfFaultsCauseNoViolation)
{
    std::vector<FaultCell> rows;
    const Tally tally = runPairs({}, Seed, 1, true, rows);
    for (const FaultCell &cell : cellsNotCovered())
        rows.push_back(cell);
    reportCells(rows);
    tally.print("pairs of faults");
    LONGS_EQUAL(0, tally.violations);
    // A quarter of the pairs again, at other occurrences and with other timings.
    std::vector<FaultCell> ignored;
    const Tally again = runPairs({}, Seed + 1'000'000, 4, true, ignored);
    again.print("pairs of faults, second seed");
    LONGS_EQUAL(0, again.violations);
}

// ---- Ablations: the checker detects each disabled mechanism -------------------------------------

TEST(LedgerFaults, DetectsGrantsBeforeTheWrite)
{
    FleetOptions options;
    options.ablation.grantBeforeCommit = true;
    checkDetectsAblation("grant before the write", options);
}

TEST(LedgerFaults, DetectsGrantsOnUnconfirmedWrites)
{
    FleetOptions options;
    options.ablation.trustUnknownWrites = true;
    checkDetectsAblation("grant on an unconfirmed write", options);
}

TEST(LedgerFaults, DetectsAcknowledgementsBeforeTheWrite)
{
    FleetOptions options;
    options.ablation.ackBeforeCommit = true;
    checkDetectsAblation("acknowledge before the write", options);
}

TEST(LedgerFaults, DetectsRepeatedGrantsOfOrdersOfDeadNodes)
{
    FleetOptions options;
    options.ablation.regrantDeadNodes = true;
    checkDetectsAblation("repeated grant of an order of a dead node", options);
}

TEST(LedgerFaults, DetectsWritesThatIgnoreTheVersion)
{
    FleetOptions options;
    options.blindWrites = true;
    checkDetectsAblation("writes that ignore the version", options);
}

TEST(LedgerFaults, DetectsReleasesAfterBytesWereSent)
{
    FleetOptions options;
    options.releaseAfterSend = true;
    checkDetectsAblation("release after bytes were sent", options);
}

// Without reminders no order runs twice, but an order whose Release was lost stays in progress.
TEST(LedgerFaults, DetectsMissingReminders)
{
    FleetOptions options;
    options.noReminders = true;
    const Tally tally = runAblation("no reminders", options);
    CHECK(tally.violations > 0);
    LONGS_EQUAL(0, tally.unsafe);
}
