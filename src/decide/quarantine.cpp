#include "decide/quarantine.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace burdock {

std::uint64_t requestFingerprint(std::string_view service, std::string_view model,
                                 std::string_view body)
{
    return hashPair(hashPair(hashText(service), model), body);
}

Quarantine::Quarantine(std::string self, QuarantineSettings settings)
    : m_self(std::move(self))
    , m_settings(settings)
    , m_live({ m_self })
{
}

// ---- Events -------------------------------------------------------------------------------------

void Quarantine::onLiveNodes(std::vector<std::string> live)
{
    m_live = std::move(live);
}

void Quarantine::onRun(const std::string &run, std::uint64_t fingerprint, bool isRetry,
                       bool isIdempotent, Instant now)
{
    if (isRetry && !isIdempotent) {
        m_actions.emplace_back(RefuseRun { run, RunRefusal::NotIdempotent });
        return;
    }
    if (isQuarantined(fingerprint)) {
        m_actions.emplace_back(RefuseRun { run, RunRefusal::Quarantined });
        return;
    }
    RunRow &row = m_runs[run];
    row.fingerprint = fingerprint;
    if (!m_suspects.contains(fingerprint)) {
        m_actions.emplace_back(AllowRun { run, false });
        return;
    }
    row.waiting = true;
    row.refuseAt = now + m_settings.permitTimeout;
    sendPermitRequest(run, row, now);
}

void Quarantine::onCompleted(const std::string &run, Instant now)
{
    const auto entry = m_runs.find(run);
    if (entry == m_runs.end())
        return;
    const std::uint64_t fingerprint = entry->second.fingerprint;
    const auto suspect = m_suspects.find(fingerprint);
    if (suspect != m_suspects.end()) {
        const std::set<std::string> &losses = suspect->second.upstreams;
        const SuspectCleared message { fingerprint, { losses.begin(), losses.end() } };
        m_actions.emplace_back(BroadcastQuarantine { message });
        handle(message, now);
    }
    endRun(run, now);
}

void Quarantine::onAbandoned(const std::string &run, Instant now)
{
    endRun(run, now);
}

void Quarantine::onUpstreamLost(const std::string &upstream, const std::vector<std::string> &runs,
                                Instant now)
{
    CrashReport report { upstream, {} };
    for (const std::string &run : runs) {
        const auto entry = m_runs.find(run);
        if (entry == m_runs.end())
            continue;
        report.runs.push_back({ entry->second.fingerprint, run });
        m_runs.erase(entry);
    }
    if (report.runs.empty())
        return;
    m_actions.emplace_back(BroadcastQuarantine { report });
    m_reports.push_back({ report, now + m_settings.reportInterval, m_settings.reportRepeats });
    handle(report, now);
}

void Quarantine::onMessage(const QuarantineMessage &message, Instant now)
{
    std::visit([&](const auto &each) { handle(each, now); }, message);
}

void Quarantine::tick(Instant now)
{
    for (auto &[fingerprint, row] : m_suspects) {
        for (auto permit = row.permits.begin(); permit != row.permits.end();) {
            if (now < permit->second) {
                ++permit;
                continue;
            }
            row.upstreams.insert("permit " + permit->first);
            row.forgetAt = now + m_settings.suspectDuration;
            permit = row.permits.erase(permit);
        }
    }
    std::erase_if(m_suspects, [&](const auto &each) {
        return now >= each.second.forgetAt && each.second.permits.empty();
    });
    requestSuspects(now);
    resendReports(now);
    resendPermitRequests(now);
}

std::vector<QuarantineAction> Quarantine::takeActions()
{
    return std::exchange(m_actions, {});
}

bool Quarantine::isQuarantined(std::uint64_t fingerprint) const
{
    const auto row = m_suspects.find(fingerprint);
    return row != m_suspects.end() && row->second.upstreams.size() >= m_settings.maxUpstreams;
}

// ---- Messages -----------------------------------------------------------------------------------

void Quarantine::handle(const CrashReport &message, Instant now)
{
    for (const LostRun &each : message.runs) {
        addLoss(each.fingerprint, message.upstream, now);
        SuspectRow &row = m_suspects[each.fingerprint];
        row.permits.erase(each.run);
        row.upstreams.erase("permit " + each.run);
    }
}

void Quarantine::handle(const SuspectCleared &message, Instant /*now*/)
{
    const auto row = m_suspects.find(message.fingerprint);
    if (row == m_suspects.end())
        return;
    for (const std::string &upstream : message.upstreams)
        row->second.upstreams.erase(upstream);
    if (row->second.upstreams.empty())
        m_suspects.erase(row);
}

void Quarantine::handle(const PermitRequest &message, Instant now)
{
    SuspectRow &row = findOrAddSuspect(message.fingerprint, now);
    row.upstreams.insert(message.upstreams.begin(), message.upstreams.end());
    PermitReply reply { message.fingerprint, message.run, PermitVerdict::Granted };
    if (row.upstreams.size() >= m_settings.maxUpstreams)
        reply.verdict = PermitVerdict::Refused;
    else if (!row.permits.empty() && !row.permits.contains(message.run))
        reply.verdict = PermitVerdict::Wait;
    else
        row.permits.emplace(message.run, now + m_settings.permitDuration);
    send(message.node, reply, now);
}

void Quarantine::handle(const PermitReply &message, Instant now)
{
    const auto entry = m_runs.find(message.run);
    if (entry == m_runs.end()) {
        // The run was refused meanwhile: returns the unused permit.
        if (message.verdict == PermitVerdict::Granted)
            send(permitOwner(message.fingerprint),
                 PermitReturn { message.fingerprint, message.run }, now);
        return;
    }
    if (entry->second.waiting && message.verdict != PermitVerdict::Wait)
        applyVerdict(message.run, entry->second, message.verdict);
}

