// Which entry addresses a caller is told to use.
//
// Index
//   EntryNode          one entry node as the answering node sees it
//   ModelShare         the share of the fleet's demand that goes to a model
//   AddressQuery       what a caller asks
//   AddressAnswer      addresses in order of preference, and how long to keep them
//   AddressSettings
//   AddressDirectory   the system; one on each entry node
//
// How it works
//   A model has a few home nodes in each availability zone, chosen by rendezvous hashing with a
//   bound on the demand that one node may be home to. So a node sees few models, keeps few load
//   reports, and the prefixes of a model's requests meet again at the same nodes. Models with more
//   demand have more homes. A plain service is served by every node.
//   Callers are sent to homes in their own zone first, each caller to another one first; a node of
//   another zone ends the list, for the day that theirs is lost. Nodes that leave are in no new
//   answer; only when nobody else is left are they named, and then for a short time.
#pragma once

#include "base/instant.h"
#include "base/random.h"
#include "base/result.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Types --------------------------------------------------------------------------------------

/// In descending order of preference.
enum class EntryNodeState {
    Usable,  // alive and staying
    Suspect, // may be gone
    Leaving, // drains; takes no new callers
};

struct EntryNode
{
    std::string name;
    std::string zone;
    std::string address; // where callers connect
    EntryNodeState state = EntryNodeState::Usable;
};

struct ModelShare
{
    std::string model;
    double share = 0; // of all requests to models, 0 to 1; the same on every node
};

struct AddressQuery
{
    std::string service;
    std::string model;      // empty for a plain service
    std::string callerZone; // empty if unknown
};

struct AddressAnswer
{
    std::vector<std::string> addresses; // best first, no duplicates
    Duration lifetime {};               // keep it no longer, counted from its arrival
};

struct AddressSettings
{
    std::size_t homesPerZone = 2;                           // of a model with little demand
    double headroom = 1.5;                                  // bound: times the average share
    std::size_t addressesPerAnswer = 4;                     // at most
    Duration lifetime = std::chrono::seconds(10);           // of an answer
    Duration lifetimeWhenLeaving = std::chrono::seconds(2); // if only leaving nodes are left
};

// ---- System -------------------------------------------------------------------------------------

class AddressDirectory
{
public:
    AddressDirectory(AddressSettings settings, std::uint64_t seed);

    /// Takes the entry nodes and the demand; call it when either changes. Nodes that know the same
    /// nodes and demand choose the same homes.
    void rebuild(std::vector<EntryNode> nodes, std::vector<ModelShare> demand);

    /// Answers a caller.
    /// @return addresses and lifetime, or RefusedNoUpstream if no entry node is known
    Result<AddressAnswer> answer(const AddressQuery &query);

    /// @return model -> names of its home nodes, by name
    const std::map<std::string, std::vector<std::string>> &homes() const { return m_homes; }

    /// @return whether a node is home to a model
    bool isHome(const std::string &model, const std::string &node) const;

    const std::vector<EntryNode> &nodes() const { return m_nodes; }

private:
    void chooseHomes(const ModelShare &demand, const std::vector<const EntryNode *> &zoneNodes,
                     double bound, std::map<std::string, double> &carried);
    void append(AddressAnswer &answer, std::vector<const EntryNode *> candidates,
                std::size_t count);

    AddressSettings m_settings;
    Random m_random;
    std::vector<EntryNode> m_nodes; // by name
    std::map<std::string, std::vector<std::string>> m_homes;
};

} // namespace burdock
