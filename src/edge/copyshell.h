// Carries out the placement: keeps the lease in the store, sends orders while it holds it.
#pragma once

#include "decide/lease.h"
#include "edge/beatlink.h"
#include "edge/nodestate.h"
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

    CopyPlacement &placement() { return m_placement; }

    /// @return whether this node may send orders now
    bool holds() const;

private:
    void carryOut(const LeaseAction &action);
    boost::asio::awaitable<void> readLease(LeaseRead action);
    boost::asio::awaitable<void> writeLease(LeaseWrite action);
    boost::asio::awaitable<void> sendOrder(SendCommand action);
    boost::asio::awaitable<void> askReport(RequestReport action);
    void noteGivenBack(const LeaseReadResult &read);
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
    bool m_wasGivenBack = false; // by another node, when this one read it last
    Instant m_ordersFrom; // on the lease's clock: the holder before has been silent long enough
};

/// The clock of leases: it also counts the time for which the machine was suspended.
Instant leaseNow();

} // namespace burdock
