#include "edge/edgeprogram.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <set>

namespace burdock {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

/// Callers ask again after this time, and some keep an answer for three times as long; a planned
/// stop waits for those.
constexpr milliseconds AnswerLifetime { 1'000 };
constexpr int KeptAnswers = 3;
/// Of an answer to its caller; connections are refused only after it.
constexpr milliseconds AnswerWay { 200 };
/// Left of the grace time when the process ends with requests still under way.
constexpr milliseconds EndMargin { 500 };
constexpr milliseconds EndMarginIdle { 50 }; // for last bytes to leave

/// Before the end: final answers have this long to leave.
constexpr milliseconds GiveUpMargin { 300 };
constexpr milliseconds RetryAtOnce { 50 };

constexpr milliseconds BeatInterval { 500 };
/// Ingress nodes that get repeated notes on suspects at a time.
constexpr std::size_t NoteTargets = 2;
/// Rows of demand that a node reports with one heartbeat, in several datagrams.
constexpr std::size_t DemandRowsPerBeat = 3 * MaxDemandRows;
/// Half of CopyPlacementSettings::demandLifetime.
constexpr milliseconds DemandRefresh { 2'000 };
constexpr milliseconds IdleTick { 100 };
constexpr milliseconds SilenceCheckInterval { 50 };
constexpr milliseconds BusyTick { 12 }; // while requests wait
/// Events that wait for longer are worth a line in the log, and another one when they wait less.
constexpr milliseconds DelayNoted { 150 };
constexpr milliseconds DelayOver { 30 };

/// Uses of quotas in the log: the busiest organisations only.
constexpr milliseconds QuotaLogInterval { 10'000 };
constexpr std::size_t MaxQuotaLines = 10;
constexpr milliseconds FindInterval { 5'000 };
constexpr milliseconds FindAfter { 1'500 }; // from the start: seeds have answered by then

/// Nodes write entries that the store has lost at different times within this.
constexpr milliseconds RegisterSpread { 4'000 };
/// An entry that could not be written is tried again after this.
constexpr milliseconds RegisterRetry { 5'000 };

/// Questions between nodes of one availability zone.
constexpr milliseconds FeedConnectTimeout { 250 };
constexpr milliseconds FeedIdleLimit { 1'000 };
constexpr milliseconds FeedSilence { 2'000 };

/// Descriptors besides callers' connections: replicas, the store, files.
constexpr std::size_t ReservedDescriptors = 700;
constexpr std::size_t LeastConnections = 256;

/// Of the VM's memory, the requests of callers may hold this share.
constexpr double RequestMemoryShare = 0.3;
constexpr double BytesPerMb = 1024.0 * 1024.0;

/// Requests to the other addresses are short, and few connections come to them at a time.
constexpr std::size_t InternalBodyBytes = 64 * 1024;
constexpr std::size_t InternalBytesOfAll = 8 * 1024 * 1024;
constexpr int DirectoryConnections = 512;
constexpr int StatusConnections = 64;
constexpr int FeedConnections = 1'024; // one of each node of the availability zone, and restarts

HttpLimits internalLimits(int maxConnections)
{
    HttpLimits limits;
    limits.maxBodyBytes = InternalBodyBytes;
    limits.maxBytesOfAll = InternalBytesOfAll;
    limits.maxConnections = maxConnections;
    return limits;
}

HttpLimits callerLimits(const CallerLimits &config, const NodeProfile &profile)
{
    const std::size_t descriptors = profile.descriptors;
    HttpLimits limits;
    limits.maxHeaderBytes = config.maxHeaderBytes;
    limits.maxBodyBytes = config.maxBodyBytes;
    if (profile.limits.memoryMb > 0.0)
        limits.maxBytesOfAll =
                static_cast<std::size_t>(RequestMemoryShare * BytesPerMb * profile.limits.memoryMb);
    limits.readTimeout = config.headerTimeout + config.idleTimeout; // bodies take their time
    limits.idleTimeout = config.idleTimeout;
    limits.maxConnections = static_cast<int>(
            std::max(LeastConnections,
                     descriptors > ReservedDescriptors ? descriptors - ReservedDescriptors : 0));
    return limits;
}

} // namespace

// ---- Handlers -----------------------------------------------------------------------------------

CallerHandler::CallerHandler(NodeState &state, NodeAnnouncer &announcer)
    : m_state(state)
    , m_announcer(announcer)
{
}

asio::awaitable<void> CallerHandler::handle(const HttpRequest &request, HttpReply &reply)
{
    RequestFlow flow(m_state, m_announcer, request, reply);
    co_await flow.run();
}

DirectoryHandler::DirectoryHandler(NodeState &state)
    : m_state(state)
{
}

asio::awaitable<void> DirectoryHandler::handle(const HttpRequest &request, HttpReply &reply)
{
    const auto question = m_state.ports.dialect.addressQuestion(request);
    if (!question) {
        co_await reply.send(StatusNotFound, {}, "");
        co_return;
    }
    std::vector<std::string> addresses =
            m_state.directory.addressesFor(question->zone, !m_state.leaving, steadyNow());
    for (std::string &address : addresses)
        address = toText(Endpoint { address, m_state.profile.callers.port });
    m_state.metrics.count("burdock_address_answers_total");
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    co_await reply.send(StatusOk, std::move(headers),
                        m_state.ports.dialect.addressAnswer(addresses, AnswerLifetime));
}

ReadinessHandler::ReadinessHandler(NodeState &state)
    : m_state(state)
{
}

asio::awaitable<void> ReadinessHandler::handle(const HttpRequest &, HttpReply &reply)
{
    const bool ready = !m_state.leaving && m_state.config->version > 0;
    co_await reply.send(ready ? StatusOk : StatusUnavailable, {}, "");
}

MetricsHandler::MetricsHandler(NodeState &state, const FollowedStore &followed)
    : m_state(state)
    , m_followed(followed)
{
}

asio::awaitable<void> MetricsHandler::handle(const HttpRequest &, HttpReply &reply)
{
    Metrics &metrics = m_state.metrics;
    metrics.set("burdock_config_version", double(m_state.config->version));
    metrics.set("burdock_replicas", double(m_state.replicas.rows().size()));
    metrics.set("burdock_queued_requests", double(m_state.scheduler.queued()));
    metrics.set("burdock_replica_connections_opened",
                double(m_state.replicasHttp.connectionsOpened()));
    metrics.set("burdock_nodes_known", double(m_state.directory.nodeCount()));
    metrics.set("burdock_watches_store", m_followed.watches() ? 1.0 : 0.0);
    metrics.set("burdock_log_lines_dropped", double(m_state.log.dropped()));
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "text/plain" });
    co_await reply.send(StatusOk, std::move(headers), metrics.text());
}

// ---- Start --------------------------------------------------------------------------------------

EdgeProgram::EdgeProgram(EventLoop &io, NodeProfile profile, PlatformPorts ports,
                         std::function<void(EventLog &)> rereadSettings)
    : m_state(io, std::move(profile), ports)
    , m_rereadSettings(std::move(rereadSettings))
    , m_link(io, m_state.log, *this)
    , m_copies(m_state, m_link)
    , m_feedHttp(io, { FeedConnectTimeout, FeedIdleLimit, FeedSilence })
    , m_followed(io, ports.store, m_feedHttp, m_state.directory, m_state.log,
                 m_state.directory.self(), m_state.profile.feedPort,
                 followSettings(noticeTime(m_state.profile.bounds)))
    , m_configWatch(io, m_followed, m_state.log, *this, ObjectKind::Configuration,
                    storeWatchSettings(noticeTime(m_state.profile.bounds)))
    , m_replicaWatch(io, m_followed, m_state.log, *this, ObjectKind::Replicas,
                     storeWatchSettings(noticeTime(m_state.profile.bounds)))
    , m_callerHandler(m_state, *this)
    , m_directoryHandler(m_state)
    , m_readinessHandler(m_state)
    , m_metricsHandler(m_state, m_followed)
    , m_callers(io, callerLimits({}, m_state.profile), m_callerHandler)
    , m_directory(io, internalLimits(DirectoryConnections), m_directoryHandler)
    , m_readiness(io, internalLimits(StatusConnections), m_readinessHandler)
    , m_metricsServer(io, internalLimits(StatusConnections), m_metricsHandler)
    , m_feedServer(io, internalLimits(FeedConnections), m_followed)
    , m_demandReport(DemandRefresh)
    , m_signals(io, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(io)
    , m_workEnd(io)
{
    m_state.waiting.onCopyRequest = [this](const CopyRequest &want) {
        const Duration waited = m_state.wantAges.onWant(
                want.service, copyName(want.model, want.adapter), steadyNow());
        const WantNote note { want.service, want.model, want.adapter,
                              std::chrono::duration_cast<std::chrono::milliseconds>(waited) };
        m_state.log.line("want_copy")
                .field("service", want.service)
                .field("copy", copyName(want.model, want.adapter))
                .field("holder", m_state.directory.holder().name);
        if (m_copies.holds())
            m_copies.onCopyRequest(note);
        else if (!m_state.directory.holder().ip.empty())
            m_link.send(note, { m_state.directory.holder().ip });
    };
    m_state.configKnownAt = [this] {
        return m_configWatch.knownAt();
    };
    m_state.onReplicaForgotten = [this](const std::string &replica) {
        m_copies.placement().onReplicaRemoved(replica);
    };
    m_state.onReplicaLeaving = [this](const std::string &replica, std::uint64_t startedMs) {
        m_copies.placement().onReplicaLeaving(replica, startedMs);
    };
    m_state.onSuspectNotes = [this](const std::vector<SuspectNote> &notes, bool toAll) {
        sendSuspectNotes(notes,
                         toAll ? m_state.directory.ingressAddresses(steadyNow())
                               : nextIngressAddresses(NoteTargets));
    };
}

Result<Done> EdgeProgram::start()
{
    const NodeProfile &profile = m_state.profile;
    const std::pair<HttpServer &, Endpoint> servers[] = {
        { m_callers, profile.callers },
        { m_directory, profile.directory },
        { m_readiness, profile.readiness },
        { m_metricsServer, profile.metrics },
        { m_feedServer, { profile.ip, profile.feedPort } },
    };
    for (const auto &[server, endpoint] : servers) {
        if (endpoint.port == 0)
            continue;
        auto listening = server.listen(endpoint);
        if (!isOk(listening))
            return listening;
    }
    auto linked = m_link.listen(profile.ip, profile.peerPort);
    if (!isOk(linked))
        return linked;
    m_state.log.line("start")
            .field("callers", toText(profile.callers))
            .field("zone", profile.zone)
            .field("capacity", m_state.directory.self().capacity)
            .field("store", toText(profile.store));
    m_lastDemand = steadyNow();
    m_nextFind = steadyNow() + FindAfter;
    m_configWatch.start();
    m_replicaWatch.start();
    asio::co_spawn(m_state.io, registerNode(), asio::detached);
    awaitSignal();
    tick();
    return Done {};
}

asio::awaitable<void> EdgeProgram::registerNode()
{
    const NodeProfile &profile = m_state.profile;
    const boost::json::value content { { "ip", profile.ip },
                                       { "zone", profile.zone },
                                       { "capacity", requestCapacity(profile.limits) } };
    const StoreWriteAnswer answer =
            co_await m_state.ports.store.write(ObjectKind::Nodes, profile.name, {}, content);
    // A conflict means that an earlier process of this node has written it.
    if (answer.outcome == WriteOutcome::Done || answer.outcome == WriteOutcome::Conflict)
        co_return;
    m_state.log.line("register_failed").field("failure", answer.message);
    m_registerAt = steadyNow() + RegisterRetry;
}

asio::awaitable<void> EdgeProgram::findNodes()
{
    const ListAnswer answer = co_await m_state.ports.store.list(ObjectKind::Nodes);
    if (const auto *failure = std::get_if<StoreUnavailable>(&answer)) {
        m_state.log.line("find_nodes_failed").field("failure", failure->message);
        co_return;
    }
    for (const StoredItem &item : std::get<ItemList>(answer).items) {
        const auto *content = item.content.if_object();
        const auto *ip = content == nullptr ? nullptr : content->if_contains("ip");
        const auto *zone = content == nullptr ? nullptr : content->if_contains("zone");
        if (ip == nullptr || !ip->is_string() || zone == nullptr || !zone->is_string())
            continue;
        const auto *capacity = content->if_contains("capacity");
        boost::system::error_code unstated;
        m_state.directory.onIndirectReport(
                { item.name, std::string(ip->get_string()), std::string(zone->get_string()),
                  capacity == nullptr ? 0.0 : capacity->to_number<double>(unstated) },
                steadyNow());
    }
}

// ---- Store --------------------------------------------------------------------------------------

/// In a new era the store lists an older state and has lost what was written since.
void EdgeProgram::noteEra(std::uint64_t era)
{
    m_copies.noteEra(era);
    if (m_storeEra && era > *m_storeEra) {
        const Instant now = steadyNow();
        m_state.log.line("store_returned_older").field("era", era).field("earlier", *m_storeEra);
        m_state.replicas.onSourceReverted(now);
        m_registerAt = now
                + Duration(static_cast<Duration::rep>(double(Duration(RegisterSpread).count())
                                                      * m_state.random.unit()));
    }
    m_storeEra = std::max(m_storeEra.value_or(era), era);
}

void EdgeProgram::onList(ObjectKind kind, const std::vector<StoredItem> &items)
{
    const Instant now = steadyNow();
    if (kind == ObjectKind::Configuration) {
        noteEra(m_configWatch.revision().era);
        for (const StoredItem &item : items)
            takeConfig(item);
        return;
    }
    noteEra(m_replicaWatch.revision().era);
    std::set<std::string> listed;
    for (const StoredItem &item : items) {
        listed.insert(item.name);
        takeReplica(item, now);
    }
    std::vector<std::string> missing;
    for (const auto &[id, row] : m_state.replicas.rows()) {
        if (!listed.contains(id))
            missing.push_back(id);
    }
    for (const std::string &id : missing)
        dropReplica(id, m_replicaWatch.returnedAt(), now);
    m_state.waiting.pump();
}

void EdgeProgram::onChanges(ObjectKind kind, const std::vector<StoredItem> &items)
{
    const Instant now = steadyNow();
    for (const StoredItem &item : items) {
        if (kind == ObjectKind::Configuration) {
            if (!item.deleted)
                takeConfig(item);
        } else if (item.deleted) {
            dropReplica(item.name, m_replicaWatch.returnedAt(), now);
        } else {
            takeReplica(item, now);
        }
    }
    m_state.waiting.pump();
}

void EdgeProgram::takeConfig(const StoredItem &item)
{
    auto config = m_state.ports.decoder.configuration(item);
    if (!isOk(config)) {
        m_state.log.line("config_invalid")
                .field("object", item.name)
                .field("reason", errorOf(config).message);
        return;
    }
    m_state.applyConfig(takeValue(std::move(config)));
    m_callers.setLimits(callerLimits(m_state.config->limits, m_state.profile));
    m_copies.placement().onConfig(*m_state.config);
}

void EdgeProgram::takeReplica(const StoredItem &item, Instant now)
{
    const auto info = m_state.ports.decoder.replica(item);
    if (!isOk(info)) {
        m_state.log.line("replica_invalid")
                .field("replica", item.name)
                .field("reason", errorOf(info).message);
        dropReplica(item.name, {}, now);
        return;
    }
    const ReplicaInfo &replica = valueOf(info);
    const ReplicaRow *row = m_state.replicas.find(replica.id);
    if (row == nullptr || row->info.draining != replica.draining
        || row->info.startedMs != replica.startedMs)
        m_state.log.line("replica")
                .field("replica", replica.id)
                .field("service", replica.service)
                .field("address", replica.address)
                .field("zone", replica.zone)
                .field("state", replica.draining ? "draining" : "ready")
                .field("era", item.revision.era)
                .field("revision", item.revision.number);
    const std::uint64_t earlier = row == nullptr ? 0 : row->generation;
    m_state.replicas.onAnnounced(replica, now);
    row = m_state.replicas.find(replica.id);
    if (earlier != 0 && row->generation != earlier) {
        m_state.suspects.onDelisted(replica.id);
        m_state.chooser.onReplicaRemoved(earlier);
    }
    m_copies.placement().onReplica(row->info, now);
    if (row->drainedAt != Instant {})
        m_copies.placement().onReplicaLeaving(replica.id, row->info.startedMs);
}

void EdgeProgram::dropReplica(const std::string &id, Instant storeReturnedAt, Instant now)
{
    if (m_state.replicas.find(id) == nullptr)
        return; // it was forgotten before
    m_state.removeReplica(id, storeReturnedAt, "delisted");
    const ReplicaRow *row = m_state.replicas.find(id);
    m_state.log.line("replica_missing")
            .field("replica", id)
            .field("known_ms", now - m_replicaWatch.knownAt())
            .field("store_returned_ms",
                   storeReturnedAt == Instant {} ? Duration(-1'000) : now - storeReturnedAt)
            .field("kept_ms", row == nullptr ? Duration::zero() : row->removeAt - now);
}

// ---- Other nodes --------------------------------------------------------------------------------

void EdgeProgram::onPeerMessage(const PeerMessage &message, const std::string &sender)
{
    const Instant now = steadyNow();
    if (const auto *beat = std::get_if<BeatMessage>(&message)) {
        onHeartbeat(*beat);
    } else if (const auto *want = std::get_if<WantNote>(&message)) {
        m_copies.onCopyRequest(*want);
    } else if (const auto *copy = std::get_if<CopyNote>(&message)) {
        m_state.takeCopyChange({ copy->replica, copy->copy, copy->change, copy->usableIn });
    } else if (const auto *prompt = std::get_if<PromptNote>(&message)) {
        if (prompt->withdrawn) {
            m_state.replicas.onPromptWithdrawn(prompt->replica, prompt->freshTokens, now);
        } else {
            m_state.directory.onTrafficFrom(sender, now);
            m_state.replicas.onPromptAssigned(prompt->replica, prompt->freshTokens, now);
            m_state.claims.onClaim(prompt->replica, prompt->ticket, now);
        }
    } else if (const auto *limit = std::get_if<LimitNote>(&message)) {
        m_state.takeLimitNote(*limit);
    } else if (const auto *quota = std::get_if<QuotaNote>(&message)) {
        m_state.quotas.onNote(*quota, now);
    } else {
        m_state.suspects.onNotes(std::get<SuspectNotes>(message).notes);
    }
}

void EdgeProgram::onHeartbeat(const BeatMessage &message)
{
    const Instant now = steadyNow();
    const std::string &sender = message.beat.sender.name;
    const bool news = m_state.directory.onHeartbeat(message.beat, now);
    const bool isLive = m_state.directory.isLive(sender, now);
    m_copies.noteEra(message.beat.storeEra);
    if (news) {
        m_state.log.line("node")
                .field("name", sender)
                .field("state", isLive ? "live" : "leaving")
                .field("zone", message.beat.sender.zone);
        if (isLive) {
            BeatMessage welcome = ownBeat();
            welcome.beat.others = m_state.directory.nodesForNewPeer(message.beat.sender.zone, now);
            m_link.send(welcome, { message.beat.sender.ip });
            sendSuspectNotes(m_state.suspects.notesForNewNode(), { message.beat.sender.ip });
        }
    }
    // Most heartbeats carry none.
    if (!message.demand.empty())
        m_copies.onDemand(sender, message.demand);
    for (const std::string &service : message.workTimeServices)
        m_copies.placement().onWorkTimeStated(service);
}

bool EdgeProgram::announcePrompt(const PromptNote &note)
{
    const auto others = m_state.directory.ingressAddresses(steadyNow());
    m_link.send(note, others);
    return !others.empty();
}

asio::awaitable<void> EdgeProgram::announceLoss(BrokenRun run, Endpoint replica)
{
    co_await m_state.suspects.onConnectionEnded(std::move(run), std::move(replica));
}

void EdgeProgram::sendSuspectNotes(const std::vector<SuspectNote> &notes,
                                   const std::vector<std::string> &addresses)
{
    for (std::size_t first = 0; first < notes.size(); first += MaxSuspectNotes) {
        const std::size_t last = std::min(notes.size(), first + MaxSuspectNotes);
        m_link.send(SuspectNotes { { notes.begin() + static_cast<std::ptrdiff_t>(first),
                                     notes.begin() + static_cast<std::ptrdiff_t>(last) } },
                    addresses);
    }
}

std::vector<std::string> EdgeProgram::nextIngressAddresses(std::size_t count)
{
    const auto all = m_state.directory.ingressAddresses(steadyNow());
    std::vector<std::string> next;
    while (next.size() < std::min(count, all.size()))
        next.push_back(all[m_nextNoteTarget++ % all.size()]);
    return next;
}

void EdgeProgram::announceSpending()
{
    const Instant now = steadyNow();
    if (const auto note = m_state.quotas.nextNote(now))
        m_link.send(*note, m_state.directory.ingressAddresses(now));
}

void EdgeProgram::logQuotas(Instant now)
{
    if (now < m_nextQuotaLog)
        return;
    m_nextQuotaLog = now + QuotaLogInterval;
    for (const auto &[name, status] : m_state.quotas.busiest(MaxQuotaLines, now))
        m_state.log.line("quota_use")
                .field("organisation", name)
                .field("quota", status.quotaPerSecond)
                .field("own", status.ownPerSecond)
                .field("others", status.othersPerSecond)
                .field("level", status.level)
                .field("share", status.share);
}

void EdgeProgram::announceLimit(const LimitNote &note)
{
    m_link.send(note, m_state.directory.ingressAddresses(steadyNow()));
}

std::vector<CopyDemand> EdgeProgram::demandNow() const
{
    std::vector<CopyDemand> demand;
    for (const auto &[key, row] : m_state.demand.rows())
        demand.push_back({ row.service, row.model, row.adapter, row.perSecond });
    return demand;
}

/// @return a heartbeat without the names of others
BeatMessage EdgeProgram::ownBeat() const
{
    BeatMessage message;
    message.beat.sender = m_state.directory.self();
    message.beat.started = m_state.started;
    message.beat.leaving = m_state.leaving;
    message.beat.holder = m_state.directory.holder();
    message.beat.requestsPerSecond = m_requestRate;
    message.beat.storeReached = !m_replicaWatch.disturbed(steadyNow());
    message.beat.storeEra = m_copies.storeEra();
    return message;
}

void EdgeProgram::measureServer()
{
    const HttpRefusals &refusals = m_callers.refusals();
    const std::pair<const char *, std::uint64_t> counts[] = {
        { "malformed", refusals.malformed },
        { "too_large", refusals.tooLarge },
        { "too_slow", refusals.tooSlow },
        { "memory", refusals.memory },
        { "idle", refusals.idle },
        { "places", refusals.connections },
        { "not_accepted", refusals.notAccepted },
    };
    for (const auto &[limit, count] : counts)
        m_state.metrics.set(std::string("burdock_limit_refusals_total{limit=\"") + limit + "\"}",
                            double(count));
    m_state.metrics.set("burdock_request_bytes_held", double(m_callers.bytesHeld()));
    m_state.metrics.set("burdock_caller_connections", double(m_callers.connections()));
}

void EdgeProgram::sendBeat()
{
    const Instant now = steadyNow();
    measureServer();
    m_state.demand.update(now - m_lastDemand);
    measureRequests(now - m_lastDemand);
    m_lastDemand = now;
    const std::vector<CopyDemand> demand = demandNow();
    const std::vector<std::string> workTimeServices = m_state.replicas.workTimeServices();
    if (m_copies.holds()) {
        m_copies.onDemand(m_state.profile.name, demand);
        for (const std::string &service : workTimeServices)
            m_copies.placement().onWorkTimeStated(service);
    }

    m_state.directory.setOwnState(m_requestRate, !m_replicaWatch.disturbed(now), now);
    m_state.replicas.limits().setNodes(
            m_state.profile.name, m_state.directory.senderCandidates(now),
            m_state.directory.nodeCount(), m_state.directory.isCutOff(now), now);
    if (m_state.quotas.size() > 0) {
        const bool reachesStore = !m_replicaWatch.disturbed(now);
        auto leaving = m_state.directory.leavingNodes();
        const std::size_t known = m_state.directory.nodeCount() - 1 - leaving.size();
        m_state.quotas.setFleet({ m_state.directory.liveNodes(now), std::move(leaving),
                                  m_state.directory.isCutOff(now), reachesStore, known },
                                now);
    }
    HeartbeatTargets targets = m_state.directory.heartbeatTargets(m_state.leaving, now);
    BeatMessage message = ownBeat();
    if (m_state.directory.isAlone(now)) {
        for (const std::string &seed : m_state.profile.seeds) {
            if (seed != m_state.profile.ip)
                targets.otherZones.push_back(seed);
        }
        if (now >= m_nextFind && !m_state.leaving) {
            m_nextFind = now + FindInterval;
            asio::co_spawn(m_state.io, findNodes(), asio::detached);
        }
    }
    message.beat.others = m_state.directory.nodesToAnnounce(true, now);
    m_link.send(message, targets.otherZones);
    message.beat.others = m_state.directory.nodesToAnnounce(false, now);
    m_link.send(message, targets.sameZone);

    const HolderClaim &holder = message.beat.holder;
    if (holder.ip.empty() || holder.name == m_state.profile.name)
        return;
    if (holder.term != m_demandTerm) {
        m_demandTerm = holder.term;
        m_demandReport.restart(); // a new holder knows nothing yet
    }
    message.beat.others.clear();
    message.workTimeServices = workTimeServices;
    const auto report = m_demandReport.next(demand, DemandRowsPerBeat, now);
    for (std::size_t first = 0; first < report.size(); first += MaxDemandRows) {
        const std::size_t last = std::min(report.size(), first + MaxDemandRows);
        message.demand.assign(report.begin() + static_cast<std::ptrdiff_t>(first),
                              report.begin() + static_cast<std::ptrdiff_t>(last));
        m_link.send(message, { holder.ip });
    }
}

void EdgeProgram::measureRequests(Duration elapsed)
{
    constexpr double TimeConstant = 2.0; // seconds; a burst lasts some seconds
    const double seconds = std::max(0.001, double(elapsed.count()) / 1e6);
    // Refusals take little of a node; callers that come back again and again need no further nodes.
    constexpr double RefusalWeight = 0.2;
    const auto requests = double(m_state.lastRequestId - m_requestsMeasured);
    const auto attempts = double(m_state.attempts - m_attemptsMeasured);
    const double refused = std::max(0.0, requests - attempts);
    const double perSecond = (attempts + RefusalWeight * refused) / seconds;
    m_attemptsMeasured = m_state.attempts;
    m_requestRate += (1.0 - std::exp(-seconds / TimeConstant)) * (perSecond - m_requestRate);
    m_requestsMeasured = m_state.lastRequestId;
}

// ---- Time ---------------------------------------------------------------------------------------

/// Logs when the node falls behind its events, and when it has caught up.
void EdgeProgram::noteDelay(Instant now)
{
    if (m_nextTick == Instant {})
        return;
    m_state.delay.onTimer(m_nextTick, now);
    const Duration delay = m_state.delay.current();
    const bool isBehind = delay >= (m_isBehind ? DelayOver : DelayNoted);
    if (isBehind == m_isBehind)
        return;
    m_isBehind = isBehind;
    m_state.log.line(isBehind ? "events_late" : "events_in_time")
            .field("delay_ms", delay)
            .field("in_progress", m_callers.requestsInProgress())
            .field("queued", std::int64_t(m_state.scheduler.queued()));
}

void EdgeProgram::tick()
{
    const Instant now = steadyNow();
    noteDelay(now);
    if (m_replicaWatch.unreachable())
        m_state.replicas.extendGracePeriods(now);
    for (const auto &[id, generation] : m_state.replicas.tick(now))
        m_state.forgetReplica(id, generation, "grace_over");
    m_state.suspects.tick();
    m_state.claims.tick(now);
    m_state.directory.tick(now);
    m_state.waiting.tick();
    if (now >= m_nextSilenceCheck) {
        m_nextSilenceCheck = now + SilenceCheckInterval;
        checkSilentAttempts(m_state);
    }
    m_copies.noteEra(m_followed.latestEra());
    m_copies.tick();
    announceSpending();
    logQuotas(now);
    if (m_registerAt != Instant {} && now >= m_registerAt) {
        m_registerAt = {};
        asio::co_spawn(m_state.io, registerNode(), asio::detached);
    }
    // A new holder knows no demand: nodes tell each other of it, and it of theirs, at once.
    const bool isNewHolder = m_state.directory.holder().term != m_holderTerm;
    if (isNewHolder || now >= m_nextBeat) {
        m_holderTerm = m_state.directory.holder().term;
        m_nextBeat = now + BeatInterval;
        sendBeat();
    }
    if (m_state.leaving)
        continueStop();
    m_state.log.flush();
    const milliseconds pause = m_state.scheduler.queued() > 0 ? BusyTick : IdleTick;
    m_nextTick = steadyNow() + Duration(pause);
    m_tickTimer.expires_after(pause);
    m_tickTimer.async_wait([this](boost::system::error_code failure) {
        if (!failure)
            tick();
    });
}

// ---- Stop ---------------------------------------------------------------------------------------

void EdgeProgram::awaitSignal()
{
    m_signals.async_wait([this](boost::system::error_code failure, int signal) {
        if (failure)
            return;
        if (signal == SIGHUP) {
            m_state.log.line("reload");
            m_rereadSettings(m_state.log);
        } else {
            beginStop();
        }
        awaitSignal();
    });
}

void EdgeProgram::beginStop()
{
    if (m_state.leaving)
        return;
    const Instant now = steadyNow();
    m_state.leaving = true;
    const milliseconds grace = m_state.profile.bounds.graceTime;
    m_state.refuseFrom = now + std::min<milliseconds>(KeptAnswers * AnswerLifetime, grace / 2);
    m_closeAt = m_state.refuseFrom + AnswerWay;
    m_endBy = now + grace - EndMargin;
    m_giveUpAt = m_endBy - GiveUpMargin;
    m_state.log.line("stop")
            .field("in_progress", m_callers.requestsInProgress())
            .field("connections", m_callers.connections());
    m_callers.closeAfterAnswers();
    m_copies.release();
    m_nextBeat = now; // the others stop giving out this node's address at once
}

void EdgeProgram::continueStop()
{
    const Instant now = steadyNow();
    const bool isClosed = now >= m_closeAt;
    if (isClosed && !m_closeNoted) {
        m_closeNoted = true;
        m_callers.stopAccepting();
        m_state.log.line("stop_closed").field("in_progress", m_callers.requestsInProgress());
    }
    if (now >= m_giveUpAt && m_giveUpAt != Instant {}) {
        m_giveUpAt = {};
        m_state.log.line("stop_giving_up").field("in_progress", m_callers.requestsInProgress());
        giveUpAll(m_state, "node_stopping", RetryAtOnce);
    }
    const bool isIdle = isClosed && m_callers.requestsInProgress() == 0;
    if ((isIdle && now >= m_closeAt + EndMarginIdle) || now >= m_endBy)
        end();
}

void EdgeProgram::end()
{
    m_state.log.line("end").field("in_progress", m_callers.requestsInProgress());
    m_state.log.flush();
    m_state.io.stop();
}

} // namespace burdock
