// Carries out placement's actions: lease and journal in the Object API, orders to engines.
#pragma once

#include "decide/placement.h"
#include "net/decisionlog.h"
#include "net/httpclient.h"
#include "net/metrics.h"
#include "platform/objectclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdock {

class PlacementShell
{
public:
    /// @param objects, http, log, metrics must outlive the shell
    PlacementShell(boost::asio::io_context &io, ObjectClient &objects, HttpClient &http,
                   DecisionLog &log, Metrics &metrics, PlacementSettings settings);

    /// Takes this node's view of the fleet.
    /// @param liveNodes nodes that run; some of them are candidates for the lease
    /// @param vms the VM list
    /// @param catalog the configuration in force
    void onFleet(const std::vector<std::string> &liveNodes, const std::vector<VmEntry> &vms,
                 const ServiceCatalog &catalog);

    /// Lets placement see the time and carries out what it decided.
    void tick();

    /// Asks every engine for its state; only the holder does.
    void pollEngines();

    /// Gives the lease back.
    void release();

    Placement &placement() { return m_placement; }

private:
    void carryOut();
    void logDecision(const PlacementDecision &decision);
    boost::asio::awaitable<void> readLease(LeaseRead read);
    boost::asio::awaitable<void> writeLease(LeaseWrite write);
    boost::asio::awaitable<void> readJournal(JournalRead read);
    boost::asio::awaitable<void> writeJournal(JournalWrite write);
    boost::asio::awaitable<void> sendOrder(EngineOrder order);
    boost::asio::awaitable<void> pollEngine(VmEntry vm);
    boost::asio::awaitable<std::optional<EngineState>> askState(HttpSession &session,
                                                                const VmEntry &vm);

    boost::asio::io_context &m_io;
    ObjectClient &m_objects;
    HttpClient &m_http;
    DecisionLog &m_log;
    Metrics &m_metrics;
    std::string m_leaseKey;
    std::string m_journalKey;
    Placement m_placement;
    std::map<std::string, VmEntry> m_engines; // by name
    std::set<std::string> m_polling;          // engines whose answer is awaited
};

} // namespace burdock
