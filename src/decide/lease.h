// A lease held by one process at a time, kept in one object of the Object API.
//
// Index
//   LeaseSettings                lease time, hold time, intervals
//   LeaseValue                   what is stored
//   LeaseRead, LeaseWrite        actions
//   LeaseReadAnswer, LeaseWriteAnswer
//   LeaseEvent                   taken, lost
//   Lease                        the system
//
// How it works. The holder renews by conditional write. A candidate takes over when it has seen one
// and the same object version for the whole lease time on its own clock. The holder may act until
// the hold time has passed since it SENT its last renewal that took effect; the hold time is
// shorter than the lease time, so an unpaused holder stops before another can start. No wall clock
// and no clock of another machine is compared.
//
// What it cannot do. A process paused between holds() and an effect acts late. Every effect must
// therefore be fenced by the term: writes by conditional update, orders by their fencing number.
#pragma once

#include "base/instant.h"
#include "decide/placementtypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Types --------------------------------------------------------------------------------------

struct LeaseSettings
{
    std::chrono::milliseconds leaseTime { 9'000 };         // unchanged for this long: free to take
    std::chrono::milliseconds holdTime { 6'000 };          // the holder acts for this long
    std::chrono::milliseconds renewInterval { 2'000 };     // between renewals
    std::chrono::milliseconds pollInterval { 2'000 };      // between reads of a candidate
    std::chrono::milliseconds slowPollInterval { 60'000 }; // between reads of all other nodes
    std::chrono::milliseconds answerTimeout { 3'000 };     // then a call counts as unanswered
    std::chrono::milliseconds retryInterval { 500 };       // after a call that failed
};

struct LeaseValue
{
    std::string holder;            // node name; empty when it was given back
    std::uint64_t incarnation = 0; // the start of the holder's process
    std::uint64_t term = 0;        // grows with each takeover
    std::uint64_t writeId = 0;     // names the write among those of this process

    friend bool operator==(const LeaseValue &, const LeaseValue &) = default;
};

struct LeaseRead
{
    std::uint64_t callId = 0; // to be given back with the answer
};

struct LeaseWrite
{
    std::uint64_t callId = 0;          // to be given back with the answer
    std::uint64_t expectedVersion = 0; // 0: create, and only if absent
    LeaseValue value;                  // what to store
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

struct LeaseReadAnswer
{
    std::uint64_t callId = 0;  // of the read
    bool available = false;    // false: no answer, the rest means nothing
    std::uint64_t version = 0; // 0: the object does not exist
    LeaseValue value;          // what is stored
};

struct LeaseWriteAnswer
{
    std::uint64_t callId = 0;                    // of the write
    WriteOutcome status = WriteOutcome::Unknown; // what became of it
    std::uint64_t version = 0;                   // new version, when Done
};

enum class LeaseEvent {
    Taken, // this process became the holder, or holds under a raised term
    Lost,  // another process holds, or the lease was given back
};

// ---- System -------------------------------------------------------------------------------------

class Lease
{
public:
    /// @param node this node's name
    /// @param incarnation differs at each start of this process
    Lease(LeaseSettings settings, std::string node, std::uint64_t incarnation);

    /// @param candidate true: read the lease often and take it when it is free
    void setCandidate(bool candidate, Instant now);

    void onRead(const LeaseReadAnswer &answer, Instant now);
    void onWritten(const LeaseWriteAnswer &answer, Instant now);
    void tick(Instant now);

    /// Gives the lease back; stops acting at once.
    void release(Instant now);

    /// Makes the next renewal carry a term above `floor`. Call it when something this lease
    /// protects was found to bear a higher term, which happens when the lease object was deleted.
    void raiseTerm(std::uint64_t floor);

    /// @return whether this process may act now under term()
    bool holds(Instant now) const { return m_held && now < m_actUntil; }

    /// @return whether the lease object names this process, as far as it knows
    bool owns() const { return m_held; }

    /// @return the term held; 0 when none
    std::uint64_t term() const { return m_held ? m_value.term : 0; }

    /// @return the value last seen in the object
    const LeaseValue &lastSeen() const { return m_value; }

    std::vector<LeaseAction> takeActions();
    std::vector<LeaseEvent> takeEvents();

private:
    enum class Call { None, Read, Write };

    void sendRead(Instant now);
    void sendWrite(LeaseValue value, Instant now);
    void adopt(std::uint64_t version, const LeaseValue &value, Instant now);
    void setHeld(bool held);
    void afterFailure(Instant now);
    std::uint64_t renewalTerm() const;
    std::uint64_t takeoverTerm() const;
    bool isMine(const LeaseValue &value) const;
    std::chrono::milliseconds readInterval() const;

    LeaseSettings m_settings;
    std::string m_node;
    std::uint64_t m_incarnation;
    bool m_candidate = false;
    bool m_held = false;
    bool m_releasing = false;
    std::uint64_t m_termFloor = 0;
    std::uint64_t m_version = 0;    // of the object when last seen
    bool m_seenOnce = false;        // the object was read before
    bool m_known = false;           // no call since may have changed m_version
    LeaseValue m_value;             // of the object when last seen
    Instant m_freeAt;               // unchanged until here: may be taken
    Instant m_actUntil;             // the holder stops here
    Instant m_nextCallAt;           // next read or renewal
    Call m_call = Call::None;       // the one call in flight
    std::uint64_t m_callId = 0;     // its id
    Instant m_callTimeoutAt;        // then it counts as unanswered
    LeaseValue m_pending;           // what the write in flight stores
    Instant m_pendingSentAt;        // when it was sent
    Instant m_pendingActUntil;      // counted from when it was sent
    std::uint64_t m_writeCount = 0; // numbers this process's writes
    std::vector<LeaseAction> m_actions;
    std::vector<LeaseEvent> m_events;
};

} // namespace burdock
