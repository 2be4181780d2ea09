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
        account.peers.clear();
        account.othersPerSecond = 0.0;
        account.share = 1.0;
        begin(account, now);
    }
}

void QuotaLedger::begin(Account &account, Instant now) const
{
    account.updatedAt = now;
    account.syncUntil = now + m_settings.syncTime;
    account.isSynced = false;
}

/// @return what was spent lately, with the amount
double QuotaLedger::addRecent(RecentUse &recent, double amount, Instant now) const
{
    const double elapsed = seconds(now - recent.updatedAt);
    recent.sum = recent.sum * std::exp(-elapsed / seconds(m_settings.window)) + amount;
    recent.updatedAt = now;
    return recent.sum;
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
    const double kept = std::exp(-elapsed / seconds(m_settings.rateTime));
    account.perSecond *= kept;
    account.squares *= kept * kept;
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
            begin(account, now);
        update(account, now);
        account.quota = *organisation.quota;
        account.level = std::min(account.level, burstOf(account));
    }
}

void QuotaLedger::setFleet(const FleetView &fleet, Instant now)
{
    noteCall(now);
    m_fleet = fleet;
    checkPeers(now);
}

// ---- Silent nodes -------------------------------------------------------------------------------

void QuotaLedger::checkPeers(Instant now)
{
    m_checkedAt = now;
    for (auto &[name, account] : m_accounts) {
        update(account, now);
        expirePeers(account, now);
        reserveShares(account, now);
        setShare(account, now);
    }
}

void QuotaLedger::setPeerRate(Account &account, PeerUse &use, double perSecond) const
{
    account.othersPerSecond = std::max(0.0, account.othersPerSecond + perSecond - use.perSecond);
    use.perSecond = perSecond;
}

/// @return whether the node may be spending without being heard
bool QuotaLedger::isSilent(const std::string &node, const PeerUse &use, Instant now) const
{
    const auto peer = m_peers.find(node);
    const Instant heardAt = peer != m_peers.end() ? peer->second.heardAt : use.heardAt;
    return now >= heardAt + m_settings.quietTime && !m_fleet.left.contains(node)
            && (use.isActive || !m_fleet.live.contains(node));
}

/// @return whether nothing needs to be kept free for a silent node any more
bool QuotaLedger::isGone(const std::string &node, const PeerUse &use, Instant now) const
{
    if (m_fleet.left.contains(node))
        return true;
    if (m_fleet.live.contains(node)) {
        // Either it sends no notes, or they say nothing of this organisation.
        const auto peer = m_peers.find(node);
        const Instant heardAt = peer != m_peers.end() ? peer->second.heardAt : Instant {};
        return now >= heardAt + m_settings.idleTime
                || (use.silentAt != Instant {} && now >= use.heardAt + m_settings.idleTime
                    && now < heardAt + m_settings.quietTime);
    }
    const bool hearsMost = 2 * (m_fleet.live.size() + 1) > m_fleet.known + 1;
    return now >= use.heardAt + m_settings.reserveTime
            && (hearsMost || (m_fleet.isCutOff && m_fleet.reachesStore));
}

void QuotaLedger::expirePeers(Account &account, Instant now)
{
    for (auto each = account.peers.begin(); each != account.peers.end();) {
        auto &[node, use] = *each;
        const bool isDue = use.silentAt != Instant {} || use.isActive;
        if (!(isDue || !m_fleet.live.contains(node)) || now < use.heardAt + m_settings.quietTime
            || !isGone(node, use, now)) {
            ++each;
            continue;
        }
        // It has spent nothing since its latest note, or it would have sent another one.
        account.level = std::min(burstOf(account),
                                 account.level + use.perSecond * seconds(now - use.heardAt));
        setPeerRate(account, use, 0.0);
        use.share = 0.0;
        use.silentAt = {};
        use.isActive = false;
        if (m_fleet.live.contains(node)) {
            ++each;
            continue;
        }
        each = account.peers.erase(each);
    }
}

