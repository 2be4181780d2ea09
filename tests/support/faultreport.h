// Writes the rows of the fault matrix to the file from which scripts/fault-matrix generates
// docs/FAULTS.md.
//
// Index
//   FaultCell       result of one fault at one step of one protocol
//   reportCells     appends cells to the file that BURDOCK_FAULT_REPORT names, if it is set
#pragma once

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace burdock::testing {

/// Counts the schedules run with one fault at one step, and the invariant violations in them.
struct FaultCell
{
    std::string protocol; // e.g. "ledger"
    std::string step;     // message or write at which the fault is injected, and on which side
    std::string fault;    // one fault, or two faults joined by " + "
    std::string variant;  // e.g. "fencing checked", "fencing ignored"; may be empty
    std::uint64_t schedules = 0;  // schedules run for this cell
    std::uint64_t violations = 0; // schedules that violated an invariant
    std::string notCovered;       // reason why the cell was not run; empty if it was run
};

/// Appends one tab-separated line per cell; does nothing if BURDOCK_FAULT_REPORT is not set.
/// @param cells the cells of one protocol
inline void reportCells(const std::vector<FaultCell> &cells)
{
    const char *path = std::getenv("BURDOCK_FAULT_REPORT");
    if (path == nullptr)
        return;
    std::ofstream file(path, std::ios::app);
    for (const FaultCell &cell : cells) {
        file << cell.protocol << '\t' << cell.step << '\t' << cell.fault << '\t' << cell.variant
             << '\t' << cell.schedules << '\t' << cell.violations << '\t' << cell.notCovered
             << '\n';
    }
}

} // namespace burdock::testing
