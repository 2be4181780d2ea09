#include "entry/requestrun.h"

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds PermitRetryAfter { 2'000 };

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
    m_queued.routing.preferIdleUpstream = m_state.quarantine.isSuspect(m_fingerprint);
    RequestDecision decision = co_await m_state.board.submit(m_queued);
    while (const auto *send = std::get_if<SendRequest>(&decision)) {
        if (!co_await permitted(*send))
            co_return;
        const AttemptEnd end = co_await attempt(*send);
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
    if (refused == nullptr)
        co_return true;
    m_state.dispatcher.onCancelled(m_queued.routing.id, steadyNow());
    m_state.board.carryOut();
    const bool final = refused->reason == RunRefusal::Quarantined;
    const Error error = final
            ? Error { ResultCode::RefusedQuarantined,
                      "given up: the request crashed each upstream that ran it" }
            : Error { ResultCode::UpstreamFailed, "the request may have crashed an upstream" };
    m_state.board.countRefusal(error.code);
    co_await giveUp(error, final ? std::chrono::milliseconds(0) : PermitRetryAfter);
    co_return false;
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
