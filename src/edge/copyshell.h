// Carries out the placement: keeps the lease in the store, sends orders while it holds it.
#pragma once

#include "decide/lease.h"
#include "edge/beatlink.h"
#include "edge/nodestate.h"
#include "edge/orderturn.h"
#include "placing/copyplacement.h"

namespace burdock {

class CopyShell
{
public:
    /// @param state, link must outlive the shell
    CopyShell(NodeState &state, BeatLink &link);

    /// Lets the lease and the placement see the time. Call it about ten times a second.
    void tick();

    /// Gives the lease back, for a planned stop.
    void release();

    /// Takes a want of this node or another. A node that does not hold the lease drops it.
    void onCopyRequest(const WantNote &want);

    void onDemand(const std::string &node, const std::vector<CopyDemand> &demand);

    /// Takes the era of the store that an answer or another node has named. A later one than before
    /// ends the lease at once: the store has lost who holds it, and lists older copies.
    /// @param era 0: none was named
    void noteEra(std::uint64_t era);

    /// @return the latest era noted; 0: none
    std::uint64_t storeEra() const { return m_storeEra; }

    CopyPlacement &placement() { return m_placement; }

    /// @return whether this node may send orders now
    bool holds() const;

private:
    class OrderCheck;

    void carryOut(const LeaseAction &action);
    boost::asio::awaitable<void> readLease(LeaseRead action);
    boost::asio::awaitable<void> writeLease(LeaseWrite action);
    boost::asio::awaitable<void> sendOrder(SendCommand action);
    boost::asio::awaitable<void> askReport(RequestReport action);
    void noteEarlierOrders(const ReportAnswer &answer);
    void noteTurn(const LeaseReadResult &read, Duration idle);
    bool mayCommand(const std::string &replica, CommandKind kind);
    SignalSource signalSource(const std::string &replica) const;
    void takeSignals(const ReplicaSignals &signals, const SignalSource &source);
    void tickLease();
    void tickPlacement();

    NodeState &m_state;
    BeatLink &m_link;
    Lease m_lease;
    CopyPlacement m_placement;
    Instant m_candidateFrom;
    Instant m_nextPlan; // plans are not made more often
    bool m_wasHolder = false;
    std::uint64_t m_storeEra = 0; // latest noted; 0: none
    OrderTurn m_turn;
    bool m_hasEarlierOrders = false; // replicas have accepted orders before this first lease
};

/// The clock of leases: it also counts the time for which the machine was suspended.
Instant leaseNow();

} // namespace burdock
