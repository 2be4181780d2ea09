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
    assert(term > 0 && "open the journal with the lease's term");
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
    m_known = false;
    m_writing = false;
    m_value = JournalValue {};
    m_next = JournalValue {};
    m_call = Call::None;
    m_actions.clear();
}

void OrderJournal::commit(JournalValue next, Instant now)
{
    assert(idle() && "wait until idle() before the next commit");
    m_next = std::move(next);
    m_next.term = m_term;
    m_next.writeCounter = ++m_writeCounter;
    m_writing = true;
    m_nextCallAt = now;
    tick(now);
}

// ---- Answers ------------------------------------------------------------------------------------

void OrderJournal::onRead(const JournalReadAnswer &answer, Instant now)
{
    if (m_call != Call::Read || answer.callId != m_callId)
        return;
    m_call = Call::None;
    if (!answer.available) {
        m_nextCallAt = now + m_settings.retryInterval;
        return;
    }
    m_storedTerm = answer.value.term;
    if (answer.value.term > m_term) {
        const bool opening = m_state == JournalState::Opening;
        m_state = opening ? JournalState::TermTooLow : JournalState::Superseded;
        return;
    }
    m_known = true;
    m_version = answer.version;
    m_nextCallAt = now;
    if (answer.value.term == m_term)
        readBack(answer, now);
    else
        takeOver(answer, now);
}

// The stored value is one of our own writes: the pending one, or an earlier one.
void OrderJournal::readBack(const JournalReadAnswer &answer, Instant now)
{
    m_writeCounter = std::max(m_writeCounter, answer.value.writeCounter);
    if (m_writing && answer.value.writeCounter == m_next.writeCounter) {
        confirm(answer.version);
        return;
    }
    tick(now);
}

// An earlier holder wrote last, or nobody did.
void OrderJournal::takeOver(const JournalReadAnswer &answer, Instant now)
{
    if (m_state == JournalState::Opening) {
        m_next = answer.value;
        m_next.term = m_term;
        m_next.writeCounter = ++m_writeCounter;
        m_writing = true;
    } else if (!m_writing) {
        // The object was deleted under us. Store again what was confirmed.
        m_next = m_value;
        m_next.writeCounter = ++m_writeCounter;
        m_writing = true;
    }
    tick(now);
}

void OrderJournal::onWritten(const JournalWriteAnswer &answer, Instant now)
{
    if (m_call != Call::Write || answer.callId != m_callId)
        return;
    m_call = Call::None;
    switch (answer.status) {
    case WriteOutcome::Done:
        confirm(answer.version);
        break;
    case WriteOutcome::Unavailable:
        m_nextCallAt = now + m_settings.retryInterval;
        break;
    case WriteOutcome::Conflict:
    case WriteOutcome::Unknown:
        m_known = false;
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
    m_writing = false;
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
        m_known = false;
        m_nextCallAt = now;
    }
    if (now < m_nextCallAt)
        return;
    if (!m_known)
        sendRead(now);
    else if (m_writing)
        sendWrite(now);
}

std::vector<JournalAction> OrderJournal::takeActions()
{
    return std::exchange(m_actions, {});
}

void OrderJournal::sendRead(Instant now)
{
    m_call = Call::Read;
    m_callTimeoutAt = now + m_settings.answerTimeout;
    m_actions.emplace_back(JournalRead { ++m_callId });
}

void OrderJournal::sendWrite(Instant now)
{
    m_call = Call::Write;
    m_callTimeoutAt = now + m_settings.answerTimeout;
    m_actions.emplace_back(JournalWrite { ++m_callId, m_version, m_next });
}

} // namespace burdock
