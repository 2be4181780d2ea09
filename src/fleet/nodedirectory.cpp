#include "fleet/nodedirectory.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

/// Nodes of large zones and of other zones get only every second heartbeat.
constexpr std::uint64_t SlowHeartbeatDivisor = 2;
/// A node with less traffic does not count as serving callers: its few requests come from callers
/// that still use an outdated address answer. A zone with less traffic counts as having none.
constexpr double MinTraffic = 1.0; // requests per second
/// Callers ask for one node or two by turns.
constexpr std::size_t MinKeptChoice = 4;

void addAddress(std::vector<std::string> &addresses, const std::string &ip)
{
    if (std::find(addresses.begin(), addresses.end(), ip) == addresses.end())
        addresses.push_back(ip);
}

} // namespace

NodeDirectory::NodeDirectory(NodeInfo self, DirectorySettings settings, std::uint64_t seed)
    : m_settings(settings)
    , m_random(seed)
{
    m_self.rank = hashText(self.name);
    m_self.info = std::move(self);
}

// ---- Events -------------------------------------------------------------------------------------

bool NodeDirectory::onHeartbeat(const NodeHeartbeat &heartbeat, Instant now)
{
    if (heartbeat.sender.name == m_self.info.name)
        return false;
    Row &row = m_nodes[heartbeat.sender.name];
    // Delayed heartbeats of an earlier process come while the later one is heard. Otherwise the
    // node has restarted with its clock set back.
    if (heartbeat.started < row.started
        && now - row.lastHeartbeatAt < m_settings.slowLivenessTimeout)
        return false;
    const bool isNewState = row.lastHeartbeatAt == Instant {} || heartbeat.started != row.started
            || heartbeat.leaving != row.leaving;
    const bool changesChoices = isNewState || row.storeReached != heartbeat.storeReached
            || row.info.capacity != heartbeat.sender.capacity
            || heartbeat.holder.term > m_holder.term
            || (heartbeat.requestsPerSecond >= MinTraffic) != hasTraffic(row);
    m_version += changesChoices ? 1 : 0;
    row.info = heartbeat.sender;
    row.rank = hashText(heartbeat.sender.name);
    row.leaving = heartbeat.leaving;
    row.started = heartbeat.started;
    row.requestsPerSecond = heartbeat.requestsPerSecond;
    row.storeReached = heartbeat.storeReached;
    row.lastHeartbeatAt = now;
    row.lastMentionedAt = now;
    for (const NodeInfo &other : heartbeat.others)
        onIndirectReport(other, now);
    if (heartbeat.holder.term > m_holder.term)
        m_holder = heartbeat.holder;
    return isNewState;
}

void NodeDirectory::onIndirectReport(const NodeInfo &node, Instant now)
{
    if (node.name == m_self.info.name || node.name.empty() || node.ip.empty())
        return;
    Row &row = m_nodes[node.name];
    if (row.info.name.empty()) {
        ++m_version;
        row.info = node;
        row.rank = hashText(node.name);
    }
    if (row.info.capacity <= 0.0)
        row.info.capacity = node.capacity;
    row.lastMentionedAt = now;
}

void NodeDirectory::tick(Instant now)
{
    std::erase_if(m_nodes, [&](const auto &entry) {
        return now - entry.second.lastMentionedAt > m_settings.forgetTimeout;
    });
    std::erase_if(m_trafficUntil, [&](const auto &entry) { return now >= entry.second; });
}

void NodeDirectory::setHolder(const HolderClaim &claim)
{
    if (claim.term < m_holder.term)
        return;
    m_version += claim.name != m_holder.name ? 1 : 0;
    m_holder = claim;
}

void NodeDirectory::setOwnState(double requestsPerSecond, bool storeReached, Instant now)
{
    if (m_self.storeReached != storeReached)
        ++m_version;
    m_self.requestsPerSecond = requestsPerSecond;
    m_self.storeReached = storeReached;
    for (const auto &[zone, live] : nodesByZone(true, now)) {
        const std::size_t ingressCount = ingressCountForTraffic(live);
        HeldIngressCount &stored = m_ingressCounts[zone];
        if (ingressCount != stored.count)
            ++m_version;
        if (ingressCount >= stored.count || now >= stored.expiresAt)
            stored = { ingressCount, now + m_settings.ingressReductionDelay };
    }
}

// ---- Membership ---------------------------------------------------------------------------------

