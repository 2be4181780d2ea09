#include "decide/configkeeper.h"

#include "base/hashing.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

constexpr std::size_t MaxTellers = 16;           // peers ahead that are remembered
constexpr const char *WatcherKey = "head watch"; // key of the rendezvous choice of watchers

} // namespace

ConfigKeeper::ConfigKeeper(KeeperSettings settings, Instant now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_nextReportAt(now + m_settings.reportInterval)
{
    assert(!m_settings.self.empty() && "name this node in KeeperSettings::self");
}

std::vector<KeeperAction> ConfigKeeper::takeActions()
{
    return std::exchange(m_actions, {});
}

void ConfigKeeper::onMembers(const std::vector<std::string> &zoneMembers,
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
        watch(now);
    else
        stopWatching();
}

void ConfigKeeper::tick(Instant now)
{
    if (m_isWatcher && now >= m_watchDeadline)
        watch(now);
    if (m_staged && now >= m_staged->retryAt)
        fetchMissing(now);
    if (m_pullNumber != 0 && now >= m_pullDeadline) {
        m_pullNumber = 0;
        pullFromAnyAhead(now);
    }
    if (now >= m_nextReportAt)
        report(now);
}

// ---- Watch --------------------------------------------------------------------------------------

void ConfigKeeper::watch(Instant now)
{
    m_watchId = m_nextNumber++;
    m_watchDeadline = now + m_settings.watchTimeout + m_settings.watchGrace;
    m_actions.emplace_back(WatchHead { m_watchId, m_watchedVersion, m_settings.watchTimeout });
}

void ConfigKeeper::stopWatching()
{
    if (m_watchId != 0)
        m_actions.emplace_back(StopWatch { m_watchId });
    m_watchId = 0;
    m_staged.reset();
}

void ConfigKeeper::onHead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                          Instant now)
{
    if (requestId != m_watchId || !m_isWatcher)
        return;
    m_watchedVersion = version;
    stage(head, now);
    watch(now);
}

void ConfigKeeper::onWatchIdle(std::uint64_t requestId, Instant now)
{
    if (requestId == m_watchId && m_isWatcher)
        watch(now);
}

void ConfigKeeper::onWatchFailed(std::uint64_t requestId, Instant now)
{
    if (requestId != m_watchId || !m_isWatcher)
        return;
    m_watchId = 0;
    m_watchDeadline = now + m_settings.retryDelay;
}

// ---- Revisions from the Object API --------------------------------------------------------------

void ConfigKeeper::stage(const ConfigHead &head, Instant now)
{
    const std::uint64_t newest = m_staged ? m_staged->snapshot.head.revision : revision();
    if (head.revision == revision() && headHash(head) != headHash(m_inForce.head))
        m_actions.emplace_back(ConfigAlarm { "the stored head of revision "
                                             + std::to_string(head.revision)
                                             + " differs from the one in force" });
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
    fetchMissing(now);
    adoptStagedIfComplete(now);
}

void ConfigKeeper::fetchMissing(Instant now)
{
    for (const auto &[key, hash] : m_staged->snapshot.head.entries) {
        if (!m_staged->snapshot.texts.contains(key))
            m_actions.emplace_back(FetchEntry { key, hash });
    }
    m_staged->retryAt = now + m_settings.pullTimeout;
}

void ConfigKeeper::onEntry(const std::string &key, const std::string &text, Instant now)
{
    if (!m_staged)
        return;
    const auto entry = m_staged->snapshot.head.entries.find(key);
    if (entry == m_staged->snapshot.head.entries.end() || entry->second != contentHash(text))
        return;
    m_staged->snapshot.texts[key] = text;
    adoptStagedIfComplete(now);
}

void ConfigKeeper::adoptStagedIfComplete(Instant now)
{
    if (m_staged->snapshot.texts.size() < m_staged->snapshot.head.entries.size())
        return;
    ConfigSnapshot snapshot = std::move(m_staged->snapshot);
    m_staged.reset();
    adopt(std::move(snapshot), "watch", now);
}

// ---- Revisions from peers -----------------------------------------------------------------------

void ConfigKeeper::onNotice(const RevisionNotice &notice, Instant now)
{
    if (notice.revision <= revision())
        return;
    m_tellers[notice.from] = notice.revision;
    pullFromAnyAhead(now);
}

void ConfigKeeper::onPeerRevision(const std::string &peer, std::uint64_t peerRevision, Instant now)
{
    if (!m_settings.repairByGossip)
        return;
    if (!m_settings.keepHighestRevision && peerRevision != revision() && m_pullNumber == 0) {
        pullFrom(peer, now);
        return;
    }
    onNotice({ peer, peerRevision }, now);
}

void ConfigKeeper::pullFromAnyAhead(Instant now)
{
    std::erase_if(m_tellers, [&](const auto &each) { return each.second <= revision(); });
    while (m_tellers.size() > MaxTellers)
        m_tellers.erase(m_tellers.begin());
    if (m_pullNumber != 0 || m_tellers.empty())
        return;
    const auto chosen = std::next(m_tellers.begin(),
                                  static_cast<std::ptrdiff_t>(m_random.below(m_tellers.size())));
    const std::string peer = chosen->first;
    m_tellers.erase(chosen); // it tells again with its next message
    pullFrom(peer, now);
}

void ConfigKeeper::pullFrom(const std::string &peer, Instant now)
{
    m_pullNumber = m_nextNumber++;
    m_pullDeadline = now + m_settings.pullTimeout;
    m_actions.emplace_back(SendPullRequest { peer, { m_settings.self, m_pullNumber, revision() } });
}

void ConfigKeeper::onPullRequest(const PullRequest &request, Instant)
{
    if (revision() == 0)
        return;
    PullReply reply { m_settings.self, request.number, makeDelta(m_inForce, request.haveRevision) };
    m_actions.emplace_back(SendPullReply { request.from, std::move(reply) });
}

void ConfigKeeper::onPullReply(const PullReply &reply, Instant now)
{
    if (reply.number == m_pullNumber)
        m_pullNumber = 0;
    const bool higher = reply.delta.revision > revision();
    if (higher || !m_settings.keepHighestRevision) {
        Result<ConfigSnapshot> next = applyDelta(m_inForce, reply.delta);
        if (isOk(next))
            adopt(takeValue(std::move(next)), reply.from, now);
        else if (reply.delta.baseRevision == revision())
            m_pullWhole = true; // the difference does not lead to the head: start from nothing
    }
    pullFromAnyAhead(now);
}

// ---- In force -----------------------------------------------------------------------------------

void ConfigKeeper::adopt(ConfigSnapshot snapshot, const std::string &source, Instant now)
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

void ConfigKeeper::notifyPeers()
{
    for (std::size_t count = 0; count < m_settings.noticeFanout && !m_peers.empty(); ++count) {
        const std::string &peer = m_peers[m_random.below(m_peers.size())];
        m_actions.emplace_back(SendNotice { peer, { m_settings.self, revision() } });
    }
}

void ConfigKeeper::report(Instant now)
{
    m_nextReportAt = now + m_settings.reportInterval;
    m_reports[m_settings.self] = { revision(), now };
    for (const std::string &watcher : m_watchers) {
        if (watcher != m_settings.self)
            m_actions.emplace_back(SendReport { watcher, { m_settings.self, revision() } });
    }
    std::erase_if(m_reports, [&](const auto &each) {
        return now - each.second.heardAt > m_settings.reportLifetime;
    });
}

void ConfigKeeper::onReport(const RevisionReport &report, Instant now)
{
    m_reports[report.from] = { report.revision, now };
}

} // namespace burdock
