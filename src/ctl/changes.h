// What a publish would change.
//
// Index
//   ChangeSet      entries to change, with their differences
//   findChanges    compares files with what is published
//   printChanges   shows the differences
#pragma once

#include "ctl/output.h"
#include "decide/confighead.h"
#include "settings/servicefile.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdock {

struct ChangeSet
{
    std::map<std::string, std::optional<std::string>> entries; // key -> new text; nothing: removed
    std::map<std::string, std::string> fileNames;              // key -> the operator's file
    std::map<std::string, std::vector<std::string>> lines;     // service -> differences
};

/// Compares service files with what is published. Services that have no file stay as they are.
/// @param files the operator's services
/// @param removed services to be removed
/// @param published what is in force
/// @return the changes, or ServiceUnknown if a service to be removed is not published
Result<ChangeSet> findChanges(const std::vector<ServiceFile> &files,
                              const std::vector<std::string> &removed,
                              const ConfigSnapshot &published);

/// Prints the differences by service.
void printChanges(const ChangeSet &changes, CommandOutput &output);

} // namespace burdock
