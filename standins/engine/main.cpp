// Stand-in for a model engine: memory, orders, fencing, batching, prefix cache, streams.
//
//   POST /v1/chat/completions   server-sent events; "X-Resume-From: N" continues after token N
//   POST /orders                {"number","action","model","version","adapter","memory_mb"}
//   GET  /state                 memory, resident models, orders taken, highest number
//   GET  /load                  requests in flight, as of a while ago
//   GET  /cache-events?after=N  prefix cache events, late and with gaps
#include "decide/prefixindex.h"
#include "engine/enginestate.h"
#include "engine/generation.h"
#include "net/coroutines.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/runloop.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <unistd.h>

#include <algorithm>
#include <array>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpHeader;
using burdock::HttpReply;
using burdock::HttpRequest;

namespace {

constexpr std::chrono::milliseconds StoreRetryDelay { 100 };
constexpr std::chrono::seconds StoreCallTime { 60 };
constexpr std::size_t BlockBytes = 64;
constexpr std::size_t MaxBlocks = 64;
constexpr std::uint64_t EventGap = 50; // each so many events one is left out
constexpr std::array Words = {
    "milk ", "bread ", "apples ", "ready ", "offer ", "fresh ", "local "
};

struct EngineSettings
{
    std::string name = "engine";                   // the VM's name
    std::int64_t memoryMb = 80'000;                // accelerator memory
    double capacity = 20.0;                        // requests a second that it serves in time
    bool checksFencing = true;                     // refuse orders with an old number
    burdock::Endpoint platform;                    // weight store
    std::chrono::microseconds tokenTime { 5'000 }; // between tokens of a stream, batch not full
    int batchLimit = 32;                           // above it tokens come slower in proportion
    std::chrono::microseconds blockTime { 1'000 }; // prefill of one prompt block not cached
    std::size_t cacheBlocks = 4'096;               // prefix cache
    std::chrono::milliseconds loadLag { 300 };     // of load reports
    std::string crashOn;                           // a prompt with this text ends the process
};

struct Generation
{
    std::string requestId;     // correlates the events
    std::string model;         // copy name
    std::string prompt;        // all messages
    std::uint64_t tokens = 16; // how many to generate
    std::uint64_t first = 0;   // tokens that the caller has already
    bool stream = true;        // server-sent events, or one whole answer
};

std::string textField(const json::object &object, const char *name, const std::string &other = "")
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : other;
}

std::int64_t numberField(const json::object &object, const char *name, std::int64_t other)
{
    const json::value *value = object.if_contains(name);
    return value != nullptr && value->is_int64() ? value->as_int64() : other;
}

std::string promptOf(const json::object &body)
{
    std::string prompt;
    const json::value *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array())
        return prompt;
    for (const json::value &message : messages->as_array()) {
        if (message.is_object())
            prompt += textField(message.as_object(), "content") + "\n";
    }
    return prompt;
}

std::string tokenText(const Generation &generation, std::uint64_t index)
{
    return Words[(generation.prompt.size() + index) % Words.size()];
}

std::string tokenEvent(const Generation &generation, std::uint64_t index)
{
    const json::value chunk = {
        { "id", generation.requestId },
        { "object", "chat.completion.chunk" },
        { "index", index },
        { "choices",
          json::array { { { "index", 0 },
                          { "delta", { { "content", tokenText(generation, index) } } } } } }
    };
    return "id: " + std::to_string(index) + "\ndata: " + json::serialize(chunk) + "\n\n";
}

std::string endEvent(const Generation &generation)
{
    return "id: " + std::to_string(generation.tokens) + "\ndata: [DONE]\n\n";
}

} // namespace

