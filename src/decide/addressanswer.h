// Chooses the entry node addresses that a caller should use.
//
// Index
//   EntryNode          an entry node, as known to the answering node
//   ModelShare         a model's share of the fleet's demand
//   AddressQuery       a caller's query
//   AddressAnswer      addresses in order of preference, and their lifetime
//   AddressSettings
//   AddressDirectory   the decision module; one instance on each entry node
//
// How it works
//   A model has a few preferred nodes in each availability zone, chosen by rendezvous hashing with
//   a bound on the demand that one node may be preferred for. So a node serves few models and keeps
//   few load reports, and requests with the same prefix arrive at the same nodes. Models with more
//   demand have more preferred nodes. A plain service is served by every node.
//   An answer lists preferred nodes of the caller's zone first, in random order so that callers
//   start at different nodes. Its last address is in another zone, in case the caller's zone is
//   lost. Leaving nodes are in no new answer unless no other node is left, and then the answer has
//   a short lifetime.
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
    Usable,  // alive and not leaving
    Suspect, // may be dead
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
    double share = 0; // fraction of all requests to models, 0 to 1; must be the same on every node
};

struct AddressQuery
{
    std::string service;
    std::string model;      // empty for a plain service
    std::string callerZone; // empty if unknown
};

struct AddressAnswer
{
    std::vector<std::string> addresses; // in descending order of preference, without duplicates
    Duration lifetime {};               // counted from the arrival of the answer
};

struct AddressSettings
{
    std::size_t preferredNodesPerZone = 2; // minimum, for a model with little demand
    // A node's share of the demand exceeds this multiple of the average only if the model has too
    // few other nodes in the zone.
    double maxShareFactor = 1.5;
    std::size_t maxAddresses = 4;                           // in an answer
    Duration lifetime = std::chrono::seconds(10);           // of an answer, usually
    Duration lifetimeWhenLeaving = std::chrono::seconds(2); // if it names only leaving nodes
};

// ---- Directory ----------------------------------------------------------------------------------

/// Answers which entry nodes a caller should use. Does no I/O.
class AddressDirectory
{
public:
    AddressDirectory(AddressSettings settings, std::uint64_t seed);

    /// Replaces the entry nodes and the demand; call it when either changes. Nodes that know the
    /// same nodes and demand choose the same preferred nodes.
    void rebuild(std::vector<EntryNode> nodes, std::vector<ModelShare> demand);

    /// Answers a caller's query.
    /// @return addresses and lifetime, or RefusedNoUpstream if no entry node is known
    Result<AddressAnswer> answer(const AddressQuery &query);

    /// @return model -> names of its preferred nodes, sorted
    const std::map<std::string, std::vector<std::string>> &preferredNodes() const
    {
        return m_preferredNodes;
    }

    /// @return whether a node is preferred for a model
    bool isPreferred(const std::string &model, const std::string &node) const;

    const std::vector<EntryNode> &nodes() const { return m_nodes; }

private:
    void choosePreferredNodes(const ModelShare &demand,
                              const std::vector<const EntryNode *> &zoneNodes, double maxShare,
                              std::map<std::string, double> &assignedShares);
    void appendShuffled(AddressAnswer &answer, std::vector<const EntryNode *> candidates,
                        std::size_t count);

    AddressSettings m_settings;
    Random m_random;
    std::vector<EntryNode> m_nodes; // sorted by name
    std::map<std::string, std::vector<std::string>> m_preferredNodes;
};

} // namespace burdock
