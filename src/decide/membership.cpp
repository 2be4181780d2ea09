#include "decide/membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace burdock {

namespace {

constexpr std::size_t SendsPerDecade = 3; // sends of an item for each factor of ten in fleet size
constexpr int MaxRandomPicks = 8;         // random picks before the whole table is searched
constexpr std::size_t FinalPings =
        8; // expected pings of the fleet to a suspect before it becomes dead
constexpr std::size_t StopNotices = 4; // peers that are notified directly when this node stops

std::size_t varintSize(std::uint64_t value)
{
    std::size_t bytes = 1;
    for (; value >= 128; value /= 128)
        ++bytes;
    return bytes;
}

std::size_t integerField(std::uint64_t value)
{
    return value == 0 ? 0 : 1 + varintSize(value);
}

std::size_t textField(const std::string &text)
{
    return text.empty() ? 0 : 1 + varintSize(text.size()) + text.size();
}

std::size_t nestedField(std::size_t content)
{
    return 1 + varintSize(content) + content;
}

std::size_t itemSize(const MemberItem &item)
{
    return textField(item.name) + integerField(static_cast<std::uint64_t>(item.state))
            + integerField(item.incarnation) + textField(item.zone) + textField(item.address);
}

std::size_t recordSize(const GossipRecord &record)
{
    return textField(record.topic) + textField(record.key) + integerField(record.number)
            + textField(record.payload);
}

MemberItem itemOf(const MemberRow &row)
{
    MemberItem item { row.name, row.state, row.incarnation, "", "" };
    if (row.state <= MemberState::Leaving) {
        item.zone = row.zone;
        item.address = row.address;
    }
    return item;
}

// Returns whether messages to a node must carry its own state as known here: it is suspect or dead,
// or its last message claimed something else.
bool mustReportOwnState(const MemberRow &row)
{
    if (row.state >= MemberState::Suspect)
        return true;
    const bool hasReported = row.lastReceivedAt != Instant {};
    return hasReported
            && (row.claimedIncarnation != row.incarnation || row.claimedState != row.state);
}

bool supersedes(const MemberItem &item, const MemberRow &row)
{
    if (item.incarnation != row.incarnation)
        return item.incarnation > row.incarnation;
    return item.state > row.state;
}

} // namespace

std::string memberStateName(MemberState state)
{
    switch (state) {
    case MemberState::Joining:
        return "joining";
    case MemberState::Alive:
        return "alive";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    }
    return "dead";
}

std::size_t encodedSize(const GossipMessage &message)
{
    std::size_t size = integerField(static_cast<std::uint64_t>(message.kind))
            + textField(message.from) + integerField(message.incarnation)
            + integerField(static_cast<std::uint64_t>(message.state)) + textField(message.zone)
            + textField(message.address) + integerField(message.number) + textField(message.target)
            + integerField(message.configRevision) + integerField(message.placementRevision);
    for (const MemberItem &item : message.members)
        size += nestedField(itemSize(item));
    for (const GossipRecord &record : message.records)
        size += nestedField(recordSize(record));
    return size;
}

// ---- Set-up -------------------------------------------------------------------------------------