class Engine : public burdock::HttpHandler
{
public:
    Engine(asio::io_context &io, EngineSettings settings)
        : m_io(io)
        , m_settings(std::move(settings))
        , m_client(io)
        , m_state(m_settings.memoryMb, m_settings.checksFencing)
        , m_cache(m_settings.cacheBlocks)
        , m_load(m_settings.loadLag)
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    asio::awaitable<void> answer(HttpReply &reply, int status, json::value value);
    asio::awaitable<void> takeOrder(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> fetchWeights(std::string kind);
    asio::awaitable<void> load(std::string model, std::string version);
    asio::awaitable<void> complete(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> generate(const Generation &generation, HttpReply &reply);
    std::chrono::microseconds tokenTime() const;
    std::string findCopy(const std::string &model, const std::string &version) const;
    json::value stateReport();
    json::value loadReport();
    json::value cacheEvents(std::uint64_t after) const;

    asio::io_context &m_io;
    EngineSettings m_settings;
    burdock::HttpClient m_client;
    EngineState m_state;
    PrefixCache m_cache;
    LaggingLoad m_load;
    std::int64_t m_incarnation = burdock::steadyNow().time_since_epoch().count();
    std::uint64_t m_reports = 0;
    int m_inFlight = 0;
    std::uint64_t m_received = 0;
    std::uint64_t m_cancelled = 0;
    std::uint64_t m_finished = 0;
};

asio::awaitable<void> Engine::answer(HttpReply &reply, int status, json::value value)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    co_await reply.send(status, std::move(headers), json::serialize(value));
}

asio::awaitable<void> Engine::handle(const HttpRequest &request, HttpReply &reply)
{
    const std::string path = burdock::pathOf(request);
    if (path == "/v1/chat/completions" && request.method == "POST") {
        co_await complete(request, reply);
    } else if (path == "/orders" && request.method == "POST") {
        co_await takeOrder(request, reply);
    } else if (path == "/state") {
        co_await answer(reply, 200, stateReport());
    } else if (path == "/load") {
        co_await answer(reply, 200, loadReport());
    } else if (path == "/cache-events") {
        const auto after = std::stoull(burdock::queryValue(request, "after").value_or("0"));
        co_await answer(reply, 200, cacheEvents(after));
    } else {
        co_await answer(reply, 404, json::object());
    }
}

// ---- Orders -------------------------------------------------------------------------------------

asio::awaitable<void> Engine::takeOrder(const HttpRequest &request, HttpReply &reply)
{
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (failure || !body.is_object()) {
        co_await answer(reply, 400, json::object());
        co_return;
    }
    const json::object &object = body.as_object();
    Order order;
    order.number = static_cast<std::uint64_t>(numberField(object, "number", 0));
    order.action = textField(object, "action");
    order.model = textField(object, "model");
    order.version = textField(object, "version");
    order.adapter = textField(object, "adapter");
    order.memoryMb = numberField(object, "memory_mb", 0);

    const std::string copy = EngineState::copyName(order.model, order.version);
    const bool isNew = !m_state.models().contains(copy);
    const OrderAnswer taken = m_state.take(order);
    LOG(INFO) << "order " << order.number << " " << order.action << " " << copy << " answer "
              << static_cast<int>(taken) << " memory " << m_state.memoryUsedMb() << "/"
              << m_state.memoryTotalMb();
    if (taken == OrderAnswer::Accepted && order.action == "load" && isNew)
        asio::co_spawn(m_io, load(order.model, order.version), asio::detached);
    int status = 200;
    if (taken == OrderAnswer::StaleNumber)
        status = 409;
    else if (taken == OrderAnswer::Malformed)
        status = 400;
    co_await answer(reply, status, stateReport());
}

asio::awaitable<void> Engine::fetchWeights(std::string kind)
{
    if (m_settings.platform.port == 0)
        co_return;
    while (true) {
        HttpRequest request;
        request.method = "POST";
        request.target = "/weights?kind=" + kind;
        const auto deadline = burdock::steadyNow() + StoreCallTime;
        const auto fetched = co_await m_client.call(m_settings.platform, request, deadline);
        const auto *response = std::get_if<burdock::HttpResponse>(&fetched);
        if (response != nullptr && response->head.status == 200)
            co_return;
        co_await burdock::sleepFor(StoreRetryDelay);
    }
}

asio::awaitable<void> Engine::load(std::string model, std::string version)
{
    co_await fetchWeights("model");
    m_state.noteLoaded(model, version);
}

// ---- Generation ---------------------------------------------------------------------------------

std::string Engine::findCopy(const std::string &model, const std::string &version) const
{
    for (const auto &[copy, resident] : m_state.models()) {
        const bool rightModel = copy.starts_with(model + "@");
        if (rightModel && resident.ready && (version.empty() || resident.version == version))
            return copy;
    }
    return "";
}

std::chrono::microseconds Engine::tokenTime() const
{
    if (m_inFlight <= m_settings.batchLimit)
        return m_settings.tokenTime;
    return m_settings.tokenTime * m_inFlight / m_settings.batchLimit;
}

asio::awaitable<void> Engine::complete(const HttpRequest &request, HttpReply &reply)
{
    boost::system::error_code failure;
    const json::value body = json::parse(request.body, failure);
    if (failure || !body.is_object()) {
        co_await answer(reply, 400, json::object());
        co_return;
    }
    const json::object &object = body.as_object();
    Generation generation;
    generation.model = findCopy(textField(object, "model"), textField(object, "version"));
    generation.prompt = promptOf(object);
    generation.tokens = static_cast<std::uint64_t>(numberField(object, "max_tokens", 16));
    generation.requestId =
            burdock::headerValue(request.headers, "X-Request-Id").value_or("unnamed");
    generation.first =
            std::stoull(burdock::headerValue(request.headers, "X-Resume-From").value_or("0"));
    const json::value *stream = object.if_contains("stream");
    generation.stream = stream != nullptr && stream->is_bool() && stream->as_bool();
    if (generation.model.empty()) {
        json::value missing = { { "error", "the model is not resident" } };
        co_await answer(reply, 404, std::move(missing));
        co_return;
    }
    if (!m_settings.crashOn.empty()
        && generation.prompt.find(m_settings.crashOn) != std::string::npos) {
        LOG(ERROR) << "crashing on request " << generation.requestId;
        _exit(139);
    }
    const std::string adapter = textField(object, "adapter");
    if (!adapter.empty() && m_state.adapters().insert(adapter).second)
        co_await fetchWeights("adapter");

    ++m_received;
    m_load.note(++m_inFlight, m_received);
    co_await generate(generation, reply);
    m_load.note(--m_inFlight, m_received);
    reply.callerLeft() ? ++m_cancelled : ++m_finished;
}

asio::awaitable<void> Engine::generate(const Generation &generation, HttpReply &reply)
{
    const auto blocks = burdock::prefixChain(generation.prompt, BlockBytes, MaxBlocks);
    const std::size_t cached = m_cache.use(blocks);
    co_await burdock::sleepFor(m_settings.blockTime * static_cast<int>(blocks.size() - cached)
                               + m_settings.tokenTime);

    std::vector<HttpHeader> headers;
    headers.push_back({ "X-Request-Id", generation.requestId });
    headers.push_back({ "X-Engine", m_settings.name });
    headers.push_back({ "X-Resumed-From", std::to_string(generation.first) });
    headers.push_back({ "X-In-Flight", std::to_string(m_inFlight) });
    if (!generation.stream) {
        std::string text;
        for (std::uint64_t index = 0; index < generation.tokens && !reply.callerLeft(); ++index) {
            text += tokenText(generation, index);
            co_await burdock::sleepFor(tokenTime());
        }
        const json::value message = { { "role", "assistant" }, { "content", text } };
        json::value whole = { { "id", generation.requestId },
                              { "object", "chat.completion" },
                              { "choices",
                                json::array { { { "index", 0 }, { "message", message } } } } };
        headers.push_back({ "Content-Type", "application/json" });
        co_await reply.send(200, std::move(headers), json::serialize(whole));
        co_return;
    }
    headers.push_back({ "Content-Type", "text/event-stream" });
    bool there = co_await reply.begin(200, std::move(headers));
    for (std::uint64_t index = generation.first; there && index < generation.tokens; ++index) {
        const std::string event = tokenEvent(generation, index);
        there = co_await reply.write(event);
        co_await burdock::sleepFor(tokenTime());
        there = there && !reply.callerLeft();
    }
    if (there) {
        const std::string end = endEvent(generation);
        co_await reply.write(end);
        co_await reply.finish();
    }
}

// ---- Reports ------------------------------------------------------------------------------------

json::value Engine::stateReport()
{
    json::array resident;
    for (const auto &[copy, model] : m_state.models()) {
        resident.push_back({ { "model", copy.substr(0, copy.rfind('@')) },
                             { "version", model.version },
                             { "memory_mb", model.memoryMb },
                             { "ready", model.ready } });
    }
    json::array orders;
    for (const std::uint64_t number : m_state.recentOrders())
        orders.push_back(number);
    json::array adapters;
    for (const std::string &adapter : m_state.adapters())
        adapters.push_back(json::string(adapter));
    return { { "name", m_settings.name },
             { "incarnation", m_incarnation },
             { "checks_fencing", m_state.checksFencing() },
             { "memory_total_mb", m_state.memoryTotalMb() },
             { "capacity", m_settings.capacity },
             { "memory_used_mb", m_state.memoryUsedMb() },
             { "ever_overcommitted", m_state.everOvercommitted() },
             { "highest_number", m_state.highestNumber() },
             { "sequence", ++m_reports },
             { "resident", std::move(resident) },
             { "adapters", std::move(adapters) },
             { "seen_orders", std::move(orders) },
             { "received", m_received },
             { "finished", m_finished },
             { "cancelled", m_cancelled },
             { "in_flight", m_inFlight } };
}

json::value Engine::loadReport()
{
    const LaggingLoad::Sample sample = m_load.report();
    return { { "in_flight", sample.inFlight },
             { "received", sample.received },
             { "age_ms", m_settings.loadLag.count() },
             { "slots", m_settings.batchLimit } };
}

json::value Engine::cacheEvents(std::uint64_t after) const
{
    json::array events;
    for (const PrefixCache::Event &event : m_cache.events()) {
        if (event.sequence <= after || event.sequence % EventGap == 0)
            continue;
        events.push_back({ { "sequence", event.sequence },
                           { "block", event.block },
                           { "added", event.added } });
    }
    return { { "events", std::move(events) } };
}

} // namespace standin

