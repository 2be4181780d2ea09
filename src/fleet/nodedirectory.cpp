#include "fleet/nodedirectory.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

/// Larger zones and far ones get every second heartbeat only.
constexpr std::uint64_t SlowBeats = 2;
/// A node with less traffic is not one that callers are sent to; what comes was sent by an old
/// answer.
constexpr double TrafficLeast = 1.0; // requests a second

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

bool NodeDirectory::onBeat(const NodeBeat &beat, Instant now)
{
    if (beat.sender.name == m_self.info.name)
        return false;
    Row &row = m_nodes[beat.sender.name];
    if (beat.started < row.started)
        return false; // an earlier process of that node, delayed on its way
    const bool news =
            row.heardAt == Instant {} || beat.started != row.started || beat.leaving != row.leaving;
    row.info = beat.sender;
    row.rank = hashText(beat.sender.name);
    row.leaving = beat.leaving;
    row.started = beat.started;
    row.requestsPerSecond = beat.requestsPerSecond;
    row.storeReached = beat.storeReached;
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
    if (node.name == m_self.info.name || node.name.empty() || node.ip.empty())
        return;
    Row &row = m_nodes[node.name];
    if (row.info.name.empty()) {
        row.info = node;
        row.rank = hashText(node.name);
    }
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

void NodeDirectory::setOwn(double requestsPerSecond, bool storeReached, Instant now)
{
    m_self.requestsPerSecond = requestsPerSecond;
    m_self.storeReached = storeReached;
    for (const auto &[zone, live] : byZone(true, now)) {
        const std::size_t wanted = ingressByTraffic(live);
        Held &held = m_ingress[zone];
        if (wanted >= held.count || now >= held.until)
            held = { wanted, now + m_settings.ingressHeld };
    }
}

// ---- Who is there -------------------------------------------------------------------------------

bool NodeDirectory::isLive(const Row &row, Instant now) const
{
    const bool isSlow = row.info.zone != m_self.info.zone || m_nodes.size() > m_settings.smallZone;
    const Duration liveFor = isSlow ? m_settings.slowLiveFor : m_settings.liveFor;
    return row.heardAt != Instant {} && !row.leaving && now - row.heardAt < liveFor;
}

bool NodeDirectory::isNamed(const Row &row, Instant now) const
{
    return !row.leaving && now - row.namedAt < m_settings.neighbourFor;
}

bool NodeDirectory::isThere(const Row &row, bool onlyLive, Instant now) const
{
    return onlyLive ? isLive(row, now) : isNamed(row, now);
}

bool NodeDirectory::hasTraffic(const Row &row)
{
    return row.requestsPerSecond >= TrafficLeast;
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
    std::sort(rows.begin(), rows.end(),
              [](const Row *left, const Row *right) { return left->rank < right->rank; });
}

/// @param onlyLive or those that were named, too
/// @return nodes by zone, in their ranks; also zones that have none of them
std::map<std::string, NodeDirectory::Rows> NodeDirectory::byZone(bool onlyLive, Instant now) const
{
    std::map<std::string, Rows> zones { { m_self.info.zone, { &m_self } } };
    for (const auto &[name, row] : m_nodes) {
        Rows &rows = zones[row.info.zone];
        if (isThere(row, onlyLive, now))
            rows.push_back(&row);
    }
    for (auto &[zone, rows] : zones)
        sortByRank(rows);
    return zones;
}

/// @return nodes of one zone, in their ranks
NodeDirectory::Rows NodeDirectory::byRank(const std::string &zone, bool onlyLive, Instant now) const
{
    Rows rows;
    if (zone == m_self.info.zone)
        rows.push_back(&m_self);
    for (const auto &[name, row] : m_nodes) {
        if (row.info.zone == zone && isThere(row, onlyLive, now))
            rows.push_back(&row);
    }
    sortByRank(rows);
    return rows;
}

/// @return the first of the rows, those that reach the store before the others
NodeDirectory::Rows NodeDirectory::reachedFirst(Rows rows, std::size_t count)
{
    std::stable_partition(rows.begin(), rows.end(),
                          [](const Row *row) { return row->storeReached; });
    rows.resize(std::min(rows.size(), count));
    return rows;
}

/// @return the nodes of the own zone that all others of it hear
NodeDirectory::Rows NodeDirectory::hubs(Instant now) const
{
    Rows rows = byRank(m_self.info.zone, false, now);
    const std::size_t count = ingressWanted(m_self.info.zone, now) + m_settings.spareHubs;
    rows.resize(std::min(rows.size(), count));
    return rows;
}

std::vector<std::string> NodeDirectory::firstNames(std::size_t count, Instant now) const
{
    Rows rows;
    for (const auto &[zone, ofZone] : byZone(false, now))
        rows.insert(rows.end(), ofZone.begin(), ofZone.end());
    sortByRank(rows);
    std::vector<std::string> names;
    // In an outage nobody reaches the store, and the lease is to be taken when it ends.
    for (const Row *row : reachedFirst(std::move(rows), count))
        names.push_back(row->info.name);
    return names;
}

std::vector<NodeInfo> NodeDirectory::firstOfZone(std::size_t count, Instant now) const
{
    Rows rows = byRank(m_self.info.zone, false, now);
    // The spare hubs, then the ingress nodes, whose links carry the traffic already.
    const std::size_t ingress = std::min(ingressWanted(m_self.info.zone, now), rows.size());
    const std::size_t hubsEnd = std::min(ingress + m_settings.spareHubs, rows.size());
    std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(ingress),
                rows.begin() + static_cast<std::ptrdiff_t>(hubsEnd));
    return infosOf(reachedFirst(std::move(rows), count));
}

