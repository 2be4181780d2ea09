#include "edge/requestflow.h"

#include "base/hashing.h"
#include "net/coroutines.h"

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
/// A resumable stream that stands still for this many of its longest allowed pauses is dead.
constexpr int SilentPauses = 4;
constexpr milliseconds LeastSilence { 1'200 };
/// An attempt at an unresponsive replica is ended after this many times the expected time, so that
/// another one can still be in time or nearly so.
constexpr double PatienceFactor = 6.0;
/// Bounds the memory that one whole answer may take, and all that are being read together.
constexpr std::size_t MostAnswerBytes = 16 * 1024 * 1024;
constexpr std::size_t MostAnswerBytesOfAll = 32 * 1024 * 1024;
/// Up to here an answer is read whatever the others take.
constexpr std::size_t LeastAnswerBytes = 64 * 1024;
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

/// Bytes of one body in the total of all bodies that are being read.
class CountedBytes
{
public:
    explicit CountedBytes(std::size_t &total)
        : m_total(total)
    {
    }
    ~CountedBytes() { m_total -= m_own; }
    CountedBytes(const CountedBytes &) = delete;
    CountedBytes &operator=(const CountedBytes &) = delete;

    /// @return whether so many more may be read
    bool tryAdd(std::size_t bytes)
    {
        const bool isWithinTotal =
                m_own + bytes <= LeastAnswerBytes || m_total + bytes <= MostAnswerBytesOfAll;
        if (m_own + bytes > MostAnswerBytes || !isWithinTotal)
            return false;
        m_own += bytes;
        m_total += bytes;
        return true;
    }

private:
    std::size_t &m_total;
    std::size_t m_own = 0;
};

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
    , m_arrived(steadyNow() - state.delay.current())
{
    m_state.flows.insert(this);
}

RequestFlow::~RequestFlow()
{
    m_state.flows.erase(this);
}

void RequestFlow::giveUp()
{
    m_givenUp = true;
    if (m_exchange && !m_reply.begun())
        m_exchange->cancel();
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
    buildRequest();
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
    m_request.priority = m_route->priority;
    m_request.attempts = std::max(1, m_route->attempts);
    m_request.arrivedAt = m_arrived;
    m_request.firstByteObjective = m_arrived + m_route->latencyObjective;
    const milliseconds left =
            std::min(m_caller.timeLeft.value_or(m_route->timeout), m_route->timeout);
    m_request.deadline = m_arrived + left;
    m_lastEvent = m_caller.resumeAfter;
    const std::uint64_t content = hashPair(hashText(m_raw.method + " " + m_raw.host + m_raw.target),
                                           m_raw.body + "\n" + m_caller.model);
    std::vector<std::uint64_t> parts;
    parts.reserve(m_caller.prompt.size());
    for (const PromptPart &part : m_caller.prompt)
        parts.push_back(part.id);
    m_keys = m_state.suspects.keysOf(content, parts);
}

void RequestFlow::onCallerLeft()
{
    m_callerLeft = true;
    if (m_exchange)
        m_exchange->cancel();
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

asio::awaitable<void> RequestFlow::endRun(const StartRequest &start, AttemptResult end)
{
    if (!std::exchange(m_isRunCounted, false))
        co_return;
    const bool isLost = (end == AttemptResult::Lost || end == AttemptResult::StreamCut)
            && (m_connectionBroke || m_keptConnectionBroke);
    const bool isServed = end == AttemptResult::Delivered && m_isProof;
    if ((isLost || (isServed && m_endedWithConnection)) && !isExpectedEnd(start)) {
        const auto endpoint = parseEndpoint(start.choice.address);
        BrokenRun broken { start.choice.id, start.choice.startedMs, std::move(m_run), isServed,
                           m_caller.name };
        co_await m_announcer.announceLoss(std::move(broken), valueOf(endpoint));
    } else if (isServed && !m_endedWithConnection) {
        m_state.suspects.onServed(std::move(m_run));
    } else {
        m_state.suspects.onEnded(std::move(m_run));
    }
}

// ---- Attempts -----------------------------------------------------------------------------------

asio::awaitable<void> RequestFlow::serve()
{
    bool attempted = false;
    while (true) {
        if (attempted && co_await refusedAsSuspect())
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
        const AttemptResult end = co_await attempt(start);
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
                .field("replica", start.choice.id)
                .field("failure", m_failure)
                .field("delimiter", m_delimiter)
                .field("unfinished_bytes", m_unfinishedBytes)
                .field("replica_limit", m_replicaLimit)
                .field("sends", m_progress.sends)
                .field("budget", m_state.budgetOf(m_request.service).tokens());
        m_state.metrics.count("burdock_retries_total");
        if (m_connectionBroke || !m_keptFailed)
            m_excluded.push_back(start.choice.id); // not for a dropped connection alone
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

asio::awaitable<AttemptResult> RequestFlow::attempt(const StartRequest &start)
{
    const ReplicaRow *row = m_state.replicas.find(start.choice.id);
    m_state.log.line("send")
            .field("request", m_caller.name)
            .field("route", m_route->name)
            .field("config", m_config->version)
            .field("copy", copyName(m_request.model, m_request.adapter))
            .field("replica", start.choice.id)
            .field("address", start.choice.address)
            .field("waited_ms", start.waited)
            .field("expected_ms", start.choice.expectedFirstByte)
            .field("load", start.choice.load)
            .field("load_age_ms",
                   row == nullptr || row->loadReceivedAt == Instant {}
                           ? Duration(-1'000)
                           : steadyNow() - row->loadReceivedAt)
            .field("fresh_tokens", start.choice.freshTokens)
            .field("weighed", start.choice.comparedReplicas);
    m_awaitsHead = true;
    m_firstByteSeen = false;
    m_hasAlternative = start.choice.comparedReplicas > 1;
    m_connectionBroke = false;
    m_keptConnectionBroke = false;
    m_endedWithConnection = false;
    m_isProof = false;
    m_failure.clear();
    m_delimiter = "";
    m_replicaLimit.clear();
    m_unfinishedBytes = 0;
    AttemptResult end = co_await exchangeOnce(start);
    noteHead(start);
    m_exchange.reset();
    if (m_callerLeft && end != AttemptResult::Delivered)
        end = AttemptResult::CallerLeft;
    noteEnd(start, end);
    co_await endRun(start, end);
    co_return end;
}

/// @return whether giving up the current attempt could lead to another one
bool RequestFlow::mayTryAnother() const
{
    const int runs = m_progress.runs + (m_awaitsHead ? 1 : 0); // with the current attempt
    return m_request.repeatable && runs < m_request.attempts && m_hasAlternative
            && m_state.budgetOf(m_request.service).tokens() >= 1.0;
}

Instant RequestFlow::firstByteDeadline(const StartRequest &start) const
{
    const Instant last = m_request.deadline + AnswerSlack;
    if (!mayTryAnother())
        return last;
    const Duration firstByteObjective = m_request.firstByteObjective - m_request.arrivedAt;
    const auto expected = Duration(static_cast<Duration::rep>(
            double(start.choice.expectedFirstByte.count()) * PatienceFactor));
    return std::min(last, m_sentAt + std::max(firstByteObjective, expected));
}

/// The last look before the first byte goes to a replica: the choice may be long past by then, on a
/// node that is short of processor time or after a slow connection.
bool RequestFlow::mayStillSend()
{
    const Instant now = steadyNow();
    const ReplicaChoice &choice = m_start->choice;
    const ReplicaRow *row = m_state.replicas.find(choice.id);
    if (now >= m_request.deadline)
        m_withheld = "deadline";
    else if (m_callerLeft || (now >= m_arrived + CallerCheckAfter && m_reply.checkCallerLeft()))
        m_withheld = "caller_left";
    else if (row == nullptr || row->generation != choice.generation
             || m_state.replicas.isDrained(*row, now))
        m_withheld = "replica_left";
    if (*m_withheld != '\0')
        return false;
    m_run = { m_keys, {}, {}, {} };
    m_isRunCounted = m_state.suspects.tryStart(m_run);
    if (!m_isRunCounted)
        m_withheld = CrashesReplicas;
    return m_isRunCounted;
}

asio::awaitable<AttemptResult> RequestFlow::exchangeOnce(const StartRequest &start)
{
    const auto endpoint = parseEndpoint(start.choice.address);
    if (!isOk(endpoint))
        co_return AttemptResult::ConnectFailed;
    m_sentAt = steadyNow();
    const Duration left = m_request.deadline - m_sentAt;
    if (left <= Duration::zero())
        co_return AttemptResult::TimedOut;
    ReplicaSend send;
    send.replica = start.choice.id;
    send.timeLeft = toMilliseconds(left);
    send.resumeAfter = m_lastEvent;
    send.urgency = std::min(FirstUrgency + m_request.priority, LastUrgency);

    // Whether a request arrived on a kept connection that its replica has just dropped is not
    // certain, and only requests that may be repeated can be sent again then.
    const bool fresh = !m_request.repeatable || m_keptFailed;
    m_exchange = m_state.replicasHttp.exchange(valueOf(endpoint), fresh);
    const HttpRequest request = m_state.ports.dialect.encode(m_caller, send);
    m_withheld = "";
    m_start = &start;
    const auto result = co_await m_exchange->start(request, firstByteDeadline(start), this);
    noteHead(start);
    if (const auto *failure = std::get_if<CallFailure>(&result)) {
        m_failure = failure->message;
        if (!failure->bytesSent && steadyNow() >= m_request.deadline)
            co_return AttemptResult::TimedOut;
        if (*m_withheld != '\0') {
            m_failure += std::string(": ") + m_withheld;
            co_return AttemptResult::NotRun;
        }
        if (failure->refused)
            m_state.suspects.onRefused(start.choice.id);
        m_connectionBroke = !failure->timedOut && !failure->keptConnection;
        m_keptConnectionBroke = !failure->timedOut && failure->keptConnection;
        m_keptFailed = m_keptFailed || (failure->keptConnection && !failure->timedOut);
        if (failure->bytesSent) {
            m_progress.sends++;
            m_progress.runs++;
        }
        co_return endOf(*failure);
    }
    m_progress.sends++;
    const auto &head = std::get<HttpResponseHead>(result);
    m_delimiter = bodyDelimiterName(head.delimiter);
    const ReplicaAnswer answer = m_state.ports.dialect.readHead(head, m_caller, start.choice.id);
    m_endedWithConnection = head.delimiter == BodyDelimiter::Close;
    m_isProof = head.status >= StatusOk && head.status < LeastRedirectStatus;
    if (!answer.foreign && !answer.otherReplica)
        m_state.suspects.onAnswer(start.choice.id, m_sentAt);
    if (answer.requestLimit)
        m_replicaLimit = std::to_string(*answer.requestLimit);
    else
        m_replicaLimit = answer.malformedLimit;
    if (answer.load)
        m_state.replicas.onLoadReport(start.choice.id, *answer.load, steadyNow());
    takeSignals(start, answer);
    if (answer.notRun) {
        co_await discardBody();
        if (answer.otherReplica)
            co_return AttemptResult::OtherReplica;
        co_return answer.copyAbsent ? AttemptResult::CopyAbsent : AttemptResult::NotRun;
    }
    m_progress.runs++;
    if (answer.foreign) {
        m_failure = "the answer is another request's or does not prove its replica";
        m_exchange->cancel();
        co_return AttemptResult::Lost;
    }
    if (m_request.streams && head.status == StatusOk && isEventStream(head))
        co_return co_await takeStream(head, start);
    noteFirstByte(start);
    co_return co_await takeWhole(head);
}

/// The replica has begun to answer, or will not.
void RequestFlow::noteHead(const StartRequest &start)
{
    if (std::exchange(m_awaitsHead, false))
        m_state.replicas.limits().onHead(start.choice.id);
}

void RequestFlow::takeSignals(const StartRequest &start, const ReplicaAnswer &answer)
{
    const SignalSource source { start.choice.id, start.choice.startedMs, m_sentAt, m_caller.name };
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

void RequestFlow::noteFirstByte(const StartRequest &start)
{
    if (std::exchange(m_firstByteSeen, true))
        return;
    const Duration taken = steadyNow() - m_sentAt;
    const double expected =
            double(std::max<Duration::rep>(1, start.choice.expectedFirstByte.count()));
    m_state.replicas.onFirstByte(start.choice.id, start.choice.generation,
                                 double(taken.count()) / expected * start.choice.slowness,
                                 steadyNow());
    m_state.chooser.onFirstByte(m_request.service, !m_request.model.empty(), taken);
    m_firstByteAfter = steadyNow() - m_arrived;
    m_state.metrics.observe("burdock_first_byte_seconds", m_firstByteAfter);
}

void RequestFlow::noteEnd(const StartRequest &start, AttemptResult end)
{
    const Instant now = steadyNow();
    const std::string &id = start.choice.id;
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
            row != nullptr && row->generation == start.choice.generation)
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
    m_state.replicas.onFinished(id, start.choice.generation, outcome, now);
    m_state.waiting.pump();
}

// ---- Whole answers ------------------------------------------------------------------------------

asio::awaitable<std::optional<std::string>> RequestFlow::readWholeBody()
{
    std::string body;
    const Instant last = m_request.deadline + AnswerSlack;
    CountedBytes counted(m_state.answerBytes);
    while (true) {
        auto part = co_await m_exchange->readPart(last);
        if (const auto *failure = std::get_if<CallFailure>(&part)) {
            m_failure = failure->message;
            m_connectionBroke = !failure->timedOut;
            co_return std::nullopt;
        }
        const auto &text = std::get<std::string>(part);
        if (text.empty())
            co_return body;
        if (!counted.tryAdd(text.size())) {
            m_failure = "the answer is longer than this node buffers";
            m_exchange->cancel();
            co_return std::nullopt;
        }
        body += text;
    }
}

asio::awaitable<void> RequestFlow::discardBody()
{
    const Instant last = std::min<Instant>(m_request.deadline, steadyNow() + UnusedBodyTime);
    const auto body = co_await readBody(*m_exchange, last, MostUnusedBytes);
    if (const auto *failure = std::get_if<CallFailure>(&body))
        m_failure = failure->message;
}

asio::awaitable<AttemptResult> RequestFlow::takeWhole(const HttpResponseHead &head)
{
    auto body = co_await readWholeBody();
    if (body && isVisiblyTruncated(head, *body)) {
        m_failure = TruncatedBody;
        m_connectionBroke = true;
        body.reset();
    }
    if (!body)
        co_return steadyNow() >= m_request.deadline ? AttemptResult::TimedOut : AttemptResult::Lost;
    StoredAnswer answer { head, std::move(*body) };
    // A stream that has begun can only be continued by one.
    if (head.status >= LeastErrorStatus || m_reply.begun()) {
        m_errorAnswer = std::move(answer);
        co_return AttemptResult::ErrorResponse;
    }
    const int status = head.status;
    const bool there =
            co_await m_reply.send(status, std::move(answer.head.headers), std::move(answer.body));
    if (there)
        logDone("served", status, "");
    co_return there ? AttemptResult::Delivered : AttemptResult::CallerLeft;
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

asio::awaitable<AttemptResult> RequestFlow::takeStream(const HttpResponseHead &head,
                                                       const StartRequest &start)
{
    EventStreamParser parser;
    const auto breakOff = [&](const CallFailure &failure, bool connectionBroke) {
        m_failure = failure.message;
        m_connectionBroke = connectionBroke;
        m_unfinishedBytes = parser.pendingBytes();
        m_exchange->cancel();
        return endOf(failure);
    };
    const Instant last = m_request.deadline + AnswerSlack;
    const Duration silence =
            std::max<Duration>(LeastSilence, SilentPauses * Duration(m_route->gapObjective));
    Instant silentUntil; // from the latest event that is more than a comment
    while (true) {
        const Instant before = m_firstByteSeen ? silentUntil : firstByteDeadline(start);
        const bool canResume = m_request.resumable && mayTryAnother();
        auto part = co_await m_exchange->readPart(canResume ? std::min(before, last) : last);
        if (const auto *failure = std::get_if<CallFailure>(&part))
            co_return breakOff(*failure, !failure->timedOut);
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
            noteFirstByte(start);
            const Instant now = steadyNow();
            if (m_progress.eventsForwarded)
                m_longestGap = std::max(m_longestGap, now - m_lastEventAt);
            m_lastEventAt = now;
        }
        if (!co_await passEvents(head, std::move(events)))
            co_return AttemptResult::CallerLeft;
        if (isProgress)
            silentUntil = steadyNow() + silence; // the caller may have been slow to take them
    }
    const bool isCloseDelimited = head.delimiter == BodyDelimiter::Close;
    const StreamEnd end { .isInsideEvent = parser.isInsideEvent(),
                          .isCloseDelimited = isCloseDelimited,
                          .hasEvents = m_firstByteSeen,
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
        const bool there = co_await m_reply.send(status, std::move(m_errorAnswer->head.headers),
                                                 std::move(m_errorAnswer->body));
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
            .field("failure", m_failure)
            .field("delimiter", m_delimiter)
            .field("unfinished_bytes", m_unfinishedBytes)
            .field("replica_limit", m_replicaLimit)
            .field("route", m_route == nullptr ? std::string_view() : m_route->name)
            .field("copy", copyName(m_request.model, m_request.adapter))
            .field("queued", std::int64_t(m_state.scheduler.queued()))
            .field("config", m_state.config->version)
            .field("sends", m_progress.sends)
            .field("first_byte_ms", m_firstByteAfter)
            .field("longest_gap_ms", m_longestGap)
            .field("taken_ms", taken);
}

} // namespace burdock
