#include "edge/requestflow.h"

#include "base/hashing.h"
#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace {

constexpr int LeastErrorStatus = 500;
constexpr int LeastRedirectStatus = 300;

/// Until a new process has its configuration, or a stopping one's callers have moved on.
constexpr milliseconds RetryWhileStarting { 300 };
constexpr milliseconds RetryElsewhere { 100 };
/// A request that has been here for longer may have lost its caller since.
constexpr milliseconds CallerCheckAfter { 50 };
/// A request that crashes replicas is not tried again sooner.
constexpr milliseconds RetrySuspect { 3'000 };
/// Another request with the same suspected part is under way; its answer may clear the part.
constexpr milliseconds RetrySuspected { 300 };
constexpr const char *CrashesReplicas = "crashes_replicas";
/// After the deadline: a replica answers by itself when its time is over, and that answer is on its
/// way.
constexpr milliseconds AnswerSlack { 100 };
/// A resumable stream that stands still for this many of its longest allowed pauses is silent.
constexpr int SilentPauses = 4;
constexpr milliseconds LeastSilence { 1'200 };
/// A replica that has not begun to answer after this many times the expected time is silent; a
/// second one can still be in time then, or nearly so.
constexpr double PatienceFactor = 6.0;
/// After a second attempt that found no place or failed.
constexpr milliseconds SecondAttemptPause { 250 };
/// The body of an answer that is not needed is read, so that its connection can be used again, only
/// if it is short and comes at once.
constexpr std::size_t MostUnusedBytes = 64 * 1024;
constexpr milliseconds UnusedBodyTime { 100 };

/// The most urgent priority gets this urgency, each lower one the next; 9 is the last there is.
constexpr int FirstUrgency = 3;
constexpr int LastUrgency = 9;

/// A streaming route says what to expect where the answer does not name its type.
bool isEventStream(const HttpResponseHead &head)
{
    const auto type = headerValue(head.headers, "Content-Type");
    return !type || type->starts_with("text/event-stream");
}

milliseconds toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<milliseconds>(time);
}

} // namespace

RequestFlow::RequestFlow(NodeState &state, NodeAnnouncer &announcer, const HttpRequest &request,
                         HttpReply &reply)
    : m_state(state)
    , m_announcer(announcer)
    , m_raw(request)
    , m_reply(reply)
    , m_secondEnded(state.io)
    , m_arrived(steadyNow() - state.delay.current())
{
    m_state.flows.insert(this);
}

RequestFlow::~RequestFlow()
{
    if (m_takenQuota > 0.0 && m_progress.runs == 0)
        m_state.quotas.giveBack(m_request.organisation, m_takenQuota, steadyNow());
    m_state.flows.erase(this);
}

void RequestFlow::giveUp()
{
    m_givenUp = true;
    if (m_reply.begun())
        dropSecond();
    else
        cancelAttempts();
}

void giveUpAll(NodeState &state, const char *reason, milliseconds retryAfter)
{
    state.waiting.refuseAll(reason, retryAfter);
    const std::set<RequestFlow *> flows = state.flows;
    for (RequestFlow *flow : flows)
        flow->giveUp();
}

// ---- Arrival ------------------------------------------------------------------------------------

asio::awaitable<void> RequestFlow::run()
{
    m_state.metrics.count("burdock_requests_total");
    auto decoded = m_state.ports.dialect.decode(m_raw);
    if (!isOk(decoded)) {
        std::string reason = errorOf(decoded).message;
        co_await answerOwn(StatusBadRequest, {}, "malformed", std::move(reason));
        co_return;
    }
    m_caller = takeValue(std::move(decoded));
    if (m_state.config->version == 0) {
        co_await answerOwn(StatusUnavailable, RetryWhileStarting, "refused", "no_configuration");
        co_return;
    }
    if (m_state.refuses(m_arrived)) {
        co_await answerOwn(StatusUnavailable, RetryElsewhere, "refused", "node_stopping");
        co_return;
    }
    if (!findRoute()) {
        std::string reason = m_raw.host + m_raw.target;
        co_await answerOwn(StatusNotFound, {}, "no_route", std::move(reason));
        co_return;
    }
    if (co_await refusedByKey())
        co_return;
    buildRequest();
    if (co_await refusedByQuota())
        co_return;
    if (!m_state.delay.canAnswer(m_request.deadline, steadyNow())) {
        co_await answerOwn(StatusUnavailable, RetryElsewhere, "refused", "node_overloaded");
        co_return;
    }
    if (co_await refusedAsSuspect())
        co_return;
    if (!m_request.model.empty())
        m_state.demand.count(m_request.service, m_request.model, m_request.adapter,
                             std::max(1, m_request.promptTokens));
    m_reply.onCallerLeft([this] { onCallerLeft(); });
    co_await serve();
    m_reply.onCallerLeft(nullptr);
}

bool RequestFlow::findRoute()
{
    m_config = m_state.config;
    const std::string path = pathOf(m_raw);
    m_route = m_state.routes->find(m_raw.host, path);
    return m_route != nullptr;
}

void RequestFlow::identifyCaller()
{
    m_organisation.reset();
    if (!m_state.keys || m_caller.keys.size() != 1)
        return;
    if (const Organisation *organisation = m_state.keys->find(m_caller.keys.front()))
        m_organisation = Organisation {
            organisation->name, {}, organisation->priority, organisation->quota
        };
}

