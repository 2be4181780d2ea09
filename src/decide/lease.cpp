#include "decide/lease.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

/// Takeovers of an era count on from the version, below the terms of the next era.
constexpr std::uint64_t MaxVersionInTerm = TermsPerEra / 2;

} // namespace

Lease::Lease(LeaseSettings settings, std::string node, std::uint64_t incarnation)
    : m_settings(settings)
    , m_node(std::move(node))
    , m_incarnation(incarnation)
{
    assert(settings.holdTime < settings.leaseTime
           && "LeaseSettings: holdTime must be shorter than leaseTime");
    assert(!m_node.empty()
           && "Lease: the node name must not be empty, an empty holder marks a released lease");
}

void Lease::setCandidate(bool candidate, Instant now)
{
    if (candidate && !m_candidate) {
        m_versionKnown = false; // the last read is too old to tell whether another node renews
        m_nextCallAt = std::min(m_nextCallAt, now);
    }
    m_candidate = candidate;
}

// ---- Results ------------------------------------------------------------------------------------

void Lease::onRead(const LeaseReadResult &result, Instant now)
{
    if (m_call != Call::Read || result.callId != m_callId)
        return;
    m_call = Call::None;
    if (!result.available) {
        scheduleRetry(now);
        return;
    }
    if (m_everRead && result.era < m_era) {
        scheduleRetry(now); // of an era that is over
        return;
    }
    if (isLost(result))
        lose(now);
    m_era = result.era;
    applyObject(result.version, result.value, now);
}

void Lease::onNewEra(Instant now)
{
    lose(now);
    m_versionKnown = false;
    m_nextCallAt = std::min(m_nextCallAt, now);
}

/// Gives up what the object said: a holder that it does not name may go on for the lease time.
void Lease::lose(Instant now)
{
    m_isLost = true;
    m_wasLost = true;
    m_releasing = false;
    m_lostUntil = now + m_settings.leaseTime;
    m_termFloor = std::max(m_termFloor, m_value.term);
    setHeld(false);
}

void Lease::onWritten(const LeaseWriteResult &result, Instant now)
{
    if (m_call != Call::Write || result.callId != m_callId)
        return;
    m_call = Call::None;
    const bool isOutdated = m_pending.era < m_era; // the condition was one of an earlier era
    switch (isOutdated ? WriteOutcome::Unknown : result.status) {
    case WriteOutcome::Done:
        applyObject(result.version, m_pending, now);
        break;
    case WriteOutcome::Unavailable:
        scheduleRetry(now);
        m_freeAt = std::max(m_freeAt, m_nextCallAt); // a takeover does not wait for m_nextCallAt
        break;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unknown:
        // A write with an unknown outcome may still take effect. Reading the object back shows
        // whether it did. The next write is conditional on the version that was read, so at most
        // one of the two writes takes effect.
        m_versionKnown = false;
        m_nextCallAt = now;
        break;
    }
}

// ---- Time ---------------------------------------------------------------------------------------

void Lease::tick(Instant now)
{
    if (m_call != Call::None) {
        if (now < m_callTimeoutAt)
            return;
        m_call = Call::None;
        m_versionKnown = false;
        m_nextCallAt = now;
    }
    const bool canTake = m_versionKnown && !m_held && m_candidate && now >= m_freeAt;
    if (now < m_nextCallAt && !canTake)
        return;
    if (!m_versionKnown) {
        sendRead(now);
        return;
    }
    if (m_held && m_releasing) {
        sendWrite(LeaseValue { "", m_incarnation, m_value.term, 0, 0 }, now);
    } else if (m_held) {
        m_hasPredecessor = m_hasPredecessor || renewalTerm() != m_value.term;
        sendWrite(LeaseValue { m_node, m_incarnation, renewalTerm(), 0, 0 }, now);
    } else if (canTake) {
        m_hasPredecessor = m_version != 0 || m_wasLost || m_termFloor != 0;
        sendWrite(LeaseValue { m_node, m_incarnation, takeoverTerm(), 0, 0 }, now);
    } else {
        sendRead(now);
    }
}

void Lease::release(Instant now)
{
    m_candidate = false;
    m_actUntil = Instant {};
    if (!m_held)
        return;
    m_releasing = true;
    m_nextCallAt = now;
}

