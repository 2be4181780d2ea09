#include "fleet/nodedirectory.h"

#include <algorithm>

namespace burdock {

NodeDirectory::NodeDirectory(NodeInfo self, DirectorySettings settings, std::uint64_t seed)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_random(seed)
{
}

// ---- Events -------------------------------------------------------------------------------------

bool NodeDirectory::onBeat(const NodeBeat &beat, Instant now)
{
    if (beat.sender.name == m_self.name)
        return false;
    Row &row = m_nodes[beat.sender.name];
    if (beat.started < row.started)
        return false; // an earlier process of that node, delayed on its way
    const bool news =
            row.heardAt == Instant {} || beat.started != row.started || beat.leaving != row.leaving;
    row.info = beat.sender;
    row.leaving = beat.leaving;
    row.started = beat.started;
    row.heardAt = now;
    row.namedAt = now;
    for (const NodeInfo &other : beat.others)
        onHint(other, now);
    if (beat.holder.term > m_holder.term)
        m_holder = beat.holder;
    return news;
}

void NodeDirectory::onHint(const NodeInfo &node, Instant now)
{
    if (node.name == m_self.name || node.name.empty() || node.ip.empty())
        return;
    Row &row = m_nodes[node.name];
    if (row.info.name.empty())
        row.info = node;
    row.namedAt = now;
}

void NodeDirectory::tick(Instant now)
{
    std::erase_if(m_nodes, [&](const auto &entry) {
        return now - entry.second.namedAt > m_settings.knownFor;
    });
}

void NodeDirectory::setHolder(const HolderClaim &claim)
{
    if (claim.term >= m_holder.term)
        m_holder = claim;
}

// ---- Reading ------------------------------------------------------------------------------------

bool NodeDirectory::isLive(const Row &row, Instant now) const
{
    return row.heardAt != Instant {} && !row.leaving && now - row.heardAt < m_settings.liveFor;
}

bool NodeDirectory::isLive(const std::string &name, Instant now) const
{
    const auto found = m_nodes.find(name);
    return name == m_self.name || (found != m_nodes.end() && isLive(found->second, now));
}

std::vector<std::string> NodeDirectory::beatTargets(Instant now)
{
    // The nodes of the zone that follow this one by name, so that every node has some that hear it.
    std::vector<const Row *> zone;
    std::vector<const Row *> others;
    for (auto each = m_nodes.upper_bound(m_self.name); each != m_nodes.end(); ++each)
        (each->second.info.zone == m_self.zone ? zone : others).push_back(&each->second);
    for (auto each = m_nodes.begin(); each != m_nodes.upper_bound(m_self.name); ++each)
        (each->second.info.zone == m_self.zone ? zone : others).push_back(&each->second);

    std::vector<std::string> targets;
    const auto add = [&](const Row &row) {
        if (std::find(targets.begin(), targets.end(), row.info.ip) == targets.end())
            targets.push_back(row.info.ip);
    };
    for (std::size_t each = 0; each < std::min(zone.size(), m_settings.zonePeers); ++each)
        add(*zone[each]);
    if (const auto holder = m_nodes.find(m_holder.name);
        holder != m_nodes.end() && now - holder->second.namedAt < m_settings.knownFor)
        add(holder->second);
    for (std::size_t each = 0; each < m_settings.otherPeers && !others.empty(); ++each)
        add(*others[m_random.below(others.size())]);
    return targets;
}

std::vector<NodeInfo> NodeDirectory::nodesToTell(Instant now)
{
    std::vector<NodeInfo> told;
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            told.push_back(row.info);
    }
    std::shuffle(told.begin(), told.end(), m_random.engine());
    if (told.size() > m_settings.othersTold)
        told.resize(m_settings.othersTold);
    return told;
}

std::vector<std::string> NodeDirectory::liveNames(Instant now) const
{
    std::vector<std::string> names { m_self.name };
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            names.push_back(name);
    }
    std::sort(names.begin(), names.end());
    return names;
}

std::vector<NodeInfo> NodeDirectory::firstOfZone(std::size_t count, Instant now) const
{
    std::map<std::string, NodeInfo> zone { { m_self.name, m_self } };
    for (const auto &[name, row] : m_nodes) {
        const bool isNamed = !row.leaving && now - row.namedAt < m_settings.neighbourFor;
        if (row.info.zone == m_self.zone && isNamed)
            zone[name] = row.info;
    }
    std::vector<NodeInfo> first;
    for (const auto &[name, info] : zone) {
        if (first.size() < count)
            first.push_back(info);
    }
    return first;
}

std::vector<std::string> NodeDirectory::neighbours(Instant now) const
{
    const bool isSmall = known() <= m_settings.smallFleet;
    std::vector<std::string> addresses;
    for (const auto &[name, row] : m_nodes) {
        const bool near = isSmall || row.info.zone == m_self.zone;
        if (near && now - row.namedAt < m_settings.neighbourFor)
            addresses.push_back(row.info.ip);
    }
    return addresses;
}

std::vector<std::string> NodeDirectory::liveAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            addresses.push_back(row.info.ip);
    }
    return addresses;
}

std::vector<std::string> NodeDirectory::addressesFor(const std::string &zone, bool withSelf,
                                                     Instant now)
{
    std::vector<std::string> near;
    std::vector<std::string> far;
    if (withSelf)
        (zone == m_self.zone ? near : far).push_back(m_self.ip);
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            (zone == row.info.zone ? near : far).push_back(row.info.ip);
    }
    std::shuffle(far.begin(), far.end(), m_random.engine());
    while (near.size() < m_settings.addressesLeast && !far.empty()) {
        near.push_back(far.back());
        far.pop_back();
    }
    std::shuffle(near.begin(), near.end(), m_random.engine());
    if (near.size() > m_settings.addressesMost)
        near.resize(m_settings.addressesMost);
    return near;
}

} // namespace burdock
