#include "load/experiments.h"

#include "load/fleet.h"

#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <functional>
#include <iomanip>
#include <sstream>
#include <thread>

namespace burdock {

namespace {

// ---- Runs ---------------------------------------------------------------------------------------

struct Variant
{
    std::string name;     // row label
    RunSettings settings; // but for the seed
};

struct Row
{
    Variant variant;
    std::vector<RunResult> results; // one a seed
};

struct Table
{
    std::string name;  // also the name of its plot data
    std::string title; // heading
    std::vector<Row> rows;
};

void runTable(Table &table, const ExperimentSettings &settings)
{
    struct Job
    {
        std::size_t row = 0;
        std::size_t seed = 0;
    };
    std::vector<Job> jobs;
    for (std::size_t row = 0; row < table.rows.size(); ++row) {
        table.rows[row].results.resize(std::size_t(settings.seeds));
        for (std::size_t seed = 0; seed < std::size_t(settings.seeds); ++seed)
            jobs.push_back({ row, seed });
    }
    std::atomic<std::size_t> next { 0 };
    const auto work = [&] {
        for (std::size_t index = next++; index < jobs.size(); index = next++) {
            Row &row = table.rows[jobs[index].row];
            RunSettings run = row.variant.settings;
            run.seed = jobs[index].seed + 1;
            row.results[jobs[index].seed] = Fleet(run).run();
        }
    };
    std::vector<std::thread> threads;
    for (int each = 0; each < settings.jobs; ++each)
        threads.emplace_back(work);
    for (std::thread &each : threads)
        each.join();
}

// ---- Figures ------------------------------------------------------------------------------------

using Figure = std::function<double(const RunResult &)>;

double share(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : 100.0 * double(part) / double(whole);
}

double mean(const Row &row, const Figure &figure)
{
    double sum = 0.0;
    for (const RunResult &each : row.results)
        sum += figure(each);
    return sum / double(row.results.size());
}

/// @return half the distance between the highest and the lowest
double spread(const Row &row, const Figure &figure)
{
    double low = figure(row.results.front());
    double high = low;
    for (const RunResult &each : row.results) {
        low = std::min(low, figure(each));
        high = std::max(high, figure(each));
    }
    return (high - low) / 2.0;
}

const std::vector<std::pair<std::string, Figure>> &figures()
{
    static const std::vector<std::pair<std::string, Figure>> All = {
        { "in time %",
          [](const RunResult &r) {
              return 100.0 * r.attainment();
          } },
        { "of bound %",
          [](const RunResult &r) {
              return 100.0 * r.attainment() / r.bound;
          } },
        { "per engine-hour",
          [](const RunResult &r) {
              return r.attainedPerEngineHour();
          } },
        { "fast %",
          [](const RunResult &r) {
              return share(r.fast.attained, r.fast.offered);
          } },
        { "may-wait %",
          [](const RunResult &r) {
              return share(r.mayWait.attained, r.mayWait.offered);
          } },
        { "others %",
          [](const RunResult &r) {
              return share(r.others.attained, r.others.offered);
          } },
        { "refused %",
          [](const RunResult &r) {
              return share(r.fast.refused + r.mayWait.refused, r.fast.offered + r.mayWait.offered);
          } },
        { "late %",
          [](const RunResult &r) {
              return share(r.fast.late + r.mayWait.late, r.fast.offered + r.mayWait.offered);
          } },
        { "failed %",
          [](const RunResult &r) {
              return share(r.fast.failed + r.mayWait.failed, r.fast.offered + r.mayWait.offered);
          } },
        { "moves/h",
          [](const RunResult &r) {
              return r.movesPerHour();
          } },
        { "model-s unreachable",
          [](const RunResult &r) {
              return r.unreachableSeconds;
          } },
    };
    return All;
}

std::string cell(const Row &row, const Figure &figure)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << mean(row, figure);
    const double half = spread(row, figure);
    if (half >= 0.05)
        text << " ±" << half;
    return text.str();
}

void writeTable(const Table &table, std::ostream &out)
{
    out << "\n## " << table.title << "\n\n| run |";
    for (const auto &[name, figure] : figures())
        out << ' ' << name << " |";
    out << "\n|---|";
    for (std::size_t each = 0; each < figures().size(); ++each)
        out << "---|";
    for (const Row &row : table.rows) {
        out << "\n| " << row.variant.name << " |";
        for (const auto &[name, figure] : figures())
            out << ' ' << cell(row, figure) << " |";
    }
    out << "\n";
}

void writeData(const Table &table, std::ostream &out)
{
    out << "# run";
    for (const auto &[name, figure] : figures())
        out << "\t\"" << name << '"';
    out << "\n";
    for (const Row &row : table.rows) {
        out << '"' << row.variant.name << '"';
        for (const auto &[name, figure] : figures())
            out << '\t' << mean(row, figure);
        out << "\n";
    }
}

// ---- Tables -------------------------------------------------------------------------------------

double moveWeightOf(const Deployment &deployment)
{
    constexpr double FewMoves = 100.0;
    constexpr double ManyMoves = 10.0;
    return deployment.name == "lachance" ? FewMoves : ManyMoves;
}

RunSettings baseRun(const Deployment &deployment, Scenario scenario,
                    const ExperimentSettings &settings)
{
    RunSettings run;
    run.deployment = deployment;
    run.scenario = scenario;
    run.length = std::chrono::minutes(settings.minutes);
    run.moveWeight = moveWeightOf(deployment);
    return run;
}

Table routingTable(const Deployment &deployment, Scenario scenario,
                   const ExperimentSettings &settings)
{
    Table table;
    table.name = "routing-" + deployment.name + "-" + scenarioName(scenario);
    table.title = deployment.name + ", " + scenarioName(scenario) + ": routing";
    for (const RoutingKind kind : { RoutingKind::Cost, RoutingKind::Random, RoutingKind::RoundRobin,
                                    RoutingKind::LeastLoaded, RoutingKind::TwoChoices }) {
        RunSettings run = baseRun(deployment, scenario, settings);
        run.routing = kind;
        table.rows.push_back({ { routingName(kind), run }, {} });
    }
    return table;
}

Table placementTable(const Deployment &deployment, Scenario scenario,
                     const ExperimentSettings &settings)
{
    Table table;
    table.name = "placement-" + deployment.name + "-" + scenarioName(scenario);
    table.title = deployment.name + ", " + scenarioName(scenario) + ": placement";
    for (const PlacementKind kind :
         { PlacementKind::Planned, PlacementKind::Static, PlacementKind::Reactive }) {
        RunSettings run = baseRun(deployment, scenario, settings);
        run.placement = kind;
        table.rows.push_back({ { placementName(kind), run }, {} });
    }
    return table;
}

/// What single parts of the product's policy are worth.
Table partsTable(const Deployment &deployment, Scenario scenario,
                 const ExperimentSettings &settings)
{
    Table table;
    table.name = "parts-" + deployment.name + "-" + scenarioName(scenario);
    table.title = deployment.name + ", " + scenarioName(scenario) + ": parts of the policy";
    const RunSettings base = baseRun(deployment, scenario, settings);
    table.rows.push_back({ { "as shipped", base }, {} });
    for (const int percent : { 65, 90, 100 }) {
        RunSettings run = base;
        run.mayWaitShare = percent / 100.0;
        table.rows.push_back({ { "may-wait share " + std::to_string(percent) + " %", run }, {} });
    }
    for (const int draws : { 2, 4, 100 }) {
        RunSettings run = base;
        run.draws = draws;
        table.rows.push_back({ { "draws " + std::to_string(draws), run }, {} });
    }
    RunSettings noPrefix = base;
    noPrefix.prefixAffinity = false;
    table.rows.push_back({ { "no prefix candidates", noPrefix }, {} });
    RunSettings unfair = base;
    unfair.fairCustomers = false;
    table.rows.push_back({ { "customers share a queue", unfair }, {} });
    RunSettings carried = base;
    carried.reports = ReportMode::WithAnswers;
    table.rows.push_back({ { "load only with answers", carried }, {} });
    for (const double weight : { 1.0, 100.0, 1000.0 }) {
        RunSettings run = base;
        run.moveWeight = weight;
        table.rows.push_back(
                { { "move weight " + std::to_string(static_cast<int>(weight)), run }, {} });
    }
    return table;
}

/// From today's sizes towards those of two years on; the load is known from answers alone.
Table slopeTable(const ExperimentSettings &settings)
{
    Table table;
    table.name = "slope";
    table.title = "Fleets up to 1,700 replicas, 350 models and 380 entry nodes (2 virtual minutes, "
                  "diurnal, load known from answers only)";
    for (const int replicas : { 18, 75, 300, 1700 }) {
        for (const RoutingKind kind : { RoutingKind::Cost, RoutingKind::TwoChoices }) {
            RunSettings run = baseRun(futureFleet(replicas), Scenario::Diurnal, settings);
            run.routing = kind;
            run.reports = ReportMode::WithAnswers;
            run.placement = PlacementKind::Static;
            run.length = std::chrono::minutes(2);
            table.rows.push_back(
                    { { std::to_string(replicas) + " replicas, " + routingName(kind), run }, {} });
        }
    }
    return table;
}

std::vector<Table> allTables(const ExperimentSettings &settings)
{
    std::vector<Table> tables;
    for (const Deployment &deployment : { peachline(), lachance() }) {
        for (const Scenario scenario : allScenarios()) {
            tables.push_back(routingTable(deployment, scenario, settings));
            tables.push_back(placementTable(deployment, scenario, settings));
        }
        tables.push_back(partsTable(deployment, Scenario::Tenfold, settings));
        tables.push_back(partsTable(deployment, Scenario::Diurnal, settings));
    }
    tables.push_back(slopeTable(settings));
    return tables;
}

} // namespace

bool runExperiments(const ExperimentSettings &settings)
{
    std::ofstream page(settings.folder + "/experiments.md");
    page << "# Experiments\n\nMade by scripts/experiments: " << settings.minutes
         << " virtual minutes a run, " << settings.seeds
         << " seeds, mean ± half the distance between highest and lowest.\n";
    bool written = page.good();
    for (Table &table : allTables(settings)) {
        if (table.name.find(settings.only) == std::string::npos)
            continue;
        runTable(table, settings);
        writeTable(table, page);
        std::ofstream data(settings.folder + "/" + table.name + ".dat");
        writeData(table, data);
        written = written && page.good() && data.good();
        std::printf("%s\n", table.title.c_str());
        for (const Row &row : table.rows) {
            std::printf("  %-28s", row.variant.name.c_str());
            for (const auto &[name, figure] : figures())
                std::printf(" %s=%s", name.c_str(), cell(row, figure).c_str());
            std::printf("\n");
        }
        std::fflush(stdout);
    }
    return written;
}

} // namespace burdock
