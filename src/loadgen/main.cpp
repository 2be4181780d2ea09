// burdock-load: opens streams at an address, through an entry node or straight at an engine, and
// reports time to first byte and tokens per second.
#include "net/coroutines.h"
#include "net/decisionlog.h"
#include "net/eventstream.h"
#include "net/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <algorithm>
#include <iostream>
#include <vector>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::seconds CallTime { 120 };

struct LoadSettings
{
    std::string address = "127.0.0.1:17101";   // "IP:PORT"
    std::string path = "/v1/chat/completions"; // path of the model route
    std::string model = "promo-writer";        // which model
    int streams = 50;                          // open at once
    int requests = 500;                        // in all
    int tokens = 100;                          // of each answer
};

struct LoadResult
{
    std::vector<Duration> firstBytes; // one for each whole answer
    std::uint64_t tokens = 0;         // received
    int failed = 0;                   // answers that were not whole
};

class LoadRun
{
public:
    LoadRun(asio::io_context &io, LoadSettings settings, Endpoint endpoint)
        : m_io(io)
        , m_http(io)
        , m_settings(std::move(settings))
        , m_endpoint(std::move(endpoint))
    {
    }

    void start()
    {
        for (int stream = 0; stream < m_settings.streams; ++stream)
            asio::co_spawn(m_io, worker(), asio::detached);
    }

    const LoadResult &result() const { return m_result; }

private:
    asio::awaitable<void> worker()
    {
        while (m_begun < m_settings.requests) {
            ++m_begun;
            co_await request();
        }
    }

    asio::awaitable<void> request()
    {
        HttpRequest request;
        request.method = "POST";
        request.target = m_settings.path;
        request.headers.push_back({ "Content-Type", "application/json" });
        const json::value message = { { "role", "user" }, { "content", "a short prompt" } };
        const json::value body = { { "model", m_settings.model },
                                   { "stream", true },
                                   { "max_tokens", m_settings.tokens },
                                   { "messages", json::array { message } } };
        request.body = json::serialize(body);

        const Instant began = steadyNow();
        const Instant deadline = began + CallTime;
        const auto exchange = m_http.exchange(m_endpoint, false);
        const auto head = co_await exchange->start(request, deadline, nullptr);
        const auto *answer = std::get_if<HttpResponseHead>(&head);
        const bool accepted = answer != nullptr && answer->status == StatusOk;
        const bool whole = accepted && co_await readStream(*exchange, began, deadline);
        m_result.failed += whole ? 0 : 1;
    }

    asio::awaitable<bool> readStream(HttpExchange &exchange, Instant began, Instant deadline)
    {
        EventStreamParser parser;
        bool first = true;
        bool ended = false;
        while (true) {
            const auto part = co_await exchange.readPart(deadline);
            const auto *text = std::get_if<std::string>(&part);
            if (text == nullptr)
                co_return false;
            if (text->empty())
                co_return ended;
            if (first)
                m_result.firstBytes.push_back(steadyNow() - began);
            first = false;
            for (const StreamEvent &event : parser.add(*text)) {
                m_result.tokens += event.isEnd ? 0 : 1;
                ended = ended || event.isEnd;
            }
        }
    }

    asio::io_context &m_io;
    HttpClient m_http;
    LoadSettings m_settings;
    Endpoint m_endpoint;
    int m_begun = 0;
    LoadResult m_result;
};

std::int64_t quantile(std::vector<Duration> &times, double share)
{
    if (times.empty())
        return 0;
    std::sort(times.begin(), times.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(times.size() - 1));
    return times[index].count();
}

int runLoad(const LoadSettings &settings)
{
    const auto endpoint = parseEndpoint(settings.address);
    if (!isOk(endpoint)) {
        std::cerr << errorOf(endpoint).message << '\n';
        return describe(ResultCode::UsageError).exitCode;
    }
    asio::io_context io(1);
    LoadRun run(io, settings, valueOf(endpoint));
    const Instant began = steadyNow();
    run.start();
    io.run();
    const double seconds = std::chrono::duration<double>(steadyNow() - began).count();
    LoadResult result = run.result();
    const json::value report = { { "requests", settings.requests },
                                 { "failed", result.failed },
                                 { "seconds", seconds },
                                 { "tokens", result.tokens },
                                 { "tokens_per_second",
                                   static_cast<double>(result.tokens) / seconds },
                                 { "first_byte_us_median", quantile(result.firstBytes, 0.5) },
                                 { "first_byte_us_p99", quantile(result.firstBytes, 0.99) } };
    std::cout << json::serialize(report) << '\n';
    return result.failed == 0 ? 0 : describe(ResultCode::UpstreamFailed).exitCode;
}

} // namespace

} // namespace burdock

int main(int argc, char **argv)
{
    burdock::LoadSettings settings;
    CLI::App app { "burdock-load: opens model streams and reports first byte and tokens a second" };
    app.add_option("--address", settings.address, "IP:PORT")->capture_default_str();
    app.add_option("--path", settings.path, "path of the model route")->capture_default_str();
    app.add_option("--model", settings.model, "model")->capture_default_str();
    app.add_option("--streams", settings.streams, "open at once")->capture_default_str();
    app.add_option("--requests", settings.requests, "in all")->capture_default_str();
    app.add_option("--tokens", settings.tokens, "of each answer")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    burdock::startLogging(argv[0]);
    return burdock::runLoad(settings);
}
