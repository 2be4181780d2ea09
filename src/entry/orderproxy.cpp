#include "base/hashing.h"
#include "entry/relay.h"
#include "entry/serviceproxy.h"

namespace burdock {

namespace asio = boost::asio;

namespace {

/// Everything that makes a request what it is: a key may be used again for the same request only.
std::uint64_t orderFingerprint(const ServiceCall &call)
{
    const std::uint64_t target = hashText(call.request.method + " " + call.path);
    return hashPair(target, call.request.body);
}

/// @return what to tell the caller of an attempt that was not run and has no recorded answer
Error unrunError(OrderVerdict verdict)
{
    switch (verdict) {
    case OrderVerdict::InProgress:
        return { ResultCode::OrderInProgress, "the order is being run" };
    case OrderVerdict::OutcomeUnknown:
        return { ResultCode::OutcomeUnknown,
                 "the order was sent and may have run; its answer is not known" };
    case OrderVerdict::KeyReused:
        return { ResultCode::KeyReused,
                 "the Idempotency-Key belongs to another request; nothing was run" };
    case OrderVerdict::NotRun:
    case OrderVerdict::Recorded:
        break;
    }
    return { ResultCode::RefusedLedger, "not run: the order was not recorded" };
}

asio::awaitable<void> answerRecorded(HttpReply &reply, const RecordedAnswer &answer)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", answer.contentType });
    headers.push_back({ "Idempotent-Replayed", "true" });
    if (answer.bodyOmitted)
        headers.push_back({ "X-Body-Omitted", "true" });
    co_await reply.send(answer.status, std::move(headers), answer.body);
}

asio::awaitable<void> answerUnrun(EntryState &state, HttpReply &reply,
                                  const RespondToCaller &decision)
{
    if (decision.verdict == OrderVerdict::Recorded) {
        co_await answerRecorded(reply, decision.answer);
        co_return;
    }
    const Error error = unrunError(decision.verdict);
    state.board.countRefusal(error.code);
    co_await sendError(reply, error, decision.retryAfter);
}

/// Sends one order to an upstream, once.
class OrderRun
{
public:
    /// @param attempt name in the ledger; empty for an order without a key
    OrderRun(EntryState &state, const ServiceCall &call, std::string attempt, HttpReply &reply)
        : m_state(state)
        , m_call(call)
        , m_attempt(std::move(attempt))
        , m_reply(reply)
        , m_queued(queuedRequest(state, call))
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<WholeAnswer> send(const SendRequest &send);
    asio::awaitable<void> finish(const SendRequest &send, WholeAnswer answer);
    void fail(const SendRequest &send, AttemptEnd end);
    void recordAnswer(const HttpResponse &response);

    EntryState &m_state;
    const ServiceCall &m_call;
    std::string m_attempt;
    HttpReply &m_reply;
    QueuedRequest m_queued;
};

asio::awaitable<WholeAnswer> OrderRun::send(const SendRequest &send)
{
    HttpRequest forwarded = m_call.request;
    forwarded.target = m_call.path;
    const auto endpoint = parseEndpoint(send.choice.address);
    // On a connection of its own, a failure to connect proves that no byte was sent.
    const auto exchange = m_state.http.exchange(valueOf(endpoint), true);
    co_return co_await readWhole(exchange, forwarded, m_queued.deadline, m_state.answerMemory);
}

void OrderRun::recordAnswer(const HttpResponse &response)
{
    if (m_attempt.empty())
        return;
    RecordedAnswer recorded;
    recorded.status = response.head.status;
    recorded.contentType = headerValue(response.head.headers, "Content-Type").value_or("");
    recorded.body = response.body;
    m_state.orders.onAnswered(m_attempt, std::move(recorded));
}

asio::awaitable<void> OrderRun::finish(const SendRequest &send, WholeAnswer answer)
{
    m_state.dispatcher.onFirstByte(m_queued.routing.id, send.attempt, steadyNow());
    m_state.dispatcher.onFinished(m_queued.routing.id, send.attempt, steadyNow());
    m_state.board.carryOut();
    recordAnswer(answer.response);
    co_await sendWhole(m_reply, std::move(answer));
}

void OrderRun::fail(const SendRequest &send, AttemptEnd end)
{
    const bool notSent = end == AttemptEnd::ConnectFailed;
    if (notSent)
        m_state.dispatcher.onConnectFailed(m_queued.routing.id, send.attempt, steadyNow());
    else
        m_state.dispatcher.onUpstreamFailed(m_queued.routing.id, send.attempt, false, steadyNow());
    if (!m_attempt.empty())
        notSent ? m_state.orders.onNotSent(m_attempt) : m_state.orders.onLost(m_attempt);
    m_state.board.carryOut();
}

asio::awaitable<void> OrderRun::run()
{
    const std::uint64_t id = m_queued.routing.id;
    RequestDecision decision = co_await m_state.board.submit(m_queued);
    if (const auto *sent = std::get_if<SendRequest>(&decision)) {
        WholeAnswer answer = co_await send(*sent);
        if (answer.end == AttemptEnd::Done) {
            co_await finish(*sent, std::move(answer));
            m_state.board.forget(id);
            co_return;
        }
        fail(*sent, answer.end);
        decision = co_await m_state.board.next(id);
    } else if (!m_attempt.empty()) {
        m_state.orders.onNotSent(m_attempt);
    }
    m_state.board.forget(id);
    if (const auto *refused = std::get_if<FailRequest>(&decision))
        co_await answerRefusal(m_reply, refused->refusal);
}

} // namespace

asio::awaitable<void> proxyOrder(EntryState &state, const ServiceCall &call, HttpReply &reply)
{
    const auto key = headerValue(call.request.headers, "Idempotency-Key");
    if (!key && call.route.keyRequired) {
        const Error error { ResultCode::KeyMissing, "this route needs an Idempotency-Key" };
        co_await sendError(reply, error);
        co_return;
    }
    std::string attempt;
    if (key) {
        const OrderKey order { call.service.name, *key };
        const Instant giveUpAt = call.arrived + call.route.timeout;
        const OrderDecision decision =
                co_await state.orders.begin(order, orderFingerprint(call), giveUpAt, attempt);
        if (const auto *answer = std::get_if<RespondToCaller>(&decision)) {
            co_await answerUnrun(state, reply, *answer);
            co_return;
        }
    }
    OrderRun run(state, call, attempt, reply);
    co_await run.run();
}

} // namespace burdock