Membership::Membership(MembershipSettings settings, Instant now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_nextDeadProbeAt(now + m_settings.deadProbeInterval)
    , m_introductionDeadline(now + m_settings.introductionTime)
    , m_lastTickAt(now)
    , m_lastAckAt(now)
{
    assert(!m_settings.self.empty() && "name this node in MembershipSettings::self");
    // A random delay keeps nodes that start together from pinging at the same instant.
    const double share = m_random.unit();
    m_nextProbeAt = now + std::chrono::duration_cast<Duration>(m_settings.probePeriod * share);
    MemberRow row;
    row.name = m_settings.self;
    row.zone = m_settings.zone;
    row.address = m_settings.address;
    row.state = MemberState::Alive;
    row.incarnation = m_settings.incarnation;
    row.listed = true;
    m_rows.emplace(row.name, row);
    queueItem(row);
}

void Membership::setRevisions(std::uint64_t configRevision, std::uint64_t placementRevision)
{
    selfRow().configRevision = configRevision;
    selfRow().placementRevision = placementRevision;
}

std::vector<MembershipAction> Membership::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- VM list ------------------------------------------------------------------------------------

void Membership::onVmList(const std::vector<VmRecord> &records, Instant now)
{
    for (auto &[name, row] : m_rows) {
        if (row.listed && name != m_settings.self) {
            row.listed = false;
            row.unlistedDeadline = now + m_settings.unlistedGrace;
        }
    }
    for (const VmRecord &record : records) {
        MemberRow &row = m_rows[record.name];
        row.name = record.name;
        row.listedLeaving = record.leaving;
        row.listed = true;
        if (record.name == m_settings.self)
            continue;
        row.zone = record.zone;
        row.address = record.address;
    }
}

bool Membership::isUsable(const MemberRow &row, Instant now) const
{
    if (row.state != MemberState::Alive || row.listedLeaving)
        return false;
    return row.listed || now < row.unlistedDeadline;
}

bool Membership::isIsolated(Instant now) const
{
    return m_rows.size() > 1 && now - m_lastAckAt > 3 * m_settings.probePeriod;
}

std::vector<std::string> Membership::runningInZone(const std::string &zone) const
{
    std::vector<std::string> names;
    for (const auto &[name, row] : m_rows) {
        const bool running = row.state != MemberState::Joining && row.state != MemberState::Dead;
        if (running && row.zone == zone)
            names.push_back(name);
    }
    return names;
}

// ---- Sending ------------------------------------------------------------------------------------

std::size_t Membership::sendsPerItem() const
{
    const double decades = std::log10(static_cast<double>(m_rows.size()) + 1.0);
    return SendsPerDecade * static_cast<std::size_t>(std::ceil(decades));
}

GossipMessage Membership::newMessage(GossipKind kind, const std::string &to, Instant now)
{
    const MemberRow &self = selfRow();
    GossipMessage message;
    message.kind = kind;
    message.from = self.name;
    message.incarnation = self.incarnation;
    message.state = self.state;
    if (isRecentlyStarted(now)) {
        message.zone = self.zone;
        message.address = self.address;
    }
    message.configRevision = self.configRevision;
    message.placementRevision = self.placementRevision;
    fillItems(message, to);
    fillRecords(message);
    return message;
}

// Adds the receiver's own state first if the receiver must refute or update it, then corrections,
// then the items that were sent least often.
void Membership::fillItems(GossipMessage &message, const std::string &to)
{
    const auto target = m_rows.find(to);
    if (target != m_rows.end() && mustReportOwnState(target->second))
        message.members.push_back({ to, target->second.state, target->second.incarnation, "", "" });

    std::vector<PendingItem *> pending;
    for (auto &[name, each] : m_items) {
        if (name != to)
            pending.push_back(&each);
    }
    const std::size_t count = std::min(pending.size(), m_settings.maxItemsPerMessage);
    std::partial_sort(
            pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
            [](const auto *left, const auto *right) { return left->sendsLeft > right->sendsLeft; });
    fillCorrections(message);
    for (PendingItem *each : pending) {
        if (message.members.size() >= m_settings.maxItemsPerMessage)
            break;
        message.members.push_back(each->item);
        --each->sendsLeft;
    }
    std::erase_if(m_items, [](const auto &each) { return each.second.sendsLeft == 0; });
    fillRepair(message);
}

// Adds one row in turn if the message has a free slot. This anti-entropy repairs the view of a node
// that missed an item while it was disseminated.
void Membership::fillRepair(GossipMessage &message)
{
    if (message.members.size() >= m_settings.maxItemsPerMessage)
        return;
    auto row = m_rows.upper_bound(m_repairCursor);
    if (row == m_rows.end())
        row = m_rows.begin();
    m_repairCursor = row->first;
    if (row->second.state != MemberState::Joining)
        message.members.push_back(itemOf(row->second));
}

// Adds the current state of the nodes about which the other sent outdated items: it may have missed
// the newer ones while they were disseminated.
void Membership::fillCorrections(GossipMessage &message)
{
    for (const std::string &name : std::exchange(m_corrections, {})) {
        const auto row = m_rows.find(name);
        if (row != m_rows.end() && message.members.size() < m_settings.maxItemsPerMessage)
            message.members.push_back(itemOf(row->second));
    }
}

void Membership::fillRecords(GossipMessage &message)
{
    std::vector<PendingRecord *> pending;
    for (auto &[key, each] : m_records) {
        if (each.sendsLeft > 0)
            pending.push_back(&each);
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto *left, const auto *right) {
        return left->sendsLeft > right->sendsLeft;
    });
    if (pending.size() > m_settings.maxRecordsPerMessage)
        pending.resize(m_settings.maxRecordsPerMessage);
    for (PendingRecord *each : pending) {
        message.records.push_back(each->record);
        --each->sendsLeft;
    }
}

