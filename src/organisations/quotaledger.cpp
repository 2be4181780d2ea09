#include "organisations/quotaledger.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdock {

namespace {

constexpr double NegligibleRate = 1e-3; // requests or tokens a second

double seconds(Duration time)
{
    return double(time.count()) / 1e6;
}

} // namespace

QuotaLedger::QuotaLedger(std::string node, std::uint64_t startedMs, QuotaLedgerSettings settings)
    : m_node(std::move(node))
    , m_startedMs(startedMs)
    , m_settings(settings)
{
}

double QuotaLedger::burstOf(const Account &account) const
{
    return account.share
            * std::max(account.quota.burst,
                       account.quota.perSecond * seconds(m_settings.minBurstTime));
}

// ---- Time ---------------------------------------------------------------------------------------

/// Forgets what may have changed unnoticed: buckets begin empty and other nodes' totals are
/// unknown.
void QuotaLedger::restart(Instant now)
{
    m_peers.clear();
    for (auto &[name, account] : m_accounts) {
        account.level = std::min(account.level, 0.0);
        account.updatedAt = now;
        account.isSynced = false;
        account.peers.clear();
        account.othersPerSecond = 0.0;
    }
}

void QuotaLedger::noteCall(Instant now)
{
    if (m_calledAt != Instant {} && now - m_calledAt > m_settings.maxUpdateGap)
        restart(now);
    m_calledAt = now;
}

/// Refills the bucket and takes the estimated spending of other nodes from it.
void QuotaLedger::update(Account &account, Instant now) const
{
    const double elapsed = seconds(now - account.updatedAt);
    account.updatedAt = now;
    const double refill = account.quota.perSecond * account.share - account.othersPerSecond;
    account.level = std::min(burstOf(account), account.level + refill * elapsed);
    account.perSecond *= std::exp(-elapsed / seconds(m_settings.rateTime));
}

// ---- Input --------------------------------------------------------------------------------------

void QuotaLedger::setOrganisations(const std::vector<Organisation> &organisations, Instant now)
{
    noteCall(now);
    std::unordered_map<std::string, Account> earlier = std::exchange(m_accounts, {});
    for (const Organisation &organisation : organisations) {
        if (!organisation.quota)
            continue;
        Account &account = m_accounts[organisation.name];
        if (const auto found = earlier.find(organisation.name); found != earlier.end())
            account = std::move(found->second);
        else
            account.updatedAt = now;
        update(account, now);
        account.quota = *organisation.quota;
        account.level = std::min(account.level, burstOf(account));
    }
}

/// While this node is cut off, it uses the share that it had of the spending, and the others leave
/// it that share by estimating its spending. If it reaches the store but no node for a window, the
/// others are gone.
void QuotaLedger::setShares(Instant now)
{
    const bool isSharing = m_cutOffSince != Instant {}
            && !(m_fleet.reachesStore && now >= m_cutOffSince + m_settings.window);
    for (auto &[name, account] : m_accounts) {
        update(account, now);
        if (!isSharing) {
            account.share = 1.0;
            continue;
        }
        if (account.share < 1.0)
            continue;
        const double all = account.perSecond + account.othersPerSecond;
        const double share = all > NegligibleRate ? account.perSecond / all : 0.0;
        account.share = std::clamp(share, m_settings.minShare, 1.0);
        account.peers.clear();
        account.othersPerSecond = 0.0;
        account.level = std::min(account.level, burstOf(account));
    }
}

void QuotaLedger::setFleet(const FleetView &fleet, Instant now)
{
    noteCall(now);
    m_fleet = fleet;
    const bool wasCutOff = m_cutOffSince != Instant {};
    if (fleet.isCutOff && !wasCutOff)
        m_cutOffSince = now;
    if (!fleet.isCutOff && wasCutOff) {
        m_cutOffSince = {};
        restart(now);
    }
    setShares(now);
    for (auto &[name, account] : m_accounts)
        expirePeers(account, now);
}

void QuotaLedger::setPeerRate(Account &account, PeerUse &use, double perSecond) const
{
    account.othersPerSecond = std::max(0.0, account.othersPerSecond + perSecond - use.perSecond);
    use.perSecond = perSecond;
}

void QuotaLedger::expirePeers(Account &account, Instant now)
{
    update(account, now);
    for (auto each = account.peers.begin(); each != account.peers.end();) {
        auto &[node, use] = *each;
        const bool isLive = m_fleet.live.contains(node);
        const bool isQuiet = now >= use.heardAt + m_settings.quietTime;
        if (use.perSecond > 0.0 && isQuiet && (isLive || m_fleet.left.contains(node))) {
            // It has spent nothing since its latest note, or it would have sent another one.
            account.level = std::min(burstOf(account),
                                     account.level + use.perSecond * seconds(now - use.heardAt));
            setPeerRate(account, use, 0.0);
        }
        if (now >= use.heardAt + 2 * m_settings.window && !isLive) {
            setPeerRate(account, use, 0.0);
            each = account.peers.erase(each);
        } else {
            ++each;
        }
    }
}

