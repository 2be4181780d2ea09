// The fault matrix of the ledger: every fault at every step, alone and in pairs, judged from
// outside by the plain service's own count of runs and by what callers were told.
#include "ledgerfleet.h"
#include "support/faultreport.h"

#include <CppUTest/TestHarness.h>

#include <cstdio>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t Seed = 20261203;
constexpr int SinglePassages = 6;
constexpr int PairPassages = 4;

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
            if (applies(cell.step, cell.fault))
                cells.push_back(cell);
        }
    }
    return cells;
}

struct Tally
{
    std::uint64_t schedules = 0;
    std::uint64_t struck = 0;     // schedules in which every fault met its step
    std::uint64_t violations = 0; // schedules in which something did not hold
    std::uint64_t unsafe = 0;     // of those, more than a missing final answer

    void add(const Tally &other)
    {
        schedules += other.schedules;
        struck += other.struck;
        violations += other.violations;
        unsafe += other.unsafe;
    }

    void print(const char *name) const
    {
        std::printf("%s: seed %llu, %llu schedules, %llu with every fault struck, "
                    "%llu violations, %llu of them unsafe\n",
                    name, static_cast<unsigned long long>(Seed),
                    static_cast<unsigned long long>(schedules),
                    static_cast<unsigned long long>(struck),
                    static_cast<unsigned long long>(violations),
                    static_cast<unsigned long long>(unsafe));
    }
};

void printViolation(std::uint64_t seed, const std::vector<Strike> &strikes,
                    const std::string &violation)
{
    static int printed = 0;
    if (++printed > 20)
        return;
    std::printf("  seed %llu:", static_cast<unsigned long long>(seed));
    for (const Strike &strike : strikes)
        std::printf(" [%s, %s %d]", nameOf(strike.fault), nameOf(strike.step), strike.passage);
    std::printf(" %s\n", violation.c_str());
}

Tally runOne(std::uint64_t seed, const std::vector<Strike> &strikes, const FleetOptions &options,
             bool print)
{
    LedgerFleet fleet(seed, strikes, options);
    fleet.run();
    const std::vector<std::string> violations = fleet.check();
    Tally tally { 1, fleet.allStruck() ? 1U : 0U, 0, 0 };
    if (violations.empty())
        return tally;
    tally.violations = 1;
    for (const std::string &each : violations) {
        if (each.find("no final answer") == std::string::npos)
            tally.unsafe = 1;
    }
    if (print)
        printViolation(seed, strikes, violations.front());
    return tally;
}

FaultCell reportRow(const std::string &step, const std::string &fault, const Tally &tally)
{
    FaultCell row { "ledger", step, fault, "", tally.schedules, tally.violations, "" };
    if (tally.struck == 0)
        row.notCovered = "the step is not passed in these schedules";
    return row;
}

/// Runs each fault at each step alone, at several passages and with two timings.
Tally runSingles(const FleetOptions &options, bool print, std::vector<FaultCell> &rows)
{
    Tally sum;
    for (const Cell &cell : allCells()) {
        Tally tally;
        for (int passage = 1; passage <= SinglePassages; ++passage) {
            for (std::uint64_t seed = Seed; seed < Seed + 2; ++seed)
                tally.add(runOne(seed, { { cell.step, cell.fault, passage } }, options, print));
        }
        sum.add(tally);
        rows.push_back(reportRow(nameOf(cell.step), nameOf(cell.fault), tally));
    }
    return sum;
}