bool RequestFlow::isAuthorized() const
{
    if (!m_state.keys || m_route->isPublic)
        return true;
    const Organisation *organisation =
            m_caller.keys.size() == 1 ? m_state.keys->find(m_caller.keys.front()) : nullptr;
    return organisation != nullptr && m_organisation && organisation->name == m_organisation->name;
}

asio::awaitable<bool> RequestFlow::refusedByKey()
{
    identifyCaller();
    if (!m_state.keys || m_route->isPublic)
        co_return false;
    if (m_progress.runs > 0 || m_progress.eventsForwarded) {
        if (m_organisation)
            co_return false;
        m_failure = "the key was removed";
        co_await finish(finalStep(), AttemptResult::Lost);
        co_return true;
    }
    // A node that is out of touch cannot know a key that was added, or that one was removed.
    const ServingBounds &bounds = m_state.profile.bounds;
    const Duration age = m_state.configAge(steadyNow());
    const bool isOutdated = m_organisation ? bounds.revokesStrictly && age > bounds.revocationTime
                                           : age > bounds.configApplyTime;
    if (isOutdated) {
        co_await answerOwn(StatusUnavailable, RetryElsewhere, "refused", "configuration_outdated");
        co_return true;
    }
    if (m_organisation)
        co_return false;
    if (m_caller.keys.size() == 1)
        m_failure = "key " + keyDigest(m_caller.keys.front(), m_state.keySeed);
    co_await answerOwn(StatusUnauthorized, {}, "unauthorized",
                       m_caller.keys.empty() ? "no_key" : "unknown_key");
    co_return true;
}

asio::awaitable<bool> RequestFlow::refusedByQuota()
{
    if (!m_organisation || !m_organisation->quota)
        co_return false;
    const double cost =
            requestCost(*m_organisation->quota, m_caller.promptTokens, m_caller.outputTokens);
    const auto exceeded = m_state.quotas.tryTake(m_organisation->name, cost, steadyNow());
    if (!exceeded) {
        m_takenQuota = cost;
        m_announcer.announceSpending();
        co_return false;
    }
    // Callers return at different times, since the credit that comes is less than all ask for.
    const auto spread = milliseconds(static_cast<std::int64_t>(
            m_state.random.unit() * double(exceeded->retryAfter.count())));
    co_await answerOwn(StatusTooMany, exceeded->retryAfter + spread, "quota_exceeded",
                       "quota_exceeded");
    co_return true;
}

void RequestFlow::buildRequest()
{
    m_request.id = ++m_state.lastRequestId;
    m_request.service = chooseService(*m_route, m_state.random.unit());
    const auto service = m_config->services.find(m_request.service);
    const bool isModelService =
            service != m_config->services.end() && service->second.engine.has_value();
    if (isModelService) {
        m_request.model = m_caller.model;
        m_request.adapter = m_caller.adapter;
        m_request.prompt = m_caller.prompt;
        m_request.promptTokens = m_caller.promptTokens;
        m_request.outputTokens = m_caller.outputTokens;
    }
    m_request.repeatable = m_route->repeatable;
    m_request.resumable = m_route->resumable;
    m_request.streams = m_route->streams;
    m_request.organisation = m_organisation ? m_organisation->name : "";
    m_request.priority =
            m_state.ranks->rank(m_organisation ? m_organisation->priority : 0, m_route->priority);
    m_request.attempts = std::max(1, m_route->attempts);
    m_request.arrivedAt = m_arrived;
    m_request.firstByteObjective = m_arrived + m_route->latencyObjective;
    const milliseconds left =
            std::min(m_caller.timeLeft.value_or(m_route->timeout), m_route->timeout);
    m_request.deadline = m_arrived + left;
    if (m_route->firstEventTimeout.count() > 0)
        m_request.firstByteDeadline = m_arrived + m_route->firstEventTimeout;
    m_lastEvent = m_caller.resumeAfter;
    const std::uint64_t target = hashText(m_raw.method + " " + m_raw.host + m_raw.target);
    const std::uint64_t content = hashPair(hashPair(target, m_raw.body), m_caller.model);
    std::vector<std::uint64_t> parts;
    parts.reserve(m_caller.prompt.size());
    for (const PromptPart &part : m_caller.prompt)
        parts.push_back(part.id);
    m_keys = m_state.suspects.keysOf(content, parts);
}

/// @return the urgency towards engines; with organisations all ranks are told apart if they fit
int RequestFlow::urgency() const
{
    const int ranks = static_cast<int>(m_state.ranks->count());
    const int first = std::clamp(LastUrgency + 1 - ranks, 0, FirstUrgency);
    return std::min(first + m_request.priority, LastUrgency);
}

void RequestFlow::onCallerLeft()
{
    m_callerLeft = true;
    cancelAttempts();
    m_state.waiting.cancel(m_request.id);
}

// ---- Suspects -----------------------------------------------------------------------------------

std::string keysText(const std::vector<SuspectKey> &keys)
{
    std::string text;
    for (const SuspectKey &key : keys)
        text += (text.empty() ? "" : ",") + hashToHex(key.id);
    return text;
}

