// When a holder of the placement lease may give its first order: two holders must not take turns
// within a bound, whatever they have heard of each other.
//
// How it works. A lease that lapsed was unchanged for longer than its holder may act, and the bound
// beyond that. One that was given back, and one that a node finds in its own name after a restart,
// state for how long no other holder had given an order. Each write of the lease states that, so it
// outlives processes that are stopped or killed before their first order.
//
// Times are those of the lease's clock.
#pragma once

#include "base/instant.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace burdock {

/// @param readAt when the lease was read
/// @param idle for how long no order had been given when it was written
/// @param turn shortest time between the orders of two holders
/// @return from when on another holder may give orders
inline Instant firstOrderAfterRelease(Instant readAt, Duration idle, Duration turn)
{
    return readAt + turn - std::min(idle, turn);
}

class OrderTurn
{
public:
    enum class LeaseState {
        Free,   // given back, or of an earlier process of this node: it may be taken at once
        Lapses, // of another node, or absent: it can be taken only after the lease time
    };

    /// @param turn shortest time between the orders of two holders
    /// @param startedAt start of this process: the one before it may have given orders until then
    OrderTurn(Duration turn, Instant startedAt)
        : m_turn(turn)
        , m_ownOrderAt(startedAt)
    {
    }

    /// Takes what the lease says that was read.
    /// @param revision of the lease object, with its era; a lease that is read again says nothing
    /// new
    /// @param idle for how long no other holder had given an order when it was written
    void onLeaseRead(std::pair<std::uint64_t, std::uint64_t> revision, LeaseState state,
                     Duration idle, Instant now)
    {
        if (revision == m_readRevision)
            return;
        m_readRevision = revision;
        m_readFrom =
                state == LeaseState::Free ? firstOrderAfterRelease(now, idle, m_turn) : Instant {};
    }

    /// This node has taken the lease that it read last.
    void onTaken(Instant now) { m_ordersFrom = std::max(m_readFrom, now); }

    void onOrder(Instant now)
    {
        m_ownOrderAt = now;
        m_hasOrdered = true;
    }

    /// A replica has accepted orders, of which the lease knows nothing: an older copy of the store
    /// may have lost it with its holder.
    void onEarlierOrders(Instant now) { m_ordersFrom = std::max(m_ordersFrom, now + m_turn); }

    /// @return whether this process has given an order
    bool hasOrdered() const { return m_hasOrdered; }

    /// @return whether a holder may give orders
    bool mayOrder(Instant now) const { return now >= m_ordersFrom; }

    /// @param isHeld false: the lease is being taken
    /// @return what a lease in this node's name states: time since the last order of another holder
    Duration othersIdle(bool isHeld, Instant now) const
    {
        return idleSince((isHeld ? m_ordersFrom : std::max(m_readFrom, now)) - m_turn, now);
    }

    /// @return what a lease states that this node gives back: time since the last order of any
    Duration idle(Instant now) const
    {
        return std::min(othersIdle(true, now), idleSince(m_ownOrderAt, now));
    }

private:
    static Duration idleSince(Instant orderAt, Instant now)
    {
        return std::max<Duration>(Duration::zero(), now - orderAt);
    }

    Duration m_turn;
    Instant m_ownOrderAt; // last order of this node, or the start of its process
    bool m_hasOrdered = false;
    std::pair<std::uint64_t, std::uint64_t> m_readRevision; // of the lease that was read last
    Instant m_readFrom;   // a node that takes that lease may give orders then
    Instant m_ordersFrom; // this holder may give orders from then on
};

} // namespace burdock