void QuotaLedger::onNote(const QuotaNote &note, Instant now)
{
    noteCall(now);
    if (note.node == m_node)
        return;
    // The totals of a process that was there before this one, or before this one was suspended,
    // include spending of long ago.
    const auto [known, isNewNode] = m_peers.try_emplace(note.node, Peer { note.startedMs });
    if (note.startedMs < known->second.startedMs)
        return; // late, from an earlier process
    const bool isNewProcess = note.startedMs > known->second.startedMs;
    known->second.startedMs = note.startedMs;
    const bool isKnownFromStart = isNewProcess || note.startedMs > m_startedMs;
    for (const QuotaUse &stated : note.uses) {
        const auto found = m_accounts.find(stated.organisation);
        if (found == m_accounts.end() || !std::isfinite(stated.spent)
            || !std::isfinite(stated.perSecond) || !std::isfinite(stated.level))
            continue;
        Account &account = found->second;
        update(account, now);
        const auto [position, isFirst] = account.peers.try_emplace(note.node);
        PeerUse &use = position->second;
        if (isNewProcess)
            use.spent = 0.0;
        double delta = stated.spent - use.spent;
        if (isFirst && (isNewNode || !isKnownFromStart))
            delta = std::clamp(stated.perSecond * seconds(m_settings.noteInterval), 0.0,
                               std::max(0.0, stated.spent));
        else if (!isFirst)
            delta -= use.perSecond * seconds(now - use.heardAt);
        if (!account.isSynced) {
            account.isSynced = true;
            account.level = std::min(burstOf(account), std::max(account.level, stated.level));
            delta = 0.0;
        }
        account.level = std::min(burstOf(account), account.level - delta);
        use.spent = stated.spent;
        use.heardAt = now;
        setPeerRate(account, use, std::max(0.0, stated.perSecond));
    }
}

// ---- Requests -----------------------------------------------------------------------------------

std::optional<QuotaExceeded> QuotaLedger::tryTake(const std::string &organisation, double cost,
                                                  Instant now)
{
    noteCall(now);
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return std::nullopt;
    Account &account = found->second;
    update(account, now);
    if (account.level <= 0.0) {
        const double perSecond = account.quota.perSecond * account.share;
        const double wait =
                perSecond > 0.0 ? -account.level / perSecond : seconds(m_settings.window);
        const auto asked = std::chrono::milliseconds(
                static_cast<std::int64_t>(std::min(1e6, std::ceil(wait * 1e3))));
        return QuotaExceeded { std::clamp(asked, m_settings.minRetryAfter,
                                          m_settings.maxRetryAfter) };
    }
    account.level -= cost;
    account.spent += cost;
    account.perSecond += cost / seconds(m_settings.rateTime);
    noteUrgency(account);
    return std::nullopt;
}

void QuotaLedger::giveBack(const std::string &organisation, double cost, Instant now)
{
    noteCall(now);
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return;
    Account &account = found->second;
    update(account, now);
    const double returned = std::min(cost, account.spent); // of a quota that was new meanwhile
    account.level = std::min(burstOf(account), account.level + returned);
    account.spent -= returned;
}

// ---- Notes --------------------------------------------------------------------------------------

void QuotaLedger::noteUrgency(const Account &account)
{
    const double unnoted = account.spent - account.noted;
    m_isUrgent = m_isUrgent || account.level < m_settings.urgentLevel * account.quota.burst
            || unnoted >= m_settings.urgentShare * account.quota.burst;
}

std::optional<QuotaNote> QuotaLedger::nextNote(Instant now)
{
    noteCall(now);
    const Duration interval = m_isUrgent ? m_settings.urgentNoteInterval : m_settings.noteInterval;
    if (m_accounts.empty() || (m_notedAt != Instant {} && now < m_notedAt + interval))
        return std::nullopt;
    m_notedAt = now;
    m_isUrgent = false;
    QuotaNote note { m_node, m_startedMs, {} };
    for (auto &[name, account] : m_accounts) {
        if (account.spent == account.noted && !account.wasNoted)
            continue;
        if (note.uses.size() == MaxQuotaUses) {
            m_isUrgent = true; // the others come with the next note
            break;
        }
        update(account, now);
        const double perSecond =
                account.spent == account.noted && account.perSecond < account.quota.perSecond * 1e-3
                ? 0.0
                : account.perSecond;
        note.uses.push_back({ name, account.spent, perSecond, account.level });
        account.noted = account.spent;
        account.wasNoted = perSecond > 0.0;
    }
    if (note.uses.empty())
        return std::nullopt;
    return note;
}

std::optional<QuotaLedger::Status> QuotaLedger::status(const std::string &organisation, Instant now)
{
    const auto found = m_accounts.find(organisation);
    if (found == m_accounts.end())
        return std::nullopt;
    update(found->second, now);
    return Status { found->second.level, found->second.perSecond, found->second.othersPerSecond };
}

} // namespace burdock
