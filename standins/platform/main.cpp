// Stand-in for the platform: Object API, VM list and weight store, with faults on demand.
//
//   GET/PUT/DELETE /objects/KEY   with If-Match: "VERSION" or If-None-Match: *
//   GET /objects?prefix=          keys and versions
//   GET /watch?prefix=&after=&wait_ms=
//   GET /vms, PUT /vms            the VM list; a change shows after --vm-lag-ms
//   POST /weights?kind=model|adapter   answers when the load is done
//   PUT /faults                   {"outage":bool,"delay_ms":n,"lose_write_answers":bool}
//   GET /counters                 calls by kind
#include "jsonbody.h"
#include "net/coroutines.h"
#include "net/httpserver.h"
#include "net/runloop.h"
#include "platform/objectstore.h"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <sstream>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpHeader;
using burdock::HttpReply;
using burdock::HttpRequest;

namespace {

constexpr std::chrono::milliseconds WatchPollInterval { 10 };
constexpr std::size_t MaxValueBytes = 1'000'000;

struct PlatformSettings
{
    burdock::Endpoint endpoint { "127.0.0.1", 7000 }; // where it listens
    std::string vmFile;                               // initial VM list, JSON array
    int writesPerSecond = 500;                        // above it writes get 429
    int readsPerSecond = 2'000;                       // above it reads get 429
    std::chrono::milliseconds vmLag { 500 };          // until a change of the VM list shows
    double loadsPerSecond = 2.0;                      // weight store: rate
    int loadsAtOnce = 3;                              // weight store: at full speed
    std::chrono::milliseconds loadTime { 300 };       // weight store: one model at full speed
    int adaptersAtOnce = 24;                          // weight store: adapters at full speed
    std::chrono::milliseconds adapterTime { 12 };     // weight store: one adapter at full speed
};

struct Faults
{
    bool outage = false;                   // every call but /faults gets 503
    std::chrono::milliseconds delay { 0 }; // added to each call
    bool loseWriteAnswers = false;         // writes take effect and the answer is cut
};

/// Allows a number of calls in each second.
class CallRate
{
public:
    explicit CallRate(int perSecond)
        : m_perSecond(perSecond)
    {
    }

    bool take()
    {
        const auto now = std::chrono::steady_clock::now();
        if (now >= m_windowEnd) {
            m_windowEnd = now + std::chrono::seconds(1);
            m_used = 0;
        }
        return ++m_used <= m_perSecond;
    }

private:
    int m_perSecond;
    int m_used = 0;
    std::chrono::steady_clock::time_point m_windowEnd;
};

std::vector<HttpHeader> versionHeader(std::uint64_t version)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "ETag", "\"" + std::to_string(version) + "\"" });
    return headers;
}

/// Reads the version that a conditional request expects.
/// @return nothing when the request carries no condition
std::optional<std::uint64_t> expectedVersion(const HttpRequest &request)
{
    if (burdock::headerValue(request.headers, "If-None-Match") == "*")
        return 0;
    const auto tag = burdock::headerValue(request.headers, "If-Match");
    if (!tag || tag->size() < 3)
        return std::nullopt;
    std::uint64_t version = 0;
    std::from_chars(tag->data() + 1, tag->data() + tag->size() - 1, version);
    return version;
}

} // namespace

class Platform : public burdock::HttpHandler
{
public:
    explicit Platform(PlatformSettings settings)
        : m_settings(std::move(settings))
        , m_writes(m_settings.writesPerSecond)
        , m_reads(m_settings.readsPerSecond)
        , m_loadRate(m_settings.loadsPerSecond)
    {
    }