void Lease::raiseTerm(std::uint64_t floor)
{
    m_termFloor = std::max(m_termFloor, floor);
}

std::vector<LeaseAction> Lease::takeActions()
{
    return std::exchange(m_actions, {});
}

std::vector<LeaseEvent> Lease::takeEvents()
{
    return std::exchange(m_events, {});
}

// ---- Calls and state ----------------------------------------------------------------------------

void Lease::sendRead(Instant now)
{
    m_call = Call::Read;
    m_callTimeoutAt = now + m_settings.responseTimeout;
    m_actions.emplace_back(LeaseRead { ++m_callId });
}

void Lease::sendWrite(LeaseValue value, Instant now)
{
    m_isLost = false;
    value.writeId = ++m_writeCount;
    value.era = m_era;
    m_pending = value;
    m_pendingSentAt = now;
    m_pendingActUntil = value.holder.empty() ? Instant {} : now + m_settings.holdTime;
    m_call = Call::Write;
    m_callTimeoutAt = now + m_settings.responseTimeout;
    m_actions.emplace_back(LeaseWrite { ++m_callId, m_version, std::move(value) });
}

std::uint64_t Lease::renewalTerm() const
{
    return m_value.term > termFloor() ? m_value.term : termFloor() + 1;
}

std::uint64_t Lease::takeoverTerm() const
{
    return std::max(m_value.term, termFloor()) + 1;
}

/// @return a term that may have been given out, while those above it were not
std::uint64_t Lease::termFloor() const
{
    const std::uint64_t lowest = std::min(m_era, MaxTermEra) * TermsPerEra;
    // A late write of an earlier era may have replaced a value of this one. Each takeover in this
    // era raised the version, so no term above it was given out.
    const bool isReplaced = m_value.era < m_era;
    return std::max(m_termFloor, lowest + (isReplaced ? std::min(m_version, MaxVersionInTerm) : 0));
}

/// @return whether a holder may exist whom the object no longer names
bool Lease::isLost(const LeaseReadResult &read) const
{
    const bool isAbsent = read.version == 0;
    if (!m_everRead)
        return isAbsent ? read.hasKnownHolder : read.value.era < read.era;
    // A late write of an earlier era may have met its condition, since versions are given out
    // again.
    const bool isOfEarlierEra = read.version != m_version && read.value.era < read.era;
    return read.era != m_era || (isAbsent && m_version != 0) || (!isAbsent && isOfEarlierEra);
}

bool Lease::isOwnValue(const LeaseValue &value) const
{
    return value.holder == m_node && value.incarnation == m_incarnation;
}

std::chrono::milliseconds Lease::readInterval() const
{
    return m_candidate ? m_settings.pollInterval : m_settings.slowPollInterval;
}

void Lease::scheduleRetry(Instant now)
{
    m_nextCallAt = now + m_settings.retryInterval;
}

// Applies the content of the object, known from a read or from a successful write of this process.
void Lease::applyObject(std::uint64_t version, const LeaseValue &value, Instant now)
{
    const bool changed = !m_everRead || version != m_version;
    const std::uint64_t previousTerm = term();
    m_everRead = true;
    m_versionKnown = true;
    m_version = version;
    m_value = value;
    if (changed)
        m_freeAt = value.holder.empty() ? now : now + m_settings.leaseTime;
    m_freeAt = std::max(m_freeAt, m_lostUntil);

    if (!isOwnValue(value) || m_isLost) {
        m_releasing = false;
        setHeld(false);
        m_nextCallAt = now + readInterval();
        return;
    }
    // The object contains the last write that this process sent. The hold time of that write is
    // counted from when it was sent, not from when it was confirmed or read back.
    if (value == m_pending && !m_releasing)
        m_actUntil = std::max(m_actUntil, m_pendingActUntil);
    const bool renewNow = m_releasing || m_actUntil <= now;
    m_nextCallAt = renewNow ? now : m_pendingSentAt + m_settings.renewInterval;
    m_held = true;
    if (previousTerm != value.term)
        m_events.push_back(LeaseEvent::Taken);
}

void Lease::setHeld(bool held)
{
    if (m_held && !held)
        m_events.push_back(LeaseEvent::Lost);
    m_held = held;
    if (!held)
        m_actUntil = Instant {};
}

} // namespace burdock