void refuseSuspects(NodeState &state)
{
    const std::set<RequestFlow *> flows = state.flows;
    for (RequestFlow *flow : flows)
        flow->refuseIfSuspect();
}

void RequestFlow::refuseIfSuspect()
{
    const auto key = m_state.suspects.blockingKey(m_keys);
    if (key && m_state.suspects.isRefused(*key))
        m_state.waiting.refuse(m_request.id, CrashesReplicas, RetrySuspect);
}

asio::awaitable<bool> RequestFlow::refusedAsSuspect()
{
    const auto key = m_state.suspects.blockingKey(m_keys);
    if (!key)
        co_return false;
    m_failure = "suspect " + hashToHex(*key);
    if (m_progress.runs > 0 || m_progress.eventsForwarded)
        co_await finish(finalStep(), AttemptResult::Lost);
    else
        co_await answerOwn(StatusUnavailable,
                           m_state.suspects.isRefused(*key) ? RetrySuspect : RetrySuspected,
                           "refused", CrashesReplicas);
    co_return true;
}

/// The end of a replica that leaves says nothing about what it was running.
bool RequestFlow::isExpectedEnd(const StartRequest &start) const
{
    const ReplicaRow *row = m_state.replicas.find(start.choice.id);
    return row == nullptr || row->generation != start.choice.generation || row->info.draining
            || row->drainedAt != Instant {};
}

asio::awaitable<void> RequestFlow::endRun(Attempt &attempt, AttemptResult end)
{
    if (!std::exchange(attempt.isRunCounted, false))
        co_return;
    const ReplicaChoice &choice = attempt.start.choice;
    const bool isLost = (end == AttemptResult::Lost || end == AttemptResult::StreamCut)
            && (attempt.connectionBroke || attempt.keptConnectionBroke);
    const bool isServed = end == AttemptResult::Delivered && attempt.isProof;
    if ((isLost || (isServed && attempt.endedWithConnection)) && !isExpectedEnd(attempt.start)) {
        const auto endpoint = parseEndpoint(choice.address);
        BrokenRun broken { choice.id, choice.startedMs, std::move(attempt.run), isServed,
                           m_caller.name };
        co_await m_announcer.announceLoss(std::move(broken), valueOf(endpoint));
    } else if (isServed && !attempt.endedWithConnection) {
        m_state.suspects.onServed(std::move(attempt.run));
    } else {
        m_state.suspects.onEnded(std::move(attempt.run));
    }
}

// ---- Attempts -----------------------------------------------------------------------------------

asio::awaitable<void> RequestFlow::serve()
{
    bool attempted = false;
    while (true) {
        if (attempted && (co_await refusedAsSuspect() || co_await refusedByKey()))
            co_return;
        const auto decision = co_await m_state.waiting.submit(m_request, m_excluded, attempted);
        if (std::holds_alternative<CallerGone>(decision)) {
            logDone("caller_left", 0, "while_queued");
            co_return;
        }
        if (const auto *refusal = std::get_if<RefuseRequest>(&decision)) {
            if (m_progress.runs > 0 || m_progress.eventsForwarded) {
                co_await finish(finalStep(), AttemptResult::Lost);
                co_return;
            }
            co_await answerOwn(StatusUnavailable, refusal->retryAfter, "refused", refusal->reason);
            co_return;
        }
        const auto &start = std::get<StartRequest>(decision);
        if (!m_request.model.empty() && !co_await claimPrompt(start)) {
            if (m_callerLeft) {
                logDone("caller_left", 0, "while_queued");
                co_return;
            }
            if (m_givenUp) {
                co_await finish(finalStep(), AttemptResult::NotRun);
                co_return;
            }
            continue;
        }
        const AttemptResult end = co_await makeAttempt(start);
        attempted = true;
        const Instant now = m_givenUp ? m_request.deadline : steadyNow();
        const NextStep step =
                nextStep(m_request, m_progress, end, m_state.budgetOf(m_request.service), now);
        if (step != NextStep::Retry) {
            co_await finish(step, end);
            co_return;
        }
        m_state.log.line("retry")
                .field("request", m_caller.name)
                .field("after", attemptResultName(end))
                .field("replica", m_attempt->start.choice.id)
                .field("failure", m_attempt->failure)
                .field("delimiter", m_attempt->delimiter)
                .field("unfinished_bytes", m_attempt->unfinishedBytes)
                .field("replica_limit", m_attempt->replicaLimit)
                .field("sends", m_progress.sends)
                .field("budget", m_state.budgetOf(m_request.service).tokens());
        m_state.metrics.count("burdock_retries_total");
        if (m_attempt->connectionBroke || !m_keptFailed)
            m_excluded.push_back(m_attempt->start.choice.id); // not for a dropped connection alone
    }
}

NextStep RequestFlow::finalStep() const
{
    if (m_progress.eventsForwarded)
        return NextStep::AbortStream;
    if (m_progress.runs == 0)
        return NextStep::Refuse;
    return m_errorAnswer ? NextStep::ForwardError : NextStep::Fail;
}

