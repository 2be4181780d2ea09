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

// ---- Homes --------------------------------------------------------------------------------------

void AddressDirectory::rebuild(std::vector<EntryNode> nodes, std::vector<ModelShare> demand)
{
    m_nodes = std::move(nodes);
    m_homes.clear();
    std::sort(m_nodes.begin(), m_nodes.end(),
              [](const EntryNode &left, const EntryNode &right) { return left.name < right.name; });
    std::sort(demand.begin(), demand.end(), [](const ModelShare &left, const ModelShare &right) {
        return left.share != right.share ? left.share > right.share : left.model < right.model;
    });
    // A suspect node keeps its homes: a false suspicion must not move them twice.
    std::map<std::string, std::vector<const EntryNode *>> zones;
    for (const EntryNode &node : m_nodes) {
        if (node.state != EntryNodeState::Leaving)
            zones[node.zone].push_back(&node);
    }
    for (const auto &[zone, zoneNodes] : zones) {
        std::map<std::string, double> carried; // node -> share of demand that it is home to
        const double bound = m_settings.headroom / static_cast<double>(zoneNodes.size());
        for (const ModelShare &each : demand)
            chooseHomes(each, zoneNodes, bound, carried);
    }
    for (auto &[model, names] : m_homes)
        std::sort(names.begin(), names.end());
}

// Takes the first nodes in rendezvous order that have room. Every zone plans for all the demand,
// so that shares need not be known by zone.
void AddressDirectory::chooseHomes(const ModelShare &demand,
                                   const std::vector<const EntryNode *> &zoneNodes, double bound,
                                   std::map<std::string, double> &carried)
{
    std::vector<std::string> candidates;
    candidates.reserve(zoneNodes.size());
    for (const EntryNode *node : zoneNodes)
        candidates.push_back(node->name);
    const auto byDemand = static_cast<std::size_t>(
            std::ceil(2 * demand.share * static_cast<double>(candidates.size())));
    const std::size_t wanted =
            std::min(std::max(m_settings.homesPerZone, byDemand), candidates.size());
    const double part = demand.share / static_cast<double>(wanted);
    const std::vector<std::string> order = rendezvousOrder(demand.model, candidates);

    std::vector<std::string> chosen;
    for (const bool bounded : { true, false }) {
        for (const std::string &name : order) {
            if (chosen.size() == wanted)
                break;
            const bool taken = std::find(chosen.begin(), chosen.end(), name) != chosen.end();
            if (taken || (bounded && carried[name] + part > bound))
                continue;
            carried[name] += part;
            chosen.push_back(name);
        }
    }
    std::vector<std::string> &homes = m_homes[demand.model];
    homes.insert(homes.end(), chosen.begin(), chosen.end());
}

bool AddressDirectory::isHome(const std::string &model, const std::string &node) const
{
    const auto it = m_homes.find(model);
    return it != m_homes.end() && std::binary_search(it->second.begin(), it->second.end(), node);
}

// ---- Answers ------------------------------------------------------------------------------------

Result<AddressAnswer> AddressDirectory::answer(const AddressQuery &query)
{
    const bool hasHomes = m_homes.contains(query.model);
    std::vector<const EntryNode *> nearHomes;
    std::vector<const EntryNode *> farHomes;
    std::vector<const EntryNode *> others;
    std::vector<const EntryNode *> suspects;
    std::vector<const EntryNode *> leaving;
    for (const EntryNode &node : m_nodes) {
        if (node.state == EntryNodeState::Leaving)
            leaving.push_back(&node);
        else if (node.state == EntryNodeState::Suspect)
            suspects.push_back(&node);
        else if (hasHomes && !isHome(query.model, node.name))
            others.push_back(&node);
        else if (node.zone == query.callerZone)
            nearHomes.push_back(&node);
        else
            farHomes.push_back(&node);
    }
    AddressAnswer answer;
    answer.lifetime = m_settings.lifetime;
    append(answer, nearHomes, m_settings.addressesPerAnswer - 1); // one place for another zone
    append(answer, farHomes, nearHomes.empty() ? m_settings.addressesPerAnswer : 1);
    append(answer, others, m_settings.addressesPerAnswer);
    if (answer.addresses.empty())
        append(answer, suspects, m_settings.addressesPerAnswer);
    if (answer.addresses.empty()) {
        answer.lifetime = m_settings.lifetimeWhenLeaving;
        append(answer, leaving, m_settings.addressesPerAnswer);
    }
    if (answer.addresses.empty())
        return Error { ResultCode::RefusedNoUpstream, "no entry node is known" };
    return answer;
}

void AddressDirectory::append(AddressAnswer &answer, std::vector<const EntryNode *> candidates,
                              std::size_t count)
{
    std::shuffle(candidates.begin(), candidates.end(), m_random.engine());
    for (const EntryNode *node : candidates) {
        if (count == 0 || answer.addresses.size() >= m_settings.addressesPerAnswer)
            return;
        answer.addresses.push_back(node->address);
        --count;
    }
}

} // namespace burdock
