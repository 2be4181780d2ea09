// burdock-experiment: measures routing and placement policies in virtual time.
#include "load/experiments.h"

#include <CLI/CLI.hpp>

#include <cstdio>

int main(int argc, char **argv)
{
    burdock::ExperimentSettings settings;
    CLI::App app("Measures routing and placement policies over a fake fleet in virtual time.");
    app.add_option("--output", settings.folder, "Folder for experiments.md and the plots' data")
            ->required();
    app.add_option("--minutes", settings.minutes, "Virtual minutes of each run")
            ->check(CLI::Range(1, 600));
    app.add_option("--seeds", settings.seeds, "Seeds for each run")->check(CLI::Range(1, 100));
    app.add_option("--jobs", settings.jobs, "Runs at the same time")->check(CLI::Range(1, 64));
    app.add_option("--only", settings.only, "Only tables whose name contains this text");
    CLI11_PARSE(app, argc, argv);
    return burdock::runExperiments(settings) ? 0 : 1;
}
