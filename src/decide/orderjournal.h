// The stored list of open engine orders. Only the lease holder writes it.
//
// Index
//   JournalSettings                        timeouts
//   JournalRead, JournalWrite              actions: calls that the caller makes to the Object API
//   JournalReadResult, JournalWriteResult  their results
//   JournalState                           closed, opening, open, superseded, term too low
//   OrderJournal                           the state machine
//
// Use. open(term) reads the journal and writes the holder's term into it, so that a conditional
// write of an earlier holder can no longer succeed. From then on value() contains every order that
// any earlier holder may have sent. commit(next) starts a change. The change counts once idle() is
// true again and value() shows it, and an order may be sent only after the commit that contains it.
// One call is in flight at a time.
//
// A write with an unknown outcome is read back. If it has not taken effect, the same content is
// written again with the version that was read, so at most one of the two writes can take effect.
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
    std::chrono::milliseconds responseTimeout { 3'000 }; // a call without a response times out
    std::chrono::milliseconds retryInterval { 500 };     // wait after a failed call
};

struct JournalRead
{
    std::uint64_t callId = 0; // to be copied into the result
};

struct JournalWrite
{
    std::uint64_t callId = 0;          // to be copied into the result
    std::uint64_t expectedVersion = 0; // required object version; 0: create, only if absent
    JournalValue value;                // value to store
};

using JournalAction = std::variant<JournalRead, JournalWrite>;

struct JournalReadResult
{
    std::uint64_t callId = 0;  // JournalRead::callId
    bool available = false;    // false: the store did not respond, the fields below are not valid
    std::uint64_t version = 0; // object version; 0: the object does not exist
    JournalValue value;        // stored value
};

struct JournalWriteResult
{
    std::uint64_t callId = 0;                    // JournalWrite::callId
    WriteOutcome status = WriteOutcome::Unknown; // outcome of the conditional write
    std::uint64_t version = 0;                   // new object version; valid with Done only
};

enum class JournalState {
    Closed,     // not in use
    Opening,    // reading the journal, or writing the term into it
    Open,       // value() is the stored value, and no earlier holder can change it
    Superseded, // a later holder has opened the journal
    TermTooLow, // the journal has a higher term although this process holds the lease
};

// ---- Journal ------------------------------------------------------------------------------------

class OrderJournal
{
public:
    explicit OrderJournal(JournalSettings settings);

    /// Starts to take over the journal.
    /// @param term the lease term held; above 0
    void open(std::uint64_t term, Instant now);

    /// Drops all state, as after losing the lease. Results of calls still in flight are ignored.
    void close();

    /// Starts to replace the stored value; fills in the term and the write counter.
    /// Asserts that the journal is open and no commit is in flight.
    void commit(JournalValue next, Instant now);

    /// Takes the result of a read. Ignores results of calls that have timed out.
    void onRead(const JournalReadResult &result, Instant now);
    /// Takes the result of a write. Ignores results of calls that have timed out.
    void onWritten(const JournalWriteResult &result, Instant now);
    /// Starts the call that is due, and times out the call in flight.
    void tick(Instant now);

    JournalState state() const { return m_state; }

    /// @return whether commit() may be called
    bool idle() const { return m_state == JournalState::Open && !m_commitPending; }

    /// @return the last value whose write was confirmed
    const JournalValue &value() const { return m_value; }

    /// @return the term last read from the journal; Lease::raiseTerm() needs it in TermTooLow
    std::uint64_t storedTerm() const { return m_storedTerm; }

    /// @return the calls to make now; each is returned once
    std::vector<JournalAction> takeActions();

private:
    enum class Call { None, Read, Write };

    void sendRead(Instant now);
    void sendWrite(Instant now);
    void checkOwnWrite(const JournalReadResult &result, Instant now);
    void takeOver(const JournalReadResult &result, Instant now);
    void confirm(std::uint64_t version);

    JournalSettings m_settings;
    JournalState m_state = JournalState::Closed;
    std::uint64_t m_term = 0;
    std::uint64_t m_storedTerm = 0;
    std::uint64_t m_writeCounter = 0;
    std::uint64_t m_version = 0;  // version that the next write expects
    bool m_versionKnown = false;  // m_version may be current; false: read before the next write
    bool m_commitPending = false; // m_next is not confirmed yet
    JournalValue m_value;         // last confirmed value
    JournalValue m_next;          // value being written
    Call m_call = Call::None;     // the only call in flight
    std::uint64_t m_callId = 0;   // id of the last call
    Instant m_callTimeoutAt;      // the call in flight times out then
    Instant m_nextCallAt;         // earliest time of the next call
    std::vector<JournalAction> m_actions;
};

} // namespace burdock
