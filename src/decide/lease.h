// A lease that at most one process holds at a time, stored in one object of the Object API.
//
// Index
//   LeaseSettings                      durations and intervals
//   LeaseValue                         the stored object
//   TermsPerEra, MaxTermEra            how an era is part of a term
//   LeaseRead, LeaseWrite              actions: calls that the caller makes to the Object API
//   LeaseReadResult, LeaseWriteResult  their results
//   LeaseEvent                         lease taken, lease lost
//   Lease                              the state machine
//
// Use. Lease does no I/O. Call tick() several times a second, carry out the actions of
// takeActions(), pass each result to onRead() or onWritten(), and check holds() before every
// protected effect.
//
// How it works. The holder renews with conditional writes. A candidate takes over once it has seen
// the same object version for the whole lease time on its own clock. The holder may act until the
// hold time has passed since it SENT its last renewal that took effect. The hold time is shorter
// than the lease time, so a holder that is not suspended stops before another process can start. No
// wall clock and no clock of another machine is compared.
//
// Lost objects. A store that comes back from an older copy, or an object that was deleted, has lost
// who held the lease last, and that holder does not know yet. The lease is then free for nobody,
// its holder of before included, until the lease time has passed. Call onNewEra() as soon as
// anything shows it: the holder stops at once.
//
// Terms. An older copy has also lost the terms that were given out since, and after a power loss no
// process may be left that knows them. So the era is part of the term: all terms of an era are
// above all terms of the eras before.
//
// Limit. A process that is suspended between holds() and an effect acts late. Every effect must
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
    // A candidate may take the lease when the object has not changed for this long.
    std::chrono::milliseconds leaseTime { 9'000 };
    // The holder may act for this long after it sent its last successful write. Must be shorter
    // than leaseTime.
    std::chrono::milliseconds holdTime { 6'000 };
    std::chrono::milliseconds renewInterval { 2'000 };     // between two renewals of the holder
    std::chrono::milliseconds pollInterval { 2'000 };      // between two reads of a candidate
    std::chrono::milliseconds slowPollInterval { 60'000 }; // between two reads of any other node
    std::chrono::milliseconds responseTimeout { 3'000 };   // a call without a response times out
    std::chrono::milliseconds retryInterval { 500 };       // wait after a failed call
};

struct LeaseValue
{
    std::string holder;            // node name of the holder; empty when the lease was released
    std::uint64_t incarnation = 0; // incarnation of the writing process
    std::uint64_t term = 0;        // increases with each takeover and with each era
    std::uint64_t writeId = 0;     // number of the write among those of the writing process
    std::uint64_t era = 0;         // of the store in which it was written

    friend bool operator==(const LeaseValue &, const LeaseValue &) = default;
};

/// Terms that one era can hold. A term is written as a JSON integer, which many readers keep
/// exactly only up to 2^53; eras up to MaxTermEra fit.
constexpr std::uint64_t TermsPerEra = 10'000'000'000;
constexpr std::uint64_t MaxTermEra = 900'000;

struct LeaseRead
{
    std::uint64_t callId = 0; // to be copied into the result
};

struct LeaseWrite
{
    std::uint64_t callId = 0;          // to be copied into the result
    std::uint64_t expectedVersion = 0; // required object version; 0: create, only if absent
    LeaseValue value;                  // value to store; its era is also that of the version
};

using LeaseAction = std::variant<LeaseRead, LeaseWrite>;

struct LeaseReadResult
{
    std::uint64_t callId = 0;    // LeaseRead::callId
    bool available = false;      // false: the store did not respond, the fields below are not valid
    std::uint64_t version = 0;   // object version; 0: the object does not exist
    LeaseValue value;            // stored value
    std::uint64_t era = 0;       // of the store; rises when it comes back from an older copy
    bool hasKnownHolder = false; // whether other nodes named a holder
};

struct LeaseWriteResult
{
    std::uint64_t callId = 0;                    // LeaseWrite::callId
    WriteOutcome status = WriteOutcome::Unknown; // outcome of the conditional write
    std::uint64_t version = 0;                   // new object version; valid with Done only
};

enum class LeaseEvent {
    Taken, // this process became the holder, or it renewed under a raised term
    Lost,  // another process holds the lease, or this process released it
};

// ---- Lease --------------------------------------------------------------------------------------

class Lease
{
public:
    /// @param node name of this node; not empty
    /// @param incarnation value that differs at each start of this process
    Lease(LeaseSettings settings, std::string node, std::uint64_t incarnation);

    /// @param candidate true: read the lease at pollInterval and take it when it is free; false:
    /// only read it, at slowPollInterval
    void setCandidate(bool candidate, Instant now);

    /// Takes the result of a read. Ignores results of calls that have timed out.
    void onRead(const LeaseReadResult &result, Instant now);
    /// Takes the result of a write. Ignores results of calls that have timed out.
    void onWritten(const LeaseWriteResult &result, Instant now);
    /// Starts reads, renewals and takeovers that are due, and times out the call in flight.
    void tick(Instant now);

    /// Releases the lease; holds() is false at once. owns() stays true until the write succeeded,
    /// so keep calling tick() and carrying out the actions.
    void release(Instant now);

    /// Tells that the store is in a later era than it was: holds() is false at once. Call it once
    /// for each era, whoever has seen it.
    void onNewEra(Instant now);

    /// Makes the next renewal carry a term above `floor`. Call it when an object that this lease
    /// protects has a higher term, which happens after the lease object was deleted.
    void raiseTerm(std::uint64_t floor);

    /// @return whether this process may act now under term()
    bool holds(Instant now) const { return m_held && now < m_actUntil; }

    /// @return whether the lease object, as last seen, names this process
    bool owns() const { return m_held; }

    /// @return whether a process may have held the lease before the takeover of this one. False
    ///         only if this process created the object, and nothing showed an earlier holder.
    bool hasPredecessor() const { return m_hasPredecessor; }

    /// @return the term held; 0 when this process does not own the lease
    std::uint64_t term() const { return m_held ? m_value.term : 0; }

    /// @return the value last seen in the object
    const LeaseValue &lastSeen() const { return m_value; }

    /// @return the calls to make now; each is returned once
    std::vector<LeaseAction> takeActions();
    /// @return the events since the last call
    std::vector<LeaseEvent> takeEvents();

private:
    enum class Call { None, Read, Write };

    void sendRead(Instant now);
    void sendWrite(LeaseValue value, Instant now);
    void applyObject(std::uint64_t version, const LeaseValue &value, Instant now);
    bool isLost(const LeaseReadResult &read) const;
    void lose(Instant now);
    void setHeld(bool held);
    void scheduleRetry(Instant now);
    std::uint64_t renewalTerm() const;
    std::uint64_t takeoverTerm() const;
    std::uint64_t termFloor() const;
    bool isOwnValue(const LeaseValue &value) const;
    std::chrono::milliseconds readInterval() const;

    LeaseSettings m_settings;
    std::string m_node;
    std::uint64_t m_incarnation;
    bool m_candidate = false;
    bool m_held = false;
    bool m_releasing = false;
    std::uint64_t m_termFloor = 0;
    std::uint64_t m_version = 0;    // object version when last seen
    std::uint64_t m_era = 0;        // of the store when the object was last seen
    bool m_everRead = false;        // the object was seen at least once
    bool m_isLost = false;          // what the object said was lost, and it is not free yet
    bool m_wasLost = false;         // this was so once
    bool m_hasPredecessor = true;   // see hasPredecessor()
    Instant m_lostUntil;            // the lost lease is free from then on
    bool m_versionKnown = false;    // m_version may be current; false: read before the next write
    LeaseValue m_value;             // value of the object when last seen
    Instant m_freeAt;               // a candidate may take the lease if it is unchanged until then
    Instant m_actUntil;             // the holder stops acting then
    Instant m_nextCallAt;           // next read or renewal
    Call m_call = Call::None;       // the only call in flight
    std::uint64_t m_callId = 0;     // id of the last call
    Instant m_callTimeoutAt;        // the call in flight times out then
    LeaseValue m_pending;           // value of the last write sent
    Instant m_pendingSentAt;        // when that write was sent
    Instant m_pendingActUntil;      // m_actUntil if that write takes effect
    std::uint64_t m_writeCount = 0; // writes of this process so far
    std::vector<LeaseAction> m_actions;
    std::vector<LeaseEvent> m_events;
};

} // namespace burdock
