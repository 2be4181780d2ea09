// One row of the fault matrix, and the file that scripts/fault-matrix turns into docs/FAULTS.md.
//
// Index
//   FaultCell       one fault at one step of one protocol, with what the checker saw
//   reportCells     appends cells to the file named by BURDOCK_FAULT_REPORT, where that is set
#pragma once

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <string>
#include <vector>

namespace burdock::testing {

struct FaultCell
{
    std::string protocol;         // e.g. "ledger"
    std::string step;             // the message or write at which the fault strikes, and which side
    std::string fault;            // one fault, or two joined by " + "
    std::string variant;          // e.g. "fencing checked", "fencing ignored"; may be empty
    std::uint64_t schedules = 0;  // schedules run in this cell
    std::uint64_t violations = 0; // schedules in which an invariant did not hold
    std::string notCovered;       // why the cell was not run; empty when it was
};

/// Appends cells as tab-separated lines.
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
