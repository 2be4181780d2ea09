#include "decide/addressanswer.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace burdock {

AddressDirectory::AddressDirectory(AddressSettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
}

// ---- Preferred nodes ----------------------------------------------------------------------------

void AddressDirectory::rebuild(std::vector<EntryNode> nodes, std::vector<ModelShare> demand)
{
    m_nodes = std::move(nodes);
    m_preferredNodes.clear();
    std::sort(m_nodes.begin(), m_nodes.end(),
              [](const EntryNode &left, const EntryNode &right) { return left.name < right.name; });
    std::sort(demand.begin(), demand.end(), [](const ModelShare &left, const ModelShare &right) {
        return left.share != right.share ? left.share > right.share : left.model < right.model;
    });
    // A suspect node stays preferred: a false suspicion must not move its models twice.
    std::map<std::string, std::vector<const EntryNode *>> zones;
    for (const EntryNode &node : m_nodes) {
        if (node.state != EntryNodeState::Leaving)
            zones[node.zone].push_back(&node);
    }
    for (const auto &[zone, zoneNodes] : zones) {
        std::map<std::string, double>
                assignedShares; // node -> share of the demand that it is preferred for
        const double maxShare = m_settings.maxShareFactor / static_cast<double>(zoneNodes.size());
        for (const ModelShare &each : demand)
            choosePreferredNodes(each, zoneNodes, maxShare, assignedShares);
    }
    for (auto &[model, names] : m_preferredNodes)
        std::sort(names.begin(), names.end());
}

// Takes the first nodes in rendezvous order that have capacity left. Every zone plans for the whole
// demand, so that the demand of each zone need not be known.
void AddressDirectory::choosePreferredNodes(const ModelShare &demand,
                                            const std::vector<const EntryNode *> &zoneNodes,
                                            double maxShare,
                                            std::map<std::string, double> &assignedShares)
{
    std::vector<std::string> candidates;
    candidates.reserve(zoneNodes.size());
    for (const EntryNode *node : zoneNodes)
        candidates.push_back(node->name);
    const auto byDemand = static_cast<std::size_t>(
            std::ceil(2 * demand.share * static_cast<double>(candidates.size())));
    const std::size_t nodeCount =
            std::min(std::max(m_settings.preferredNodesPerZone, byDemand), candidates.size());
    const double sharePerNode = demand.share / static_cast<double>(nodeCount);
    const std::vector<std::string> order = rendezvousOrder(demand.model, candidates);

    std::vector<std::string> chosen;
    for (const bool limitsShare : { true, false }) {
        for (const std::string &name : order) {
            if (chosen.size() == nodeCount)
                break;
            const bool isChosen = std::find(chosen.begin(), chosen.end(), name) != chosen.end();
            if (isChosen || (limitsShare && assignedShares[name] + sharePerNode > maxShare))
                continue;
            assignedShares[name] += sharePerNode;
            chosen.push_back(name);
        }
    }
    std::vector<std::string> &preferredNodes = m_preferredNodes[demand.model];
    preferredNodes.insert(preferredNodes.end(), chosen.begin(), chosen.end());
}

bool AddressDirectory::isPreferred(const std::string &model, const std::string &node) const
{
    const auto it = m_preferredNodes.find(model);
    return it != m_preferredNodes.end()
            && std::binary_search(it->second.begin(), it->second.end(), node);
}

// ---- Answers ------------------------------------------------------------------------------------

Result<AddressAnswer> AddressDirectory::answer(const AddressQuery &query)
{
    const bool hasPreferredNodes = m_preferredNodes.contains(query.model);
    std::vector<const EntryNode *> sameZonePreferred;
    std::vector<const EntryNode *> otherZonePreferred;
    std::vector<const EntryNode *> others;
    std::vector<const EntryNode *> suspects;
    std::vector<const EntryNode *> leaving;
    for (const EntryNode &node : m_nodes) {
        if (node.state == EntryNodeState::Leaving)
            leaving.push_back(&node);
        else if (node.state == EntryNodeState::Suspect)
            suspects.push_back(&node);
        else if (hasPreferredNodes && !isPreferred(query.model, node.name))
            others.push_back(&node);
        else if (node.zone == query.callerZone)
            sameZonePreferred.push_back(&node);
        else
            otherZonePreferred.push_back(&node);
    }
    AddressAnswer answer;
    answer.lifetime = m_settings.lifetime;
    appendShuffled(answer, sameZonePreferred,
                   m_settings.maxAddresses - 1); // one position is kept for another zone
    appendShuffled(answer, otherZonePreferred,
                   sameZonePreferred.empty() ? m_settings.maxAddresses : 1);
    appendShuffled(answer, others, m_settings.maxAddresses);
    if (answer.addresses.empty())
        appendShuffled(answer, suspects, m_settings.maxAddresses);
    if (answer.addresses.empty()) {
        answer.lifetime = m_settings.lifetimeWhenLeaving;
        appendShuffled(answer, leaving, m_settings.maxAddresses);
    }
    if (answer.addresses.empty())
        return Error { ResultCode::RefusedNoUpstream, "no entry node is known" };
    return answer;
}

void AddressDirectory::appendShuffled(AddressAnswer &answer,
                                      std::vector<const EntryNode *> candidates, std::size_t count)
{
    std::shuffle(candidates.begin(), candidates.end(), m_random.engine());
    for (const EntryNode *node : candidates) {
        if (count == 0 || answer.addresses.size() >= m_settings.maxAddresses)
            return;
        answer.addresses.push_back(node->address);
        --count;
    }
}

} // namespace burdock
