#include "entry/requestboard.h"

namespace burdock {

namespace asio = boost::asio;

RequestBoard::RequestBoard(asio::io_context &io, Dispatcher &dispatcher, DecisionLog &log,
                           Metrics &metrics, std::string node)
    : m_io(io)
    , m_dispatcher(dispatcher)
    , m_log(log)
    , m_metrics(metrics)
    , m_node(std::move(node))
{
}

asio::awaitable<RequestDecision> RequestBoard::submit(QueuedRequest request)
{
    const std::uint64_t id = request.routing.id;
    m_waiters[id] = std::make_shared<Waiter>(m_io);
    m_dispatcher.onRequest(request, steadyNow());
    carryOut();
    co_return co_await next(id);
}

asio::awaitable<RequestDecision> RequestBoard::next(std::uint64_t id)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        co_return RequestDecision(CallerLeft {});
    const std::shared_ptr<Waiter> waiter = found->second;
    co_return co_await waiter->decision.take();
}

void RequestBoard::setExchange(std::uint64_t id, std::shared_ptr<HttpExchange> exchange)
{
    const auto found = m_waiters.find(id);
    if (found != m_waiters.end())
        found->second->exchange = std::move(exchange);
}

void RequestBoard::cancel(std::uint64_t id)
{
    m_dispatcher.onCancelled(id, steadyNow());
    decide(id, CallerLeft {});
    carryOut();
}

void RequestBoard::decide(std::uint64_t id, RequestDecision decision)
{
    const auto found = m_waiters.find(id);
    if (found == m_waiters.end())
        return;
    found->second->decision.set(std::move(decision));
}

void RequestBoard::carryOut()
{
    for (DispatchAction &action : m_dispatcher.takeActions()) {
        if (auto *send = std::get_if<SendRequest>(&action)) {
            logSend(*send);
            decide(send->id, std::move(*send));
        } else if (auto *answer = std::get_if<FailRequest>(&action)) {
            logRefusal(answer->refusal);
            decide(answer->refusal.id, std::move(*answer));
        } else if (const auto *cancelled = std::get_if<CancelAttempt>(&action)) {
            const auto found = m_waiters.find(cancelled->id);
            if (found != m_waiters.end() && found->second->exchange)
                found->second->exchange->cancel();
        }
    }
}

void RequestBoard::tick()
{
    m_dispatcher.tick(steadyNow());
    carryOut();
}

std::string RequestBoard::requestName(std::uint64_t id) const
{
    return m_node + "-" + std::to_string(id);
}

void RequestBoard::logSend(const SendRequest &send)
{
    DecisionLine line("route");
    line.field("request", requestName(send.id))
            .field("attempt", send.attempt)
            .field("upstream", send.choice.upstream)
            .field("address", send.choice.address)
            .reason(send.reason);
    m_log.write(line);
    m_metrics.count("burdock_sends_total");
}

void RequestBoard::countRefusal(ResultCode code)
{
    const std::string name(describe(code).name);
    m_metrics.count("burdock_refusals_total{code=\"" + name + "\"}");
}

void RequestBoard::logRefusal(const Refusal &refusal)
{
    DecisionLine line("refuse");
    line.field("request", requestName(refusal.id))
            .field("code", static_cast<int>(refusal.code))
            .field("not_run", refusal.notRun ? "true" : "false")
            .field("retry_after_ms", refusal.retryAfter.count())
            .reason(refusal.reason);
    m_log.write(line);
    countRefusal(refusal.code);
}

} // namespace burdock
