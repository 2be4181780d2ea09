#include "serving/requestlimits.h"

#include "base/hashing.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdock {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
constexpr std::uint64_t SpreadSteps = 64; // different times at which nodes act on the same news

/// @return part of the time, between none and all of it, that differs between nodes and replicas
Duration spreadOver(Duration time, const std::string &self, const std::string &replica)
{
    const std::uint64_t step = hashPair(hashText(self), replica) % SpreadSteps;
    return time * static_cast<Duration::rep>(step) / static_cast<Duration::rep>(SpreadSteps);
}

} // namespace

RequestLimits::RequestLimits(RequestLimitSettings settings)
    : m_settings(settings)
{
}

// ---- Nodes --------------------------------------------------------------------------------------

void RequestLimits::setNodes(const std::string &self, std::vector<std::string> candidates,
                             std::size_t nodeCount, bool isCutOff, Instant now)
{
    if (m_updatedAt == Instant {} || now - m_updatedAt > m_settings.maxUpdateGap)
        m_settledAt = now + m_settings.settleTime;
    m_updatedAt = now;
    m_isCutOff = isCutOff;
    m_nodeCount = nodeCount;
    std::sort(candidates.begin(), candidates.end());
    if (m_self == self && m_candidates == candidates)
        return;
    m_self = self;
    m_candidates = std::move(candidates);
    for (auto &[replica, entry] : m_entries)
        computeShare(replica, entry);
}

double RequestLimits::rate(const Entry &entry) const
{
    return std::max(entry.limit, m_settings.minRequestsPerSecond);
}

void RequestLimits::computeShare(const std::string &replica, Entry &entry) const
{
    const std::size_t candidates = std::max<std::size_t>(1, m_candidates.size());
    const double whole = std::clamp(std::floor(entry.limit), 1.0, double(candidates));
    const std::uint64_t seed = hashText(replica);
    const std::uint64_t ownRank = hashPair(seed, m_self);
    const auto before =
            std::count_if(m_candidates.begin(), m_candidates.end(), [&](const std::string &name) {
                return name != m_self && hashPair(seed, name) > ownRank;
            });
    const bool isCandidate = m_candidates.empty()
            || std::binary_search(m_candidates.begin(), m_candidates.end(), m_self);
    const bool isSender = isCandidate && double(before) < whole;
    entry.share = isSender ? rate(entry) / whole : 0.0;
}

Duration RequestLimits::spacing(const Entry &entry) const
{
    return Duration(static_cast<Duration::rep>(std::ceil(MicrosecondsPerSecond / entry.share)));
}

// ---- News ---------------------------------------------------------------------------------------

/// @return the entry of that process; null if there is none or it is of another process
RequestLimits::Entry *RequestLimits::findProcess(const std::string &replica,
                                                 std::uint64_t startedMs)
{
    const auto found = m_entries.find(replica);
    const bool isSame = found != m_entries.end() && found->second.startedMs == startedMs;
    return isSame ? &found->second : nullptr;
}

/// A low limit brings news seldom, and one answer is news for all nodes: the time grows with both,
/// so that single requests of all nodes together stay rare.
Instant RequestLimits::nextProbeAt(const std::string &replica, const Entry &entry,
                                   Instant now) const
{
    constexpr int MissedNews = 3;
    constexpr std::size_t NodesPerLifetime = 4;
    const Duration lifetime = std::max(
            m_settings.newsLifetime,
            MissedNews * Duration(static_cast<Duration::rep>(MicrosecondsPerSecond / rate(entry))));
    const auto lifetimes = std::max<std::size_t>(1, m_nodeCount / NodesPerLifetime);
    return now + lifetime
            + spreadOver(lifetime * static_cast<Duration::rep>(lifetimes), m_self, replica);
}

/// @return whether the limit is new or changed
bool RequestLimits::setLimit(const std::string &replica, std::uint64_t startedMs, double limit,
                             Instant now)
{
    Entry *entry = findProcess(replica, startedMs);
    const bool isFirst = entry == nullptr;
    if (isFirst) {
        entry = &m_entries[replica];
        *entry = {};
        entry->startedMs = startedMs;
    }
    const bool isNew = isFirst || entry->limit != limit || entry->releaseAt != Instant {};
    entry->limit = limit;
    entry->statedAt = now;
    entry->withoutSince = {};
    entry->releaseAt = {};
    entry->probeAt = nextProbeAt(replica, *entry, now);
    if (!isNew)
        return false;
    computeShare(replica, *entry);
    if (entry->share > 0.0) {
        const Instant latest = now + spacing(*entry);
        entry->nextSendAt = isFirst ? latest : std::min(entry->nextSendAt, latest);
    }
    return true;
}

LimitChange RequestLimits::onAnswer(const std::string &replica, std::uint64_t startedMs,
                                    std::optional<double> limit, Instant sentAt, Instant now)
{
    const auto found = m_entries.find(replica);
    if (found != m_entries.end() && found->second.startedMs > startedMs)
        return {};
    LimitChange change;
    if (limit) {
        change.isNew = setLimit(replica, startedMs, *limit, now);
        Entry &entry = m_entries[replica];
        if (change.isNew || now >= entry.notedAt + m_settings.noteInterval) {
            entry.notedAt = now;
            change.note = LimitNote { replica, startedMs, limit };
        }
        return change;
    }
    Entry *entry = findProcess(replica, startedMs);
    // An answer to an earlier request may have been made before the replica stated its limit.
    if (entry == nullptr || sentAt <= entry->statedAt)
        return {};
    if (entry->withoutSince == Instant {})
        entry->withoutSince = now;
    entry->probeAt = std::min(entry->probeAt, entry->withoutSince + m_settings.liftTime);
    const bool isReleased = entry->releaseAt != Instant {};
    if (!isReleased && sentAt < entry->withoutSince + m_settings.liftTime)
        return {};
    m_entries.erase(replica);
    change.isNew = true;
    if (!isReleased)
        change.note = LimitNote { replica, startedMs, std::nullopt };
    return change;
}