asio::awaitable<bool> RequestFlow::claimPrompt(const StartRequest &start)
{
    const std::string &replica = start.choice.id;
    PromptNote note { replica, start.choice.freshTokens,
                      makeTicket(m_request.priority,
                                 static_cast<std::uint32_t>(m_state.random.engine()())) };
    const Instant claimedAt = steadyNow();
    if (!m_announcer.announcePrompt(note))
        co_return true;
    co_await sleepFor(ClaimWait);
    const Instant now = steadyNow();
    const ReplicaRow *row = m_state.replicas.find(replica);
    const bool isPrefillSaturated = row != nullptr && m_state.chooser.isPrefillSaturated(*row, now);
    const bool isOutranked =
            isPrefillSaturated && m_state.claims.isOutranked(replica, note.ticket, claimedAt);
    if (!isOutranked && !m_callerLeft && !m_givenUp)
        co_return true;
    note.withdrawn = true;
    m_announcer.announcePrompt(note);
    m_state.replicas.onPromptWithdrawn(replica, note.freshTokens, now);
    m_state.replicas.onFinished(replica, start.choice.generation, ReplicaOutcome::Cancelled, now);
    m_state.replicas.limits().onWithdrawn(replica);
    m_state.metrics.count("burdock_prompts_withdrawn_total");
    m_state.log.line("withdraw").field("request", m_caller.name).field("replica", replica);
    co_return false;
}

std::unique_ptr<RequestFlow::Attempt> RequestFlow::beginAttempt(StartRequest start)
{
    const ReplicaChoice &choice = start.choice;
    const ReplicaRow *row = m_state.replicas.find(choice.id);
    m_state.log.line("send")
            .field("request", m_caller.name)
            .field("route", m_route->name)
            .field("config", m_config->version)
            .field("copy", copyName(m_request.model, m_request.adapter))
            .field("replica", choice.id)
            .field("address", choice.address)
            .field("waited_ms", start.waited)
            .field("expected_ms", choice.expectedFirstByte)
            .field("load", choice.load)
            .field("load_age_ms",
                   row == nullptr || row->loadReceivedAt == Instant {}
                           ? Duration(-1'000)
                           : steadyNow() - row->loadReceivedAt)
            .field("fresh_tokens", choice.freshTokens)
            .field("weighed", choice.comparedReplicas);
    return std::make_unique<Attempt>(*this, std::move(start));
}

asio::awaitable<AttemptResult> RequestFlow::makeAttempt(StartRequest start)
{
    m_attempt = beginAttempt(std::move(start));
    auto opened = co_await open(*m_attempt);
    while (true) {
        if (auto *head = std::get_if<HttpResponseHead>(&opened)) {
            m_attempt->head = std::move(*head);
            opened = co_await receive(*m_attempt);
        }
        auto end = std::get<AttemptResult>(opened);
        m_silentFrom = Instant::max();
        if (m_callerLeft && end != AttemptResult::Delivered)
            end = AttemptResult::CallerLeft;
        const bool isOver = end == AttemptResult::Delivered || end == AttemptResult::CallerLeft;
        if (isOver)
            dropSecond();
        // Where the first attempt failed, the second one may still have the answer.
        while (m_second && !m_second->head)
            co_await m_secondEnded.take();
        co_await closeAttempt(*m_attempt, end);
        if (!m_second)
            co_return end;
        if (isOver) {
            co_await closeAttempt(*m_second, AttemptResult::CallerLeft);
            m_second.reset();
            co_return end;
        }
        m_state.log.line("superseded")
                .field("request", m_caller.name)
                .field("replica", m_attempt->start.choice.id)
                .field("silent_ms", steadyNow() - m_attempt->progressAt)
                .field("by", m_second->start.choice.id);
        m_excluded.push_back(m_attempt->start.choice.id);
        m_attempt = std::move(m_second);
        m_silentFrom = patienceEnd(*m_attempt);
        opened = std::move(*m_attempt->head);
    }
}

asio::awaitable<void> RequestFlow::closeAttempt(Attempt &attempt, AttemptResult end)
{
    noteHead(attempt);
    noteEnd(attempt, end);
    co_await endRun(attempt, end);
}

void RequestFlow::cancelAttempts()
{
    for (const auto *attempt : { &m_attempt, &m_second }) {
        if (*attempt && (*attempt)->exchange)
            (*attempt)->exchange->cancel();
    }
}

/// The last look before the first byte goes to a replica: the choice may be long past by then, on a
/// node that is short of processor time or after a slow connection.
bool RequestFlow::mayStillSend(Attempt &attempt)
{
    const Instant now = steadyNow();
    const ReplicaChoice &choice = attempt.start.choice;
    const ReplicaRow *row = m_state.replicas.find(choice.id);
    if (now >= m_request.deadline)
        attempt.withheld = "deadline";
    else if (m_callerLeft || (now >= m_arrived + CallerCheckAfter && m_reply.checkCallerLeft()))
        attempt.withheld = "caller_left";
    else if (row == nullptr || row->generation != choice.generation
             || m_state.replicas.isDrained(*row, now))
        attempt.withheld = "replica_left";
    else if (attempt.isDropped)
        attempt.withheld = "not_needed";
    else if (!isAuthorized())
        attempt.withheld = "key_removed";
    if (*attempt.withheld != '\0')
        return false;
    attempt.run = { m_keys, {}, {}, {} };
    attempt.isRunCounted = m_state.suspects.tryStart(attempt.run);
    if (!attempt.isRunCounted)
        attempt.withheld = CrashesReplicas;
    return attempt.isRunCounted;
}

asio::awaitable<RequestFlow::OpenResult> RequestFlow::open(Attempt &attempt)
{
    const ReplicaChoice &choice = attempt.start.choice;
    const auto endpoint = parseEndpoint(choice.address);
    if (!isOk(endpoint))
        co_return AttemptResult::ConnectFailed;
    attempt.sentAt = steadyNow();
    attempt.progressAt = attempt.sentAt;
    const Duration left = m_request.deadline - attempt.sentAt;
    if (left <= Duration::zero())
        co_return AttemptResult::TimedOut;
    ReplicaSend send;
    send.replica = choice.id;
    send.timeLeft = toMilliseconds(left);
    send.resumeAfter = m_lastEvent;
    send.urgency = urgency();
    send.naming = m_state.keys ? CallerNaming::Organisation : CallerNaming::AsSent;
    send.organisation = m_organisation ? m_organisation->name : "";

    // Whether a request arrived on a kept connection that its replica has just dropped is not
    // certain, and only requests that may be repeated can be sent again then.
    const bool fresh = !m_request.repeatable || m_keptFailed;
    attempt.exchange = m_state.replicasHttp.exchange(valueOf(endpoint), fresh);
    HttpRequest request = m_state.ports.dialect.encode(m_caller, send);
    request.body = m_raw.body;
    if (&attempt == m_attempt.get())
        m_silentFrom = patienceEnd(attempt);
    auto result = co_await attempt.exchange->start(std::move(request),
                                                   m_request.deadline + AnswerSlack, &attempt);
    noteHead(attempt);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        attempt.failure = failure->message;
        if (!failure->bytesSent && steadyNow() >= m_request.deadline)
            co_return AttemptResult::TimedOut;
        if (*attempt.withheld != '\0') {
            attempt.failure += std::string(": ") + attempt.withheld;
            co_return AttemptResult::NotRun;
        }
        if (failure->refused)
            m_state.suspects.onRefused(choice.id);
        attempt.connectionBroke = !failure->timedOut && !failure->keptConnection;
        attempt.keptConnectionBroke = !failure->timedOut && failure->keptConnection;
        m_keptFailed = m_keptFailed || (failure->keptConnection && !failure->timedOut);
        if (failure->bytesSent) {
            attempt.isSent = true;
            m_progress.sends++;
            m_progress.runs++;
        }
        co_return endOf(*failure);
    }
    attempt.isSent = true;
    m_progress.sends++;
    co_return co_await takeHead(attempt, std::move(std::get<HttpResponseHead>(result)));
}