void Quarantine::handle(const PermitReturn &message, Instant /*now*/)
{
    const auto row = m_suspects.find(message.fingerprint);
    if (row == m_suspects.end())
        return;
    row->second.permits.erase(message.run);
    row->second.upstreams.erase("permit " + message.run);
    if (row->second.upstreams.empty() && row->second.permits.empty())
        m_suspects.erase(row);
}

void Quarantine::handle(const SuspectsRequest &message, Instant now)
{
    SuspectsReply reply;
    for (const auto &[fingerprint, row] : m_suspects)
        reply.losses[fingerprint] = { row.upstreams.begin(), row.upstreams.end() };
    send(message.node, reply, now);
}

void Quarantine::handle(const SuspectsReply &message, Instant now)
{
    m_isSynced = true;
    for (const auto &[fingerprint, upstreams] : message.losses) {
        for (const std::string &upstream : upstreams)
            addLoss(fingerprint, upstream, now);
    }
}

void Quarantine::requestSuspects(Instant now)
{
    if (m_isSynced || now < m_nextSyncAt || m_live.empty())
        return;
    m_nextSyncAt = now + m_settings.requestInterval;
    const std::string &peer = m_live[m_syncPeer++ % m_live.size()];
    if (peer != m_self)
        m_actions.emplace_back(SendQuarantine { peer, SuspectsRequest { m_self } });
}

// ---- Suspects -----------------------------------------------------------------------------------

SuspectRow &Quarantine::findOrAddSuspect(std::uint64_t fingerprint, Instant now)
{
    if (!m_suspects.contains(fingerprint))
        evictIfFull();
    SuspectRow &row = m_suspects[fingerprint];
    row.forgetAt = std::max(row.forgetAt, now + m_settings.suspectDuration);
    return row;
}

void Quarantine::addLoss(std::uint64_t fingerprint, const std::string &upstream, Instant now)
{
    SuspectRow &row = findOrAddSuspect(fingerprint, now);
    if (row.upstreams.size() < m_settings.maxUpstreams)
        row.upstreams.insert(upstream);
}

void Quarantine::evictIfFull()
{
    if (m_suspects.size() < m_settings.maxSuspects)
        return;
    const auto isEvictedBefore = [this](const auto &left, const auto &right) {
        const bool isLeftQuarantined = isQuarantined(left.first);
        const bool isRightQuarantined = isQuarantined(right.first);
        if (isLeftQuarantined != isRightQuarantined)
            return isRightQuarantined;
        return left.second.forgetAt < right.second.forgetAt;
    };
    m_suspects.erase(std::min_element(m_suspects.begin(), m_suspects.end(), isEvictedBefore));
}

void Quarantine::resendReports(Instant now)
{
    for (RepeatedReport &each : m_reports) {
        if (now < each.nextAt)
            continue;
        m_actions.emplace_back(BroadcastQuarantine { each.report });
        each.nextAt = now + m_settings.reportInterval;
        --each.repeatsLeft;
    }
    std::erase_if(m_reports, [](const RepeatedReport &each) { return each.repeatsLeft == 0; });
}

// ---- Runs ---------------------------------------------------------------------------------------

void Quarantine::resendPermitRequests(Instant now)
{
    std::vector<std::string> due;
    for (const auto &[run, row] : m_runs) {
        if (row.waiting && (now >= row.refuseAt || now >= row.nextRequestAt))
            due.push_back(run);
    }
    for (const std::string &run : due) {
        const auto entry = m_runs.find(run);
        if (now < entry->second.refuseAt) {
            sendPermitRequest(run, entry->second, now);
            continue;
        }
        // The reply with a granted permit may be in transit: endRun() returns the permit, and the
        // reply is not used when it arrives.
        endRun(run, now);
        m_actions.emplace_back(RefuseRun { run, RunRefusal::NoPermit });
    }
}

void Quarantine::sendPermitRequest(const std::string &run, RunRow &row, Instant now)
{
    row.nextRequestAt = now + m_settings.requestInterval;
    PermitRequest request { row.fingerprint, run, m_self, {} };
    const auto known = m_suspects.find(row.fingerprint);
    if (known != m_suspects.end())
        request.upstreams.assign(known->second.upstreams.begin(), known->second.upstreams.end());
    send(permitOwner(row.fingerprint), request, now);
}

void Quarantine::applyVerdict(const std::string &run, const RunRow &row, PermitVerdict verdict)
{
    if (verdict == PermitVerdict::Refused) {
        m_runs.erase(run);
        m_actions.emplace_back(RefuseRun { run, RunRefusal::Quarantined });
        return;
    }
    RunRow &allowed = m_runs[run];
    allowed = row;
    allowed.waiting = false;
    allowed.permitted = true;
    m_actions.emplace_back(AllowRun { run, true });
}

void Quarantine::endRun(const std::string &run, Instant now)
{
    const auto entry = m_runs.find(run);
    if (entry == m_runs.end())
        return;
    const RunRow row = entry->second;
    m_runs.erase(entry);
    if (row.permitted || row.waiting)
        send(permitOwner(row.fingerprint), PermitReturn { row.fingerprint, run }, now);
}

void Quarantine::send(const std::string &node, const QuarantineMessage &message, Instant now)
{
    if (node == m_self)
        onMessage(message, now);
    else
        m_actions.emplace_back(SendQuarantine { node, message });
}

std::string Quarantine::permitOwner(std::uint64_t fingerprint) const
{
    const std::vector<std::string> order = rendezvousOrder(hashToHex(fingerprint), m_live);
    return order.empty() ? m_self : order.front();
}

} // namespace burdock
