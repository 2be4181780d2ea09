#include "decide/membership.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace burdock {

namespace {

constexpr std::size_t SendsPerDecade = 3; // sends of one item for each factor of ten in fleet size
constexpr int PeerGuesses = 8;            // random picks before the whole table is searched
constexpr std::size_t LastPings = 8;      // to a suspect just before it counts as dead, fleet-wide
constexpr std::size_t StopNotices = 4;    // peers told directly that this node ends

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

std::size_t noteSize(const FleetNote &note)
{
    return textField(note.topic) + textField(note.key) + integerField(note.number)
            + textField(note.payload);
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

// Whether a node must hear what is said of it: it is accused, or claims something that is older.
bool mustBeTold(const MemberRow &row)
{
    if (row.state >= MemberState::Suspect)
        return true;
    const bool heard = row.heardAt != Instant {};
    return heard && (row.claimedIncarnation != row.incarnation || row.claimedState != row.state);
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
    for (const FleetNote &note : message.notes)
        size += nestedField(noteSize(note));
    return size;
}

// ---- Set-up -------------------------------------------------------------------------------------

Membership::Membership(MembershipSettings settings, Instant now)
    : m_settings(std::move(settings))
    , m_random(m_settings.seed)
    , m_nextDeadProbeAt(now + m_settings.deadProbeInterval)
    , m_newcomerDeadline(now + m_settings.newcomerTime)
    , m_lastTick(now)
    , m_lastAck(now)
{
    assert(!m_settings.self.empty() && "name this node in MembershipSettings::self");
    // Nodes that start together do not ping in the same instant.
    const double share = m_random.unit();
    m_nextRoundAt =
            now + std::chrono::duration_cast<Duration>(m_settings.period * share); // first round
    MemberRow row;
    row.name = m_settings.self;
    row.zone = m_settings.zone;
    row.address = m_settings.address;
    row.state = MemberState::Alive;
    row.incarnation = m_settings.incarnation;
    row.listed = true;
    m_rows.emplace(row.name, row);
    spreadItem(row);
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
            row.unlistedDeadline = now + m_settings.unlistedTime;
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
    return m_rows.size() > 1 && now - m_lastAck > 3 * m_settings.period;
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
    if (isNewcomer(now)) {
        message.zone = self.zone;
        message.address = self.address;
    }
    message.configRevision = self.configRevision;
    message.placementRevision = self.placementRevision;
    fillItems(message, to);
    fillNotes(message);
    return message;
}

// What the other does not know about itself comes first; then the items sent least often.
void Membership::fillItems(GossipMessage &message, const std::string &to)
{
    const auto target = m_rows.find(to);
    if (target != m_rows.end() && mustBeTold(target->second))
        message.members.push_back({ to, target->second.state, target->second.incarnation, "", "" });

    std::vector<PendingItem *> pending;
    for (auto &[name, each] : m_items) {
        if (name != to)
            pending.push_back(&each);
    }
    const std::size_t count = std::min(pending.size(), m_settings.itemsPerMessage);
    std::partial_sort(
            pending.begin(), pending.begin() + static_cast<std::ptrdiff_t>(count), pending.end(),
            [](const auto *left, const auto *right) { return left->sendsLeft > right->sendsLeft; });
    fillCorrections(message);
    for (PendingItem *each : pending) {
        if (message.members.size() >= m_settings.itemsPerMessage)
            break;
        message.members.push_back(each->item);
        --each->sendsLeft;
    }
    std::erase_if(m_items, [](const auto &each) { return each.second.sendsLeft == 0; });
    fillRepair(message);
}

// One row in turn, where there is room: what somebody missed while it went round, he learns here.
void Membership::fillRepair(GossipMessage &message)
{
    if (message.members.size() >= m_settings.itemsPerMessage)
        return;
    auto row = m_rows.upper_bound(m_repairCursor);
    if (row == m_rows.end())
        row = m_rows.begin();
    m_repairCursor = row->first;
    if (row->second.state != MemberState::Joining)
        message.members.push_back(itemOf(row->second));
}

// Tells the sender of old facts what is newer; it may have missed it while it went round.
void Membership::fillCorrections(GossipMessage &message)
{
    for (const std::string &name : std::exchange(m_corrections, {})) {
        const auto row = m_rows.find(name);
        if (row != m_rows.end() && message.members.size() < m_settings.itemsPerMessage)
            message.members.push_back(itemOf(row->second));
    }
}

void Membership::fillNotes(GossipMessage &message)
{
    std::vector<PendingNote *> pending;
    for (auto &[key, each] : m_notes) {
        if (each.sendsLeft > 0)
            pending.push_back(&each);
    }
    std::stable_sort(pending.begin(), pending.end(), [](const auto *left, const auto *right) {
        return left->sendsLeft > right->sendsLeft;
    });
    if (pending.size() > m_settings.notesPerMessage)
        pending.resize(m_settings.notesPerMessage);
    for (PendingNote *each : pending) {
        message.notes.push_back(each->note);
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
    if (now - m_lastTick > m_settings.frozenGap)
        recoverFromSilence(now);
    m_lastTick = now;
    endProbes(now);
    endSuspicions(now);
    if (now >= m_nextRoundAt)
        startRound(now);
    if (now >= m_nextDeadProbeAt)
        pingSomeDead(now);
}

// After a freeze, or a time cut off from everybody, the silence of others proves nothing.
void Membership::recoverFromSilence(Instant now)
{
    m_probes.clear();
    m_lastAck = now;
    for (auto &[name, row] : m_rows) {
        if (row.state == MemberState::Suspect) {
            suspectUntil(row, now + m_settings.suspicionTime);
            spreadItem(row); // what was sent meanwhile reached nobody
        }
    }
}

void Membership::suspectUntil(MemberRow &row, Instant deadline)
{
    row.stateDeadline = deadline;
    row.lastPingSent = false;
    m_nextSweepAt = {};
}

void Membership::startRound(Instant now)
{
    m_nextRoundAt = now + m_settings.period;
    const std::string first = nextOfRound();
    if (first.empty())
        return;
    ping(first, now);
    const bool firstIsFar = m_rows.at(first).zone != m_settings.zone;
    std::string second;
    if (m_nextNumber % 2 == 0) // every other round: whom this node has not heard of yet
        second = randomPeer(false, MemberState::Joining, first);
    if (second.empty())
        second = randomPeer(!firstIsFar, MemberState::Suspect, first);
    if (second.empty())
        second = randomPeer(false, MemberState::Suspect, first);
    if (!second.empty())
        ping(second, now);
}

std::string Membership::nextOfRound()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_round.empty()) {
            std::string name = m_round.back();
            m_round.pop_back();
            const auto row = m_rows.find(name);
            if (row != m_rows.end() && row->second.state != MemberState::Dead)
                return name;
        }
        for (const auto &[name, row] : m_rows) {
            if (name != m_settings.self && row.state != MemberState::Dead)
                m_round.push_back(name);
        }
        std::shuffle(m_round.begin(), m_round.end(), m_random.engine());
    }
    return "";
}

