// The experiments: which runs there are, and the tables and plot data made of them.
//
// Index
//   ExperimentSettings
//   runExperiments       runs all and writes the files
#pragma once

#include <string>

namespace burdock {

struct ExperimentSettings
{
    std::string folder; // where experiments.md and *.dat go
    int minutes = 10;   // virtual length of each run
    int seeds = 3;      // runs of each row
    int jobs = 3;       // at the same time
    std::string only;   // tables whose name contains this text
};

/// @return whether every file was written
bool runExperiments(const ExperimentSettings &settings);

} // namespace burdock