bool NodeDirectory::isLive(const Row &row, Instant now) const
{
    const bool usesSlowHeartbeats =
            row.info.zone != m_self.info.zone || m_nodes.size() > m_settings.maxSmallZoneNodes;
    const Duration livenessTimeout =
            usesSlowHeartbeats ? m_settings.slowLivenessTimeout : m_settings.livenessTimeout;
    return row.lastHeartbeatAt != Instant {} && !row.leaving
            && now - row.lastHeartbeatAt < livenessTimeout;
}

bool NodeDirectory::isMentioned(const Row &row, Instant now) const
{
    return !row.leaving && now - row.lastMentionedAt < m_settings.mentionTimeout;
}

bool NodeDirectory::isIncluded(const Row &row, bool onlyLive, Instant now) const
{
    return onlyLive ? isLive(row, now) : isMentioned(row, now);
}

bool NodeDirectory::hasTraffic(const Row &row)
{
    return row.requestsPerSecond >= MinTraffic;
}

bool NodeDirectory::isLive(const std::string &name, Instant now) const
{
    const auto found = m_nodes.find(name);
    return name == m_self.info.name || (found != m_nodes.end() && isLive(found->second, now));
}

bool NodeDirectory::isAlone(Instant now) const
{
    return std::none_of(m_nodes.begin(), m_nodes.end(),
                        [&](const auto &entry) { return isLive(entry.second, now); });
}

void NodeDirectory::sortByRank(Rows &rows)
{
    std::sort(rows.begin(), rows.end(), [](const Row *left, const Row *right) {
        if (left->info.capacity != right->info.capacity)
            return left->info.capacity > right->info.capacity;
        return left->rank < right->rank;
    });
}

bool NodeDirectory::isHolder(const Row &row) const
{
    return !m_holder.name.empty() && row.info.name == m_holder.name;
}

/// @param zoneRows nodes of one zone, sorted by rank
void NodeDirectory::putHolderLast(Rows &zoneRows) const
{
    if (zoneRows.size() <= m_settings.minIngressNodes)
        return;
    std::stable_partition(zoneRows.begin(), zoneRows.end(),
                          [&](const Row *row) { return !isHolder(*row); });
}

/// @param onlyLive false: also nodes known only by a recent indirect report
/// @return nodes by zone, sorted by rank, the holder last; includes zones without such nodes
std::map<std::string, NodeDirectory::Rows> NodeDirectory::nodesByZone(bool onlyLive,
                                                                      Instant now) const
{
    std::map<std::string, Rows> zones { { m_self.info.zone, { &m_self } } };
    for (const auto &[name, row] : m_nodes) {
        Rows &rows = zones[row.info.zone];
        if (isIncluded(row, onlyLive, now))
            rows.push_back(&row);
    }
    for (auto &[zone, rows] : zones) {
        sortByRank(rows);
        putHolderLast(rows);
    }
    return zones;
}

/// @return nodes of one zone, sorted by rank, the holder last
NodeDirectory::Rows NodeDirectory::rankedNodes(const std::string &zone, bool onlyLive,
                                               Instant now) const
{
    Rows rows;
    if (zone == m_self.info.zone)
        rows.push_back(&m_self);
    for (const auto &[name, row] : m_nodes) {
        if (row.info.zone == zone && isIncluded(row, onlyLive, now))
            rows.push_back(&row);
    }
    sortByRank(rows);
    putHolderLast(rows);
    return rows;
}

/// @return the first rows, after sorting those that reach the store to the front
NodeDirectory::Rows NodeDirectory::storeReachableFirst(Rows rows, std::size_t count)
{
    std::stable_partition(rows.begin(), rows.end(),
                          [](const Row *row) { return row->storeReached; });
    rows.resize(std::min(rows.size(), count));
    return rows;
}

/// @return the hubs of this node's zone, whose heartbeats go to all its nodes
NodeDirectory::Rows NodeDirectory::hubs(Instant now) const
{
    Rows rows = rankedNodes(m_self.info.zone, false, now);
    const std::size_t count = ingressNodeCount(m_self.info.zone, now) + m_settings.spareHubs;
    rows.resize(std::min(rows.size(), count));
    return rows;
}

std::vector<std::string> NodeDirectory::leaseCandidates(std::size_t count, Instant now) const
{
    if (!m_keptCandidates.holds(count, m_version, now)) {
        Rows rows;
        for (const auto &[zone, ofZone] : nodesByZone(false, now))
            rows.insert(rows.end(), ofZone.begin(), ofZone.end());
        sortByRank(rows);
        const std::size_t kept = std::max(count, MinKeptChoice);
        m_keptCandidates = { {}, kept, m_version, now + m_settings.choiceLifetime };
        // In an outage no node reaches the store, and a candidate must take the lease when it ends.
        for (const Row *row : storeReachableFirst(std::move(rows), kept))
            m_keptCandidates.chosen.push_back(row->info.name);
    }
    return m_keptCandidates.first(count);
}

