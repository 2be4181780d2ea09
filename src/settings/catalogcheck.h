// Checks all published services as one whole.
//
// Index
//   GroupCapacity   what the upstreams of one group can hold
//   checkCatalog    every problem between files
//   buildCatalog    the catalog of files without a problem
#pragma once

#include "settings/servicefile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

inline constexpr std::size_t MaxStoredServiceBytes =
        1'000'000; // bytes; one value of the Object API

struct GroupCapacity
{
    std::int64_t largestMb = 0; // accelerator memory of the largest upstream
    std::int64_t totalMb = 0;   // accelerator memory of all upstreams
};

/// Checks what no file can show by itself: each service has one file; model names are unique; an
/// upstream group that holds models belongs to one service; a service fits into one value of the
/// Object API; and, for groups of known capacity, each model fits into an upstream and the copies
/// that must always be resident fit together.
/// @param files the services with the names of their files
/// @param capacities by upstream group; a group that is absent is not checked for memory
/// @return every problem, as "FILE: PATH: REASON"
std::vector<Error> checkCatalog(const std::vector<ServiceFile> &files,
                                const std::map<std::string, GroupCapacity> &capacities = {});

/// Checks files as one whole and makes a catalog of them.
/// @param files the services with the names of their files
/// @return the catalog with revision 0, or one error with every problem, one a line
Result<ServiceCatalog> buildCatalog(const std::vector<ServiceFile> &files);

} // namespace burdock
