#include "node/ordershell.h"

#include "base/wallclock.h"
#include "peer.pb.h"
#include "peer/ledgerwire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace burdock {

namespace asio = boost::asio;

namespace {

ObjectStatus readStatus(const Error &error)
{
    return error.code == ResultCode::PlatformNotFound ? ObjectStatus::Missing
                                                      : ObjectStatus::Unavailable;
}

ObjectStatus writeStatus(WriteOutcome outcome)
{
    switch (outcome) {
    case WriteOutcome::Done:
        return ObjectStatus::Done;
    case WriteOutcome::Conflict:
        return ObjectStatus::Conflict;
    case WriteOutcome::Unavailable:
        return ObjectStatus::Unavailable;
    case WriteOutcome::Unknown:
        return ObjectStatus::Unknown;
    }
    return ObjectStatus::Unknown;
}

std::string verdictName(OrderVerdict verdict)
{
    switch (verdict) {
    case OrderVerdict::NotRun:
        return "not-run";
    case OrderVerdict::InProgress:
        return "in-progress";
    case OrderVerdict::OutcomeUnknown:
        return "outcome-unknown";
    case OrderVerdict::Recorded:
        return "recorded-answer";
    case OrderVerdict::KeyReused:
        return "key-reused";
    }
    return "not-run";
}

std::chrono::seconds wallClock()
{
    return std::chrono::duration_cast<std::chrono::seconds>(unixTime());
}

} // namespace

OrderShell::OrderShell(asio::io_context &io, FleetShell &fleet, ObjectClient &objects,
                       DecisionLog &log, const NodeIdentity &self)
    : m_io(io)
    , m_fleet(fleet)
    , m_objects(objects)
    , m_log(log)
    , m_self(self)
    , m_ledger(self, LedgerSettings {})
    , m_client(self, OrderClientSettings {})
{
}

// ---- Attempts -----------------------------------------------------------------------------------

asio::awaitable<OrderDecision> OrderShell::begin(OrderKey order, std::uint64_t fingerprint,
                                                 Instant giveUpAt, std::string &attempt)
{
    attempt = m_client.begin(order, fingerprint, giveUpAt, steadyNow());
    const auto waiter = std::make_shared<AwaitedValue<OrderDecision>>(m_io);
    m_waiters[attempt] = waiter;
    carryOut();
    OrderDecision decision = co_await waiter->take();
    m_waiters.erase(attempt);
    co_return decision;
}

void OrderShell::onAnswered(const std::string &attempt, RecordedAnswer answer)
{
    m_client.onAnswered(attempt, std::move(answer), steadyNow());
    carryOut();
}

void OrderShell::onLost(const std::string &attempt)
{
    m_client.onLost(attempt, steadyNow());
    carryOut();
}

void OrderShell::onNotSent(const std::string &attempt)
{
    m_client.onNotSent(attempt);
    carryOut();
}

void OrderShell::decide(const std::string &attempt, OrderDecision decision)
{
    logDecision(attempt, decision);
    const auto found = m_waiters.find(attempt);
    if (found == m_waiters.end())
        return;
    found->second->set(std::move(decision));
}

void OrderShell::logDecision(const std::string &attempt, const OrderDecision &decision)
{
    DecisionLine line("order");
    line.field("attempt", attempt);
    if (const auto *run = std::get_if<RunOrder>(&decision)) {
        line.field("service", run->order.service).field("key", run->order.key);
        line.field("verdict", "run").reason("granted by the ledger");
    } else {
        const auto &answer = std::get<RespondToCaller>(decision);
        line.field("verdict", verdictName(answer.verdict))
                .field("retry_after_ms", answer.retryAfter.count())
                .reason("answered without a run");
    }
    m_log.write(line);
}

// ---- Events -------------------------------------------------------------------------------------

void OrderShell::onMessage(const LedgerMessage &message)
{
    deliver(message);
    carryOut();
}

void OrderShell::deliver(const LedgerMessage &message)
{
    const Instant now = steadyNow();
    if (const auto *admit = std::get_if<Admit>(&message))
        m_ledger.onAdmit(*admit, now);
    else if (const auto *outcome = std::get_if<Outcome>(&message))
        m_ledger.onOutcome(*outcome, now);
    else if (const auto *release = std::get_if<Release>(&message))
        m_ledger.onRelease(*release, now);
    else
        m_client.onMessage(message, now);
}

void OrderShell::onLiveNodes()
{
    std::vector<NodeIdentity> live;
    for (const auto &[name, row] : m_fleet.membership().members()) {
        if (!isRunning(row))
            continue;
        live.push_back({ name, processOf(row.incarnation) });
    }
    m_ledger.onLiveNodes(live, steadyNow());
    m_client.onLiveNodes(live, steadyNow());
    carryOut();
}