/// Keeps the shares of nodes that are silent now for the first time. The spending of each of them
/// is known for as long as that of the others, so that all nodes find the same shares.
void QuotaLedger::reserveShares(Account &account, Instant now)
{
    double unreserved = 1.0;
    double recent = addRecent(account.recent, 0.0, now);
    for (auto &[node, use] : account.peers) {
        unreserved -= use.share;
        if (use.silentAt == Instant {})
            recent += addRecent(use.recent, 0.0, now);
    }
    for (auto &[node, use] : account.peers) {
        if (use.silentAt != Instant {} || !isSilent(node, use, now))
            continue;
        use.silentAt = now;
        use.share = recent > NegligibleRate ? unreserved * use.recent.sum / recent : 0.0;
        use.charged = use.perSecond * seconds(now - use.heardAt);
        setPeerRate(account, use, 0.0);
    }
}

/// Sets the share of the quota that this node may use, together with the nodes that it hears.
void QuotaLedger::setShare(Account &account, Instant now) const
{
    double reserved = 0.0;
    double old = 0.0;
    for (const auto &[node, use] : account.peers) {
        reserved += use.share;
        if (use.silentAt != Instant {} && now >= use.heardAt + 2 * m_settings.window)
            old += use.share;
    }
    // Nodes that take no callers receive no notes: without a part in the spending, they know
    // nothing of it.
    const bool hadPart = account.recent.sum
            > m_settings.minShare * account.quota.perSecond * seconds(m_settings.window);
    account.isMinimal = m_fleet.isCutOff && (account.isMinimal || !hadPart);
    const double share = 1.0 - reserved + std::min(old, m_settings.reserveTolerance);
    account.share =
            account.isMinimal ? m_settings.minShare : std::clamp(share, m_settings.minShare, 1.0);
    account.level = std::min(account.level, burstOf(account));
}

// ---- Notes of other nodes -----------------------------------------------------------------------

/// Takes over the total that a node states.
/// @param isPartial the total includes spending of which this node was not told at the time
/// @return what the node has spent beyond what was estimated
double QuotaLedger::takeTotal(Account &account, PeerUse &use, const QuotaUse &stated,
                              bool isPartial, Instant now) const
{
    const double perSecond = std::max(0.0, stated.perSecond);
    const bool wasSilent = use.silentAt != Instant {};
    double spent = stated.spent - use.spent; // below 0: given back, or the note is late
    double estimated = use.perSecond * seconds(now - use.heardAt);
    if (isPartial && !wasSilent) {
        spent = std::clamp(spent, 0.0, perSecond * seconds(m_settings.noteInterval));
        estimated = 0.0;
    }
    if (isPartial)
        use.recent.sum = 0.0;
    addRecent(use.recent, isPartial ? perSecond * seconds(m_settings.window) : spent, now);
    double excess = spent - estimated;
    if (wasSilent) {
        // As in any bucket, what it left of its share is lost beyond its part of the burst.
        const double burst = burstOf(account) / account.share;
        const double reserved = use.share * account.quota.perSecond;
        excess = std::clamp(spent - use.charged - reserved * seconds(now - use.silentAt),
                            -use.share * burst, burst);
    }
    use.spent = stated.spent;
    use.heardAt = now;
    use.share = 0.0;
    use.silentAt = {};
    setPeerRate(account, use, perSecond);
    return excess;
}

