// Stand-in for a replica of a service of the users' platform.
//
//   any path       runs the request; below /stream/ the answer is a stream of events
//   GET /arrivals  [[X-Node of the request, ms of the monotonic clock], ...] since the limit or the
//                  pause was set
//   PUT /faults    {"leaving":bool,"limit":"2.5","pause":"4"}: what its answers say; "": nothing
//                  {"drop":0.5}: closes that share of the connections instead of answering
//
// While it asks for pauses, it runs nothing and answers 503 with Retry-After. With --crash-on, its
// process ends while it writes the answer to a request that has one of these parts in its prompt.
// With --log-requests, it prints a line of JSON for each such request and for its end.
#include "jsonbody.h"
#include "net/coroutines.h"
#include "net/httpserver.h"
#include "net/runloop.h"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <iostream>
#include <random>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpHeader;
using burdock::HttpReply;
using burdock::HttpRequest;

constexpr std::chrono::milliseconds CrashAfter { 100 }; // from the first event

struct ReplicaOptions
{
    std::string id = "i-1";           // as in its entry
    std::vector<std::string> crashOn; // prompt parts that end the process
    bool logRequests = false;
    std::chrono::milliseconds serviceTime { 10 }; // before the answer begins
    std::chrono::milliseconds eventTime { 20 };   // between the events of a stream
    int events = 5;                               // of a stream
};

class Replica : public burdock::HttpHandler
{
public:
    explicit Replica(ReplicaOptions options)
        : m_id(options.id)
        , m_options(std::move(options))
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override
    {
        const std::string path = burdock::pathOf(request);
        if (path == "/arrivals" || path == "/faults") {
            if (path == "/faults")
                setFaults(request.body);
            std::string arrivals = json::serialize(m_arrivals);
            co_await reply.send(200, {}, std::move(arrivals));
            co_return;
        }
        noteArrival(request);
        std::vector<HttpHeader> headers = signals();
        headers.push_back(
                { "Attempt-Id", burdock::headerValue(request.headers, "Attempt-Id").value_or("") });
        if (burdock::headerValue(request.headers, "Expect-Instance").value_or(m_id) != m_id) {
            headers.push_back({ "Not-Executed", "1" });
            co_await reply.send(421, std::move(headers), "");
            co_return;
        }
        if (!m_pause.empty()) {
            headers.push_back({ "Not-Executed", "1" });
            headers.push_back({ "Retry-After", m_pause });
            co_await reply.send(503, std::move(headers), "");
            co_return;
        }
        co_await run(request, reply, std::move(headers));
    }

private:
    asio::awaitable<void> run(const HttpRequest &request, HttpReply &reply,
                              std::vector<HttpHeader> headers)
    {
        const std::string part = crashingPart(request);
        log("arrival", request, part);
        co_await burdock::sleepFor(m_options.serviceTime);
        if (std::uniform_real_distribution<>(0.0, 1.0)(m_random) < m_dropShare)
            co_return; // without an answer the connection is closed
        headers.push_back({ "Server-Seal", m_id });
        const bool streams = request.target.starts_with("/stream/");
        if (!streams && part.empty()) {
            co_await reply.send(200, std::move(headers), m_id);
            co_return;
        }
        headers.push_back({ "Content-Type", "text/event-stream" });
        co_await reply.begin(200, std::move(headers));
        for (int event = 1; event <= m_options.events; ++event) {
            co_await reply.write(eventText(event));
            if (!part.empty()) {
                co_await burdock::sleepFor(CrashAfter);
                log("crash", request, part);
                std::_Exit(1);
            }
            co_await burdock::sleepFor(m_options.eventTime);
        }
        co_await reply.finish();
    }

    static std::string eventText(int event)
    {
        const std::string number = std::to_string(event);
        return "id: " + number + "\ndata: " + number + "\n\n";
    }

    /// @return the part of the request's prompt that ends the process; empty if there is none
    std::string crashingPart(const HttpRequest &request) const
    {
        const std::string parts =
                "," + burdock::headerValue(request.headers, "Prompt-Prefix").value_or("");
        for (const std::string &name : m_options.crashOn) {
            if (parts.find("," + name + ":") != std::string::npos)
                return name;
        }
        return "";
    }

    void log(const char *event, const HttpRequest &request, const std::string &part) const
    {
        if (!m_options.logRequests || part.empty())
            return;
        std::cout << json::serialize(json::value {
                { "event", event },
                { "at_ms", monotonicMs() },
                { "replica", m_id },
                { "node", burdock::headerValue(request.headers, "X-Node").value_or("") },
                { "part", part } })
                  << std::endl;
    }

    static std::int64_t monotonicMs()
    {
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    }

    std::vector<HttpHeader> signals() const
    {
        std::vector<HttpHeader> headers;
        headers.push_back({ "Instance-Id", m_id });
        if (m_isLeaving)
            headers.push_back({ "Server-Leaving", "1" });
        if (!m_limit.empty())
            headers.push_back({ "Server-Limit", m_limit });
        return headers;
    }

    void noteArrival(const HttpRequest &request)
    {
        const std::string node = burdock::headerValue(request.headers, "X-Node").value_or("");
        m_arrivals.emplace_back(json::array { node, monotonicMs() });
    }

    void setFaults(const std::string &body)
    {
        const json::value wanted = parseOrNull(body);
        if (!wanted.is_object())
            return; // the answer shows no change
        const json::object &fields = wanted.get_object();
        if (const auto *leaving = fields.if_contains("leaving"); leaving && leaving->is_bool())
            m_isLeaving = leaving->get_bool();
        if (const auto *share = fields.if_contains("drop"); share && share->is_number())
            m_dropShare = share->to_number<double>();
        if (fields.contains("limit") || fields.contains("pause"))
            m_arrivals.clear();
        if (const auto *limit = fields.if_contains("limit"); limit && limit->is_string())
            m_limit = limit->get_string();
        if (const auto *pause = fields.if_contains("pause"); pause && pause->is_string())
            m_pause = pause->get_string();
    }

    std::string m_id;
    ReplicaOptions m_options;
    std::minstd_rand m_random { std::random_device {}() };
    double m_dropShare = 0.0; // of requests whose connections are closed
    bool m_isLeaving = false;
    std::string m_limit; // requests a second; empty: none
    std::string m_pause; // seconds; empty: none
    json::array m_arrivals;
};

} // namespace standin

int main(int argc, char **argv)
{
    std::string listenOn = "127.0.0.1:7200";
    standin::ReplicaOptions options;
    CLI::App app { "Stand-in for a replica of a service" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    app.add_option("--id", options.id, "its id, as in its entry")->capture_default_str();
    app.add_option("--crash-on", options.crashOn, "prompt parts that end the process");
    app.add_flag("--log-requests", options.logRequests, "prints requests with such parts");
    int serviceMs = 10;
    int eventMs = 20;
    app.add_option("--service-ms", serviceMs, "time before an answer begins")
            ->capture_default_str();
    app.add_option("--event-ms", eventMs, "time between the events of a stream")
            ->capture_default_str();
    app.add_option("--events", options.events, "events of a stream")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    options.serviceTime = std::chrono::milliseconds(serviceMs);
    options.eventTime = std::chrono::milliseconds(eventMs);

    boost::asio::io_context io(1);
    standin::Replica replica(std::move(options));
    return burdock::serveUntilStopped(io, listenOn, replica, argv[0]);
}
