#include "edge/copyshell.h"

#include "base/text.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <ctime>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr const char *LeaseName = "placement";

/// Nodes that watch the lease closely, to take it over; all others hear of the holder.
constexpr std::size_t Candidates = 2;

/// After its start a node first hears who else is there; before, every node would be a candidate.
constexpr std::chrono::milliseconds CandidateAfter { 2'000 };

/// A plan looks at every model and replica. On a small VM of a large fleet it takes long; then it
/// is made less often, so that the node keeps time for its lease, its orders and its callers.
constexpr std::chrono::milliseconds PlanInterval { 50 };
constexpr int PlanPauseFactor = 5; // pause after a plan, in units of the time that it took

/// Of the loads beyond the store's rate that its limit allows; the rest is the margin for orders
/// that are delayed on their way.
constexpr double UsedBurstShare = 0.5;

/// A node's processes take over from each other: orders of one node are those of one holder.
constexpr std::uint64_t NodeIncarnation = 1;

constexpr std::chrono::milliseconds OrderDeadline { 600 }; // as CopyPlacementSettings::orderTimeout

constexpr std::uint64_t MaxIdleMs = 60'000; // that a released lease may state; far beyond any turn

/// Beyond the lease time between the orders of two holders: an order's way.
constexpr std::chrono::milliseconds TurnMargin { 500 };

LeaseSettings leaseSettings(const ServingBounds &bounds)
{
    LeaseSettings settings;
    settings.holdTime = std::chrono::milliseconds(1'800); // two renewals and a lost answer
    // The next holder's first order comes this much after the last one of the holder before it: the
    // bound, and the time that an order may take on its way.
    settings.leaseTime = settings.holdTime + bounds.leaseTime + TurnMargin;
    settings.renewInterval = std::chrono::milliseconds(700);
    settings.pollInterval = std::chrono::milliseconds(900);
    settings.responseTimeout = std::chrono::milliseconds(600); // a slow store takes some hundred
    settings.retryInterval = std::chrono::milliseconds(300);
    return settings;
}

CopyPlacementSettings placementSettings(const NodeProfile &profile)
{
    CopyPlacementSettings settings;
    settings.node = profile.name;
    const double allowed = profile.bounds.loadBurstFactor - 1.0;
    const auto window = double(Duration(profile.bounds.ceilingWindow).count());
    settings.loadBurstTime =
            Duration(static_cast<Duration::rep>(std::max(0.0, allowed) * window * UsedBurstShare));
    return settings;
}

json::value leaseToJson(const LeaseValue &value)
{
    return { { "holder", value.holder },
             { "incarnation", value.incarnation },
             { "term", value.term },
             { "write", value.writeId },
             { "era", value.era } };
}

std::uint64_t numberIn(const json::value &value, const char *name)
{
    const auto *object = value.if_object();
    const auto *member = object == nullptr ? nullptr : object->if_contains(name);
    boost::system::error_code failure;
    const auto number = member == nullptr ? 0 : member->to_number<std::uint64_t>(failure);
    return failure ? 0 : number;
}

LeaseValue leaseFromJson(const json::value &value)
{
    LeaseValue lease;
    const auto *object = value.if_object();
    const auto *holder = object == nullptr ? nullptr : object->if_contains("holder");
    if (holder != nullptr && holder->is_string())
        lease.holder = holder->get_string();
    lease.incarnation = numberIn(value, "incarnation");
    lease.term = numberIn(value, "term");
    lease.writeId = numberIn(value, "write");
    lease.era = numberIn(value, "era");
    return lease;
}

} // namespace

Instant leaseNow()
{
    timespec now {};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return Instant(std::chrono::seconds(now.tv_sec)
                   + std::chrono::duration_cast<Duration>(std::chrono::nanoseconds(now.tv_nsec)));
}

CopyShell::CopyShell(NodeState &state, BeatLink &link)
    : m_state(state)
    , m_link(link)
    , m_lease(leaseSettings(state.profile.bounds), state.profile.name, NodeIncarnation)
    , m_placement(placementSettings(state.profile))
    , m_candidateFrom(steadyNow() + CandidateAfter)
    , m_turn(state.profile.bounds.leaseTime + TurnMargin, leaseNow())
{
}

bool CopyShell::holds() const
{
    const Instant now = leaseNow();
    return m_lease.holds(now) && m_turn.mayOrder(now) && !m_state.leaving;
}

void CopyShell::release()
{
    m_lease.release(leaseNow());
    tickLease();
}

void CopyShell::onCopyRequest(const WantNote &want)
{
    if (!holds())
        return;
    m_placement.onCopyRequest(want.service, want.model, want.adapter, steadyNow(), want.waited);
    tickPlacement();
}

void CopyShell::onDemand(const std::string &node, const std::vector<CopyDemand> &demand)
{
    m_placement.onDemand(node, demand, steadyNow());
}

// ---- Lease --------------------------------------------------------------------------------------

void CopyShell::noteEra(std::uint64_t era)
{
    const bool isLater = m_storeEra != 0 && era > m_storeEra;
    m_storeEra = std::max(m_storeEra, era);
    if (!isLater)
        return;
    m_state.log.line("store_era").field("era", era).field("held", m_lease.owns() ? "yes" : "no");
    m_placement.onSourceReverted(steadyNow());
    m_lease.onNewEra(leaseNow());
    tickLease();
}

void CopyShell::tick()
{
    tickLease();
    tickPlacement();
}

void CopyShell::tickLease()
{
    const Instant now = leaseNow();
    if (!m_state.leaving && steadyNow() >= m_candidateFrom) {
        const auto first = m_state.directory.leaseCandidates(Candidates, steadyNow());
        m_lease.setCandidate(contains(first, m_state.profile.name) || m_lease.owns(), now);
    }
    // A store that came back from an older copy may have lost terms that orders were given under.
    if (!m_lease.owns())
        m_lease.raiseTerm(m_state.directory.holder().term);
    m_lease.tick(now);
    for (const LeaseAction &action : m_lease.takeActions())
        carryOut(action);
    for (const LeaseEvent event : m_lease.takeEvents()) {
        if (event == LeaseEvent::Taken)
            m_turn.onTaken(now);
        m_state.log.line("lease")
                .field("change", event == LeaseEvent::Taken ? "taken" : "lost")
                .field("term", m_lease.term())
                .field("holder", m_lease.lastSeen().holder);
    }
    const bool holder = holds();
    if (m_lease.holds(now))
        m_state.directory.setHolder({ m_state.profile.name, m_state.profile.ip, m_lease.term() });
    if (holder != m_wasHolder) {
        m_wasHolder = holder;
        m_state.log.line("placement_holder")
                .field("holds", holder ? "yes" : "no")
                .field("term", m_lease.term());
        m_placement.setHolder(holder, m_lease.term(),
                              m_lease.hasPredecessor() || m_hasEarlierOrders, steadyNow());
    }
}

void CopyShell::carryOut(const LeaseAction &action)
{
    if (const auto *read = std::get_if<LeaseRead>(&action))
        asio::co_spawn(m_state.io, readLease(*read), asio::detached);
    else
        asio::co_spawn(m_state.io, writeLease(std::get<LeaseWrite>(action)), asio::detached);
}

asio::awaitable<void> CopyShell::readLease(LeaseRead action)
{
    const ReadAnswer answer = co_await m_state.ports.store.read(ObjectKind::Leases, LeaseName);
    LeaseReadResult read;
    read.callId = action.callId;
    Duration idle {}; // see OrderTurn
    read.hasKnownHolder = !m_state.directory.holder().name.empty();
    if (const auto *item = std::get_if<StoredItem>(&answer)) {
        read.available = true;
        read.era = item->revision.era;
        read.version = item->revision.number;
        read.value = leaseFromJson(item->content);
        idle = std::chrono::milliseconds(
                std::min<std::uint64_t>(numberIn(item->content, "idle_ms"), MaxIdleMs));
        // Taken over like one that was given back: the next write gives it a readable value.
        if (read.version != 0 && read.value.term == 0)
            m_state.log.line("lease_unreadable").field("revision", read.version);
    }
    noteEra(read.era);
    noteTurn(read, idle);
    m_lease.onRead(read, leaseNow());
    tickLease();
}

asio::awaitable<void> CopyShell::writeLease(LeaseWrite action)
{
    json::value content = leaseToJson(action.value);
    const Instant now = leaseNow();
    const Duration idle =
            action.value.holder.empty() ? m_turn.idle(now) : m_turn.othersIdle(m_lease.owns(), now);
    content.as_object()["idle_ms"] =
            std::chrono::duration_cast<std::chrono::milliseconds>(idle).count();
    const StoreWriteAnswer answer = co_await m_state.ports.store.write(
            ObjectKind::Leases, LeaseName, { action.value.era, action.expectedVersion },
            std::move(content));
    if (answer.outcome != WriteOutcome::Done)
        m_state.log.line("lease_write_failed")
                .field("term", action.value.term)
                .field("era", action.value.era)
                .field("expected_revision", action.expectedVersion)
                .field("failure", answer.message);
    m_lease.onWritten({ action.callId, answer.outcome, answer.revision.number }, leaseNow());
    tickLease();
}

void CopyShell::noteTurn(const LeaseReadResult &read, Duration idle)
{
    if (!read.available)
        return;
    const bool isOwn = read.value.holder == m_state.profile.name;
    const bool isFree = read.version != 0 && (isOwn || read.value.holder.empty());
    m_turn.onLeaseRead({ read.era, read.version },
                       isFree ? OrderTurn::LeaseState::Free : OrderTurn::LeaseState::Lapses, idle,
                       leaseNow());
}

// ---- Orders -------------------------------------------------------------------------------------

void CopyShell::tickPlacement()
{
    const Instant now = steadyNow();
    if (now >= m_nextPlan) {
        m_placement.tick(now);
        const Instant planned = steadyNow();
        m_nextPlan =
                std::max<Instant>(now + PlanInterval, planned + PlanPauseFactor * (planned - now));
    }
    for (PlacingAction &action : m_placement.takeActions()) {
        if (auto *send = std::get_if<SendCommand>(&action)) {
            asio::co_spawn(m_state.io, sendOrder(std::move(*send)), asio::detached);
        } else if (auto *ask = std::get_if<RequestReport>(&action)) {
            asio::co_spawn(m_state.io, askReport(std::move(*ask)), asio::detached);
        } else if (const auto *unplaced = std::get_if<NoteUnplaced>(&action)) {
            m_state.log.line("unplaced")
                    .field("service", unplaced->service)
                    .field("copy", unplaced->copy)
                    .field("reason", unplaced->reason)
                    .field("demand", unplaced->demand)
                    .field("replicas", unplaced->replicas)
                    .field("for_ms", unplaced->unplacedFor);
        } else {
            const auto &change = std::get<AnnounceCopyChange>(action);
            const CopyNote note { change.replica, change.copy, change.change,
                                  std::chrono::duration_cast<std::chrono::milliseconds>(
                                          change.usableIn) };
            m_link.send(note, m_state.directory.ingressAddresses(steadyNow()));
            m_state.takeCopyChange(change);
        }
    }
}

/// @return whether a command may go to the replica now; it is then counted
bool CopyShell::mayCommand(const std::string &replica, CommandKind kind)
{
    const Instant now = steadyNow();
    RequestLimits &limits = m_state.replicas.limits();
    if (m_state.replicas.isPaused(replica, now) || !limits.mayCommand(replica, kind, now))
        return false;
    limits.onCommand(replica, kind, now);
    return true;
}

SignalSource CopyShell::signalSource(const std::string &replica) const
{
    const ReplicaRow *row = m_state.replicas.find(replica);
    if (row == nullptr)
        return {};
    return { replica, row->info.startedMs, steadyNow(), "" };
}

void CopyShell::takeSignals(const ReplicaSignals &signals, const SignalSource &source)
{
    if (source.replica.empty())
        return; // it was no longer listed when the command was sent
    if (const auto note = m_state.takeSignals(signals, source))
        m_link.send(*note, m_state.directory.ingressAddresses(steadyNow()));
}

/// Asks at the last moment whether this node still holds the lease that an order was decided under.
/// Only its time keeps two holders apart where replicas do not check fencing tokens.
class CopyShell::OrderCheck : public SendCheck
{
public:
    OrderCheck(CopyShell &shell, std::uint64_t term)
        : m_shell(shell)
        , m_term(term)
    {
    }

    bool mayStillSend() override
    {
        m_shell.noteEra(m_shell.m_state.ports.store.latestEra());
        if (!m_shell.holds() || m_shell.m_lease.term() != m_term)
            return false;
        m_shell.m_turn.onOrder(leaseNow());
        return true;
    }

private:
    CopyShell &m_shell;
    std::uint64_t m_term;
};

asio::awaitable<void> CopyShell::sendOrder(SendCommand action)
{
    const auto endpoint = parseEndpoint(action.address);
    OrderAnswer answer { OrderResult::Conflict, {} }; // nothing was sent
    const SignalSource source = signalSource(action.command.replica);
    OrderCheck check(*this, action.command.term);
    if (isOk(endpoint) && holds() && mayCommand(action.command.replica, CommandKind::Order))
        answer = co_await m_state.ports.engines.order(valueOf(endpoint), action.command,
                                                      steadyNow() + OrderDeadline, check);
    m_state.log.line("order")
            .field("replica", action.command.replica)
            .field("operation", action.command.load ? "load" : "unload")
            .field("copy", copyName(action.command.model, action.command.adapter))
            .field("reason", action.reason)
            .field("after_orders", action.command.ordersAccepted)
            .field("term", action.command.term)
            .field("demand", action.demand)
            .field("copies", action.copies)
            .field("answer", orderResultName(answer.result));
    m_state.metrics.count("burdock_orders_total");
    takeSignals(answer.signals, source);
    m_placement.onOrderResult(action.command, answer.result, steadyNow());
    tickPlacement();
}

asio::awaitable<void> CopyShell::askReport(RequestReport action)
{
    const auto endpoint = parseEndpoint(action.address);
    ReportAnswer answer;
    const SignalSource source = signalSource(action.replica);
    if (isOk(endpoint) && mayCommand(action.replica, CommandKind::Report))
        answer = co_await m_state.ports.engines.report(valueOf(endpoint), action.replica,
                                                       steadyNow() + OrderDeadline);
    m_state.log.line("report")
            .field("replica", action.replica)
            .field("answered", answer.report ? "yes" : "no")
            .field("orders", answer.report ? answer.report->ordersAccepted : 0);
    takeSignals(answer.signals, source);
    noteEarlierOrders(answer);
    m_placement.onReport(action.replica, answer.report, steadyNow());
    tickLease();
}

/// A node that found no lease and heard of no holder took itself for the first one.
void CopyShell::noteEarlierOrders(const ReportAnswer &answer)
{
    const bool isFirst = !m_lease.hasPredecessor() && !m_hasEarlierOrders;
    if (!isFirst || m_turn.hasOrdered() || !answer.report || answer.report->ordersAccepted == 0)
        return;
    m_hasEarlierOrders = true;
    m_turn.onEarlierOrders(leaseNow());
    m_state.log.line("earlier_orders").field("orders", answer.report->ordersAccepted);
}

} // namespace burdock
