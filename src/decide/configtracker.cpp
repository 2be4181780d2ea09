#include "decide/configtracker.h"

#include "base/hashing.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

// Number of peers with a higher revision that are remembered.
constexpr std::size_t MaxPeersAhead = 16;
// Key of the rendezvous hash that selects the watchers of a zone.
constexpr const char *WatcherKey = "head watch";

} // namespace

ConfigTracker::ConfigTracker(ConfigTrackerSettings settings, Instant now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_nextReportAt(now + m_settings.reportInterval)
{
    assert(!m_settings.self.empty() && "ConfigTrackerSettings::self must name this node");
}

std::vector<ConfigTrackerAction> ConfigTracker::takeActions()
{
    return std::exchange(m_actions, {});
}

void ConfigTracker::onMembers(const std::vector<std::string> &zoneMembers,
                              const std::vector<std::string> &peers, Instant now)
{
    m_peers = peers;
    std::erase(m_peers, m_settings.self);
    m_watchers = rendezvousOrder(WatcherKey, zoneMembers);
    if (m_watchers.size() > m_settings.watchersPerZone)
        m_watchers.resize(m_settings.watchersPerZone);
    const bool chosen =
            std::find(m_watchers.begin(), m_watchers.end(), m_settings.self) != m_watchers.end();
    if (chosen == m_isWatcher)
        return;
    m_isWatcher = chosen;
    if (m_isWatcher)
        startWatch(now);
    else
        stopWatch();
}

void ConfigTracker::tick(Instant now)
{
    if (m_isWatcher && now >= m_nextWatchAt)
        startWatch(now);
    if (m_staged && now >= m_staged->retryAt)
        fetchMissingTexts(now);
    if (m_pullNumber != 0 && now >= m_pullDeadline) {
        m_pullNumber = 0;
        pullFromPeerAhead(now);
    }
    if (now >= m_nextReportAt)
        report(now);
}

// ---- Watch --------------------------------------------------------------------------------------

void ConfigTracker::startWatch(Instant now)
{
    m_watchId = m_nextNumber++;
    m_nextWatchAt = now + m_settings.watchTimeout + m_settings.watchGrace;
    m_actions.emplace_back(WatchHead { m_watchId, m_watchedVersion, m_settings.watchTimeout });
}

void ConfigTracker::stopWatch()
{
    if (m_watchId != 0)
        m_actions.emplace_back(StopWatch { m_watchId });
    m_watchId = 0;
    m_staged.reset();
}

void ConfigTracker::onHead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                           Instant now)
{
    if (requestId != m_watchId || !m_isWatcher)
        return;
    m_watchedVersion = version;
    stageHead(head, now);
    startWatch(now);
}

void ConfigTracker::onWatchIdle(std::uint64_t requestId, Instant now)
{
    if (requestId == m_watchId && m_isWatcher)
        startWatch(now);
}

void ConfigTracker::onWatchFailed(std::uint64_t requestId, Instant now)
{
    if (requestId != m_watchId || !m_isWatcher)
        return;
    m_watchId = 0;
    m_nextWatchAt = now + m_settings.retryDelay;
}

// ---- Revisions from the Object API --------------------------------------------------------------

void ConfigTracker::stageHead(const ConfigHead &head, Instant now)
{
    const std::uint64_t newest = m_staged ? m_staged->snapshot.head.revision : revision();
    if (head.revision == revision() && headHash(head) != headHash(m_inForce.head))
        m_actions.emplace_back(ConfigAlarm {
                "the stored configuration head of revision " + std::to_string(head.revision)
                + " differs from the head in force with the same revision" });
    if (head.revision <= std::max(newest, revision()))
        return;
    Staged staged;
    staged.snapshot.head = head;
    for (const auto &[key, hash] : head.entries) {
        const auto known = m_inForce.head.entries.find(key);
        if (known != m_inForce.head.entries.end() && known->second == hash)
            staged.snapshot.texts[key] = m_inForce.texts.at(key);
    }
    m_staged = std::move(staged);
    fetchMissingTexts(now);
    putStagedInForceIfComplete(now);
}

void ConfigTracker::fetchMissingTexts(Instant now)
{
    for (const auto &[key, hash] : m_staged->snapshot.head.entries) {
        if (!m_staged->snapshot.texts.contains(key))
            m_actions.emplace_back(FetchEntry { key, hash });
    }
    m_staged->retryAt = now + m_settings.pullTimeout;
}

void ConfigTracker::onEntry(const std::string &key, const std::string &text, Instant now)
{
    if (!m_staged)
        return;
    const auto entry = m_staged->snapshot.head.entries.find(key);
    if (entry == m_staged->snapshot.head.entries.end() || entry->second != contentHash(text))
        return;
    m_staged->snapshot.texts[key] = text;
    putStagedInForceIfComplete(now);
}

