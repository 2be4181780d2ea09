// Reports of demand: bounded in size, none of the rows left out for long, and totals that are true.
#include "placing/demandtable.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cmath>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

std::vector<CopyDemand> makeRows(int count)
{
    std::vector<CopyDemand> rows;
    rows.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        rows.push_back({ "pool", "m" + std::to_string(number), "", 10.0 + number });
    return rows;
}

} // namespace

TEST_GROUP(Demand) {};

// Only the 40 rows with the highest demand were reported: the holder took all others for idle.
TEST(Demand, EveryRowIsReportedInTurn)
{
    const auto rows = makeRows(300);
    DemandReporter report(2s);
    std::set<std::string> reported;
    Instant now = Start;
    for (int beat = 0; beat < 4; ++beat, now += 500ms) {
        const auto sent = report.next(rows, 120, now);
        CHECK(sent.size() <= 120);
        for (const CopyDemand &row : sent)
            reported.insert(row.model);
    }
    CHECK_EQUAL(300, reported.size());
}

TEST(Demand, ARowThatChangesMuchIsReportedAtOnce)
{
    auto rows = makeRows(300);
    DemandReporter report(2s);
    Instant now = Start;
    for (int beat = 0; beat < 4; ++beat, now += 500ms)
        report.next(rows, 100, now);
    rows[7].tokensPerSecond = 50'000.0;
    const auto sent = report.next(rows, 120, now);
    CHECK(std::any_of(sent.begin(), sent.end(),
                      [](const CopyDemand &row) { return row.model == "m7"; }));
}

TEST(Demand, ANewReceiverGetsAllRowsAnew)
{
    const auto rows = makeRows(50);
    DemandReporter report(2s);
    CHECK_EQUAL(50, report.next(rows, 100, Start).size());
    report.restart();
    CHECK_EQUAL(50, report.next(rows, 100, Start + 500ms).size());
}

TEST(Demand, TotalsAreTheSumOfWhatHasNotExpired)
{
    CHECK(rc::check("totals equal the sum over all live rows", [] {
        DemandTable table;
        std::map<std::pair<int, int>, std::pair<double, Instant>> expected;
        Instant now = Start;
        for (int step = 0; step < 60; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 900));
            const int node = *rc::gen::inRange(0, 4);
            const int model = *rc::gen::inRange(0, 5);
            const double demand = *rc::gen::inRange(0, 1'000);
            table.onReport("n" + std::to_string(node),
                           { { "pool", "m" + std::to_string(model), "", demand } }, 3s, now);
            expected[{ node, model }] = { demand, now + 3s };
            table.expire(now);
            std::map<int, double> sums;
            for (const auto &[key, row] : expected) {
                if (now < row.second)
                    sums[key.second] += row.first;
            }
            for (int each = 0; each < 5; ++each) {
                const auto total = table.totals().find("pool/m" + std::to_string(each));
                const double found =
                        total == table.totals().end() ? 0.0 : total->second.tokensPerSecond;
                RC_ASSERT(std::abs(found - sums[each]) < 0.01);
            }
        }
    }));
}