/// Runs every stride-th pair of a fault at a step with another.
Tally runPairs(const FleetOptions &options, std::uint64_t seed, std::size_t stride, bool print,
               std::vector<FaultCell> &rows)
{
    const std::vector<Cell> cells = allCells();
    Random random(seed);
    std::map<std::pair<Fault, Fault>, Tally> tallies;
    std::size_t number = 0;
    for (std::size_t first = 0; first < cells.size(); ++first) {
        for (std::size_t second = first; second < cells.size(); ++second) {
            const int passage = 1 + static_cast<int>(random.below(PairPassages));
            const int other = 1 + static_cast<int>(random.below(PairPassages));
            if (++number % stride != 0)
                continue;
            const std::vector<Strike> strikes = {
                { cells[first].step, cells[first].fault, passage },
                { cells[second].step, cells[second].fault, other }
            };
            const std::pair<Fault, Fault> faults =
                    std::minmax(cells[first].fault, cells[second].fault);
            tallies[faults].add(runOne(seed + number, strikes, options, print));
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

/// @return what the schedules above leave out, by name
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

/// Runs a part of the matrix with a mechanism switched off.
Tally runAblation(const char *name, const FleetOptions &options)
{
    std::vector<FaultCell> ignored;
    Tally tally = runSingles(options, false, ignored);
    tally.add(runPairs(options, Seed, 40, false, ignored));
    tally.print(name);
    return tally;
}

void checkHasTeeth(const char *name, const FleetOptions &options)
{
    CHECK_TEXT(runAblation(name, options).unsafe > 0, name);
}

} // namespace

TEST_GROUP(LedgerFaults) {};

TEST(LedgerFaults, WithoutFaultsEveryOrderIsAnsweredAndEveryStepIsPassed)
{
    LedgerFleet fleet(Seed, {}, {});
    fleet.run();
    for (const std::string &violation : fleet.check())
        FAIL(violation.c_str());
    LONGS_EQUAL(0, fleet.unknownAnswers());
    for (const auto &[step, count] : fleet.passages())
        std::printf("  %s %d\n", nameOf(step), count);
    LONGS_EQUAL(static_cast<int>(Step::Count), fleet.passages().size());
}

TEST(LedgerFaults, EachFaultAtEachStep)
{
    std::vector<FaultCell> rows;
    const Tally tally = runSingles({}, true, rows);
    reportCells(rows);
    tally.print("single faults");
    LONGS_EQUAL(0, tally.violations);
}

TEST(LedgerFaults, PairsOfFaults)
{
    std::vector<FaultCell> rows;
    const Tally tally = runPairs({}, Seed, 1, true, rows);
    for (const FaultCell &cell : cellsNotCovered())
        rows.push_back(cell);
    reportCells(rows);
    tally.print("pairs of faults");
    LONGS_EQUAL(0, tally.violations);
    // Some of them again, at other passages and with other timings.
    std::vector<FaultCell> ignored;
    const Tally again = runPairs({}, Seed + 1'000'000, 4, true, ignored);
    again.print("pairs of faults again");
    LONGS_EQUAL(0, again.violations);
}

// ---- The checker has teeth: each mechanism switched off is noticed ------------------------------

TEST(LedgerFaults, NoticesGrantsBeforeTheWrite)
{
    FleetOptions options;
    options.ablation.grantBeforeCommit = true;
    checkHasTeeth("grant before the write", options);
}

TEST(LedgerFaults, NoticesGrantsOnUnknownWrites)
{
    FleetOptions options;
    options.ablation.trustUnknownWrites = true;
    checkHasTeeth("grant on a write without an answer", options);
}

TEST(LedgerFaults, NoticesAcknowledgementsBeforeTheWrite)
{
    FleetOptions options;
    options.ablation.ackBeforeCommit = true;
    checkHasTeeth("acknowledge before the write", options);
}

TEST(LedgerFaults, NoticesGrantsOfWhatALostNodeHeld)
{
    FleetOptions options;
    options.ablation.regrantDeadNodes = true;
    checkHasTeeth("grant again what a lost node held", options);
}

TEST(LedgerFaults, NoticesWritesWithoutAVersion)
{
    FleetOptions options;
    options.blindWrites = true;
    checkHasTeeth("writes without a version", options);
}

TEST(LedgerFaults, NoticesReleasesAfterBytesWereSent)
{
    FleetOptions options;
    options.releaseAfterSend = true;
    checkHasTeeth("release after bytes were sent", options);
}

// Nothing runs twice then, but an order whose release was lost stays in progress.
TEST(LedgerFaults, NoticesMissingReminders)
{
    FleetOptions options;
    options.noReminders = true;
    const Tally tally = runAblation("no reminders", options);
    CHECK(tally.violations > 0);
    LONGS_EQUAL(0, tally.unsafe);
}