void ConfigTracker::putStagedInForceIfComplete(Instant now)
{
    if (m_staged->snapshot.texts.size() < m_staged->snapshot.head.entries.size())
        return;
    ConfigSnapshot snapshot = std::move(m_staged->snapshot);
    m_staged.reset();
    putInForce(std::move(snapshot), "watch", now);
}

// ---- Revisions from peers -----------------------------------------------------------------------

void ConfigTracker::onNotice(const RevisionNotice &notice, Instant now)
{
    if (notice.revision <= revision())
        return;
    m_peersAhead[notice.from] = notice.revision;
    pullFromPeerAhead(now);
}

void ConfigTracker::onPeerRevision(const std::string &peer, std::uint64_t peerRevision, Instant now)
{
    if (!m_settings.pullOnGossip)
        return;
    if (!m_settings.keepHighestRevision && peerRevision != revision() && m_pullNumber == 0) {
        pullFrom(peer, now);
        return;
    }
    onNotice({ peer, peerRevision }, now);
}

void ConfigTracker::pullFromPeerAhead(Instant now)
{
    std::erase_if(m_peersAhead, [&](const auto &each) { return each.second <= revision(); });
    while (m_peersAhead.size() > MaxPeersAhead)
        m_peersAhead.erase(m_peersAhead.begin());
    if (m_pullNumber != 0 || m_peersAhead.empty())
        return;
    const auto chosen = std::next(m_peersAhead.begin(),
                                  static_cast<std::ptrdiff_t>(m_random.below(m_peersAhead.size())));
    const std::string peer = chosen->first;
    m_peersAhead.erase(chosen); // its next gossip message announces the revision again
    pullFrom(peer, now);
}

void ConfigTracker::pullFrom(const std::string &peer, Instant now)
{
    m_pullNumber = m_nextNumber++;
    m_pullDeadline = now + m_settings.pullTimeout;
    m_actions.emplace_back(SendPullRequest { peer, { m_settings.self, m_pullNumber, revision() } });
}

void ConfigTracker::onPullRequest(const PullRequest &request, Instant)
{
    if (revision() == 0)
        return;
    PullReply reply { m_settings.self, request.number, makeDelta(m_inForce, request.haveRevision) };
    m_actions.emplace_back(SendPullReply { request.from, std::move(reply) });
}

void ConfigTracker::onPullReply(const PullReply &reply, Instant now)
{
    if (reply.number == m_pullNumber)
        m_pullNumber = 0;
    const bool higher = reply.delta.revision > revision();
    if (higher || !m_settings.keepHighestRevision) {
        Result<ConfigSnapshot> next = applyDelta(m_inForce, reply.delta);
        if (isOk(next))
            putInForce(takeValue(std::move(next)), reply.from, now);
        else if (reply.delta.baseRevision == revision())
            m_needsFullPull = true; // the delta does not produce its stated head hash
    }
    pullFromPeerAhead(now);
}

// ---- In force -----------------------------------------------------------------------------------

void ConfigTracker::putInForce(ConfigSnapshot snapshot, const std::string &source, Instant now)
{
    if (m_settings.keepHighestRevision && snapshot.head.revision <= revision())
        return;
    m_inForce = std::move(snapshot);
    if (m_staged && m_staged->snapshot.head.revision <= revision())
        m_staged.reset();
    m_actions.emplace_back(
            ApplyConfig { revision(), m_inForce.head.publishId, source, m_inForce.texts });
    notifyPeers();
    report(now);
}

void ConfigTracker::notifyPeers()
{
    for (std::size_t count = 0; count < m_settings.noticeFanout && !m_peers.empty(); ++count) {
        const std::string &peer = m_peers[m_random.below(m_peers.size())];
        m_actions.emplace_back(SendNotice { peer, { m_settings.self, revision() } });
    }
}

void ConfigTracker::report(Instant now)
{
    m_nextReportAt = now + m_settings.reportInterval;
    m_reports[m_settings.self] = { revision(), now };
    for (const std::string &watcher : m_watchers) {
        if (watcher != m_settings.self)
            m_actions.emplace_back(SendReport { watcher, { m_settings.self, revision() } });
    }
    std::erase_if(m_reports, [&](const auto &each) {
        return now - each.second.receivedAt > m_settings.reportLifetime;
    });
}

void ConfigTracker::onReport(const RevisionReport &report, Instant now)
{
    m_reports[report.from] = { report.revision, now };
}

} // namespace burdock
