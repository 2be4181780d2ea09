#include "entry/serviceproxy.h"

#include "entry/relay.h"
#include "entry/requestrun.h"

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

namespace {

/// A request to a plain service that may be repeated.
class PlainRun : public RequestRun
{
public:
    using RequestRun::RequestRun;

private:
    asio::awaitable<AttemptEnd> attempt(const SendRequest &send) override;
};

asio::awaitable<AttemptEnd> PlainRun::attempt(const SendRequest &send)
{
    HttpRequest forwarded = m_call.request;
    forwarded.target = m_call.path;
    const auto exchange = openExchange(send);
    WholeAnswer answer =
            co_await readWhole(exchange, forwarded, m_queued.deadline, m_state.answerMemory);
    if (m_reply.callerLeft())
        co_return AttemptEnd::CallerLeft;
    if (answer.end != AttemptEnd::Done)
        co_return answer.end;
    noteFirstByte(send);
    m_reply.onCallerLeft(nullptr);
    co_await sendWhole(m_reply, std::move(answer));
    co_return AttemptEnd::Done;
}

} // namespace

asio::awaitable<void> proxyPlain(EntryState &state, const ServiceCall &call, HttpReply &reply)
{
    const std::uint64_t fingerprint = requestFingerprint(
            call.service.name, call.request.method + " " + call.path, call.request.body);
    PlainRun run(state, call, queuedRequest(state, call), fingerprint, reply);
    co_await run.run();
}

} // namespace burdock