std::string Membership::randomPeer(bool inOtherZone, MemberState highest, const std::string &except)
{
    const auto fits = [&](const MemberRow &row) {
        return row.state <= highest && (!inOtherZone || row.zone != m_settings.zone)
                && row.name != m_settings.self && row.name != except;
    };
    if (m_names.size() != m_rows.size()) {
        m_names.clear();
        for (const auto &[name, row] : m_rows)
            m_names.push_back(name);
    }
    for (int guess = 0; guess < PeerGuesses; ++guess) {
        const auto row = m_rows.find(m_names[m_random.below(m_names.size())]);
        if (row != m_rows.end() && fits(row->second))
            return row->first;
    }
    std::vector<const std::string *> names;
    for (const auto &[name, row] : m_rows) {
        if (fits(row))
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
    probe.helpersDeadline = now + m_settings.ackTimeout;
    probe.suspectDeadline = now + m_settings.probeTimeout;
    m_probes.emplace(message.number, probe);
    send(m_rows.at(target), std::move(message));
}

void Membership::pingFor(const GossipMessage &request, Instant now)
{
    const auto target = m_rows.find(request.target);
    if (target == m_rows.end())
        return;
    ping(request.target, now);
    Probe &probe = m_probes.rbegin()->second;
    probe.requester = request.from;
    probe.requesterNumber = request.number;
}

// Dead nodes that may still exist are tried again: this is how two sides of a cut find each other.
void Membership::pingSomeDead(Instant now)
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

void Membership::askHelpers(std::uint64_t number, Probe &probe, Instant now)
{
    probe.helpersAsked = true;
    for (std::size_t count = 0; count < m_settings.helpers; ++count) {
        const std::string helper = randomPeer(false, MemberState::Leaving, probe.target);
        if (helper.empty())
            return;
        GossipMessage message = newMessage(GossipKind::PingRequest, helper, now);
        message.number = number;
        message.target = probe.target;
        send(m_rows.at(helper), std::move(message));
    }
}

void Membership::endProbes(Instant now)
{
    for (auto &[number, probe] : m_probes) {
        const bool own = probe.requester.empty();
        if (own && !probe.helpersAsked && now >= probe.helpersDeadline)
            askHelpers(number, probe, now);
    }
    for (auto it = m_probes.begin(); it != m_probes.end();) {
        const Probe probe = it->second;
        if (now < probe.suspectDeadline) {
            ++it;
            continue;
        }
        it = m_probes.erase(it);
        const auto row = m_rows.find(probe.target);
        // A node that hears nobody is itself at fault: it accuses no one.
        if (!probe.requester.empty() || row == m_rows.end() || isIsolated(now))
            continue;
        const MemberItem item { probe.target, MemberState::Suspect, row->second.incarnation, "",
                                "" };
        applyItem(item, "no answer to pings, its own and by helpers", now);
        row->second.accusedHere = row->second.state == MemberState::Suspect;
    }
}

void Membership::endSuspicions(Instant now)
{
    if (now < m_nextSweepAt)
        return;
    m_nextSweepAt = now + m_settings.forgetTime;
    for (auto &[name, row] : m_rows) {
        if (row.state != MemberState::Suspect)
            continue;
        m_nextSweepAt = now; // look again with each tick
        if (!row.lastPingSent && now >= row.stateDeadline - m_settings.probeTimeout) {
            row.lastPingSent = true; // a few nodes tell it of the suspicion, in case nobody has
            if (row.accusedHere || m_random.below(m_rows.size()) < LastPings)
                send(row, newMessage(GossipKind::Ping, name, now));
        }
        if (now < row.stateDeadline)
            continue;
        if (isIsolated(now))
            suspectUntil(row, now + m_settings.suspicionTime);
        else
            setState(row, MemberState::Dead, row.incarnation, "suspicion was not refuted", now);
    }
    forgetOld(now);
}

void Membership::forgetOld(Instant now)
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
            applyItem(item, "told by " + message.from, now);
        for (const FleetNote &note : message.notes)
            applyNote(note, false);
    } else {
        // What a node believed dead says of others is old; what it is told of itself it refutes.
        for (const MemberItem &item : message.members) {
            if (item.name == m_settings.self)
                applyItem(item, "told by " + message.from, now);
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
        pingFor(message, now);
    } else {
        onAck(message, now);
    }
}

