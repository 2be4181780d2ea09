#include "entry/requestrun.h"

#include "base/hashing.h"

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PermitRetryAfter { 2'000 };
constexpr const char *MayHaveCrashed = "the request may have crashed an upstream";

} // namespace

RequestRun::RequestRun(EntryState &state, const ServiceCall &call, QueuedRequest queued,
                       std::uint64_t fingerprint, HttpReply &reply)
    : m_state(state)
    , m_call(call)
    , m_queued(std::move(queued))
    , m_reply(reply)
    , m_fingerprint(fingerprint)
    , m_requestName(state.board.requestName(m_queued.routing.id))
{
}

std::string RequestRun::runName(const SendRequest &send) const
{
    return m_requestName + "/" + std::to_string(m_state.incarnation) + "/"
            + std::to_string(send.attempt);
}

void RequestRun::noteFirstByte(const SendRequest &send)
{
    m_state.dispatcher.onFirstByte(m_queued.routing.id, send.attempt, steadyNow());
    m_state.metrics.observe("burdock_first_byte_seconds", steadyNow() - m_call.arrived);
}

std::shared_ptr<HttpExchange> RequestRun::openExchange(const SendRequest &send)
{
    const auto endpoint = parseEndpoint(send.choice.address);
    auto exchange = m_state.http.exchange(valueOf(endpoint), false);
    m_state.board.setExchange(m_queued.routing.id, exchange);
    return exchange;
}

asio::awaitable<void> RequestRun::run()
{
    const std::uint64_t id = m_queued.routing.id;
    m_reply.onCallerLeft([&state = m_state, id] { state.board.cancel(id); });
    co_await runAttempts();
    m_reply.onCallerLeft(nullptr);
    m_state.board.forget(id);
}

asio::awaitable<void> RequestRun::runAttempts()
{
    // A known suspect goes where little else is at stake from its first attempt on.
    if (co_await refusedAsSuspect())
        co_return;
    m_queued.routing.preferIdleUpstream = m_state.quarantine.isSuspect(m_fingerprint);
    RequestDecision decision = co_await m_state.board.submit(m_queued);
    while (const auto *send = std::get_if<SendRequest>(&decision)) {
        if (!co_await permitted(*send))
            co_return;
        const AttemptEnd end = co_await attempt(*send);
        co_await endSuspectRun(*send, end);
        report(*send, runName(*send), end);
        if (end == AttemptEnd::Done || end == AttemptEnd::CallerLeft)
            co_return;
        decision = co_await m_state.board.next(m_queued.routing.id);
    }
    const auto *refused = std::get_if<FailRequest>(&decision);
    if (refused == nullptr)
        co_return;
    const Refusal &refusal = refused->refusal;
    const Error error { refusal.code, (refusal.notRun ? "not run: " : "") + refusal.reason };
    co_await giveUp(error, refusal.retryAfter);
}

asio::awaitable<bool> RequestRun::permitted(const SendRequest &send)
{
    const RunPermit permit =
            co_await m_state.quarantine.ask(runName(send), m_fingerprint, m_mayHaveRun);
    const auto *refused = std::get_if<RefuseRun>(&permit);
    m_suspectRun = { m_partKeys, {}, {}, {} };
    if (refused == nullptr && m_state.suspects.tryStart(m_suspectRun))
        co_return true;
    m_state.dispatcher.onCancelled(m_queued.routing.id, steadyNow());
    m_state.board.carryOut();
    if (refused == nullptr) {
        m_state.quarantine.onAbandoned(runName(send));
        if (!co_await refusedAsSuspect())
            co_await refuse(false, MayHaveCrashed);
        co_return false;
    }
    if (refused->reason == RunRefusal::Quarantined)
        co_await refuse(true, "given up: the request crashed each upstream that ran it");
    else
        co_await refuse(false, MayHaveCrashed);
    co_return false;
}

