#include "entry/serviceproxy.h"

#include "entry/relay.h"

namespace burdock {

namespace asio = boost::asio;

std::string customerOf(const HttpRequest &request)
{
    return headerValue(request.headers, "X-Customer").value_or("anonymous");
}

QueuedRequest queuedRequest(EntryState &state, const ServiceCall &call)
{
    QueuedRequest queued;
    queued.routing.id = state.board.newId();
    queued.routing.requestClass = call.route.requestClass;
    queued.routing.customer = customerOf(call.request);
    queued.routing.key = call.service.upstreamGroup;
    queued.arrived = call.arrived;
    queued.deadline = call.arrived + call.route.timeout;
    return queued;
}

asio::awaitable<void> answerRefusal(HttpReply &reply, const Refusal &refusal)
{
    const Error error { refusal.code, (refusal.notRun ? "not run: " : "") + refusal.reason };
    co_await sendError(reply, error, refusal.retryAfter);
}

asio::awaitable<void> proxyPlain(EntryState &state, const ServiceCall &call, HttpReply &reply)
{
    const QueuedRequest queued = queuedRequest(state, call);
    const std::uint64_t id = queued.routing.id;
    reply.onCallerLeft([&state, id] { state.board.cancel(id); });

    HttpRequest forwarded = call.request;
    forwarded.target = call.path;
    RequestDecision decision = co_await state.board.submit(queued);
    while (const auto *send = std::get_if<SendRequest>(&decision)) {
        const auto endpoint = parseEndpoint(send->choice.address);
        const auto exchange = state.http.exchange(valueOf(endpoint), false);
        state.board.setExchange(id, exchange);
        WholeAnswer answer = co_await readWhole(exchange, forwarded, queued.deadline);
        if (reply.callerLeft())
            break;
        if (answer.end == AttemptEnd::Done) {
            state.dispatcher.onFirstByte(id, send->attempt, steadyNow());
            state.dispatcher.onFinished(id, send->attempt, steadyNow());
            state.board.carryOut();
            state.metrics.observe("burdock_answer_seconds", steadyNow() - call.arrived);
            reply.onCallerLeft(nullptr);
            co_await reply.send(answer.response.head.status, answer.response.head.headers,
                                std::move(answer.response.body));
            break;
        }
        if (answer.end == AttemptEnd::ConnectFailed)
            state.dispatcher.onConnectFailed(id, send->attempt, steadyNow());
        else
            state.dispatcher.onUpstreamFailed(id, send->attempt, true, steadyNow());
        state.board.carryOut();
        decision = co_await state.board.next(id);
    }
    if (const auto *refused = std::get_if<GiveAnswer>(&decision))
        co_await answerRefusal(reply, refused->refusal);
    state.board.forget(id);
}

} // namespace burdock
