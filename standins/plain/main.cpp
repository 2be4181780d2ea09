// Stand-in for a plain service. It counts each run of an order by its Idempotency-Key.
//
//   GET  any path      a stock or status lookup
//   POST any path      runs an order and counts it
//   GET  /runs         {"KEY": runs, ...}: the judge of at most once
//   GET  /attempts     ["NAME", ...]: X-Attempt of each run
//   PUT  /faults       {"delay_ms":n,"lose_answers":bool}
#include "jsonbody.h"
#include "net/coroutines.h"
#include "net/httpserver.h"
#include "net/runloop.h"

#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <map>
#include <vector>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpHeader;
using burdock::HttpReply;
using burdock::HttpRequest;

class PlainService : public burdock::HttpHandler
{
public:
    explicit PlainService(std::string name)
        : m_name(std::move(name))
    {
    }

    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    asio::awaitable<void> answer(HttpReply &reply, json::value value);
    void setFaults(const std::string &body);
    json::value runs() const;

    std::string m_name;
    std::map<std::string, int> m_runs;
    std::vector<std::string> m_attempts; // callers' names of the attempts that ran
    std::uint64_t m_lookups = 0;
    std::chrono::milliseconds m_delay { 0 };
    bool m_loseAnswers = false;
};

asio::awaitable<void> PlainService::answer(HttpReply &reply, json::value value)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    co_await reply.send(200, std::move(headers), json::serialize(value));
}

void PlainService::setFaults(const std::string &body)
{
    const json::value wanted = parseOrNull(body);
    if (!wanted.is_object())
        return;
    m_delay = {};
    m_loseAnswers = false;
    if (const auto *delay = wanted.as_object().if_contains("delay_ms"))
        m_delay = std::chrono::milliseconds(delay->to_number<std::int64_t>());
    if (const auto *lose = wanted.as_object().if_contains("lose_answers"))
        m_loseAnswers = lose->as_bool();
}

json::value PlainService::runs() const
{
    json::object counted;
    for (const auto &[key, count] : m_runs)
        counted[key] = count;
    return counted;
}

asio::awaitable<void> PlainService::handle(const HttpRequest &request, HttpReply &reply)
{
    const std::string path = burdock::pathOf(request);
    if (path == "/faults") {
        setFaults(request.body);
        co_await answer(reply, json::object());
        co_return;
    }
    if (path == "/runs") {
        co_await answer(reply, runs());
        co_return;
    }
    if (path == "/attempts") {
        json::array attempts;
        for (const std::string &attempt : m_attempts)
            attempts.push_back(json::string(attempt));
        co_await answer(reply, std::move(attempts));
        co_return;
    }
    json::object result { { "served_by", m_name }, { "path", path } };
    if (request.method == "POST") {
        const auto key = burdock::headerValue(request.headers, "Idempotency-Key").value_or("");
        result["order"] = key;
        result["run"] = ++m_runs[key];
        m_attempts.push_back(burdock::headerValue(request.headers, "X-Attempt").value_or(""));
    } else {
        result["lookup"] = ++m_lookups;
    }
    if (m_delay.count() > 0) {
        co_await burdock::sleepFor(m_delay);
    }
    if (m_loseAnswers && request.method == "POST")
        co_return;
    co_await answer(reply, std::move(result));
}

} // namespace standin

int main(int argc, char **argv)
{
    std::string listenOn = "127.0.0.1:7200";
    std::string name = "plain";
    CLI::App app { "Stand-in for a plain service that counts the runs of each order" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    app.add_option("--name", name, "the VM's name")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    standin::PlainService service(name);
    return burdock::serveUntilStopped(io, listenOn, service, argv[0]);
}