std::vector<NodeInfo> NodeDirectory::storeWatchers(std::size_t count, Instant now) const
{
    if (!m_keptWatchers.holds(count, m_version, now)) {
        Rows rows = rankedNodes(m_self.info.zone, false, now);
        // Among equals the spare hubs go first: the links of the ingress nodes already carry the
        // callers' traffic.
        const std::size_t ingress = std::min(ingressNodeCount(m_self.info.zone, now), rows.size());
        const std::size_t hubsEnd = std::min(ingress + m_settings.spareHubs, rows.size());
        std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(ingress),
                    rows.begin() + static_cast<std::ptrdiff_t>(hubsEnd));
        std::stable_sort(rows.begin(), rows.end(), [](const Row *left, const Row *right) {
            return left->info.capacity > right->info.capacity;
        });
        putHolderLast(rows);
        const std::size_t kept = std::max(count, MinKeptChoice);
        m_keptWatchers = { infosOf(storeReachableFirst(std::move(rows), kept)), kept, m_version,
                           now + m_settings.choiceLifetime };
    }
    return m_keptWatchers.first(count);
}

// ---- Ingress ------------------------------------------------------------------------------------

/// @param live live nodes of one zone, sorted by rank
std::size_t NodeDirectory::ingressCountForTraffic(const Rows &live) const
{
    double requestsPerSecond = 0.0;
    for (const Row *row : live)
        requestsPerSecond += row->requestsPerSecond;
    if (requestsPerSecond < MinTraffic)
        return m_settings.initialIngressNodes;
    std::size_t count = 0;
    for (double planned = 0.0; count < live.size() && planned < requestsPerSecond; ++count) {
        const double capacity = live[count]->info.capacity;
        planned += capacity > 0.0 ? capacity : m_settings.requestsPerSecondPerIngress;
    }
    return std::max(m_settings.minIngressNodes, count);
}

std::size_t NodeDirectory::ingressNodeCount(const std::string &zone, Instant now) const
{
    const auto found = m_ingressCounts.find(zone);
    const bool isHeld = found != m_ingressCounts.end() && now < found->second.expiresAt;
    return isHeld ? found->second.count : ingressCountForTraffic(rankedNodes(zone, true, now));
}

std::vector<std::string> NodeDirectory::ingressAddresses(Instant now) const
{
    if (m_keptIngress.holds(0, m_version, now))
        return m_keptIngress.chosen;
    std::vector<std::string> addresses;
    for (const auto &[zone, live] : nodesByZone(true, now)) {
        const std::size_t ingressCount = ingressNodeCount(zone, now);
        for (std::size_t rank = 0; rank < live.size(); ++rank) {
            const bool takesCallers = rank < ingressCount || hasTraffic(*live[rank]);
            if (takesCallers && live[rank] != &m_self)
                addresses.push_back(live[rank]->info.ip);
        }
    }
    for (const auto &[ip, until] : m_trafficUntil) {
        if (now < until && std::find(addresses.begin(), addresses.end(), ip) == addresses.end())
            addresses.push_back(ip);
    }
    m_keptIngress = { addresses, 0, m_version, now + m_settings.choiceLifetime };
    return addresses;
}

std::vector<std::string> NodeDirectory::senderCandidates(Instant now) const
{
    std::map<std::string, Rows> zones;
    zones[m_self.info.zone].push_back(&m_self);
    for (const auto &[name, row] : m_nodes) {
        if (now - row.lastMentionedAt < m_settings.senderTimeout)
            zones[row.info.zone].push_back(&row);
    }
    std::vector<std::string> names;
    for (auto &[zone, rows] : zones) {
        sortByRank(rows);
        rows.resize(std::min(rows.size(), m_settings.minIngressNodes));
        for (const Row *row : rows)
            names.push_back(row->info.name);
    }
    return names;
}