asio::awaitable<RequestFlow::OpenResult> RequestFlow::takeHead(Attempt &attempt,
                                                               HttpResponseHead head)
{
    const std::string &replica = attempt.start.choice.id;
    attempt.delimiter = bodyDelimiterName(head.delimiter);
    const ReplicaAnswer answer = m_state.ports.dialect.readHead(head, m_caller, replica);
    attempt.endedWithConnection = head.delimiter == BodyDelimiter::Close;
    attempt.isProof = head.status >= StatusOk && head.status < LeastRedirectStatus;
    if (!answer.foreign && !answer.otherReplica)
        m_state.suspects.onAnswer(replica, attempt.sentAt);
    if (answer.requestLimit)
        attempt.replicaLimit = std::to_string(*answer.requestLimit);
    else
        attempt.replicaLimit = answer.malformedLimit;
    if (answer.load)
        m_state.replicas.onLoadReport(replica, *answer.load, steadyNow());
    takeSignals(attempt, answer);
    if (answer.notRun) {
        co_await discardBody(attempt);
        if (answer.otherReplica)
            co_return AttemptResult::OtherReplica;
        co_return answer.copyAbsent ? AttemptResult::CopyAbsent : AttemptResult::NotRun;
    }
    m_progress.runs++;
    if (answer.foreign) {
        attempt.failure = "the answer is another request's or does not prove its replica";
        attempt.exchange->cancel();
        co_return AttemptResult::Lost;
    }
    co_return head;
}

asio::awaitable<AttemptResult> RequestFlow::receive(Attempt &attempt)
{
    if (m_request.streams && attempt.head->status == StatusOk && isEventStream(*attempt.head))
        co_return co_await takeStream(attempt);
    noteFirstByte(attempt);
    m_silentFrom = Instant::max();
    if (attempt.head->status < LeastErrorStatus)
        noteProgress(attempt);
    co_return co_await takeWhole(attempt);
}

// ---- Silent replicas ----------------------------------------------------------------------------

void checkSilentAttempts(NodeState &state)
{
    const Instant now = steadyNow();
    const std::set<RequestFlow *> flows = state.flows;
    for (RequestFlow *flow : flows)
        flow->checkSilence(now);
}

/// @return from when on an attempt whose answer has not begun counts as silent
Instant RequestFlow::patienceEnd(const Attempt &attempt) const
{
    if (!m_request.repeatable)
        return Instant::max();
    const Duration firstByteObjective = m_request.firstByteObjective - m_request.arrivedAt;
    const auto expected = Duration(static_cast<Duration::rep>(
            double(attempt.start.choice.expectedFirstByte.count()) * PatienceFactor));
    return attempt.sentAt + std::max(firstByteObjective, expected);
}