// Returns whether what the sender says of others counts.
bool Membership::admitSender(const GossipMessage &message, Instant now)
{
    const MemberItem item { message.from, message.state, message.incarnation, message.zone,
                            message.address };
    applyItem(item, "heard from itself", now);
    const auto row = m_rows.find(message.from);
    if (row == m_rows.end())
        return false;
    row->second.heardAt = now;
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
        recoverFromSilence(now);
    m_lastAck = now;
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
    // Hearsay never takes a node from alive to dead at once: both sides of a healed cut would
    // bury each other's nodes for a moment.
    if (state == MemberState::Dead && row->state == MemberState::Alive
        && item.incarnation == row->incarnation)
        state = MemberState::Suspect;
    if (!item.address.empty()) {
        row->zone = item.zone;
        row->address = item.address;
    }
    setState(*row, state, item.incarnation, reason, now);
    if (state != item.state)
        suspectUntil(*row, now + m_settings.hearsayTime);
}

// Anything said of this node that it did not say itself is outdone by a higher incarnation.
void Membership::refute(const MemberItem &item)
{
    MemberRow &self = selfRow();
    if (self.state == MemberState::Dead)
        return;
    const bool older = item.incarnation < self.incarnation;
    const bool own = item.incarnation == self.incarnation && item.state <= self.state;
    if (older || own)
        return;
    self.incarnation = item.incarnation + 1;
    spreadItem(self);
}

