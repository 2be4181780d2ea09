#include "entry/relay.h"

#include <charconv>

namespace burdock {

namespace asio = boost::asio;

namespace {

AttemptEnd endOf(const CallFailure &failure)
{
    if (!failure.bytesSent)
        return AttemptEnd::ConnectFailed;
    return failure.timedOut ? AttemptEnd::Failed : AttemptEnd::Lost;
}

} // namespace

asio::awaitable<WholeAnswer> readWhole(std::shared_ptr<HttpExchange> exchange,
                                       const HttpRequest &request, Instant deadline,
                                       BodyMemory &memory)
{
    WholeAnswer answer;
    auto head = co_await exchange->start(request, deadline, nullptr);
    if (const auto *failure = std::get_if<CallFailure>(&head)) {
        answer.end = endOf(*failure);
        answer.failure = failure->message;
        co_return answer;
    }
    answer.response.head = std::move(std::get<HttpResponseHead>(head));
    answer.hold = std::make_unique<BodyHold>(memory);
    auto body = co_await readBody(*exchange, deadline, *answer.hold);
    if (const auto *failure = std::get_if<CallFailure>(&body)) {
        answer.end = endOf(*failure);
        answer.failure = failure->message;
        answer.hold.reset();
        co_return answer;
    }
    answer.response.body = std::move(std::get<std::string>(body));
    if (isVisiblyTruncated(answer.response.head, answer.response.body)) {
        answer.end = AttemptEnd::Lost;
        answer.failure = TruncatedBody;
        answer.response.body = {};
        answer.hold.reset();
        co_return answer;
    }
    answer.end = AttemptEnd::Done;
    co_return answer;
}

asio::awaitable<bool> sendWhole(HttpReply &reply, WholeAnswer answer)
{
    answer.hold->beginSending([&reply] { reply.cut(); });
    co_return co_await reply.send(answer.response.head.status,
                                  std::move(answer.response.head.headers),
                                  std::move(answer.response.body));
}

StreamRelay::StreamRelay(HttpReply &reply, std::uint64_t request, std::string requestName)
    : m_reply(reply)
    , m_request(request)
    , m_requestName(std::move(requestName))
    , m_check(request)
{
}

AttemptEnd StreamRelay::breakOff(int attempt, AttemptEnd end, std::string failure)
{
    m_failure = std::move(failure);
    m_check.onStreamEnded(attempt);
    return m_reply.callerLeft() ? AttemptEnd::CallerLeft : end;
}

/// Reads from the head whose answer it is and where it begins.
bool StreamRelay::acceptHead(const HttpResponseHead &head, ResponsePart &part)
{
    const bool own = headerValue(head.headers, "X-Request-Id") == m_requestName;
    if (head.status != 200) {
        m_failure = "status " + std::to_string(head.status);
        return false;
    }
    const std::string begin = headerValue(head.headers, "X-Resumed-From").value_or("0");
    part.request = own ? m_request : 0;
    std::from_chars(begin.data(), begin.data() + begin.size(), part.begin);
    part.index = part.begin;
    return true;
}

asio::awaitable<AttemptEnd> StreamRelay::run(StreamAttempt attempt)
{
    m_check.beginAttempt(attempt.number);
    if (m_check.delivered() > 0)
        attempt.request.headers.push_back({ "X-Resume-From", std::to_string(m_check.delivered()) });
    auto head =
            co_await attempt.exchange->start(attempt.request, attempt.firstByteDeadline, nullptr);
    if (const auto *failure = std::get_if<CallFailure>(&head)) {
        co_return breakOff(attempt.number, endOf(*failure), failure->message);
    }
    ResponsePart part;
    part.attempt = attempt.number;
    if (!acceptHead(std::get<HttpResponseHead>(head), part)) {
        attempt.exchange->cancel();
        const int status = std::get<HttpResponseHead>(head).status;
        const AttemptEnd end = status == NotHeldStatus ? AttemptEnd::NotHeld : AttemptEnd::Failed;
        co_return breakOff(attempt.number, end, m_failure);
    }
    attempt.onFirstByte();
    const AttemptEnd end = co_await relayEvents(attempt, part);
    if (end != AttemptEnd::Done) {
        attempt.exchange->cancel();
        co_return end;
    }
    const bool there = co_await m_reply.finish();
    co_return there ? AttemptEnd::Done : AttemptEnd::CallerLeft;
}

asio::awaitable<AttemptEnd> StreamRelay::relayEvents(StreamAttempt &attempt, ResponsePart part)
{
    EventStreamParser parser;
    Instant silentUntil = steadyNow() + attempt.gapTimeout;
    while (!m_check.isComplete()) {
        auto read = co_await attempt.exchange->readPart(silentUntil);
        if (const auto *failure = std::get_if<CallFailure>(&read))
            co_return breakOff(attempt.number, endOf(*failure), failure->message);
        const auto &text = std::get<std::string>(read);
        if (text.empty())
            co_return breakOff(attempt.number, AttemptEnd::Failed,
                               "the stream ended without its end mark");
        auto events = parser.add(text);
        if (parser.isOverlong())
            co_return breakOff(attempt.number, AttemptEnd::Failed, "an event has no end");
        const bool isProgress = hasContent(events);
        const AttemptEnd end = co_await deliver(std::move(events), part);
        if (end != AttemptEnd::Done)
            co_return end;
        if (isProgress)
            silentUntil = steadyNow() + attempt.gapTimeout;
    }
    co_return AttemptEnd::Done;
}

asio::awaitable<AttemptEnd> StreamRelay::deliver(std::vector<StreamEvent> events,
                                                 ResponsePart &part)
{
    std::string text;
    AttemptEnd end = AttemptEnd::Done;
    for (const StreamEvent &event : events) {
        part.index = event.index.value_or(part.index);
        part.last = event.isEnd;
        const ResponseAction action = m_check.onPart(part);
        ++part.index;
        if (std::holds_alternative<DeliverPart>(action)) {
            text += event.text;
        } else if (!std::holds_alternative<DropPart>(action)) {
            m_failure = "part " + std::to_string(m_check.delivered()) + " is missing";
            end = AttemptEnd::Failed;
            break;
        }
    }
    const bool there = text.empty() || co_await writeText(text);
    co_return there ? end : AttemptEnd::CallerLeft;
}

asio::awaitable<bool> StreamRelay::writeText(const std::string &text)
{
    if (!m_reply.begun()) {
        std::vector<HttpHeader> headers;
        headers.push_back({ "Content-Type", "text/event-stream" });
        headers.push_back({ "X-Request-Id", m_requestName });
        co_await m_reply.begin(200, std::move(headers));
    }
    co_return co_await m_reply.write(text);
}

asio::awaitable<void> StreamRelay::truncate(const Error &error)
{
    const std::string event = "event: error\ndata: " + errorBody(error) + "\n\n";
    co_await m_reply.write(event); // without finish(): the framing must show the truncation, too
}

} // namespace burdock