void Membership::send(const MemberRow &to, GossipMessage message)
{
    m_actions.emplace_back(SendGossip { to.name, to.address, std::move(message) });
}

// ---- Probing ------------------------------------------------------------------------------------

void Membership::tick(Instant now)
{
    if (now - m_lastTickAt > m_settings.suspensionGap)
        restartSuspicions(now);
    m_lastTickAt = now;
    expireProbes(now);
    expireSuspicions(now);
    if (now >= m_nextProbeAt)
        probePeers(now);
    if (now >= m_nextDeadProbeAt)
        pingRandomDead(now);
}

// After a suspension, or while no other node was reachable, missing acks prove nothing about the
// others, so their suspicions start anew.
void Membership::restartSuspicions(Instant now)
{
    m_probes.clear();
    m_lastAckAt = now;
    for (auto &[name, row] : m_rows) {
        if (row.state == MemberState::Suspect) {
            suspectUntil(row, now + m_settings.suspicionTime);
            queueItem(row); // what was sent in the meantime may have reached no node
        }
    }
}

void Membership::suspectUntil(MemberRow &row, Instant deadline)
{
    row.stateDeadline = deadline;
    row.finalPingSent = false;
    m_nextSweepAt = {};
}

void Membership::probePeers(Instant now)
{
    m_nextProbeAt = now + m_settings.probePeriod;
    const std::string first = nextInProbeCycle();
    if (first.empty())
        return;
    ping(first, now);
    const bool firstInOtherZone = m_rows.at(first).zone != m_settings.zone;
    std::string second;
    if (m_nextNumber % 2
        == 0) // in about every other period: a node that no message has come from yet
        second = randomPeer(false, MemberState::Joining, first);
    if (second.empty())
        second = randomPeer(!firstInOtherZone, MemberState::Suspect, first);
    if (second.empty())
        second = randomPeer(false, MemberState::Suspect, first);
    if (!second.empty())
        ping(second, now);
}

std::string Membership::nextInProbeCycle()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_probeCycle.empty()) {
            std::string name = m_probeCycle.back();
            m_probeCycle.pop_back();
            const auto row = m_rows.find(name);
            if (row != m_rows.end() && row->second.state != MemberState::Dead)
                return name;
        }
        for (const auto &[name, row] : m_rows) {
            if (name != m_settings.self && row.state != MemberState::Dead)
                m_probeCycle.push_back(name);
        }
        std::shuffle(m_probeCycle.begin(), m_probeCycle.end(), m_random.engine());
    }
    return "";
}