/// @return whether the request may be sent once more beside the current attempt
bool RequestFlow::mayTryAnother() const
{
    const int runs = m_progress.runs + (m_attempt->awaitsHead ? 1 : 0); // with the current attempt
    return m_request.repeatable && runs < m_request.attempts
            && (!m_progress.eventsForwarded || m_progress.hasResumePoint)
            && m_state.budgetOf(m_request.service).tokens() >= 1.0;
}

void RequestFlow::checkSilence(Instant now)
{
    if (now < m_silentFrom || now >= m_request.deadline || m_second || m_callerLeft || m_givenUp
        || !mayTryAnother())
        return;
    std::vector<std::string> excluded = m_excluded;
    excluded.push_back(m_attempt->start.choice.id);
    auto start = m_state.scheduler.startNow(m_request, excluded, now);
    if (!start) {
        m_silentFrom = now + SecondAttemptPause;
        return;
    }
    m_state.budgetOf(m_request.service).trySpend();
    startSecond(std::move(*start));
}

void RequestFlow::startSecond(StartRequest start)
{
    m_state.log.line("retry")
            .field("request", m_caller.name)
            .field("after", "silence")
            .field("replica", m_attempt->start.choice.id)
            .field("silent_ms", steadyNow() - m_attempt->progressAt)
            .field("sends", m_progress.sends)
            .field("budget", m_state.budgetOf(m_request.service).tokens());
    m_state.metrics.count("burdock_retries_total");
    m_second = beginAttempt(std::move(start));
    asio::co_spawn(m_state.io, runSecond(), asio::detached);
}

/// Runs until the head of the answer, which ends the first attempt, or until the second has failed.
asio::awaitable<void> RequestFlow::runSecond()
{
    Attempt &second = *m_second;
    RetryBudget &budget = m_state.budgetOf(m_request.service);
    AttemptResult end = AttemptResult::CallerLeft;
    const bool isClaimed = m_request.model.empty() || co_await claimPrompt(second.start);
    if (isClaimed) {
        auto opened = co_await open(second);
        auto *head = std::get_if<HttpResponseHead>(&opened);
        if (head != nullptr && isSecondUseful(*head)) {
            second.head = std::move(*head);
            m_attempt->exchange->expire();
            m_secondEnded.set(true);
            co_return;
        }
        if (head != nullptr)
            second.exchange->cancel();
        else if (!second.isDropped)
            end = std::get<AttemptResult>(opened);
        co_await closeAttempt(second, end);
    }
    if (!second.isSent)
        budget.refund();
    m_state.log.line("second_attempt_ended")
            .field("request", m_caller.name)
            .field("replica", second.start.choice.id)
            .field("result", isClaimed ? attemptResultName(end) : "outranked")
            .field("failure", second.failure);
    m_excluded.push_back(second.start.choice.id);
    if (m_silentFrom != Instant::max())
        m_silentFrom = std::max(m_silentFrom, steadyNow() + Duration(SecondAttemptPause));
    m_second.reset();
    m_secondEnded.set(true);
}

/// @return whether the caller is better off with this answer than with waiting for the first
bool RequestFlow::isSecondUseful(const HttpResponseHead &head) const
{
    const bool continues = head.status == StatusOk && isEventStream(head);
    return !m_second->isDropped && m_attempt->progressAt <= m_second->sentAt
            && head.status < LeastErrorStatus && (continues || !m_reply.begun());
}

/// The first attempt makes progress, or the request is over.
void RequestFlow::dropSecond()
{
    if (!m_second)
        return;
    m_second->isDropped = true;
    if (m_second->exchange)
        m_second->exchange->cancel();
}

// ---- Signals and counts -------------------------------------------------------------------------

/// The replica has begun to answer, or will not.
void RequestFlow::noteHead(Attempt &attempt)
{
    if (std::exchange(attempt.awaitsHead, false))
        m_state.replicas.limits().onHead(attempt.start.choice.id);
}

void RequestFlow::takeSignals(const Attempt &attempt, const ReplicaAnswer &answer)
{
    const ReplicaChoice &choice = attempt.start.choice;
    const SignalSource source { choice.id, choice.startedMs, attempt.sentAt, m_caller.name };
    if (answer.foreign || answer.otherReplica) {
        m_state.takePause(answer, source);
        return;
    }
    if (const auto note = m_state.takeSignals(answer, source))
        m_announcer.announceLimit(*note);
}

AttemptResult RequestFlow::endOf(const CallFailure &failure) const
{
    if (!failure.bytesSent)
        return AttemptResult::ConnectFailed;
    if (failure.timedOut && steadyNow() >= m_request.deadline)
        return AttemptResult::TimedOut;
    return m_progress.eventsForwarded ? AttemptResult::StreamCut : AttemptResult::Lost;
}

void RequestFlow::noteProgress(Attempt &attempt)
{
    attempt.progressAt = steadyNow();
    m_silentFrom = Instant::max();
    dropSecond();
}

void RequestFlow::noteFirstByte(Attempt &attempt)
{
    if (std::exchange(attempt.firstByteSeen, true))
        return;
    const Instant now = steadyNow();
    const ReplicaChoice &choice = attempt.start.choice;
    const Duration taken = now - attempt.sentAt;
    const double expected = double(std::max<Duration::rep>(1, choice.expectedFirstByte.count()));
    m_state.replicas.onFirstByte(choice.id, choice.generation,
                                 double(taken.count()) / expected * choice.slowness, now);
    m_state.chooser.onFirstByte(m_request.service, !m_request.model.empty(), taken);
    m_firstByteAfter = now - m_arrived;
    m_state.metrics.observe("burdock_first_byte_seconds", m_firstByteAfter);
}