void QuotaLedger::onNote(const QuotaNote &note, Instant now)
{
    noteCall(now);
    if (note.node == m_node)
        return;
    Peer &peer = m_peers[note.node];
    if (note.startedMs < peer.startedMs)
        return; // late, from an earlier process
    const bool isNewProcess = peer.startedMs != 0 && note.startedMs > peer.startedMs;
    peer.startedMs = note.startedMs;
    if (now >= peer.heardAt + m_settings.idleTime)
        peer.contactSince = now;
    peer.heardAt = now;
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
        else if (note.number < use.number)
            continue; // late
        use.number = note.number;
        use.isActive = stated.isActive;
        // Nodes that take no callers are sent no notes, so that a gap says nothing of the spending.
        const bool isPartial = isFirst || use.heardAt < peer.contactSince;
        account.level -= takeTotal(account, use, stated, isPartial, now);
        if (stated.level > UnknownLevel) {
            // The sender knows of this node's spending up to its latest note.
            const double level = stated.level - (account.spent - account.noted);
            if (now < account.syncUntil)
                account.level = level;
            else if (isPartial)
                account.level = std::min(account.level, level);
            account.isSynced = true;
        }
        account.level = std::min(burstOf(account), account.level);
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
    const double perSecond = account.quota.perSecond * account.share;
    if (account.level <= -perSecond * seconds(m_settings.noteDelay)) {
        const double wait =
                perSecond > 0.0 ? -account.level / perSecond : seconds(m_settings.window);
        const auto asked = std::chrono::milliseconds(
                static_cast<std::int64_t>(std::min(1e6, std::ceil(wait * 1e3))));
        return QuotaExceeded { std::clamp(asked, m_settings.minRetryAfter,
                                          m_settings.maxRetryAfter) };
    }
    account.level -= cost;
    account.spent += cost;
    account.spentAt = now;
    const double ownPerSecond = cost / seconds(m_settings.rateTime);
    account.perSecond += ownPerSecond;
    account.squares += ownPerSecond * ownPerSecond;
    addRecent(account.recent, cost, now);
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

/// @return spending that is likely to go on: the latest rate less its standard error, so that one
/// request now and then makes others expect nothing more
double QuotaLedger::expectedRate(const Account &account)
{
    return std::max(0.0, account.perSecond - std::sqrt(account.squares));
}

std::optional<QuotaNote> QuotaLedger::nextNote(Instant now)
{
    noteCall(now);
    if (now >= m_checkedAt + m_settings.checkInterval)
        checkPeers(now);
    const Duration interval = m_isUrgent ? m_settings.urgentNoteInterval : m_settings.noteInterval;
    if (m_accounts.empty() || (m_notedAt != Instant {} && now < m_notedAt + interval))
        return std::nullopt;
    m_notedAt = now;
    m_isUrgent = false;
    // Those that were not in a note for longest come first, so that none waits for good.
    std::vector<std::pair<Instant, const std::string *>> due;
    for (const auto &[name, account] : m_accounts) {
        const bool isDecaying =
                account.wasActive && now >= account.notedAt + m_settings.noteInterval;
        if (account.spent != account.noted || isDecaying)
            due.emplace_back(account.notedAt, &name);
    }
    if (due.size() > MaxQuotaUses) {
        std::nth_element(due.begin(), due.begin() + MaxQuotaUses, due.end());
        due.resize(MaxQuotaUses);
        m_isUrgent = true; // the others come with the next note
    }
    QuotaNote note { m_node, m_startedMs, ++m_lastNumber, {} };
    for (const auto &[notedAt, name] : due) {
        Account &account = m_accounts.at(*name);
        update(account, now);
        const bool isActive = now < account.spentAt + m_settings.activeTime;
        const double perSecond = isActive ? expectedRate(account) : 0.0;
        const bool isLevelKnown = account.isSynced || now >= account.syncUntil;
        note.uses.push_back({ *name, account.spent, perSecond,
                              isLevelKnown ? account.level : UnknownLevel, isActive });
        account.noted = account.spent;
        account.notedAt = now;
        account.wasActive = isActive;
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
    const Account &account = found->second;
    return Status { account.level, account.quota.perSecond, account.perSecond,
                    account.othersPerSecond, account.share };
}

std::vector<std::pair<std::string, QuotaLedger::Status>> QuotaLedger::busiest(std::size_t count,
                                                                              Instant now)
{
    std::vector<std::pair<std::string, Status>> all;
    for (const auto &[name, account] : m_accounts) {
        const Status found = *status(name, now);
        if (found.ownPerSecond + found.othersPerSecond > NegligibleRate * found.quotaPerSecond)
            all.emplace_back(name, found);
    }
    const auto isBusier = [](const auto &left, const auto &right) {
        const auto use = [](const Status &each) {
            return (each.ownPerSecond + each.othersPerSecond) / each.quotaPerSecond;
        };
        return use(left.second) > use(right.second);
    };
    std::sort(all.begin(), all.end(), isBusier);
    all.resize(std::min(all.size(), count));
    return all;
}

} // namespace burdock