asio::awaitable<void> RequestRun::refuse(bool isFinal, const char *reason)
{
    const Error error { isFinal ? ResultCode::RefusedQuarantined : ResultCode::UpstreamFailed,
                        reason };
    m_state.board.countRefusal(error.code);
    co_await giveUp(error, isFinal ? std::chrono::milliseconds(0) : PermitRetryAfter);
}

void RequestRun::setPromptParts(const std::vector<std::uint64_t> &parts)
{
    m_partKeys = m_state.suspects.keysOf(m_fingerprint, parts);
    m_partKeys.erase(m_partKeys.begin()); // the quarantine sees to the request as a whole
}

/// @return whether the request was refused because of a part of its prompt
asio::awaitable<bool> RequestRun::refusedAsSuspect()
{
    const auto key = m_state.suspects.blockingKey(m_partKeys);
    if (!key)
        co_return false;
    const bool isFinal = m_state.suspects.isRefused(*key);
    DecisionLine line("quarantine");
    line.field("request", m_requestName).field("part", hashToHex(*key));
    line.reason(isFinal ? "a part of the prompt crashes upstreams" : "the part is under trial");
    m_state.log.write(line);
    co_await refuse(isFinal,
                    isFinal ? "given up: a part of the prompt crashes upstreams" : MayHaveCrashed);
    co_return true;
}

asio::awaitable<void> RequestRun::endSuspectRun(const SendRequest &send, AttemptEnd end)
{
    const std::string &upstream = send.choice.upstream;
    const UpstreamRow *row = m_state.upstreams.find(upstream);
    const auto endpoint = parseEndpoint(send.choice.address);
    if (end == AttemptEnd::Done) {
        m_state.suspects.onServed(std::move(m_suspectRun));
    } else if (end == AttemptEnd::Lost && row != nullptr && isOk(endpoint)
               && m_state.leaving.mayReceive(upstream)) {
        BrokenRun broken { upstream, row->info.incarnation, std::move(m_suspectRun), false,
                           runName(send) };
        co_await m_state.suspects.onConnectionEnded(std::move(broken), valueOf(endpoint));
    } else {
        m_state.suspects.onEnded(std::move(m_suspectRun));
    }
}

asio::awaitable<void> RequestRun::giveUp(const Error &error, std::chrono::milliseconds retryAfter)
{
    co_await sendError(m_reply, error, retryAfter);
}

void RequestRun::report(const SendRequest &send, const std::string &run, AttemptEnd end)
{
    const std::uint64_t id = m_queued.routing.id;
    m_mayHaveRun = m_mayHaveRun || end != AttemptEnd::ConnectFailed;
    switch (end) {
    case AttemptEnd::Done:
        m_state.quarantine.onCompleted(run);
        m_state.dispatcher.onFinished(id, send.attempt, steadyNow());
        break;
    case AttemptEnd::ConnectFailed:
        m_state.quarantine.onAbandoned(run);
        m_state.dispatcher.onConnectFailed(id, send.attempt, steadyNow());
        break;
    case AttemptEnd::Lost:
        m_state.quarantine.onUpstreamLost(m_state.upstreamProcess(send.choice.upstream), run);
        m_state.dispatcher.onUpstreamFailed(id, send.attempt, mayRetry(), steadyNow());
        break;
    case AttemptEnd::NotHeld:
        m_state.forgetCopy(send.choice.upstream, m_queued.routing.key);
        m_state.quarantine.onAbandoned(run);
        m_state.dispatcher.onUpstreamFailed(id, send.attempt, mayRetry(), steadyNow());
        break;
    case AttemptEnd::Failed:
        m_state.quarantine.onAbandoned(run);
        m_state.dispatcher.onUpstreamFailed(id, send.attempt, mayRetry(), steadyNow());
        break;
    case AttemptEnd::CallerLeft:
        m_state.quarantine.onAbandoned(run);
        m_state.metrics.count("burdock_callers_left_total");
        break;
    }
    m_state.board.carryOut();
}

} // namespace burdock
