// Stand-in for a replica of a plain service of the users' platform.
//
//   any path       runs the request
//   GET /arrivals  [[X-Node of the request, ms of the monotonic clock], ...] since the limit or the
//                  pause was set
//   PUT /faults    {"leaving":bool,"limit":"2.5","pause":"4"}: what its answers say; "": nothing
//
// While it asks for pauses, it runs nothing and answers 503 with Retry-After.
#include "jsonbody.h"
#include "net/coroutines.h"
#include "net/httpserver.h"
#include "net/runloop.h"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpHeader;
using burdock::HttpReply;
using burdock::HttpRequest;

constexpr std::chrono::milliseconds ServiceTime { 10 };

class Replica : public burdock::HttpHandler
{
public:
    explicit Replica(std::string id)
        : m_id(std::move(id))
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
        co_await burdock::sleepFor(ServiceTime);
        headers.push_back({ "Server-Seal", m_id });
        co_await reply.send(200, std::move(headers), m_id);
    }

private:
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
        const auto now = std::chrono::steady_clock::now().time_since_epoch();
        const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now);
        const std::string node = burdock::headerValue(request.headers, "X-Node").value_or("");
        m_arrivals.emplace_back(json::array { node, ms.count() });
    }

    void setFaults(const std::string &body)
    {
        const json::value wanted = parseOrNull(body);
        if (!wanted.is_object())
            return; // the answer shows no change
        const json::object &fields = wanted.get_object();
        if (const auto *leaving = fields.if_contains("leaving"); leaving && leaving->is_bool())
            m_isLeaving = leaving->get_bool();
        if (fields.contains("limit") || fields.contains("pause"))
            m_arrivals.clear();
        if (const auto *limit = fields.if_contains("limit"); limit && limit->is_string())
            m_limit = limit->get_string();
        if (const auto *pause = fields.if_contains("pause"); pause && pause->is_string())
            m_pause = pause->get_string();
    }

    std::string m_id;
    bool m_isLeaving = false;
    std::string m_limit; // requests a second; empty: none
    std::string m_pause; // seconds; empty: none
    json::array m_arrivals;
};

} // namespace standin

int main(int argc, char **argv)
{
    std::string listenOn = "127.0.0.1:7200";
    std::string id = "i-1";
    CLI::App app { "Stand-in for a replica of a plain service" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    app.add_option("--id", id, "its id, as in its entry")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    standin::Replica replica(id);
    return burdock::serveUntilStopped(io, listenOn, replica, argv[0]);
}