std::vector<std::string> NodeDirectory::addressesFor(const std::string &zone, bool withSelf,
                                                     Instant now)
{
    const std::size_t ingressCount = std::min(ingressNodeCount(zone, now), m_settings.maxAddresses);
    std::vector<std::string> sameZone;
    std::vector<std::string> otherZones;
    for (const auto &[each, live] : nodesByZone(true, now)) {
        std::size_t taken = 0;
        for (const Row *row : live) {
            if (row == &m_self && !withSelf)
                continue;
            if (each != zone)
                otherZones.push_back(row->info.ip);
            else if (taken++ < ingressCount)
                sameZone.push_back(row->info.ip);
        }
    }
    std::shuffle(otherZones.begin(), otherZones.end(), m_random.engine());
    while (sameZone.size() < m_settings.minAddresses && !otherZones.empty()) {
        sameZone.push_back(otherZones.back());
        otherZones.pop_back();
    }
    std::shuffle(sameZone.begin(), sameZone.end(), m_random.engine());
    return sameZone;
}

// ---- Heartbeats ---------------------------------------------------------------------------------

HeartbeatTargets NodeDirectory::heartbeatTargets(bool urgent, Instant now)
{
    const bool includesSlowPeers = m_heartbeatCount++ % SlowHeartbeatDivisor == 0 || urgent;
    HeartbeatTargets targets;
    std::vector<const Row *> zone;
    std::vector<const Row *> others;
    for (const auto &[name, row] : m_nodes)
        (row.info.zone == m_self.info.zone ? zone : others).push_back(&row);

    const Rows hubRows = hubs(now);
    const auto ownRank = static_cast<std::size_t>(std::find(hubRows.begin(), hubRows.end(), &m_self)
                                                  - hubRows.begin());
    const bool isHub = hasTraffic(m_self) || ownRank < hubRows.size();
    const bool isIngress = hasTraffic(m_self) || ownRank < ingressNodeCount(m_self.info.zone, now);
    const bool isSmall = zone.size() <= m_settings.maxSmallZoneNodes;
    if (isHub && (isSmall || includesSlowPeers)) {
        // Includes silent nodes, so that the parts of a healed partition find each other again.
        std::shuffle(zone.begin(), zone.end(), m_random.engine());
        for (std::size_t each = 0; each < std::min(zone.size(), m_settings.maxSameZoneTargets);
             ++each)
            addAddress(targets.sameZone, zone[each]->info.ip);
    }
    for (const Row *row : hubRows) {
        if (row != &m_self && (isHub || isSmall || includesSlowPeers))
            addAddress(targets.sameZone, row->info.ip);
    }
    if (!zone.empty())
        addAddress(targets.sameZone, zone[m_random.below(zone.size())]->info.ip);

    if (others.empty() || !includesSlowPeers)
        return targets;
    if (isIngress) {
        for (const auto &[each, ranked] : nodesByZone(false, now)) {
            if (each == m_self.info.zone)
                continue;
            const std::size_t ingressCount = std::min(ingressNodeCount(each, now), ranked.size());
            for (std::size_t row = 0;
                 row < ingressCount && targets.otherZones.size() < m_settings.maxOtherZoneTargets;
                 ++row)
                addAddress(targets.otherZones, ranked[row]->info.ip);
        }
    }
    addAddress(targets.otherZones, others[m_random.below(others.size())]->info.ip);
    return targets;
}

std::vector<NodeInfo> NodeDirectory::nodesToAnnounce(bool toOtherZones, Instant now)
{
    std::vector<NodeInfo> announced;
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            announced.push_back(row.info);
    }
    std::shuffle(announced.begin(), announced.end(), m_random.engine());
    const std::size_t maxNodes =
            toOtherZones ? m_settings.maxAnnouncedToOtherZones : m_settings.maxAnnouncedNodes;
    if (announced.size() > maxNodes)
        announced.resize(maxNodes);
    return announced;
}

std::vector<NodeInfo> NodeDirectory::nodesForNewPeer(const std::string &zone, Instant now) const
{
    Rows rows = rankedNodes(zone, false, now);
    rows.resize(std::min(rows.size(), m_settings.maxAnnouncedNodes));
    return infosOf(rows);
}

std::vector<NodeInfo> NodeDirectory::infosOf(const Rows &rows)
{
    std::vector<NodeInfo> infos;
    infos.reserve(rows.size());
    for (const Row *row : rows)
        infos.push_back(row->info);
    return infos;
}

void NodeDirectory::onTrafficFrom(const std::string &ip, Instant now)
{
    m_trafficUntil[ip] = now + m_settings.trafficTimeout;
}

std::unordered_set<std::string> NodeDirectory::liveNodes(Instant now) const
{
    std::unordered_set<std::string> names;
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            names.insert(name);
    }
    return names;
}

std::unordered_set<std::string> NodeDirectory::leavingNodes() const
{
    std::unordered_set<std::string> names;
    for (const auto &[name, row] : m_nodes) {
        if (row.leaving)
            names.insert(name);
    }
    return names;
}

} // namespace burdock
