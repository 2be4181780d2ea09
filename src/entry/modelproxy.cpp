#include "base/hashing.h"
#include "entry/relay.h"
#include "entry/requestrun.h"
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

/// @return a hash for each message, in order; callers share messages, such as instructions
std::vector<std::uint64_t> partsOf(const ModelCall &call)
{
    std::vector<std::uint64_t> parts;
    const json::value *messages = call.body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return parts;
    const std::uint64_t model = hashText(call.model);
    for (const json::value &message : messages->as_array()) {
        if (message.is_object())
            parts.push_back(hashPair(model,
                                     textOf(message.as_object(), "role") + "\n"
                                             + textOf(message.as_object(), "content")));
    }
    return parts;
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

/// A request to a model, streamed or whole.
class ModelRun : public RequestRun
{
public:
    ModelRun(EntryState &state, const ServiceCall &call, const ModelCall &model,
             QueuedRequest queued, std::uint64_t fingerprint, HttpReply &reply)
        : RequestRun(state, call, std::move(queued), fingerprint, reply)
        , m_model(model)
        , m_relay(reply, m_queued.routing.id, requestName())
    {
        setPromptParts(partsOf(model));
    }

private:
    asio::awaitable<AttemptEnd> attempt(const SendRequest &send) override;
    asio::awaitable<void> giveUp(const Error &error, std::chrono::milliseconds retryAfter) override;
    bool mayRetry() const override { return !m_relay.givenUp(); }
    HttpRequest upstreamRequest() const;
    asio::awaitable<AttemptEnd> attemptWhole(const SendRequest &send);
    asio::awaitable<AttemptEnd> attemptStream(const SendRequest &send);

    const ModelCall &m_model;
    StreamRelay m_relay;
};

HttpRequest ModelRun::upstreamRequest() const
{
    HttpRequest request;
    request.method = "POST";
    request.target = m_call.path;
    request.headers.push_back({ "Content-Type", "application/json" });
    request.headers.push_back({ "X-Request-Id", requestName() });
    request.body = json::serialize(m_model.body);
    return request;
}

asio::awaitable<AttemptEnd> ModelRun::attempt(const SendRequest &send)
{
    if (m_model.stream)
        co_return co_await attemptStream(send);
    co_return co_await attemptWhole(send);
}

asio::awaitable<AttemptEnd> ModelRun::attemptWhole(const SendRequest &send)
{
    const HttpRequest request = upstreamRequest();
    WholeAnswer answer = co_await readWhole(openExchange(send), request, m_queued.deadline,
                                            m_state.answerMemory);
    if (m_reply.callerLeft())
        co_return AttemptEnd::CallerLeft;
    if (answer.end != AttemptEnd::Done)
        co_return answer.end;
    if (answer.response.head.status == NotHeldStatus)
        co_return AttemptEnd::NotHeld;
    const bool own = headerValue(answer.response.head.headers, "X-Request-Id") == requestName();
    if (answer.response.head.status != 200 || !own)
        co_return AttemptEnd::Failed;
    noteFirstByte(send);
    m_reply.onCallerLeft(nullptr);
    co_await sendWhole(m_reply, std::move(answer));
    co_return AttemptEnd::Done;
}

asio::awaitable<AttemptEnd> ModelRun::attemptStream(const SendRequest &send)
{
    StreamAttempt stream;
    stream.number = send.attempt;
    stream.exchange = openExchange(send);
    stream.request = upstreamRequest();
    stream.firstByteDeadline = m_queued.deadline;
    stream.gapTimeout = StreamGapTimeout;
    stream.onFirstByte = [this, &send] {
        noteFirstByte(send);
    };
    co_return co_await m_relay.run(std::move(stream));
}

asio::awaitable<void> ModelRun::giveUp(const Error &error, std::chrono::milliseconds retryAfter)
{
    if (!m_relay.begun()) {
        co_await RequestRun::giveUp(error, retryAfter);
        co_return;
    }
    const Error truncated { ResultCode::AnswerTruncated,
                            "the answer is not whole: " + m_relay.failure() + "; "
                                    + error.message };
    co_await m_relay.truncate(truncated);
}

} // namespace

asio::awaitable<void> proxyModel(EntryState &state, const ServiceCall &call, HttpReply &reply)
{
    const auto read = readModelCall(call);
    if (!isOk(read)) {
        co_await sendError(reply, errorOf(read));
        co_return;
    }
    const ModelCall &model = valueOf(read);
    state.demand.count(model.model);
    const std::uint64_t fingerprint =
            requestFingerprint(call.service.name, model.model, call.request.body);
    ModelRun run(state, call, model, queuedModelRequest(state, call, model), fingerprint, reply);
    co_await run.run();
}

} // namespace burdock