// ---- Ingress ------------------------------------------------------------------------------------

/// @param live nodes of one zone
std::size_t NodeDirectory::ingressByTraffic(const Rows &live) const
{
    double requestsPerSecond = 0.0;
    for (const Row *row : live)
        requestsPerSecond += row->requestsPerSecond;
    if (requestsPerSecond < TrafficLeast)
        return m_settings.ingressAtFirst;
    const double nodes = std::ceil(requestsPerSecond / m_settings.requestsPerIngress);
    return std::max(m_settings.ingressLeast, static_cast<std::size_t>(nodes));
}

std::size_t NodeDirectory::ingressWanted(const std::string &zone, Instant now) const
{
    const auto held = m_ingress.find(zone);
    const bool isHeld = held != m_ingress.end() && now < held->second.until;
    return isHeld ? held->second.count : ingressByTraffic(byRank(zone, true, now));
}

std::vector<std::string> NodeDirectory::ingressAddresses(Instant now) const
{
    std::vector<std::string> addresses;
    for (const auto &[zone, live] : byZone(true, now)) {
        const std::size_t wanted = ingressWanted(zone, now);
        for (std::size_t rank = 0; rank < live.size(); ++rank) {
            const bool takesCallers = rank < wanted || hasTraffic(*live[rank]);
            if (takesCallers && live[rank] != &m_self)
                addresses.push_back(live[rank]->info.ip);
        }
    }
    return addresses;
}

std::vector<std::string> NodeDirectory::addressesFor(const std::string &zone, bool withSelf,
                                                     Instant now)
{
    const std::size_t wanted = std::min(ingressWanted(zone, now), m_settings.addressesMost);
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const auto &[each, live] : byZone(true, now)) {
        std::size_t taken = 0;
        for (const Row *row : live) {
            if (row == &m_self && !withSelf)
                continue;
            if (each != zone)
                far.push_back(row->info.ip);
            else if (taken++ < wanted)
                near.push_back(row->info.ip);
        }
    }
    std::shuffle(far.begin(), far.end(), m_random.engine());
    while (near.size() < m_settings.addressesLeast && !far.empty()) {
        near.push_back(far.back());
        far.pop_back();
    }
    std::shuffle(near.begin(), near.end(), m_random.engine());
    return near;
}

// ---- Heartbeats ---------------------------------------------------------------------------------

BeatTargets NodeDirectory::beatTargets(bool urgent, Instant now)
{
    const bool isSlowTurn = m_beats++ % SlowBeats == 0 || urgent;
    BeatTargets targets;
    std::vector<const Row *> zone;
    std::vector<const Row *> others;
    for (const auto &[name, row] : m_nodes)
        (row.info.zone == m_self.info.zone ? zone : others).push_back(&row);

    const Rows hubRows = hubs(now);
    const auto ownRank = static_cast<std::size_t>(std::find(hubRows.begin(), hubRows.end(), &m_self)
                                                  - hubRows.begin());
    const bool isHub = hasTraffic(m_self) || ownRank < hubRows.size();
    const bool isIngress = hasTraffic(m_self) || ownRank < ingressWanted(m_self.info.zone, now);
    const bool isSmall = zone.size() <= m_settings.smallZone;
    if (isHub && (isSmall || isSlowTurn)) {
        // Also silent ones, so that a healed partition joins again.
        std::shuffle(zone.begin(), zone.end(), m_random.engine());
        for (std::size_t each = 0; each < std::min(zone.size(), m_settings.nearPeers); ++each)
            addAddress(targets.near, zone[each]->info.ip);
    }
    for (const Row *row : hubRows) {
        if (row != &m_self)
            addAddress(targets.near, row->info.ip);
    }
    if (!zone.empty())
        addAddress(targets.near, zone[m_random.below(zone.size())]->info.ip);

    if (others.empty() || !isSlowTurn)
        return targets;
    if (isIngress) {
        for (const auto &[each, ranked] : byZone(false, now)) {
            if (each == m_self.info.zone)
                continue;
            const std::size_t wanted = std::min(ingressWanted(each, now), ranked.size());
            for (std::size_t row = 0; row < wanted && targets.far.size() < m_settings.farPeers;
                 ++row)
                addAddress(targets.far, ranked[row]->info.ip);
        }
    }
    addAddress(targets.far, others[m_random.below(others.size())]->info.ip);
    return targets;
}

std::vector<NodeInfo> NodeDirectory::nodesToTell(bool far, Instant now)
{
    std::vector<NodeInfo> told;
    for (const auto &[name, row] : m_nodes) {
        if (isLive(row, now))
            told.push_back(row.info);
    }
    std::shuffle(told.begin(), told.end(), m_random.engine());
    const std::size_t most = far ? m_settings.othersToldFar : m_settings.othersTold;
    if (told.size() > most)
        told.resize(most);
    return told;
}

std::vector<NodeInfo> NodeDirectory::nodesToWelcome(const std::string &zone, Instant now) const
{
    Rows rows = byRank(zone, false, now);
    rows.resize(std::min(rows.size(), m_settings.othersTold));
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

} // namespace burdock
