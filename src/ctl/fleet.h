// What the nodes of the fleet say of themselves, read from their status pages.
//
// Index
//   FleetOptions    where to look
//   NodeTarget      the status addresses of one node
//   ProcessView     one process of a node, as its status page shows it
//   NodeView        both processes of a node
//   fetchPage, findNodes, readFleet, lagging
#pragma once

#include "net/httpclient.h"
#include "platform/objectclient.h"

#include <boost/json/value.hpp>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdock {

// ---- Where to look ------------------------------------------------------------------------------

struct FleetOptions
{
    Endpoint platform;               // the Object API and VM list
    std::vector<Endpoint> nodes;     // entry status addresses; empty: every node of the VM list
    std::uint16_t statusOffset = 3;  // entry status port above the port in the VM list
    std::uint16_t controlOffset = 4; // control status port above the port in the VM list
    std::chrono::milliseconds callTimeout { 1'000 }; // for one call to a node or the platform
};

struct NodeTarget
{
    std::string name;                // as in the VM list, or the address
    std::string zone;                // availability zone, if known
    bool leaving = false;            // as the VM list says
    Endpoint entry;                  // status address of the entry process
    std::optional<Endpoint> control; // status address of the control process, if known
};

/// Finds the nodes' status addresses.
/// @return those of the options, or those of the VM list's group "entry"
boost::asio::awaitable<Result<std::vector<NodeTarget>>> findNodes(ObjectClient &objects,
                                                                  FleetOptions options);

// ---- What they say ------------------------------------------------------------------------------

struct ProcessView
{
    bool answers = false;       // whether it answered in time
    std::uint64_t revision = 0; // the configuration in force there
    boost::json::value status;  // its status page
};

struct NodeView
{
    NodeTarget target;
    ProcessView entry;
    ProcessView control;
};

/// Reads a page.
/// @return the body, or NodeUnreachable
boost::asio::awaitable<Result<std::string>> fetchPage(HttpClient &http, Endpoint endpoint,
                                                      HttpRequest request,
                                                      std::chrono::milliseconds timeout);

/// Reads the status pages of all nodes at the same time.
boost::asio::awaitable<std::vector<NodeView>>
readFleet(HttpClient &http, std::vector<NodeTarget> targets, std::chrono::milliseconds timeout);

/// Finds where a revision is not in force. A node that the VM list shows as leaving and that does
/// not answer any more is passed over.
/// @return one phrase for each process that lags or does not answer
std::vector<std::string> lagging(const std::vector<NodeView> &fleet, std::uint64_t revision);

/// @return how many nodes have the revision, or a later one, in force in each process
std::size_t inForceCount(const std::vector<NodeView> &fleet, std::uint64_t revision);

} // namespace burdock