void RequestFlow::noteEnd(const Attempt &attempt, AttemptResult end)
{
    const Instant now = steadyNow();
    const std::string &id = attempt.start.choice.id;
    const std::uint64_t generation = attempt.start.choice.generation;
    ReplicaOutcome outcome = ReplicaOutcome::Cancelled;
    switch (end) {
    case AttemptResult::Delivered:
        outcome = ReplicaOutcome::Served;
        m_state.budgetOf(m_request.service).onSuccess();
        break;
    case AttemptResult::ConnectFailed:
        m_progress.connectFailures++;
        m_state.replicas.onConnectFailed(id, now);
        break;
    case AttemptResult::NotRun:
        outcome = ReplicaOutcome::Rejected;
        break;
    case AttemptResult::OtherReplica:
        // One that was listed anew since the choice may be at another address by now.
        if (const ReplicaRow *row = m_state.replicas.find(id);
            row != nullptr && row->generation == generation)
            m_state.removeReplica(id, {}, "other_replica_at_its_address");
        break;
    case AttemptResult::CopyAbsent:
        m_state.replicas.onCopyDenied(id, copyName(m_request.model, m_request.adapter), now);
        break;
    case AttemptResult::ErrorResponse:
    case AttemptResult::Lost:
    case AttemptResult::StreamCut:
    case AttemptResult::TimedOut:
        outcome = ReplicaOutcome::Failed;
        break;
    case AttemptResult::CallerLeft:
        break;
    }
    m_state.replicas.onFinished(id, generation, outcome, now);
    m_state.waiting.pump();
}

// ---- Whole answers ------------------------------------------------------------------------------

asio::awaitable<void> RequestFlow::discardBody(Attempt &attempt)
{
    const Instant last = std::min<Instant>(m_request.deadline, steadyNow() + UnusedBodyTime);
    const auto body = co_await readBody(*attempt.exchange, last, MostUnusedBytes);
    if (const auto *failure = std::get_if<CallFailure>(&body))
        attempt.failure = failure->message;
}

