#include "entry/relay.h"

namespace burdock {

namespace asio = boost::asio;

namespace {

AttemptEnd endOf(const CallFailure &failure)
{
    return failure.bytesSent ? AttemptEnd::Failed : AttemptEnd::ConnectFailed;
}

} // namespace

asio::awaitable<WholeAnswer> readWhole(std::shared_ptr<HttpExchange> exchange,
                                       const HttpRequest &request, Instant deadline)
{
    WholeAnswer answer;
    auto head = co_await exchange->start(request, deadline);
    if (const auto *failure = std::get_if<CallFailure>(&head)) {
        answer.end = endOf(*failure);
        answer.failure = failure->message;
        co_return answer;
    }
    answer.response.head = std::move(std::get<HttpResponseHead>(head));
    while (true) {
        auto part = co_await exchange->readPart(deadline);
        if (const auto *failure = std::get_if<CallFailure>(&part)) {
            answer.failure = failure->message;
            co_return answer;
        }
        const auto &text = std::get<std::string>(part);
        if (text.empty())
            break;
        answer.response.body += text;
    }
    answer.end = AttemptEnd::Done;
    co_return answer;
}

StreamRelay::StreamRelay(HttpReply &reply, std::string requestId)
    : m_reply(reply)
    , m_requestId(std::move(requestId))
{
}

asio::awaitable<AttemptEnd> StreamRelay::run(std::shared_ptr<HttpExchange> exchange,
                                             HttpRequest request, Instant firstByteDeadline,
                                             std::chrono::milliseconds gapTimeout,
                                             const std::function<void()> &onFirstByte)
{
    if (m_next > 0)
        request.headers.push_back({ "X-Resume-From", std::to_string(m_next) });
    auto head = co_await exchange->start(request, firstByteDeadline);
    if (const auto *failure = std::get_if<CallFailure>(&head)) {
        m_failure = failure->message;
        co_return m_reply.callerLeft() ? AttemptEnd::CallerLeft : endOf(*failure);
    }
    const auto &answer = std::get<HttpResponseHead>(head);
    const bool ownAnswer = headerValue(answer.headers, "X-Request-Id") == m_requestId;
    if (answer.status != 200 || !ownAnswer) {
        m_failure = ownAnswer ? "status " + std::to_string(answer.status)
                              : "the answer belongs to another request";
        exchange->cancel();
        co_return AttemptEnd::Failed;
    }
    onFirstByte();

    EventStreamParser parser;
    while (!m_ended) {
        auto part = co_await exchange->readPart(steadyNow() + gapTimeout);
        if (m_reply.callerLeft())
            co_return AttemptEnd::CallerLeft;
        const auto *text = std::get_if<std::string>(&part);
        if (text == nullptr || text->empty()) {
            m_failure = text == nullptr ? std::get<CallFailure>(part).message
                                        : "the stream ended without its end mark";
            co_return AttemptEnd::Failed;
        }
        const AttemptEnd end = co_await deliver(parser.add(*text));
        if (end != AttemptEnd::Done) {
            exchange->cancel();
            co_return end;
        }
    }
    const bool there = co_await m_reply.finish();
    co_return there ? AttemptEnd::Done : AttemptEnd::CallerLeft;
}

asio::awaitable<AttemptEnd> StreamRelay::deliver(std::vector<StreamEvent> events)
{
    std::string text;
    for (const StreamEvent &event : events) {
        if (event.index && *event.index < m_next)
            continue;
        if (event.index && *event.index > m_next) {
            m_failure = "event " + std::to_string(m_next) + " is missing";
            co_return AttemptEnd::Failed;
        }
        m_next += event.index ? 1 : 0;
        m_ended = m_ended || event.isEnd;
        text += event.text;
    }
    if (!m_reply.begun()) {
        std::vector<HttpHeader> headers;
        headers.push_back({ "Content-Type", "text/event-stream" });
        headers.push_back({ "X-Request-Id", m_requestId });
        co_await m_reply.begin(200, std::move(headers));
    }
    const bool there = co_await m_reply.write(text);
    co_return there ? AttemptEnd::Done : AttemptEnd::CallerLeft;
}

asio::awaitable<void> StreamRelay::truncate(const Error &error)
{
    const std::string event = "event: error\ndata: " + errorBody(error) + "\n\n";
    co_await m_reply.write(event);
    co_await m_reply.finish();
}

} // namespace burdock
