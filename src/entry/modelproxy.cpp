#include "entry/relay.h"
#include "entry/serviceproxy.h"

#include <boost/json.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t PrefixBlockBytes = 64;
constexpr std::size_t PrefixMaxBlocks = 64;
constexpr std::size_t BytesPerToken = 4;
constexpr std::chrono::milliseconds StreamGapTimeout { 5'000 };

/// A chat-completions request that has been checked against the catalog.
struct ModelCall
{
    json::object body;   // to be forwarded, with the version in force
    std::string model;   // published model
    std::string version; // its version in force
    std::string adapter; // published adapter, or empty
    std::string prompt;  // all messages
    bool stream = false; // server-sent events were asked for
};

std::string textOf(const json::object &object, const char *name)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : "";
}

std::string promptOf(const json::object &body)
{
    std::string prompt;
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return prompt;
    for (const json::value &message : messages->as_array()) {
        if (message.is_object())
            prompt += textOf(message.as_object(), "content") + "\n";
    }
    return prompt;
}

std::optional<Error> checkAdapter(const ModelEntry &entry, const std::string &adapter)
{
    if (adapter.empty())
        return std::nullopt;
    const bool known = std::any_of(entry.adapters.begin(), entry.adapters.end(),
                                   [&](const AdapterEntry &each) { return each.name == adapter; });
    if (known)
        return std::nullopt;
    return Error { ResultCode::ModelUnknown,
                   "model '" + entry.name + "' has no adapter '" + adapter + "'" };
}

Result<ModelCall> readModelCall(const ServiceCall &call)
{
    boost::system::error_code failure;
    json::value parsed = json::parse(call.request.body, failure);
    if (failure || !parsed.is_object())
        return Error { ResultCode::RequestMalformed, "the body is not a JSON object" };

    ModelCall result;
    result.body = std::move(parsed.as_object());
    result.model = textOf(result.body, "model");
    const ModelEntry *entry = findModel(call.service, result.model);
    if (entry == nullptr)
        return Error { ResultCode::ModelUnknown,
                       "service '" + call.service.name + "' has no model '" + result.model + "'" };
    const std::string wanted = textOf(result.body, "version");
    if (!wanted.empty() && wanted != entry->version)
        return Error { ResultCode::ModelUnknown,
                       "version '" + wanted + "' of model '" + result.model + "' is not in force" };
    result.adapter = textOf(result.body, "adapter");
    if (const auto error = checkAdapter(*entry, result.adapter))
        return *error;
    result.version = entry->version;
    result.body["version"] = entry->version;
    result.prompt = promptOf(result.body);
    const json::value *stream = result.body.if_contains("stream");
    result.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
    return result;
}

QueuedRequest queuedModelRequest(EntryState &state, const ServiceCall &call, const ModelCall &model)
{
    QueuedRequest queued = queuedRequest(state, call);
    queued.routing.key = servingKey(model.model, model.version);
    queued.routing.adapter = model.adapter;
    queued.routing.prefix = prefixChain(model.prompt, PrefixBlockBytes, PrefixMaxBlocks);
    queued.routing.promptTokens = static_cast<int>(model.prompt.size() / BytesPerToken);
    return queued;
}

/// Runs the attempts of one model request.
class ModelRun
{
public:
    ModelRun(EntryState &state, const ServiceCall &call, const ModelCall &model,
             QueuedRequest queued, HttpReply &reply)
        : m_state(state)
        , m_call(call)
        , m_model(model)
        , m_queued(std::move(queued))
        , m_reply(reply)
        , m_requestId(state.settings.name + "-" + std::to_string(m_queued.routing.id))
        , m_relay(reply, m_queued.routing.id, m_requestId)
    {
    }

    asio::awaitable<void> run();

private:
    asio::awaitable<AttemptEnd> attempt(const SendRequest &send);
    asio::awaitable<AttemptEnd> attemptWhole(const SendRequest &send,
                                             std::shared_ptr<HttpExchange> exchange,
                                             const HttpRequest &request);
    void noteFirstByte(const SendRequest &send);
    void report(const SendRequest &send, AttemptEnd end);

    EntryState &m_state;
    const ServiceCall &m_call;
    const ModelCall &m_model;
    QueuedRequest m_queued;
    HttpReply &m_reply;
    std::string m_requestId;
    StreamRelay m_relay;
};

