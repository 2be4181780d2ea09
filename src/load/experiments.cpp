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
    int seeds = 0; // runs of each row; 0 is "as set"
};

void runTable(Table &table, const ExperimentSettings &settings)
{
    struct Job
    {
        std::size_t row = 0;
        std::size_t seed = 0;
    };
    std::vector<Job> jobs;
    const auto seeds = static_cast<std::size_t>(table.seeds > 0 ? table.seeds : settings.seeds);
    for (std::size_t row = 0; row < table.rows.size(); ++row) {
        table.rows[row].results.resize(seeds);
        for (std::size_t seed = 0; seed < seeds; ++seed)
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
    threads.reserve(std::size_t(settings.jobs));
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
    static const std::vector<std::pair<std::string, Figure>> all = {
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
    return all;
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

/// The product's policies, then each of them replaced by each baseline.
Table scenarioTable(const Deployment &deployment, Scenario scenario,
                    const ExperimentSettings &settings)
{
    Table table;
    table.name = deployment.name + "-" + scenarioName(scenario);
    table.title = deployment.name + ", " + scenarioName(scenario);
    const RunSettings base = baseRun(deployment, scenario, settings);
    table.rows.push_back({ { "burdockreel", base }, {} });
    for (const RoutingKind kind : { RoutingKind::Random, RoutingKind::RoundRobin,
                                    RoutingKind::LeastLoaded, RoutingKind::TwoChoices }) {
        RunSettings run = base;
        run.routing = kind;
        table.rows.push_back({ { routingName(kind), run }, {} });
    }
    for (const PlacementKind kind : { PlacementKind::Static, PlacementKind::Reactive }) {
        RunSettings run = base;
        run.placement = kind;
        table.rows.push_back({ { placementName(kind) + " placement", run }, {} });
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

/// From today's sizes towards those of two years on.
Table slopeTable(const ExperimentSettings &settings)
{
    Table table;
    table.name = "slope";
    table.title = "Fleets up to 1,700 replicas, 350 models and 380 entry nodes (one virtual minute "
                  "of the diurnal curve, static placement, one seed)";
    table.seeds = 1;
    for (const int replicas : { 18, 300, 1700 }) {
        RunSettings run = baseRun(futureFleet(replicas), Scenario::Diurnal, settings);
        run.placement = PlacementKind::Static;
        run.length = std::chrono::minutes(1);
        const std::string name = std::to_string(replicas) + " replicas, ";
        run.reports = ReportMode::Digest;
        table.rows.push_back({ { name + "digest, 8 draws", run }, {} });
        run.draws = 3;
        table.rows.push_back({ { name + "digest, 3 draws", run }, {} });
        run.reports = ReportMode::WithAnswers;
        table.rows.push_back({ { name + "with answers, 3 draws", run }, {} });
    }
    return table;
}

std::vector<Table> allTables(const ExperimentSettings &settings)
{
    std::vector<Table> tables;
    for (const Deployment &deployment : { peachline(), lachance() }) {
        for (const Scenario scenario : allScenarios())
            tables.push_back(scenarioTable(deployment, scenario, settings));
    }
    tables.push_back(partsTable(peachline(), Scenario::Tenfold, settings));
    tables.push_back(partsTable(peachline(), Scenario::Diurnal, settings));
    tables.push_back(partsTable(lachance(), Scenario::Tenfold, settings));
    tables.push_back(slopeTable(settings));
    return tables;
}

/// One line a scenario and one column a policy, for the plots.
void writeSummary(const std::vector<Table> &tables, const std::string &deployment,
                  std::size_t figure, const std::string &path)
{
    std::ofstream data(path);
    bool headed = false;
    for (const Table &table : tables) {
        const std::string prefix = deployment + "-";
        if (!table.name.starts_with(prefix) || table.rows.front().results.empty())
            continue;
        if (!headed) {
            data << "scenario";
            for (const Row &row : table.rows)
                data << "\t\"" << row.variant.name << '"';
            headed = true;
        }
        data << "\n" << table.name.substr(prefix.size());
        for (const Row &row : table.rows)
            data << '\t' << mean(row, figures()[figure].second);
    }
    data << "\n";
}

} // namespace

bool runExperiments(const ExperimentSettings &settings)
{
    std::ofstream page(settings.folder + "/experiments.md");
    page << "# Experiments\n\nMade by scripts/experiments: " << settings.minutes
         << " virtual minutes a run, " << settings.seeds
         << " seeds, mean ± half the distance between highest and lowest.\n";
    bool written = page.good();
    std::vector<Table> tables = allTables(settings);
    for (Table &table : tables) {
        if (table.name.find(settings.only) == std::string::npos)
            continue;
        runTable(table, settings);
        writeTable(table, page);
        written = written && page.good();
        std::printf("%s\n", table.title.c_str());
        for (const Row &row : table.rows) {
            std::printf("  %-28s", row.variant.name.c_str());
            for (const auto &[name, figure] : figures())
                std::printf(" %s=%s", name.c_str(), cell(row, figure).c_str());
            std::printf("\n");
        }
        std::fflush(stdout);
    }
    constexpr std::size_t InTime = 0; // indexes into figures()
    constexpr std::size_t Moves = 9;
    for (const std::string deployment : { "peachline", "lachance" }) {
        const std::string path = settings.folder + "/" + deployment;
        writeSummary(tables, deployment, InTime, path + "-in-time.dat");
        writeSummary(tables, deployment, Moves, path + "-moves.dat");
    }
    return written;
}

} // namespace burdock