bool RequestLimits::onNote(const LimitNote &note, Instant now)
{
    const auto found = m_entries.find(note.replica);
    if (found != m_entries.end() && found->second.startedMs > note.startedMs)
        return false;
    if (note.limit)
        return setLimit(note.replica, note.startedMs, *note.limit, now);
    Entry *entry = findProcess(note.replica, note.startedMs);
    if (entry == nullptr || entry->releaseAt != Instant {})
        return false;
    entry->releaseAt = now + spreadOver(m_settings.releaseSpread, m_self, note.replica);
    return true;
}

void RequestLimits::onReplicaStarted(const std::string &replica, std::uint64_t startedMs)
{
    const auto found = m_entries.find(replica);
    if (found != m_entries.end() && found->second.startedMs < startedMs)
        m_entries.erase(found);
}

void RequestLimits::tick(Instant now)
{
    std::erase_if(m_entries, [&](const auto &entry) {
        return now >= entry.second.statedAt + m_settings.forgetTime;
    });
}

// ---- Sends --------------------------------------------------------------------------------------

int RequestLimits::unanswered(const std::string &replica) const
{
    const auto found = m_unanswered.find(replica);
    return found == m_unanswered.end() ? 0 : found->second;
}

bool RequestLimits::maySend(const std::string &replica, Instant now) const
{
    const auto found = m_entries.find(replica);
    if (found == m_entries.end())
        return true;
    const Entry &entry = found->second;
    const int waiting = unanswered(replica);
    if (entry.releaseAt != Instant {})
        return waiting == 0 && now >= entry.releaseAt;
    if (entry.share > 0.0 && mayUseShare(now))
        return now >= entry.nextSendAt && waiting < std::max(1.0, std::ceil(entry.share));
    return waiting == 0 && now >= entry.probeAt;
}

Instant RequestLimits::nextSendAt(const std::string &replica, Instant now) const
{
    const auto found = m_entries.find(replica);
    if (found == m_entries.end())
        return now;
    const Entry &entry = found->second;
    if (entry.releaseAt != Instant {})
        return std::max(now, entry.releaseAt);
    if (entry.share > 0.0 && mayUseShare(now))
        return std::max(now, entry.nextSendAt);
    return Instant::max();
}

bool RequestLimits::wantsNews(const std::string &replica, Instant now) const
{
    const auto found = m_entries.find(replica);
    if (found == m_entries.end() || !maySend(replica, now))
        return false;
    const Entry &entry = found->second;
    const bool isUsual = entry.share > 0.0 && mayUseShare(now) && entry.releaseAt == Instant {};
    return !isUsual || entry.withoutSince != Instant {}
    || now >= entry.statedAt + m_settings.senderNewsTime;
}

void RequestLimits::onSent(const std::string &replica, Instant now)
{
    m_unanswered[replica]++;
    const auto found = m_entries.find(replica);
    if (found == m_entries.end())
        return;
    Entry &entry = found->second;
    if (entry.share > 0.0)
        entry.nextSendAt = std::max(entry.nextSendAt, now) + spacing(entry);
    entry.probeAt = nextProbeAt(replica, entry, now);
}

void RequestLimits::onWithdrawn(const std::string &replica)
{
    onHead(replica);
    const auto found = m_entries.find(replica);
    if (found != m_entries.end() && found->second.share > 0.0)
        found->second.nextSendAt -= spacing(found->second);
}

void RequestLimits::onHead(const std::string &replica)
{
    const auto found = m_unanswered.find(replica);
    if (found != m_unanswered.end() && --found->second <= 0)
        m_unanswered.erase(found);
}

bool RequestLimits::mayCommand(const std::string &replica, CommandKind kind, Instant now) const
{
    const auto found = m_entries.find(replica);
    return found == m_entries.end()
            || now >= found->second.nextCommandAt[static_cast<std::size_t>(kind)];
}

void RequestLimits::onCommand(const std::string &replica, CommandKind kind, Instant now)
{
    const auto found = m_entries.find(replica);
    if (found != m_entries.end())
        found->second.nextCommandAt[static_cast<std::size_t>(kind)] =
                now + m_settings.commandInterval;
}

// ---- Queries ------------------------------------------------------------------------------------

std::optional<double> RequestLimits::limit(const std::string &replica) const
{
    const auto found = m_entries.find(replica);
    return found == m_entries.end() ? std::nullopt : std::optional(found->second.limit);
}

std::optional<double> RequestLimits::share(const std::string &replica, Instant now) const
{
    const auto found = m_entries.find(replica);
    if (found == m_entries.end())
        return std::nullopt;
    return mayUseShare(now) ? found->second.share : 0.0;
}

Duration RequestLimits::interval(const std::string &replica) const
{
    const auto found = m_entries.find(replica);
    if (found == m_entries.end())
        return {};
    return Duration(static_cast<Duration::rep>(MicrosecondsPerSecond / rate(found->second)));
}

} // namespace burdock