void ModelRun::noteFirstByte(const SendRequest &send)
{
    m_state.dispatcher.onFirstByte(m_queued.routing.id, send.attempt, steadyNow());
    m_state.metrics.observe("burdock_first_byte_seconds", steadyNow() - m_call.arrived);
}

asio::awaitable<AttemptEnd> ModelRun::attemptWhole(const SendRequest &send,
                                                   std::shared_ptr<HttpExchange> exchange,
                                                   const HttpRequest &request)
{
    WholeAnswer answer = co_await readWhole(std::move(exchange), request, m_queued.deadline);
    if (m_reply.callerLeft())
        co_return AttemptEnd::CallerLeft;
    if (answer.end != AttemptEnd::Done || answer.response.head.status != 200)
        co_return answer.end == AttemptEnd::Done ? AttemptEnd::Failed : answer.end;
    noteFirstByte(send);
    m_reply.onCallerLeft(nullptr);
    co_await m_reply.send(answer.response.head.status, answer.response.head.headers,
                          std::move(answer.response.body));
    co_return AttemptEnd::Done;
}

asio::awaitable<AttemptEnd> ModelRun::attempt(const SendRequest &send)
{
    HttpRequest request;
    request.method = "POST";
    request.target = m_call.path;
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "X-Request-Id", m_requestId });
    request.body = json::serialize(m_model.body);

    const auto endpoint = parseEndpoint(send.choice.address);
    const auto exchange = m_state.http.exchange(valueOf(endpoint), false);
    m_state.board.setExchange(m_queued.routing.id, exchange);
    if (!m_model.stream)
        co_return co_await attemptWhole(send, exchange, request);
    StreamAttempt stream;
    stream.number = send.attempt;
    stream.exchange = exchange;
    stream.request = std::move(request);
    stream.firstByteDeadline = m_queued.deadline;
    stream.gapTimeout = StreamGapTimeout;
    stream.onFirstByte = [this, &send] {
        noteFirstByte(send);
    };
    co_return co_await m_relay.run(std::move(stream));
}

void ModelRun::report(const SendRequest &send, AttemptEnd end)
{
    const std::uint64_t id = m_queued.routing.id;
    switch (end) {
    case AttemptEnd::Done:
        m_state.dispatcher.onFinished(id, send.attempt, steadyNow());
        break;
    case AttemptEnd::ConnectFailed:
        m_state.dispatcher.onConnectFailed(id, send.attempt, steadyNow());
        break;
    case AttemptEnd::Failed:
        m_state.dispatcher.onUpstreamFailed(id, send.attempt, !m_relay.givenUp(), steadyNow());
        break;
    case AttemptEnd::CallerLeft:
        m_state.metrics.count("burdock_callers_left_total");
        break;
    }
    m_state.board.carryOut();
}

asio::awaitable<void> ModelRun::run()
{
    const std::uint64_t id = m_queued.routing.id;
    RequestDecision decision = co_await m_state.board.submit(m_queued);
    while (const auto *send = std::get_if<SendRequest>(&decision)) {
        const AttemptEnd end = co_await attempt(*send);
        report(*send, end);
        if (end == AttemptEnd::Done || end == AttemptEnd::CallerLeft)
            co_return;
        decision = co_await m_state.board.next(id);
    }
    const auto *refused = std::get_if<GiveAnswer>(&decision);
    if (refused == nullptr)
        co_return;
    if (m_relay.begun())
        co_await m_relay.truncate(
                { ResultCode::AnswerTruncated, "the answer is not whole: " + m_relay.failure() });
    else
        co_await answerRefusal(m_reply, refused->refusal);
}

} // namespace

asio::awaitable<void> proxyModel(EntryState &state, const ServiceCall &call, HttpReply &reply)
{
    const auto read = readModelCall(call);
    if (!isOk(read)) {
        co_await sendError(reply, errorOf(read));
        co_return;
    }
    state.demand.count(valueOf(read).model);
    const QueuedRequest queued = queuedModelRequest(state, call, valueOf(read));
    const std::uint64_t id = queued.routing.id;
    reply.onCallerLeft([&state, id] { state.board.cancel(id); });
    ModelRun run(state, call, valueOf(read), queued, reply);
    co_await run.run();
    state.board.forget(id);
}

} // namespace burdock
