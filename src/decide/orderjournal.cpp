#include "decide/orderjournal.h"

#include <cassert>
#include <utility>

namespace burdock {

OrderJournal::OrderJournal(JournalSettings settings)
    : m_settings(settings)
{
}

void OrderJournal::open(std::uint64_t term, Instant now)
{
    assert(term > 0 && "OrderJournal::open: the term must be above 0, pass the term of the lease");
    close();
    m_state = JournalState::Opening;
    m_term = term;
    m_nextCallAt = now;
}

void OrderJournal::close()
{
    m_state = JournalState::Closed;
    m_term = 0;
    m_writeCounter = 0;
    m_version = 0;
    m_versionKnown = false;
    m_commitPending = false;
    m_value = JournalValue {};
    m_next = JournalValue {};
    m_call = Call::None;
    m_actions.clear();
}

void OrderJournal::commit(JournalValue next, Instant now)
{
    assert(idle() && "OrderJournal::commit: call it only while idle() is true");
    m_next = std::move(next);
    m_next.term = m_term;
    m_next.writeCounter = ++m_writeCounter;
    m_commitPending = true;
    m_nextCallAt = now;
    tick(now);
}

// ---- Results ------------------------------------------------------------------------------------

void OrderJournal::onRead(const JournalReadResult &result, Instant now)
{
    if (m_call != Call::Read || result.callId != m_callId)
        return;
    m_call = Call::None;
    if (!result.available) {
        m_nextCallAt = now + m_settings.retryInterval;
        return;
    }
    m_storedTerm = result.value.term;
    if (result.value.term > m_term) {
        const bool opening = m_state == JournalState::Opening;
        m_state = opening ? JournalState::TermTooLow : JournalState::Superseded;
        return;
    }
    m_versionKnown = true;
    m_version = result.version;
    m_nextCallAt = now;
    if (result.value.term == m_term)
        checkOwnWrite(result, now);
    else
        takeOver(result, now);
}

// The stored value was written under this term: by the pending write or by an earlier one.
void OrderJournal::checkOwnWrite(const JournalReadResult &result, Instant now)
{
    m_writeCounter = std::max(m_writeCounter, result.value.writeCounter);
    if (m_commitPending && result.value.writeCounter == m_next.writeCounter) {
        confirm(result.version);
        return;
    }
    tick(now);
}

// The stored value was written under an earlier term, or the object does not exist.
void OrderJournal::takeOver(const JournalReadResult &result, Instant now)
{
    if (m_state == JournalState::Opening) {
        m_next = result.value;
        m_next.term = m_term;
        m_next.writeCounter = ++m_writeCounter;
        m_commitPending = true;
    } else if (!m_commitPending) {
        // The object was deleted while this process held the lease. Writes the last confirmed
        // value again.
        m_next = m_value;
        m_next.writeCounter = ++m_writeCounter;
        m_commitPending = true;
    }
    tick(now);
}

void OrderJournal::onWritten(const JournalWriteResult &result, Instant now)
{
    if (m_call != Call::Write || result.callId != m_callId)
        return;
    m_call = Call::None;
    switch (result.status) {
    case WriteOutcome::Done:
        confirm(result.version);
        break;
    case WriteOutcome::Unavailable:
        m_nextCallAt = now + m_settings.retryInterval;
        break;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unknown:
        m_versionKnown = false;
        m_nextCallAt = now;
        tick(now);
        break;
    }
}

void OrderJournal::confirm(std::uint64_t version)
{
    m_version = version;
    m_value = std::move(m_next);
    m_next = JournalValue {};
    m_commitPending = false;
    m_state = JournalState::Open;
}

// ---- Time ---------------------------------------------------------------------------------------

void OrderJournal::tick(Instant now)
{
    if (m_state != JournalState::Opening && m_state != JournalState::Open)
        return;
    if (m_call != Call::None) {
        if (now < m_callTimeoutAt)
            return;
        m_call = Call::None;
        m_versionKnown = false;
        m_nextCallAt = now;
    }
    if (now < m_nextCallAt)
        return;
    if (!m_versionKnown)
        sendRead(now);
    else if (m_commitPending)
        sendWrite(now);
}

std::vector<JournalAction> OrderJournal::takeActions()
{
    return std::exchange(m_actions, {});
}

void OrderJournal::sendRead(Instant now)
{
    m_call = Call::Read;
    m_callTimeoutAt = now + m_settings.responseTimeout;
    m_actions.emplace_back(JournalRead { ++m_callId });
}

void OrderJournal::sendWrite(Instant now)
{
    m_call = Call::Write;
    m_callTimeoutAt = now + m_settings.responseTimeout;
    m_actions.emplace_back(JournalWrite { ++m_callId, m_version, m_next });
}

} // namespace burdock
