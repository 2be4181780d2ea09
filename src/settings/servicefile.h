// The files that operators keep beside each service's code: reading, writing and comparing them.
//
// Index
//   ServiceFileName                   what the files are called
//   parseService                      checks one text
//   sortEntries                       the canonical order
//   serviceToJson                     the canonical text, for storing and hashing
//   diffServices                      the differences of two services, for people
//   collectServiceFiles               every service file below a folder
//   ServiceFile, ServiceFolder, readServiceFolder
//
// catalogcheck.h checks all files as one whole. docs/SERVICE-FILES.md gives the whole format.
#pragma once

#include "base/result.h"
#include "decide/servicecatalog.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdock {

inline constexpr std::string_view ServiceFileName = "burdock.json";

// ---- One service --------------------------------------------------------------------------------

/// Checks the text of a service file.
/// @param text JSON with comments, as an operator writes it or as serviceToJson does
/// @param fileName named in errors
/// @param errors receives every problem
/// @return the service in canonical order; of use only if no problem was added
Service parseService(const std::string &text, const std::string &fileName,
                     std::vector<Error> &errors);

/// As above, with all problems in one error: one a line, and the code of the first.
Result<Service> parseService(const std::string &text, const std::string &fileName);

/// Sorts routes, models and adapters: the order of a file's entries has no meaning.
void sortEntries(Service &service);

/// Writes a service with every value spelled out, so that a stored service keeps its meaning when
/// a default changes. Entries are sorted, so that equal services have equal texts.
/// @return one line of JSON that parseService reads
std::string serviceToJson(const Service &service);

/// Lists what differs between two services of one name.
/// @param before null for a service that is new
/// @param after null for a service that goes
/// @return one line for each difference, such as "model promo-writer: version 2 -> 3"
std::vector<std::string> diffServices(const Service *before, const Service *after);

// ---- Folders ------------------------------------------------------------------------------------

struct ServiceFile
{
    std::string fileName; // where it was read, for errors
    Service service;
};

struct ServiceFolder
{
    std::vector<ServiceFile> files; // those without a problem, ordered by file name
    std::vector<Error> errors;      // every problem of the others
};

/// Finds the service files below a folder. Hidden folders and symbolic links are passed over.
/// @param folder a folder, or one service file
/// @return the paths in ascending order, or SettingsUnreadable if there is none
Result<std::vector<std::string>> collectServiceFiles(const std::string &folder);

/// Reads and checks each service file below a folder.
ServiceFolder readServiceFolder(const std::string &folder);

} // namespace burdock
