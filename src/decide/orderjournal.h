// The stored list of open engine orders, written only by the lease holder.
//
// Index
//   JournalRead, JournalWrite               actions
//   JournalReadAnswer, JournalWriteAnswer
//   JournalState                            closed, opening, open, superseded, term too low
//   OrderJournal                            the system
//
// Use. open(term) reads the journal and writes the holder's term into it, so that an earlier
// holder's conditional write can no longer succeed. Then value() holds every order that any earlier
// holder may have sent. A change is made by commit(next); it counts only once committed() says so,
// and an order may be sent only after the commit that contains it. One call is in flight at a time.
//
// A write without an answer is read back. If it has not taken effect, the same content is written
// again on the version that was read, so at most one of the two can take effect.
#pragma once

#include "base/instant.h"
#include "decide/placementtypes.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace burdock {

// ---- Types --------------------------------------------------------------------------------------

struct JournalSettings
{
    std::chrono::milliseconds answerTimeout { 3'000 }; // then a call counts as unanswered
    std::chrono::milliseconds retryInterval { 500 };   // after a call that failed
};

struct JournalRead
{
    std::uint64_t callId = 0; // to be given back with the answer
};

struct JournalWrite
{
    std::uint64_t callId = 0;          // to be given back with the answer
    std::uint64_t expectedVersion = 0; // 0: create, and only if absent
    JournalValue value;                // what to store
};

using JournalAction = std::variant<JournalRead, JournalWrite>;

struct JournalReadAnswer
{
    std::uint64_t callId = 0;  // of the read
    bool available = false;    // false: no answer, the rest means nothing
    std::uint64_t version = 0; // 0: the object does not exist
    JournalValue value;        // what is stored
};

struct JournalWriteAnswer
{
    std::uint64_t callId = 0;                    // of the write
    WriteOutcome status = WriteOutcome::Unknown; // what became of it
    std::uint64_t version = 0;                   // new version, when Done
};

enum class JournalState {
    Closed,     // not in use
    Opening,    // reading, or writing the term
    Open,       // value() is what is stored, and no earlier holder can change it
    Superseded, // a later holder has opened it
    TermTooLow, // it bears a higher term although this process holds the lease
};

// ---- System -------------------------------------------------------------------------------------

class OrderJournal
{
public:
    explicit OrderJournal(JournalSettings settings);

    /// Starts to take the journal over.
    /// @param term the lease term held
    void open(std::uint64_t term, Instant now);

    /// Forgets everything, as after losing the lease. Answers still under way are ignored.
    void close();

    /// Starts to replace the stored value; term and write counter are filled in here.
    /// Asserts that the journal is open and no commit is in flight.
    void commit(JournalValue next, Instant now);

    void onRead(const JournalReadAnswer &answer, Instant now);
    void onWritten(const JournalWriteAnswer &answer, Instant now);
    void tick(Instant now);

    JournalState state() const { return m_state; }

    /// @return whether commit() may be called
    bool idle() const { return m_state == JournalState::Open && !m_writing; }

    /// @return the value stored last, as far as it is confirmed
    const JournalValue &value() const { return m_value; }

    /// @return the term found in the journal; to raise the lease's term when it is too low
    std::uint64_t storedTerm() const { return m_storedTerm; }

    std::vector<JournalAction> takeActions();

private:
    enum class Call { None, Read, Write };

    void sendRead(Instant now);
    void sendWrite(Instant now);
    void readBack(const JournalReadAnswer &answer, Instant now);
    void takeOver(const JournalReadAnswer &answer, Instant now);
    void confirm(std::uint64_t version);

    JournalSettings m_settings;
    JournalState m_state = JournalState::Closed;
    std::uint64_t m_term = 0;
    std::uint64_t m_storedTerm = 0;
    std::uint64_t m_writeCounter = 0;
    std::uint64_t m_version = 0; // to write upon
    bool m_known = false;        // no call since may have changed m_version
    bool m_writing = false;      // m_next is not yet confirmed
    JournalValue m_value;        // confirmed
    JournalValue m_next;         // being written
    Call m_call = Call::None;    // the one call in flight
    std::uint64_t m_callId = 0;  // its id
    Instant m_callTimeoutAt;     // then it counts as unanswered
    Instant m_nextCallAt;        // no call before
    std::vector<JournalAction> m_actions;
};

} // namespace burdock