int main(int argc, char **argv)
{
    standin::EngineSettings settings;
    std::string listenOn = "127.0.0.1:7100";
    std::string platform;
    std::int64_t tokenUs = settings.tokenTime.count();
    bool ignoreFencing = false;
    CLI::App app { "Stand-in for a model engine" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    app.add_option("--name", settings.name, "the VM's name")->capture_default_str();
    app.add_option("--memory-mb", settings.memoryMb)->capture_default_str();
    app.add_option("--capacity", settings.capacity)->capture_default_str();
    app.add_option("--platform", platform, "IP:PORT of the weight store");
    app.add_option("--token-us", tokenUs, "time between tokens")->capture_default_str();
    app.add_option("--batch-limit", settings.batchLimit)->capture_default_str();
    app.add_option("--crash-on", settings.crashOn, "a prompt with this text ends the process");
    app.add_flag("--ignore-fencing", ignoreFencing, "take orders with an old number");
    CLI11_PARSE(app, argc, argv);
    settings.tokenTime = std::chrono::microseconds(tokenUs);
    settings.checksFencing = !ignoreFencing;
    if (!platform.empty()) {
        const auto endpoint = burdock::parseEndpoint(platform);
        if (!burdock::isOk(endpoint)) {
            LOG(ERROR) << burdock::errorOf(endpoint).message;
            return burdock::describe(burdock::ResultCode::UsageError).exitCode;
        }
        settings.platform = burdock::valueOf(endpoint);
    }

    boost::asio::io_context io(1);
    standin::Engine engine(io, settings);
    return burdock::serveUntilStopped(io, listenOn, engine, argv[0]);
}