    void setVms(json::value vms) { m_vms = m_shownVms = std::move(vms); }

    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    asio::awaitable<bool> answerJson(HttpReply &reply, json::value value, int status = 200);
    asio::awaitable<bool> answerStatus(HttpReply &reply, int status);
    asio::awaitable<void> handleObject(const HttpRequest &request, HttpReply &reply,
                                       const std::string &key);
    asio::awaitable<void> writeObject(const HttpRequest &request, HttpReply &reply,
                                      const std::string &key);
    asio::awaitable<void> listObjects(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> watchObjects(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> handleVms(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> loadWeights(const HttpRequest &request, HttpReply &reply);
    asio::awaitable<void> setFaults(const HttpRequest &request, HttpReply &reply);
    json::value counters() const;

    PlatformSettings m_settings;
    Faults m_faults;
    ObjectStore m_store;
    json::value m_vms = json::array();
    json::value m_shownVms = json::array();
    std::uint64_t m_vmsVersion = 0;
    CallRate m_writes;
    CallRate m_reads;
    double m_loadRate;
    std::chrono::steady_clock::time_point m_nextLoad;
    int m_loadsRunning = 0;
    int m_adaptersRunning = 0;
    int m_maxLoadsRunning = 0;
    std::uint64_t m_loads = 0;
    std::uint64_t m_adapterLoads = 0;
    std::uint64_t m_writeCalls = 0;
    std::uint64_t m_readCalls = 0;
    std::uint64_t m_refusedCalls = 0;
};

asio::awaitable<bool> Platform::answerJson(HttpReply &reply, json::value value, int status)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    co_return co_await reply.send(status, std::move(headers), json::serialize(value));
}

asio::awaitable<bool> Platform::answerStatus(HttpReply &reply, int status)
{
    std::vector<HttpHeader> headers;
    co_return co_await reply.send(status, std::move(headers), std::string());
}

asio::awaitable<void> Platform::handle(const HttpRequest &request, HttpReply &reply)
{
    const std::string path = burdock::pathOf(request);
    if (path == "/faults") {
        co_await setFaults(request, reply);
        co_return;
    }
    if (path == "/counters") {
        co_await answerJson(reply, counters());
        co_return;
    }
    if (m_faults.delay.count() > 0)
        co_await burdock::sleepFor(m_faults.delay);
    if (m_faults.outage) {
        co_await answerStatus(reply, 503);
    } else if (path == "/vms") {
        co_await handleVms(request, reply);
    } else if (path == "/weights") {
        co_await loadWeights(request, reply);
    } else if (path == "/watch") {
        co_await watchObjects(request, reply);
    } else if (path == "/objects") {
        co_await listObjects(request, reply);
    } else if (path.starts_with("/objects/")) {
        const std::string key = burdock::percentDecode(path.substr(9));
        co_await handleObject(request, reply, key);
    } else {
        co_await answerStatus(reply, 404);
    }
}

asio::awaitable<void> Platform::handleObject(const HttpRequest &request, HttpReply &reply,
                                             const std::string &key)
{
    if (request.method == "PUT" || request.method == "DELETE") {
        co_await writeObject(request, reply, key);
        co_return;
    }
    ++m_readCalls;
    if (!m_reads.take()) {
        ++m_refusedCalls;
        co_await answerStatus(reply, 429);
        co_return;
    }
    const Object *object = m_store.find(key);
    if (object == nullptr) {
        co_await answerStatus(reply, 404);
        co_return;
    }
    std::string value = object->value;
    co_await reply.send(200, versionHeader(object->version), std::move(value));
}

asio::awaitable<void> Platform::writeObject(const HttpRequest &request, HttpReply &reply,
                                            const std::string &key)
{
    ++m_writeCalls;
    const auto expected = expectedVersion(request);
    int refusal = 0;
    if (!expected)
        refusal = 400;
    else if (request.body.size() > MaxValueBytes)
        refusal = 413;
    else if (!m_writes.take())
        refusal = 429;
    if (refusal != 0) {
        ++m_refusedCalls;
        co_await answerStatus(reply, refusal);
        co_return;
    }
    const auto version = request.method == "PUT" ? m_store.write(key, request.body, *expected)
                                                 : m_store.remove(key, *expected);
    if (m_faults.loseWriteAnswers)
        co_return;
    if (version) {
        co_await reply.send(200, versionHeader(*version), std::string());
        co_return;
    }
    const Object *object = m_store.find(key);
    const std::uint64_t there = object == nullptr ? 0 : object->version;
    co_await reply.send(412, versionHeader(there), std::string());
}

asio::awaitable<void> Platform::listObjects(const HttpRequest &request, HttpReply &reply)
{
    ++m_readCalls;
    const std::string prefix = burdock::queryValue(request, "prefix").value_or("");
    json::array objects;
    for (const auto &[key, object] : m_store.objects()) {
        if (key.starts_with(prefix))
            objects.push_back(
                    { { "key", key }, { "version", object.version }, { "deleted", false } });
    }
    json::value answer = { { "objects", std::move(objects) } };
    co_await answerJson(reply, std::move(answer));
}

asio::awaitable<void> Platform::watchObjects(const HttpRequest &request, HttpReply &reply)
{
    ++m_readCalls;
    const std::string prefix = burdock::queryValue(request, "prefix").value_or("");
    const auto after = std::stoull(burdock::queryValue(request, "after").value_or("0"));
    const std::chrono::milliseconds wait(
            std::stoll(burdock::queryValue(request, "wait_ms").value_or("0")));
    const auto deadline = std::chrono::steady_clock::now() + wait;
    std::vector<Change> changes = m_store.changesAfter(prefix, after);
    while (changes.empty() && std::chrono::steady_clock::now() < deadline && !m_faults.outage
           && !reply.callerLeft()) {
        co_await burdock::sleepFor(WatchPollInterval);
        changes = m_store.changesAfter(prefix, after);
    }
    json::array listed;
    for (const Change &change : changes) {
        listed.push_back({ { "key", change.key },
                           { "version", change.sequence },
                           { "deleted", change.deleted } });
    }
    json::value answer = { { "sequence", m_store.sequence() }, { "changes", std::move(listed) } };
    co_await answerJson(reply, std::move(answer));
}

asio::awaitable<void> Platform::handleVms(const HttpRequest &request, HttpReply &reply)
{
    if (request.method == "GET") {
        ++m_readCalls;
        json::value answer = { { "vms", m_shownVms } };
        co_await answerJson(reply, std::move(answer));
        co_return;
    }
    json::value vms = parseOrNull(request.body);
    if (!vms.is_array()) {
        co_await answerStatus(reply, 400);
        co_return;
    }
    m_vms = std::move(vms);
    const std::uint64_t version = ++m_vmsVersion;
    co_await answerStatus(reply, 200);
    co_await burdock::sleepFor(m_settings.vmLag);
    if (version == m_vmsVersion)
        m_shownVms = m_vms;
}

asio::awaitable<void> Platform::loadWeights(const HttpRequest &request, HttpReply &reply)
{
    const bool adapter = burdock::queryValue(request, "kind") == "adapter";
    int &running = adapter ? m_adaptersRunning : m_loadsRunning;
    const int atOnce = adapter ? m_settings.adaptersAtOnce : m_settings.loadsAtOnce;
    auto time = adapter ? m_settings.adapterTime : m_settings.loadTime;
    if (!adapter) {
        const auto now = std::chrono::steady_clock::now();
        const auto interval = std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(1.0 / m_loadRate));
        m_nextLoad = std::max(m_nextLoad, now - interval);
        if (m_nextLoad > now) {
            ++m_refusedCalls;
            co_await answerStatus(reply, 429);
            co_return;
        }
        m_nextLoad += interval;
    }
    ++running;
    adapter ? ++m_adapterLoads : ++m_loads;
    m_maxLoadsRunning = std::max(m_maxLoadsRunning, m_loadsRunning);
    if (running > atOnce)
        time = time * running / atOnce;
    co_await burdock::sleepFor(time);
    --running;
    co_await answerStatus(reply, 200);
}

asio::awaitable<void> Platform::setFaults(const HttpRequest &request, HttpReply &reply)
{
    const json::value wanted = parseOrNull(request.body);
    if (!wanted.is_object()) {
        co_await answerStatus(reply, 400);
        co_return;
    }
    m_faults = {};
    const json::object &object = wanted.as_object();
    if (const auto *outage = object.if_contains("outage"))
        m_faults.outage = outage->as_bool();
    if (const auto *delay = object.if_contains("delay_ms"))
        m_faults.delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
    if (const auto *lose = object.if_contains("lose_write_answers"))
        m_faults.loseWriteAnswers = lose->as_bool();
    co_await answerStatus(reply, 200);
}

json::value Platform::counters() const
{
    return { { "reads", m_readCalls },
             { "writes", m_writeCalls },
             { "refused", m_refusedCalls },
             { "model_loads", m_loads },
             { "adapter_loads", m_adapterLoads },
             { "max_loads_at_once", m_maxLoadsRunning } };
}

} // namespace standin