std::string Membership::randomPeer(bool inOtherZone, MemberState highest, const std::string &except)
{
    const auto isEligible = [&](const MemberRow &row) {
        return row.state <= highest && (!inOtherZone || row.zone != m_settings.zone)
                && row.name != m_settings.self && row.name != except;
    };
    if (m_names.size() != m_rows.size()) {
        m_names.clear();
        for (const auto &[name, row] : m_rows)
            m_names.push_back(name);
    }
    for (int attempt = 0; attempt < MaxRandomPicks; ++attempt) {
        const auto row = m_rows.find(m_names[m_random.below(m_names.size())]);
        if (row != m_rows.end() && isEligible(row->second))
            return row->first;
    }
    std::vector<const std::string *> names;
    for (const auto &[name, row] : m_rows) {
        if (isEligible(row))
            names.push_back(&name);
    }
    return names.empty() ? "" : *names[m_random.below(names.size())];
}

void Membership::ping(const std::string &target, Instant now)
{
    GossipMessage message = newMessage(GossipKind::Ping, target, now);
    message.number = m_nextNumber++;
    Probe probe;
    probe.target = target;
    probe.indirectProbesAt = now + m_settings.ackTimeout;
    probe.suspectAt = now + m_settings.probeTimeout;
    m_probes.emplace(message.number, probe);
    send(m_rows.at(target), std::move(message));
}

void Membership::pingForRequester(const GossipMessage &request, Instant now)
{
    const auto target = m_rows.find(request.target);
    if (target == m_rows.end())
        return;
    ping(request.target, now);
    Probe &probe = m_probes.rbegin()->second;
    probe.requester = request.from;
    probe.requesterNumber = request.number;
}

// Pings a dead node that the VM list still shows, so that the two sides of a healed partition find
// each other.
void Membership::pingRandomDead(Instant now)
{
    m_nextDeadProbeAt = now + m_settings.deadProbeInterval;
    std::vector<const MemberRow *> dead;
    for (const auto &[name, row] : m_rows) {
        if (row.state == MemberState::Dead && row.listed)
            dead.push_back(&row);
    }
    if (dead.empty())
        return;
    const MemberRow &target = *dead[m_random.below(dead.size())];
    send(target, newMessage(GossipKind::Ping, target.name, now));
}

void Membership::sendIndirectProbes(std::uint64_t number, Probe &probe, Instant now)
{
    probe.indirectProbesSent = true;
    for (std::size_t count = 0; count < m_settings.indirectProbers; ++count) {
        const std::string prober = randomPeer(false, MemberState::Leaving, probe.target);
        if (prober.empty())
            return;
        GossipMessage message = newMessage(GossipKind::PingRequest, prober, now);
        message.number = number;
        message.target = probe.target;
        send(m_rows.at(prober), std::move(message));
    }
}

void Membership::expireProbes(Instant now)
{
    for (auto &[number, probe] : m_probes) {
        const bool isOwnProbe = probe.requester.empty();
        if (isOwnProbe && !probe.indirectProbesSent && now >= probe.indirectProbesAt)
            sendIndirectProbes(number, probe, now);
    }
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const Probe probe = it->second;
        if (now < probe.suspectAt) {
            ++it;
            continue;
        }
        it = m_probes.erase(it);
        const auto row = m_rows.find(probe.target);
        // A node that receives no acks at all is probably the faulty one: it suspects no other.
        if (!probe.requester.empty() || row == m_rows.end() || isIsolated(now))
            continue;
        const MemberItem item { probe.target, MemberState::Suspect, row->second.incarnation, "",
                                "" };
        applyItem(item, "no ack to direct and indirect pings", now);
        row->second.suspectedBySelf = row->second.state == MemberState::Suspect;
    }
}