asio::awaitable<AttemptResult> RequestFlow::takeWhole(Attempt &attempt)
{
    const HttpResponseHead &head = *attempt.head;
    auto hold = std::make_unique<BodyHold>(m_state.answerMemory);
    auto read = co_await readBody(*attempt.exchange, m_request.deadline + AnswerSlack, *hold);
    auto *body = std::get_if<std::string>(&read);
    if (const auto *failure = std::get_if<CallFailure>(&read)) {
        attempt.failure = failure->message;
        attempt.connectionBroke = !failure->timedOut;
    } else if (isVisiblyTruncated(head, *body)) {
        attempt.failure = TruncatedBody;
        attempt.connectionBroke = true;
        body = nullptr;
    }
    if (body == nullptr)
        co_return steadyNow() >= m_request.deadline ? AttemptResult::TimedOut : AttemptResult::Lost;
    StoredAnswer answer { head, std::move(*body), std::move(hold) };
    // A stream that has begun can only be continued by one.
    if (head.status >= LeastErrorStatus || m_reply.begun()) {
        m_errorAnswer = std::move(answer);
        co_return AttemptResult::ErrorResponse;
    }
    const int status = head.status;
    const bool there = co_await sendWhole(std::move(answer));
    if (there)
        logDone("served", status, "");
    co_return there ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

asio::awaitable<bool> RequestFlow::sendWhole(StoredAnswer answer)
{
    answer.hold->beginSending([this] { m_reply.cut(); });
    co_return co_await m_reply.send(answer.head.status, std::move(answer.head.headers),
                                    std::move(answer.body));
}

// ---- Streams ------------------------------------------------------------------------------------

asio::awaitable<bool> RequestFlow::beginStream(const HttpResponseHead &head)
{
    if (m_reply.begun())
        co_return true;
    co_return co_await m_reply.begin(head.status, head.headers);
}

asio::awaitable<bool> RequestFlow::passEvents(const HttpResponseHead &head,
                                              std::vector<StreamEvent> events)
{
    std::string text;
    for (StreamEvent &event : events) {
        const bool seen = event.index && m_lastEvent && *event.index <= *m_lastEvent;
        if (seen)
            continue; // the caller has it from an earlier attempt
        if (event.index)
            m_lastEvent = event.index;
        if (event.hasFields)
            m_progress.hasResumePoint = event.index.has_value();
        text += event.text;
    }
    if (text.empty())
        co_return true;
    if (!co_await beginStream(head))
        co_return false;
    m_progress.eventsForwarded = true;
    co_return co_await m_reply.write(text);
}

asio::awaitable<AttemptResult> RequestFlow::takeStream(Attempt &attempt)
{
    const HttpResponseHead &head = *attempt.head;
    EventStreamParser parser;
    const auto breakOff = [&](const CallFailure &failure, bool connectionBroke) {
        attempt.failure = failure.message;
        attempt.connectionBroke = connectionBroke;
        attempt.unfinishedBytes = parser.pendingBytes();
        attempt.exchange->cancel();
        return endOf(failure);
    };
    const Instant last = m_request.deadline + AnswerSlack;
    const Duration silence =
            std::max<Duration>(LeastSilence, SilentPauses * Duration(m_route->gapObjective));
    while (true) {
        auto part = co_await attempt.exchange->readPart(last);
        if (const auto *failure = std::get_if<CallFailure>(&part))
            co_return breakOff(*failure, !failure->timedOut);
        if (isSuperseded()) {
            const CallFailure failure { true, true, false, false, "another replica goes on" };
            co_return breakOff(failure, false);
        }
        const auto &text = std::get<std::string>(part);
        if (text.empty())
            break;
        auto events = parser.add(text);
        if (parser.isOverlong()) {
            const CallFailure failure { true, false, false, false, "an event has no end" };
            co_return breakOff(failure, false);
        }
        if (events.empty())
            continue;
        const bool isProgress = hasContent(events);
        if (isProgress) {
            noteFirstByte(attempt);
            noteProgress(attempt);
            const Instant now = steadyNow();
            if (m_progress.eventsForwarded)
                m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
            m_lastEventAt = now;
        }
        if (!co_await passEvents(head, std::move(events)))
            co_return AttemptResult::CallerLeft;
        if (isProgress && m_request.resumable)
            m_silentFrom = steadyNow() + silence; // the caller may have been slow to take them
    }
    const bool isCloseDelimited = head.delimiter == BodyDelimiter::Close;
    const StreamEnd end { .isInsideEvent = parser.isInsideEvent(),
                          .isCloseDelimited = isCloseDelimited,
                          .hasEvents = attempt.firstByteSeen,
                          .isResumed = m_lastEvent.has_value() };
    if (!isComplete(end)) {
        const char *where = end.isInsideEvent ? "inside an event" : "before its first event";
        const CallFailure failure { true, false, false, false,
                                    std::string("the stream ended ") + where };
        co_return breakOff(failure, isCloseDelimited);
    }
    const std::string rest = parser.takePending();
    bool there = co_await beginStream(head);
    if (there && !rest.empty())
        there = co_await m_reply.write(rest);
    if (there)
        there = co_await m_reply.finish();
    if (there)
        logDone("served", head.status, "");
    co_return there ? AttemptResult::Delivered : AttemptResult::CallerLeft;
}

// ---- Final answers ------------------------------------------------------------------------------

asio::awaitable<void> RequestFlow::finish(NextStep step, AttemptResult end)
{
    switch (step) {
    case NextStep::Retry:
    case NextStep::Finish:
        if (end == AttemptResult::CallerLeft)
            logDone("caller_left", 0, "while_running");
        break;
    case NextStep::ForwardError: {
        const int status = m_errorAnswer->head.status;
        const bool there = co_await sendWhole(std::move(*m_errorAnswer));
        logDone(there ? "replica_error" : "caller_left", status, "");
        break;
    }
    case NextStep::Refuse: {
        const auto left = toMilliseconds(m_request.deadline - steadyNow());
        co_await answerOwn(StatusUnavailable,
                           std::clamp(left / 4, milliseconds(0), RetryWhileStarting), "refused",
                           attemptResultName(end));
        break;
    }
    case NextStep::Fail:
        co_await answerOwn(end == AttemptResult::TimedOut ? StatusGatewayTimeout : StatusBadGateway,
                           {}, "failed", attemptResultName(end));
        break;
    case NextStep::AbortStream:
        logDone("stream_cut", 0, attemptResultName(end)); // without the end mark of a whole answer
        break;
    }
}

asio::awaitable<void> RequestFlow::answerOwn(int status, milliseconds retryAfter,
                                             const char *outcome, std::string reason)
{
    logDone(outcome, status, reason);
    auto headers = m_state.ports.dialect.ownHeaders(m_caller.name, retryAfter);
    co_await m_reply.send(status, std::move(headers), std::move(reason));
}

void RequestFlow::logDone(const char *outcome, int status, const std::string &reason)
{
    const Duration taken = steadyNow() - m_arrived;
    m_state.metrics.count(std::string("burdock_answers_total{outcome=\"") + outcome + "\"}");
    m_state.metrics.observe("burdock_request_seconds", taken);
    m_state.log.line("done")
            .field("request", m_caller.name)
            .field("outcome", outcome)
            .field("status", status)
            .field("reason", reason)
            .field("failure", m_failure.empty() && m_attempt ? m_attempt->failure : m_failure)
            .field("delimiter", m_attempt ? m_attempt->delimiter : "")
            .field("unfinished_bytes", m_attempt ? m_attempt->unfinishedBytes : 0)
            .field("replica_limit", m_attempt ? m_attempt->replicaLimit : "")
            .field("route", m_route == nullptr ? std::string_view() : m_route->name)
            .field("organisation", m_organisation ? m_organisation->name : "")
            .field("copy", copyName(m_request.model, m_request.adapter))
            .field("queued", std::int64_t(m_state.scheduler.queued()))
            .field("config", m_state.config->version)
            .field("sends", m_progress.sends)
            .field("first_byte_ms", m_firstByteAfter)
            .field("longest_gap_ms", m_longestGap)
            .field("taken_ms", taken);
}

} // namespace burdock