int main(int argc, char **argv)
{
    standin::PlatformSettings settings;
    std::string listenOn = "127.0.0.1:7000";
    std::int64_t vmLagMs = settings.vmLag.count();
    std::int64_t loadMs = settings.loadTime.count();
    CLI::App app { "Stand-in for the platform: Object API, VM list and weight store" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    app.add_option("--vms", settings.vmFile, "file with the VM list, a JSON array");
    app.add_option("--writes-per-second", settings.writesPerSecond)->capture_default_str();
    app.add_option("--reads-per-second", settings.readsPerSecond)->capture_default_str();
    app.add_option("--vm-lag-ms", vmLagMs)->capture_default_str();
    app.add_option("--loads-per-second", settings.loadsPerSecond)->capture_default_str();
    app.add_option("--loads-at-once", settings.loadsAtOnce)->capture_default_str();
    app.add_option("--load-ms", loadMs)->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    settings.vmLag = std::chrono::milliseconds(vmLagMs);
    settings.loadTime = std::chrono::milliseconds(loadMs);

    boost::asio::io_context io(1);
    standin::Platform platform(settings);
    if (!settings.vmFile.empty()) {
        std::ifstream file(settings.vmFile);
        std::stringstream text;
        text << file.rdbuf();
        platform.setVms(standin::parseOrNull(text.str()));
    }
    return burdock::serveUntilStopped(io, listenOn, platform, argv[0]);
}