void Membership::expireSuspicions(Instant now)
{
    if (now < m_nextSweepAt)
        return;
    m_nextSweepAt = now + m_settings.deadRetention;
    for (auto &[name, row] : m_rows) {
        if (row.state != MemberState::Suspect)
            continue;
        m_nextSweepAt = now; // check again on each tick
        if (!row.finalPingSent && now >= row.stateDeadline - m_settings.probeTimeout) {
            row.finalPingSent =
                    true; // the ping carries the suspicion, in case the suspect missed it
            if (row.suspectedBySelf || m_random.below(m_rows.size()) < FinalPings)
                send(row, newMessage(GossipKind::Ping, name, now));
        }
        if (now < row.stateDeadline)
            continue;
        if (isIsolated(now))
            suspectUntil(row, now + m_settings.suspicionTime);
        else
            setState(row, MemberState::Dead, row.incarnation, "suspicion was not refuted", now);
    }
    removeExpiredRows(now);
}

void Membership::removeExpiredRows(Instant now)
{
    std::erase_if(m_rows, [&](const auto &each) {
        const MemberRow &row = each.second;
        return row.state == MemberState::Dead && !row.listed && now >= row.stateDeadline;
    });
}

// ---- Receiving ----------------------------------------------------------------------------------

void Membership::onGossip(const GossipMessage &message, Instant now)
{
    if (message.from == m_settings.self)
        return;
    m_corrections.clear();
    const bool admitted = admitSender(message, now);
    if (admitted) {
        for (const MemberItem &item : message.members)
            applyItem(item, "reported by " + message.from, now);
        for (const GossipRecord &record : message.records)
            applyRecord(record, false);
    } else {
        // Items about others from a node that is considered dead are outdated and ignored. Claims
        // about this node still count, so that it can refute them.
        for (const MemberItem &item : message.members) {
            if (item.name == m_settings.self)
                applyItem(item, "reported by " + message.from, now);
        }
    }
    const auto sender = m_rows.find(message.from);
    if (sender == m_rows.end())
        return;
    if (message.kind == GossipKind::Ping) {
        GossipMessage ack = newMessage(GossipKind::Ack, message.from, now);
        ack.number = message.number;
        send(sender->second, std::move(ack));
    } else if (message.kind == GossipKind::PingRequest) {
        pingForRequester(message, now);
    } else {
        onAck(message, now);
    }
}

// Updates the sender's row.
// @return whether the sender's items about other nodes count
bool Membership::admitSender(const GossipMessage &message, Instant now)
{
    const MemberItem item { message.from, message.state, message.incarnation, message.zone,
                            message.address };
    applyItem(item, "reported by the node itself", now);
    const auto row = m_rows.find(message.from);
    if (row == m_rows.end())
        return false;
    row->second.lastReceivedAt = now;
    row->second.claimedState = message.state;
    row->second.claimedIncarnation = message.incarnation;
    if (message.incarnation < row->second.incarnation)
        return false;
    row->second.configRevision = std::max(row->second.configRevision, message.configRevision);
    row->second.placementRevision =
            std::max(row->second.placementRevision, message.placementRevision);
    return row->second.state != MemberState::Dead;
}

void Membership::onAck(const GossipMessage &message, Instant now)
{
    if (isIsolated(now))
        restartSuspicions(now);
    m_lastAckAt = now;
    const auto it = m_probes.find(message.number);
    if (it == m_probes.end())
        return;
    const Probe probe = it->second;
    m_probes.erase(it);
    const auto requester = m_rows.find(probe.requester);
    if (requester == m_rows.end())
        return;
    GossipMessage ack = newMessage(GossipKind::Ack, probe.requester, now);
    ack.number = probe.requesterNumber;
    send(requester->second, std::move(ack));
}