MemberRow *Membership::findOrAdd(const MemberItem &item, Instant now)
{
    const auto it = m_rows.find(item.name);
    if (it != m_rows.end())
        return &it->second;
    // Not in the VM list yet. It counts for a while, if it says where it is.
    if (item.address.empty() || item.state > MemberState::Leaving)
        return nullptr;
    MemberRow row;
    row.name = item.name;
    row.unlistedDeadline = now + m_settings.unlistedTime;
    return &m_rows.emplace(item.name, row).first->second;
}

void Membership::setState(MemberRow &row, MemberState state, std::uint64_t incarnation,
                          const std::string &reason, Instant now)
{
    m_actions.emplace_back(MemberChanged { row.name, row.state, state, incarnation, reason });
    row.state = state;
    row.incarnation = incarnation;
    row.accusedHere = false;
    if (state == MemberState::Suspect)
        suspectUntil(row, now + m_settings.suspicionTime);
    if (state == MemberState::Dead)
        row.stateDeadline = now + m_settings.forgetTime;
    spreadItem(row);
}

void Membership::spreadItem(const MemberRow &row)
{
    m_items[row.name] = { itemOf(row), sendsPerItem() };
}

// ---- Notes --------------------------------------------------------------------------------------

void Membership::spreadNote(const FleetNote &note)
{
    assert(note.payload.size() <= MaxNotePayloadBytes && "split the note or shorten its payload");
    applyNote(note, true);
}

void Membership::applyNote(const FleetNote &note, bool local)
{
    const NoteKey key { note.topic, note.key };
    const auto it = m_notes.find(key);
    if (it != m_notes.end() && it->second.note.number >= note.number)
        return;
    m_notes[key] = { note, sendsPerItem(), ++m_noteArrivals };
    if (!local)
        m_actions.emplace_back(NoteArrived { note });
    if (m_notes.size() <= m_settings.maxNotes)
        return;
    const auto oldest = std::min_element(m_notes.begin(), m_notes.end(),
                                         [](const auto &left, const auto &right) {
                                             return left.second.arrival < right.second.arrival;
                                         });
    m_notes.erase(oldest);
}

// ---- Leaving ------------------------------------------------------------------------------------

void Membership::announceLeaving(Instant now)
{
    MemberRow &self = selfRow();
    if (self.state >= MemberState::Leaving)
        return;
    setState(self, MemberState::Leaving, self.incarnation, "this node drains", now);
    startRound(now);
}

void Membership::announceStopped(Instant now)
{
    MemberRow &self = selfRow();
    if (self.state == MemberState::Dead)
        return;
    setState(self, MemberState::Dead, self.incarnation, "this node ends", now);
    for (std::size_t count = 0; count < StopNotices; ++count) {
        const std::string peer = randomPeer(false, MemberState::Leaving, "");
        if (!peer.empty())
            send(m_rows.at(peer), newMessage(GossipKind::Ping, peer, now));
    }
}

} // namespace burdock
