#include "control/placementshell.h"

#include "control/placementjson.h"
#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds EngineTimeout { 2'000 };

/// Fills a read answer: the object, its absence, or neither.
template <typename Answer, typename Value>
Answer readAnswer(std::uint64_t callId, const Result<StoredObject> &object,
                  std::optional<Value> (*parse)(const std::string &))
{
    Answer answer;
    answer.callId = callId;
    if (!isOk(object)) {
        answer.available = errorOf(object).code == ResultCode::PlatformNotFound;
        return answer;
    }
    auto value = parse(valueOf(object).value);
    if (!value) {
        LOG(ERROR) << "the object " << valueOf(object).key << " is not in the expected format";
        return answer;
    }
    answer.available = true;
    answer.version = valueOf(object).version;
    answer.value = std::move(*value);
    return answer;
}

} // namespace

PlacementShell::PlacementShell(asio::io_context &io, ObjectClient &objects, HttpClient &http,
                               DecisionLog &log, Metrics &metrics, PlacementSettings settings)
    : m_io(io)
    , m_objects(objects)
    , m_http(http)
    , m_log(log)
    , m_metrics(metrics)
    , m_leaseKey("lease/placement/" + settings.region)
    , m_journalKey("placement/" + settings.region)
    , m_placement(std::move(settings))
{
}

void PlacementShell::onFleet(const std::vector<std::string> &liveNodes,
                             const std::vector<VmEntry> &vms, const ServiceCatalog &catalog)
{
    std::set<std::string> modelGroups;
    for (const auto &[name, service] : catalog.services) {
        if (service.kind == ServiceKind::Models)
            modelGroups.insert(service.upstreamGroup);
    }
    std::vector<PlacementVm> engines;
    m_engines.clear();
    for (const VmEntry &vm : vms) {
        if (!modelGroups.contains(vm.group))
            continue;
        engines.push_back({ vm.name, vm.state == VmState::Leaving });
        m_engines[vm.name] = vm;
    }
    m_placement.onCatalog(catalog);
    m_placement.onControlNodes(liveNodes, steadyNow());
    m_placement.onVmList(engines, steadyNow());
}

void PlacementShell::tick()
{
    m_placement.tick(steadyNow());
    carryOut();
}

void PlacementShell::release()
{
    m_placement.release(steadyNow());
    carryOut();
}

void PlacementShell::carryOut()
{
    for (PlacementAction &action : m_placement.takeActions()) {
        if (const auto *lease = std::get_if<LeaseRead>(&action))
            asio::co_spawn(m_io, readLease(*lease), asio::detached);
        else if (const auto *leaseWrite = std::get_if<LeaseWrite>(&action))
            asio::co_spawn(m_io, writeLease(*leaseWrite), asio::detached);
        else if (const auto *journal = std::get_if<JournalRead>(&action))
            asio::co_spawn(m_io, readJournal(*journal), asio::detached);
        else if (const auto *journalWrite = std::get_if<JournalWrite>(&action))
            asio::co_spawn(m_io, writeJournal(*journalWrite), asio::detached);
        else if (const auto *order = std::get_if<SendEngineOrder>(&action))
            asio::co_spawn(m_io, sendOrder(order->order), asio::detached);
        else if (const auto *decision = std::get_if<PlacementDecision>(&action))
            logDecision(*decision);
    }
}

void PlacementShell::logDecision(const PlacementDecision &decision)
{
    DecisionLine line("place");
    line.field("order", static_cast<std::int64_t>(decision.id))
            .field("action", engineOrderKindName(decision.kind))
            .field("engine", decision.engine)
            .field("model", decision.model)
            .field("version", decision.version)
            .field("term", static_cast<std::int64_t>(decision.term))
            .field("gain", std::to_string(decision.gain))
            .field("demand", std::to_string(decision.demand))
            .field("free_mb", decision.freeMb)
            .field("config_revision", static_cast<std::int64_t>(decision.revision))
            .reason(decision.reason);
    m_log.write(line);
    m_metrics.count(std::string("burdock_placement_orders_total{action=\"")
                    + engineOrderKindName(decision.kind) + "\"}");
}

// ---- Object API ---------------------------------------------------------------------------------

asio::awaitable<void> PlacementShell::readLease(LeaseRead read)
{
    const auto object = co_await m_objects.read(m_leaseKey);
    m_placement.onLeaseRead(
            readAnswer<LeaseReadResult, LeaseValue>(read.callId, object, leaseFromJson),
            steadyNow());
    carryOut();
}

asio::awaitable<void> PlacementShell::writeLease(LeaseWrite write)
{
    const auto answer =
            co_await m_objects.write(m_leaseKey, leaseToJson(write.value), write.expectedVersion);
    m_placement.onLeaseWritten({ write.callId, answer.outcome, answer.version }, steadyNow());
    carryOut();
}

asio::awaitable<void> PlacementShell::readJournal(JournalRead read)
{
    const auto object = co_await m_objects.read(m_journalKey);
    m_placement.onJournalRead(
            readAnswer<JournalReadResult, JournalValue>(read.callId, object, journalFromJson),
            steadyNow());
    carryOut();
}

asio::awaitable<void> PlacementShell::writeJournal(JournalWrite write)
{
    const auto answer = co_await m_objects.write(m_journalKey, journalToJson(write.value),
                                                 write.expectedVersion);
    m_placement.onJournalWritten({ write.callId, answer.outcome, answer.version }, steadyNow());
    carryOut();
}

// ---- Engines ------------------------------------------------------------------------------------

asio::awaitable<std::optional<EngineState>> PlacementShell::askState(HttpSession &session,
                                                                     const VmEntry &vm)
{
    const std::uint64_t epoch = m_placement.reportEpoch();
    HttpRequest request;
    request.target = "/state";
    const auto answer = co_await session.call(request, steadyNow() + EngineTimeout);
    const auto *response = std::get_if<HttpResponse>(&answer);
    if (response == nullptr || response->head.status != 200)
        co_return std::nullopt;
    auto state = engineStateFromJson(response->body);
    if (state) {
        state->name = vm.name;
        state->group = vm.group;
        state->zone = vm.availabilityZone;
        state->epoch = epoch;
    }
    co_return state;
}

asio::awaitable<void> PlacementShell::sendOrder(EngineOrder order)
{
    const auto found = m_engines.find(order.engine);
    if (found == m_engines.end())
        co_return;
    const VmEntry vm = found->second;
    // The connection on which the engine told its incarnation does not survive a restart of it, so
    // the order reaches that start of the process or none.
    const auto session = m_http.session(vm.endpoint);
    const auto state = co_await askState(*session, vm);
    if (!state || state->incarnation != order.incarnation)
        co_return;
    // This process may have been paused since the order was decided.
    if (!m_placement.isActive(steadyNow()))
        co_return;
    HttpRequest request;
    request.method = "POST";
    request.target = "/orders";
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = orderToJson(order);
    co_await session->call(request, steadyNow() + EngineTimeout);
    co_await pollEngine(vm);
}

void PlacementShell::pollEngines()
{
    if (!m_placement.owns())
        return;
    for (const auto &[name, vm] : m_engines) {
        if (m_polling.insert(name).second)
            asio::co_spawn(m_io, pollEngine(vm), asio::detached);
    }
}

asio::awaitable<void> PlacementShell::pollEngine(VmEntry vm)
{
    const auto session = m_http.session(vm.endpoint);
    const auto state = co_await askState(*session, vm);
    m_polling.erase(vm.name);
    if (state) {
        m_placement.onEngineState(*state, steadyNow());
        carryOut();
    }
}

} // namespace burdock
