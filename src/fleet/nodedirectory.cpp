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
    for (const std::string &zone : zones()) {
        const std::size_t wanted = ingressByTraffic(zone, now);
        Held &held = m_ingress[zone];
        if (wanted >= held.count || now >= held.until)
            held = { wanted, now + m_settings.ingressHeld };
    }
}

// ---- Who is there -------------------------------------------------------------------------------

bool NodeDirectory::isLive(const Row &row, Instant now) const
{
    if (&row == &m_self)
        return true;
    const bool isSlow = row.info.zone != m_self.info.zone || m_nodes.size() > m_settings.smallZone;
    const Duration liveFor = isSlow ? m_settings.slowLiveFor : m_settings.liveFor;
    return row.heardAt != Instant {} && !row.leaving && now - row.heardAt < liveFor;
}

bool NodeDirectory::isNamed(const Row &row, Instant now) const
{
    return &row == &m_self || (!row.leaving && now - row.namedAt < m_settings.neighbourFor);
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

std::set<std::string> NodeDirectory::zones() const
{
    std::set<std::string> zones { m_self.info.zone };
    for (const auto &[name, row] : m_nodes)
        zones.insert(row.info.zone);
    return zones;
}

void NodeDirectory::sortByRank(std::vector<const Row *> &rows)
{
    std::sort(rows.begin(), rows.end(),
              [](const Row *left, const Row *right) { return left->rank < right->rank; });
}

/// @param onlyLive or those that were named, too
std::vector<const NodeDirectory::Row *> NodeDirectory::byRank(const std::string &zone,
                                                              bool onlyLive, Instant now) const
{
    std::vector<const Row *> rows;
    const auto add = [&](const Row &row) {
        const bool is = onlyLive ? isLive(row, now) : isNamed(row, now);
        if (row.info.zone == zone && is)
            rows.push_back(&row);
    };
    add(m_self);
    for (const auto &[name, row] : m_nodes)
        add(row);
    sortByRank(rows);
    return rows;
}

std::vector<const NodeDirectory::Row *> NodeDirectory::hubs(const std::string &zone,
                                                            Instant now) const
{
    auto rows = byRank(zone, false, now);
    const std::size_t count = ingressWanted(zone, now) + m_settings.spareHubs;
    if (rows.size() > count)
        rows.resize(count);
    return rows;
}

std::vector<std::string> NodeDirectory::firstNames(std::size_t count, Instant now) const
{
    std::vector<const Row *> rows;
    for (const std::string &zone : zones()) {
        const auto ofZone = byRank(zone, false, now);
        rows.insert(rows.end(), ofZone.begin(), ofZone.end());
    }
    sortByRank(rows);
    std::vector<std::string> names;
    // In an outage nobody reaches the store, and the lease is to be taken when it ends.
    for (const bool reached : { true, false }) {
        for (const Row *row : rows) {
            if (row->storeReached == reached && names.size() < count)
                names.push_back(row->info.name);
        }
    }
    return names;
}

std::vector<NodeInfo> NodeDirectory::firstOfZone(std::size_t count, Instant now) const
{
    auto rows = byRank(m_self.info.zone, false, now);
    // The spare hubs, then the ingress nodes, whose links carry the traffic already.
    const std::size_t ingress = std::min(ingressWanted(m_self.info.zone, now), rows.size());
    const std::size_t hubsEnd = std::min(ingress + m_settings.spareHubs, rows.size());
    std::rotate(rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(ingress),
                rows.begin() + static_cast<std::ptrdiff_t>(hubsEnd));
    std::vector<NodeInfo> first;
    for (const bool reached : { true, false }) {
        for (const Row *row : rows) {
            if (row->storeReached == reached && first.size() < count)
                first.push_back(row->info);
        }
    }
    return first;
}

// ---- Ingress ------------------------------------------------------------------------------------

std::size_t NodeDirectory::ingressByTraffic(const std::string &zone, Instant now) const
{
    double requestsPerSecond = 0.0;
    for (const Row *row : byRank(zone, true, now))
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
    return isHeld ? held->second.count : ingressByTraffic(zone, now);
}

std::vector<std::string> NodeDirectory::ingressAddresses(Instant now) const
{
    std::set<const Row *> rows;
    for (const std::string &zone : zones()) {
        const auto ranked = byRank(zone, true, now);
        const std::size_t wanted = ingressWanted(zone, now);
        for (std::size_t each = 0; each < ranked.size(); ++each) {
            if (each < wanted || ranked[each]->requestsPerSecond >= TrafficLeast)
                rows.insert(ranked[each]);
        }
    }
    rows.erase(&m_self);
    std::vector<std::string> addresses;
    addresses.reserve(rows.size());
    for (const Row *row : rows)
        addresses.push_back(row->info.ip);
    return addresses;
}

std::vector<std::string> NodeDirectory::addressesFor(const std::string &zone, bool withSelf,
                                                     Instant now)
{
    const std::size_t wanted = std::min(ingressWanted(zone, now), m_settings.addressesMost);
    std::vector<std::string> near;
    std::vector<std::string> far;
    for (const std::string &each : zones()) {
        std::size_t taken = 0;
        for (const Row *row : byRank(each, true, now)) {
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

    const auto hubRows = hubs(m_self.info.zone, now);
    const bool takesCallers = m_self.requestsPerSecond >= TrafficLeast;
    const bool isHub =
            takesCallers || std::find(hubRows.begin(), hubRows.end(), &m_self) != hubRows.end();
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

    const bool isIngress = takesCallers
            || std::find(hubRows.begin(), hubRows.end(), &m_self) - hubRows.begin()
                    < static_cast<std::ptrdiff_t>(ingressWanted(m_self.info.zone, now));
    if (others.empty() || !isSlowTurn)
        return targets;
    if (isIngress) {
        for (const std::string &each : zones()) {
            if (each == m_self.info.zone)
                continue;
            const auto ranked = byRank(each, false, now);
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
    std::vector<NodeInfo> told;
    for (const Row *row : byRank(zone, false, now)) {
        if (told.size() < m_settings.othersTold)
            told.push_back(row->info);
    }
    return told;
}

} // namespace burdock
