// The commands of burdockctl.
//
// Index
//   CommonOptions, PublishOptions, DrainOptions   what the command line gives
//   runCheck, runPublish, runStatus, runExplain, runDrain
//
// Each command prints what it finds and returns the exit code; see docs/RESULT-CODES.md.
#pragma once

#include "ctl/fleet.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace burdock {

// ---- Options ------------------------------------------------------------------------------------

struct CommonOptions
{
    FleetOptions fleet;  // where the platform and the nodes are
    bool asJson = false; // one JSON object in place of lines
};

struct PublishOptions
{
    std::string folder;                      // with the service files
    std::vector<std::string> removed;        // services to take out of the configuration
    std::string operatorName;                // for history and refusals
    std::string publishId;                   // empty: a new one
    std::optional<std::uint64_t> base;       // the revision that the operator looked at
    std::chrono::seconds giveUpAfter { 20 }; // while the platform does not answer
    std::chrono::seconds waitTime { 30 };    // until in force on every node; 0: do not wait
};

struct DrainOptions
{
    std::string name;                        // a VM of the VM list
    bool undo = false;                       // let an upstream take new work again
    std::string operatorName;                // for history and refusals
    std::chrono::seconds waitTime { 120 };   // until a node has stopped; 0: do not wait
    std::chrono::seconds giveUpAfter { 20 }; // while the platform does not answer
};

// ---- Commands -----------------------------------------------------------------------------------

/// Checks the service files below a folder without writing anything.
/// @param withPublished also check them with what is published, and show the difference
int runCheck(const CommonOptions &common, const std::string &folder, bool withPublished);

/// Publishes the service files below a folder and waits until they are in force on every node.
int runPublish(const CommonOptions &common, const PublishOptions &options);

/// Shows on how many nodes the configuration is in force, the nodes, the placement and the
/// services.
int runStatus(const CommonOptions &common);

/// Shows the latest decisions that mention a text, or what a result code means.
/// @param about a request id, decision id, model, upstream, or a code's number or name
int runExplain(const CommonOptions &common, const std::string &about);

/// Stops a node, or keeps new work from an upstream, without cutting a request.
int runDrain(const CommonOptions &common, const DrainOptions &options);

} // namespace burdock
