#include "edge/nodestate.h"

#include "base/hashing.h"
#include "base/wallclock.h"
#include "edge/requestflow.h"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <random>

namespace burdock {

namespace {

/// Replicas of one region answer a connection within milliseconds; a lost packet costs a second.
constexpr std::chrono::milliseconds ReplicaConnectTimeout { 350 };
/// Replicas that close idle connections sooner say so in whole seconds, if there are any.
constexpr std::chrono::milliseconds ReplicaIdleLimit { 4'000 };
/// Sent data or probes without acknowledgement: the connection is dead.
constexpr std::chrono::milliseconds ReplicaSilence { 3'000 };

/// Share of the fleet's budget that nodes spend; the rest covers nodes that are counted late.
constexpr double BudgetShare = 0.6;
constexpr double NodeBudgetLeast = 1.0;
constexpr double NodeBudgetMost = 6.0;

/// @return the shortest of the longest pauses that the service's streams may have; zero: none is
/// set
std::chrono::milliseconds longestPause(const ServingConfig &config, const std::string &service)
{
    std::chrono::milliseconds shortest { 0 };
    for (const ServingRoute &route : config.routes) {
        const bool serves =
                std::any_of(route.targets.begin(), route.targets.end(),
                            [&](const auto &target) { return target.service == service; });
        if (!serves || !route.streams || route.gapObjective.count() <= 0)
            continue;
        shortest =
                shortest.count() == 0 ? route.gapObjective : std::min(shortest, route.gapObjective);
    }
    return shortest;
}

/// @return a number that callers cannot know
std::uint64_t secretSeed()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

QuotaLedgerSettings quotaSettings(const ServingBounds &bounds)
{
    QuotaLedgerSettings settings;
    settings.window = bounds.quotaWindow;
    return settings;
}

ChooserSettings chooserSettings(const NodeProfile &profile)
{
    ChooserSettings settings;
    settings.zone = profile.zone;
    return settings;
}

} // namespace

// ---- Demand -------------------------------------------------------------------------------------

void CopyDemandMeter::count(const std::string &service, const std::string &model,
                            const std::string &adapter, int tokens)
{
    const auto add = [&](const std::string &name) {
        Row &row = m_rows[service + "/" + copyName(model, name)];
        if (row.model.empty()) {
            row.service = service;
            row.model = model;
            row.adapter = name;
        }
        row.counted += tokens;
    };
    add("");
    if (!adapter.empty())
        add(adapter);
}

void CopyDemandMeter::update(Duration elapsed)
{
    constexpr double TimeConstant = 1.2; // seconds; demand moves to other models within a few
    constexpr double Negligible = 1.0;   // tokens a second
    const double seconds = std::max(0.001, double(elapsed.count()) / 1e6);
    const double weight = 1.0 - std::exp(-seconds / TimeConstant);
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        Row &row = each->second;
        row.perSecond += weight * (row.counted / seconds - row.perSecond);
        row.counted = 0.0;
        each = row.perSecond < Negligible ? m_rows.erase(each) : std::next(each);
    }
}

// ---- State --------------------------------------------------------------------------------------

namespace {

/// Of the VM's memory, whole answers may hold this share: on the smallest VMs (120 MB), one answer
/// of the greatest length that is taken (16 MB).
constexpr double AnswerMemoryShare = 0.15;

BodyMemoryLimits answerLimits(const VmLimits &vm)
{
    constexpr double BytesPerMb = 1024.0 * 1024.0;
    BodyMemoryLimits limits;
    if (vm.memoryMb > 0.0)
        limits.maxBytesOfAll =
                std::min(limits.maxBytesOfAll,
                         static_cast<std::size_t>(AnswerMemoryShare * BytesPerMb * vm.memoryMb));
    limits.maxBytes = std::min(limits.maxBytes, limits.maxBytesOfAll);
    return limits;
}

} // namespace

NodeState::NodeState(boost::asio::io_context &context, NodeProfile nodeProfile,
                     PlatformPorts platform)
    : io(context)
    , profile(std::move(nodeProfile))
    , ports(platform)
    , started(static_cast<std::uint64_t>(unixTime().count()))
    , log(STDOUT_FILENO, profile.name)
    , replicasHttp(io, { ReplicaConnectTimeout, ReplicaIdleLimit, ReplicaSilence })
    , config(std::make_shared<ServingConfig>())
    , routes(std::make_unique<RouteTable>(config))
    , ranks(std::make_unique<RankTable>(*config))
    , keySeed(secretSeed())
    , quotas(profile.name, started, quotaSettings(profile.bounds))
    , chooser(replicas, chooserSettings(profile), hashText(profile.name) ^ started)
    , scheduler(replicas, chooser)
    , waiting(io, scheduler)
    , suspects(io, replicasHttp, *this)
    , directory({ profile.name, profile.ip, profile.zone, requestCapacity(profile.limits) }, {},
                hashText(profile.name) + started)
    , random(hashText(profile.ip) ^ started)
    , answerMemory(answerLimits(profile.limits))
{
    chooser.setConnections(*this);
}

RetryBudget &NodeState::budgetOf(const std::string &service)
{
    const double nodes = double(std::max<std::size_t>(directory.nodeCount(), 2));
    const double maxTokens = std::clamp(BudgetShare * profile.bounds.retrySlack / nodes,
                                        NodeBudgetLeast, NodeBudgetMost);
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end()) {
        found->second.setMaxTokens(maxTokens);
        return found->second;
    }
    RetryBudgetSettings settings;
    settings.tokensPerSuccess = BudgetShare * profile.bounds.retryRatio;
    settings.maxTokens = maxTokens;
    settings.initialTokens = maxTokens / 2.0; // restarts hand out this much anew
    return m_budgets.emplace(service, RetryBudget(settings)).first->second;
}

std::optional<LimitNote> NodeState::takeSignals(const ReplicaSignals &signals,
                                                const SignalSource &source)
{
    const Instant now = steadyNow();
    const Instant drainedAt = now + Duration(profile.bounds.drainTime);
    if (signals.leaving && replicas.onLeaving(source.replica, source.startedMs, drainedAt, now)) {
        log.line("replica_leaving")
                .field("request", source.request)
                .field("replica", source.replica)
                .field("listed", replicas.find(source.replica) == nullptr ? "no" : "yes")
                .field("drained_in_ms", drainedAt - now);
        if (onReplicaLeaving)
            onReplicaLeaving(source.replica, source.startedMs);
    }
    takePause(signals, source);
    return takeLimit(signals, source);
}

void NodeState::takePause(const ReplicaSignals &signals, const SignalSource &source)
{
    if (!signals.pause && signals.malformedPause.empty())
        return;
    const Instant now = steadyNow();
    const auto asked = signals.pause.value_or(std::chrono::milliseconds(0));
    const Instant until = replicas.onPauseRequested(source.replica, source.startedMs, asked, now);
    log.line("pause")
            .field("request", source.request)
            .field("replica", source.replica)
            .field("asked_ms", std::int64_t(asked.count()))
            .field("malformed", signals.malformedPause)
            .field("paused_ms", std::max<Duration>(Duration::zero(), until - now));
}

std::optional<LimitNote> NodeState::takeLimit(const ReplicaSignals &signals,
                                              const SignalSource &source)
{
    if (!signals.requestLimit && !signals.malformedLimit.empty()) {
        log.line("request_limit")
                .field("request", source.request)
                .field("replica", source.replica)
                .field("malformed", signals.malformedLimit);
        return std::nullopt; // what cannot be read does not lift a limit
    }
    // Only answers to requests show that a limit was lifted.
    if (!signals.requestLimit && source.request.empty())
        return std::nullopt;
    const Instant now = steadyNow();
    const LimitChange change = replicas.limits().onAnswer(source.replica, source.startedMs,
                                                          signals.requestLimit, source.sentAt, now);
    if (change.isNew)
        logLimit(source.replica, signals.requestLimit, source.request);
    return change.note;
}

void NodeState::takeLimitNote(const LimitNote &note)
{
    if (replicas.limits().onNote(note, steadyNow()))
        logLimit(note.replica, note.limit, "");
}

void NodeState::logLimit(const std::string &replica, std::optional<double> limit,
                         const std::string &request)
{
    log.line("request_limit")
            .field("request", request)
            .field("replica", replica)
            .field("limit", limit ? std::to_string(*limit) : "lifted")
            .field("share", replicas.limits().share(replica, steadyNow()).value_or(-1.0));
}

// ---- Replicas -----------------------------------------------------------------------------------

void NodeState::removeReplica(const std::string &id, Instant storeReturnedAt, const char *reason)
{
    const ReplicaRow *row = replicas.find(id);
    if (row == nullptr)
        return;
    const std::uint64_t generation = row->generation;
    replicas.onDelisted(id, storeReturnedAt, steadyNow());
    if (replicas.find(id) == nullptr)
        forgetReplica(id, generation, reason);
}

void NodeState::forgetReplica(const std::string &id, std::uint64_t generation, const char *reason)
{
    log.line("replica_gone").field("replica", id).field("reason", reason);
    suspects.onDelisted(id);
    chooser.onReplicaRemoved(generation);
    if (onReplicaForgotten)
        onReplicaForgotten(id);
}

bool NodeState::hasIdleConnection(const std::string &address) const
{
    const auto endpoint = parseEndpoint(address);
    return isOk(endpoint) && replicasHttp.hasIdleConnection(valueOf(endpoint));
}

// ---- Suspects -----------------------------------------------------------------------------------

bool NodeState::isOwner(std::uint64_t key, Instant now) const
{
    if (directory.isCutOff(now))
        return false;
    const auto order = rendezvousOrder(hashToHex(key), directory.senderCandidates(now));
    return !order.empty() && order.front() == profile.name;
}

void NodeState::sendSuspectNotes(const std::vector<SuspectNote> &notes, bool toAll)
{
    if (onSuspectNotes)
        onSuspectNotes(notes, toAll);
}

void NodeState::onRefusalsChanged()
{
    refuseSuspects(*this);
}

void NodeState::logVerdict(const RunVerdict &verdict)
{
    static constexpr const char *Fates[] = { "ended", "alive", "unknown" };
    const BrokenRun &broken = verdict.run;
    log.line("connection_ended")
            .field("request", broken.request)
            .field("replica", broken.replica)
            .field("started_ms", broken.startedMs)
            .field("answered", broken.isAnswered ? "yes" : "no")
            .field("replica_is", Fates[static_cast<std::size_t>(verdict.fate)])
            .field("reason", verdict.reason)
            .field("keys", keysText(broken.run.keys));
}

void NodeState::logSuspect(const SuspectNote &note, bool isRefused, const char *source)
{
    log.line("suspect")
            .field("key", hashToHex(note.key.id))
            .field("kind", note.key.kind == SuspectKind::PromptPart ? "prompt_part" : "request")
            .field("state",
                   isRefused                      ? "refused"
                           : note.crashes.empty() ? "cleared"
                                                  : "suspected")
            .field("crashes", std::int64_t(note.crashes.size()))
            .field("round", std::int64_t(note.round))
            .field("trials", note.trials)
            .field("source", source);
}

// ---- Copies, configuration ----------------------------------------------------------------------

void NodeState::takeCopyChange(const AnnounceCopyChange &change)
{
    const Instant now = steadyNow();
    switch (change.change) {
    case CopyChange::Usable:
        replicas.onCopyAdded(change.replica, change.copy, now + change.usableIn);
        break;
    case CopyChange::Loading:
        replicas.onCopyLoading(change.replica, change.copy, now + change.usableIn);
        break;
    case CopyChange::Unloading:
        replicas.onCopyUnloading(change.replica, change.copy, now);
        break;
    }
}

/// Logs what the configuration in force leaves out; operators see the first of many problems.
void NodeState::logProblems()
{
    constexpr std::size_t MaxLogged = 10;
    std::vector<std::string> problems = config->problems;
    if (keys) {
        for (const std::string &name : keys->conflicts())
            problems.push_back("organisation " + name + " has a key in common with another one");
    }
    for (std::size_t index = 0; index < std::min(problems.size(), MaxLogged); ++index)
        log.line("config_problem")
                .field("version", config->version)
                .field("problem", problems[index])
                .field("problems", std::int64_t(problems.size()));
}

void NodeState::applyConfig(ServingConfig next)
{
    const bool isSame = next.version == config->version && next.contentHash == config->contentHash;
    if (next.version < config->version)
        log.line("config_older").field("version", next.version).field("in_force", config->version);
    if (next.version < config->version || isSame)
        return;
    log.line("config_applied")
            .field("version", next.version)
            .field("content", next.contentHash)
            .field("earlier", config->version)
            .field("routes", std::int64_t(next.routes.size()))
            .field("services", std::int64_t(next.services.size()))
            .field("organisations",
                   next.organisations ? std::int64_t(next.organisations->size()) : -1);
    config = std::make_shared<const ServingConfig>(std::move(next));
    routes = std::make_unique<RouteTable>(config);
    ranks = std::make_unique<RankTable>(*config);
    keys = config->organisations ? std::make_unique<KeyTable>(*config->organisations, keySeed)
                                 : nullptr;
    quotas.setOrganisations(config->organisations.value_or(std::vector<Organisation> {}),
                            steadyNow());
    logProblems();
    for (const auto &[name, service] : config->services) {
        if (service.engine)
            chooser.setEngineLimits(name, *service.engine, longestPause(*config, name));
    }
}

} // namespace burdock