void OrderShell::tick()
{
    m_ledger.tick(steadyNow(), wallClock());
    m_client.tick(steadyNow());
    carryOut();
}

// ---- Actions ------------------------------------------------------------------------------------

void OrderShell::carryOut()
{
    bool more = true;
    while (more) {
        more = false;
        for (OrderAction &action : m_client.takeActions()) {
            more = true;
            if (const auto *message = std::get_if<SendToNode>(&action))
                send(*message);
            else if (auto *run = std::get_if<RunOrder>(&action))
                decide(run->attempt, *run);
            else if (auto *answer = std::get_if<RespondToCaller>(&action))
                decide(answer->attempt, *answer);
        }
        for (LedgerAction &action : m_ledger.takeActions()) {
            more = true;
            if (const auto *message = std::get_if<SendToNode>(&action))
                send(*message);
            else if (const auto *head = std::get_if<ReadHead>(&action))
                asio::co_spawn(m_io, readHead(*head), asio::detached);
            else if (const auto *segment = std::get_if<ReadSegment>(&action))
                asio::co_spawn(m_io, readSegment(*segment), asio::detached);
            else if (const auto *list = std::get_if<ListSegments>(&action))
                asio::co_spawn(m_io, listSegments(*list), asio::detached);
            else if (auto *write = std::get_if<WriteHead>(&action))
                asio::co_spawn(m_io, writeHead(std::move(*write)), asio::detached);
            else if (auto *create = std::get_if<CreateSegment>(&action))
                asio::co_spawn(m_io, createSegment(std::move(*create)), asio::detached);
            else if (const auto *removal = std::get_if<DeleteSegment>(&action))
                asio::co_spawn(m_io, deleteSegment(*removal), asio::detached);
        }
    }
}

void OrderShell::send(const SendToNode &action)
{
    if (action.node == m_self.node) {
        deliver(action.message);
        return;
    }
    wire::PeerMessage message;
    toWire(action.message, *message.mutable_ledger());
    m_fleet.sendTo(action.node, message);
}

asio::awaitable<void> OrderShell::readHead(ReadHead action)
{
    const auto object = co_await m_objects.read(action.name);
    ObjectStatus status = ObjectStatus::Done;
    std::uint64_t version = 0;
    LedgerHead head;
    if (!isOk(object)) {
        status = readStatus(errorOf(object));
    } else if (auto parsed = parseLedgerHead(valueOf(object).value)) {
        head = std::move(*parsed);
        version = valueOf(object).version;
    } else {
        LOG(ERROR) << "the object " << action.name << " is not a ledger head";
        status = ObjectStatus::Unavailable;
    }
    m_ledger.onHead(action.call, action.shard, status, version, head, steadyNow());
    carryOut();
}

asio::awaitable<void> OrderShell::readSegment(ReadSegment action)
{
    const auto object = co_await m_objects.read(action.name);
    ObjectStatus status = ObjectStatus::Done;
    std::vector<LedgerRecord> records;
    if (!isOk(object)) {
        status = readStatus(errorOf(object));
    } else if (auto parsed = parseLedgerSegment(valueOf(object).value)) {
        records = std::move(*parsed);
    } else {
        LOG(ERROR) << "the object " << action.name << " is not a ledger segment";
        status = ObjectStatus::Unavailable;
    }
    m_ledger.onSegment(action.call, action.shard, status, records, steadyNow());
    carryOut();
}

asio::awaitable<void> OrderShell::listSegments(ListSegments action)
{
    const auto listed = co_await m_objects.list(action.prefix);
    std::vector<std::string> names;
    if (isOk(listed)) {
        for (const ObjectChange &object : valueOf(listed))
            names.push_back(object.key);
    }
    const ObjectStatus status = isOk(listed) ? ObjectStatus::Done : ObjectStatus::Unavailable;
    m_ledger.onSegmentList(action.call, action.shard, status, names, steadyNow());
    carryOut();
}

asio::awaitable<void> OrderShell::writeHead(WriteHead action)
{
    const auto answer = co_await m_objects.write(action.name, ledgerHeadBytes(action.head),
                                                 action.expectedVersion);
    m_ledger.onWritten(action.call, action.shard, writeStatus(answer.outcome), answer.version,
                       steadyNow());
    carryOut();
}

asio::awaitable<void> OrderShell::createSegment(CreateSegment action)
{
    const auto answer =
            co_await m_objects.write(action.name, ledgerSegmentBytes(action.records), 0);
    m_ledger.onWritten(action.call, action.shard, writeStatus(answer.outcome), answer.version,
                       steadyNow());
    carryOut();
}

asio::awaitable<void> OrderShell::deleteSegment(DeleteSegment action)
{
    const auto object = co_await m_objects.read(action.name);
    if (isOk(object))
        co_await m_objects.remove(action.name, valueOf(object).version);
}

} // namespace burdock
