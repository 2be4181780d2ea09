// Carries out what the at-most-once ledger decides, for both of its sides.
//
// Index
//   OrderDecision   what an attempt is told: run it, or the answer without a run
//   OrderShell      ledger objects in the Object API, messages, waiting attempts
#pragma once

#include "decide/ledger.h"
#include "decide/orderclient.h"
#include "net/awaitedvalue.h"
#include "net/decisionlog.h"
#include "node/fleetshell.h"
#include "platform/objectclient.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>

namespace burdock {

using OrderDecision = std::variant<RunOrder, RespondToCaller>;

class OrderShell
{
public:
    OrderShell(boost::asio::io_context &io, FleetShell &fleet, ObjectClient &objects,
               DecisionLog &log, const NodeIdentity &self);

    /// Starts an attempt and waits until it may run or has its answer.
    /// @param attempt receives the attempt's name
    boost::asio::awaitable<OrderDecision> begin(OrderKey order, std::uint64_t fingerprint,
                                                Instant giveUpAt, std::string &attempt);

    /// Reports the end of an attempt that was told to run: exactly one of these.
    void onAnswered(const std::string &attempt, RecordedAnswer answer);
    void onLost(const std::string &attempt);
    void onNotSent(const std::string &attempt);

    /// Takes a ledger message of another node.
    void onMessage(const LedgerMessage &message);

    /// The live nodes changed.
    void onLiveNodes();

    void tick();

    const Ledger &ledger() const { return m_ledger; }
    const OrderClient &client() const { return m_client; }

private:
    void carryOut();
    void send(const SendToNode &action);
    void deliver(const LedgerMessage &message);
    void decide(const std::string &attempt, OrderDecision decision);
    void logDecision(const std::string &attempt, const OrderDecision &decision);
    boost::asio::awaitable<void> readHead(ReadHead action);
    boost::asio::awaitable<void> readSegment(ReadSegment action);
    boost::asio::awaitable<void> listSegments(ListSegments action);
    boost::asio::awaitable<void> writeHead(WriteHead action);
    boost::asio::awaitable<void> createSegment(CreateSegment action);
    boost::asio::awaitable<void> deleteSegment(DeleteSegment action);

    boost::asio::io_context &m_io;
    FleetShell &m_fleet;
    ObjectClient &m_objects;
    DecisionLog &m_log;
    NodeIdentity m_self;
    Ledger m_ledger;
    OrderClient m_client;
    std::map<std::string, std::shared_ptr<AwaitedValue<OrderDecision>>> m_waiters; // by attempt
};

} // namespace burdock