void Membership::applyItem(const MemberItem &item, const std::string &reason, Instant now)
{
    if (item.name == m_settings.self) {
        refute(item);
        return;
    }
    MemberRow *row = findOrAdd(item, now);
    if (row == nullptr)
        return;
    if (item.incarnation < row->incarnation)
        m_corrections.push_back(item.name);
    if (!supersedes(item, *row))
        return;
    MemberState state = item.state;
    // An indirect report never changes a node from alive to dead at once: after a healed
    // partition, both sides would mark each other's nodes as dead for a moment.
    if (state == MemberState::Dead && row->state == MemberState::Alive
        && item.incarnation == row->incarnation)
        state = MemberState::Suspect;
    if (!item.address.empty()) {
        row->zone = item.zone;
        row->address = item.address;
    }
    setState(*row, state, item.incarnation, reason, now);
    if (state != item.state)
        suspectUntil(*row, now + m_settings.indirectSuspicionTime);
}

// Overrides any claim about this node that does not come from itself by a higher incarnation.
void Membership::refute(const MemberItem &item)
{
    MemberRow &self = selfRow();
    if (self.state == MemberState::Dead)
        return;
    const bool isOutdated = item.incarnation < self.incarnation;
    const bool isSelfReported = item.incarnation == self.incarnation && item.state <= self.state;
    if (isOutdated || isSelfReported)
        return;
    self.incarnation = item.incarnation + 1;
    queueItem(self);
}

MemberRow *Membership::findOrAdd(const MemberItem &item, Instant now)
{
    const auto it = m_rows.find(item.name);
    if (it != m_rows.end())
        return &it->second;
    // The node is not in the VM list yet. It is accepted for unlistedGrace if its address is known.
    if (item.address.empty() || item.state > MemberState::Leaving)
        return nullptr;
    MemberRow row;
    row.name = item.name;
    row.unlistedDeadline = now + m_settings.unlistedGrace;
    return &m_rows.emplace(item.name, row).first->second;
}

void Membership::setState(MemberRow &row, MemberState state, std::uint64_t incarnation,
                          const std::string &reason, Instant now)
{
    m_actions.emplace_back(MemberChanged { row.name, row.state, state, incarnation, reason });
    row.state = state;
    row.incarnation = incarnation;
    row.suspectedBySelf = false;
    if (state == MemberState::Suspect)
        suspectUntil(row, now + m_settings.suspicionTime);
    if (state == MemberState::Dead)
        row.stateDeadline = now + m_settings.deadRetention;
    queueItem(row);
}

void Membership::queueItem(const MemberRow &row)
{
    m_items[row.name] = { itemOf(row), sendsPerItem() };
}

// ---- Records ------------------------------------------------------------------------------------

void Membership::disseminateRecord(const GossipRecord &record)
{
    assert(record.payload.size() <= MaxRecordPayloadBytes
           && "split the record or shorten its payload");
    applyRecord(record, true);
}

void Membership::applyRecord(const GossipRecord &record, bool local)
{
    const RecordKey key { record.topic, record.key };
    const auto it = m_records.find(key);
    if (it != m_records.end() && it->second.record.number >= record.number)
        return;
    m_records[key] = { record, sendsPerItem(), ++m_recordArrivals };
    if (!local)
        m_actions.emplace_back(RecordReceived { record });
    if (m_records.size() <= m_settings.maxRecords)
        return;
    const auto oldest = std::min_element(m_records.begin(), m_records.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.arrival < right.second.arrival;
                                         });
    m_records.erase(oldest);
}

// ---- Leaving ------------------------------------------------------------------------------------

void Membership::announceLeaving(Instant now)
{
    MemberRow &self = selfRow();
    if (self.state >= MemberState::Leaving)
        return;
    setState(self, MemberState::Leaving, self.incarnation, "this node drains", now);
    probePeers(now);
}

void Membership::announceStopped(Instant now)
{
    MemberRow &self = selfRow();
    if (self.state == MemberState::Dead)
        return;
    setState(self, MemberState::Dead, self.incarnation, "this node stops", now);
    for (std::size_t count = 0; count < StopNotices; ++count) {
        const std::string peer = randomPeer(false, MemberState::Leaving, "");
        if (!peer.empty())
            send(m_rows.at(peer), newMessage(GossipKind::Ping, peer, now));
    }
}

} // namespace burdock
