// The HTTP client against servers that misbehave, on loopback.
#include "link/silentlink.h"
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <functional>
#include <optional>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string Plain = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct OkHandler : public HttpHandler
{
    asio::awaitable<void> handle(const HttpRequest &, HttpReply &reply) override
    {
        co_await sleepFor(10ms);
        co_await reply.send(StatusOk, {}, "ok");
    }
};

struct RefuseToSend : public SendCheck
{
    bool mayStillSend() override { return false; }
};

/// A server behind a link whose open connections can go silent.
struct SilencedServer
{
    explicit SilencedServer(asio::io_context &io)
        : server(io, {}, handler)
        , link(io, { "127.0.0.1", freePort(io) })
    {
        CHECK(isOk(server.listen(link.server())));
        CHECK(isOk(link.listen({ "127.0.0.1", 0 })));
    }

    static std::uint16_t freePort(asio::io_context &io)
    {
        const asio::ip::tcp::acceptor bound(
                io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        return bound.local_endpoint().port();
    }

    OkHandler handler;
    HttpServer server;
    standin::SilentLink link;
};

} // namespace

TEST_GROUP(HttpClient)
{
    asio::io_context io { 1 };

    /// Makes calls one after the other.
    std::vector<CallResult<HttpResponse>> call(HttpClient & client, const Endpoint &endpoint,
                                               int count, const std::string &body = "")
    {
        std::vector<CallResult<HttpResponse>> results;
        const auto run = [&]() -> asio::awaitable<void> {
            for (int each = 0; each < count; ++each) {
                HttpRequest request;
                request.method = body.empty() ? "GET" : "POST";
                request.body = body;
                results.push_back(co_await client.call(endpoint, request, steadyNow() + 2s));
                co_await sleepFor(5ms);
            }
        };
        asio::co_spawn(io, run(), asio::detached);
        io.run_for(5s);
        return results;
    }

    /// Makes calls at the same time.
    /// @return how many were answered
    int callAtOnce(HttpClient & client, const Endpoint &endpoint, int count, Duration timeout,
                   CallOptions options = {})
    {
        int answered = 0;
        int ended = 0;
        const auto run = [&]() -> asio::awaitable<void> {
            HttpRequest request;
            const auto result =
                    co_await client.call(endpoint, request, steadyNow() + timeout, options);
            answered += served(result) ? 1 : 0;
            ended++;
        };
        for (int each = 0; each < count; ++each)
            asio::co_spawn(io, run, asio::detached);
        while (ended < count)
            io.run_for(1ms);
        return answered;
    }

    static bool served(const CallResult<HttpResponse> &result)
    {
        return std::holds_alternative<HttpResponse>(result);
    }
};

// A node that was short of processor time came to send a request after its deadline, and the
// replica ran what nobody waited for.
TEST(HttpClient, NothingIsSentAfterTheDeadline)
{
    ScriptedServer server(io, { Plain, Plain });
    HttpClient client(io);
    const auto first = call(client, server.endpoint(), 1);
    CHECK(std::holds_alternative<HttpResponse>(first.at(0)));
    std::optional<CallFailure> failure;
    const HttpRequest request;
    const auto late = [&]() -> asio::awaitable<void> {
        const Instant passed = steadyNow() - 1ms;
        const auto result = co_await client.call(server.endpoint(), request, passed);
        if (const auto *failed = std::get_if<CallFailure>(&result))
            failure = *failed;
    };
    asio::co_spawn(io, late, asio::detached);
    io.restart();
    io.run_for(100ms);
    CHECK(failure.has_value());
    CHECK(!failure->bytesSent);
    CHECK(failure->timedOut);
    CHECK_EQUAL(1, server.next);
}

TEST(HttpClient, ASendThatIsNoLongerWantedIsWithheld)
{
    ScriptedServer server(io, { Plain });
    HttpClient client(io);
    std::optional<CallFailure> failure;
    const auto exchange = client.exchange(server.endpoint(), true);
    const HttpRequest request;
    RefuseToSend check;
    const auto send = [&]() -> asio::awaitable<void> {
        const auto result = co_await exchange->start(request, steadyNow() + 2s, &check);
        if (const auto *failed = std::get_if<CallFailure>(&result))
            failure = *failed;
    };
    asio::co_spawn(io, send, asio::detached);
    io.restart();
    io.run_for(100ms);
    CHECK(failure.has_value());
    CHECK(!failure->bytesSent);
    CHECK(!failure->timedOut);
    CHECK_EQUAL(0, server.next);
}

TEST(HttpClient, KeepsAConnectionForTheNextCall)
{
    ScriptedServer server(io, { Plain, Plain, Plain });
    HttpClient client(io);
    const auto results = call(client, server.endpoint(), 3);
    CHECK_EQUAL(3, results.size());
    CHECK(served(results[2]));
    CHECK_EQUAL(1, server.connections);
}

// Bytes beyond an answer would be taken for the answer to the next request.
TEST(HttpClient, DropsAConnectionWithBytesBeyondTheAnswer)
{
    ScriptedServer server(
            io,
            { Plain + "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother\r\nClose-Now", Plain });
    HttpClient client(io);
    const auto results = call(client, server.endpoint(), 2);
    CHECK_EQUAL(2, results.size());
    CHECK(served(results[1]));
    CHECK_EQUAL(std::string("ok"), std::get<HttpResponse>(results[1]).body);
    CHECK_EQUAL(2, server.connections);
}

TEST(HttpClient, GivesUpAKeptConnectionBeforeTheServerDoes)
{
    ScriptedServer server(io,
                          { "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\n"
                            "okClose-Now",
                            Plain });
    server.answers[0].resize(server.answers[0].size() - 9); // stays open, yet is not used again
    HttpClient client(io);
    asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                co_await client.call(server.endpoint(), request, steadyNow() + 1s);
            },
            asio::detached);
    io.run_for(200ms);
    CHECK_EQUAL(1, client.connectionsOpened());
    asio::co_spawn(
            io,
            [&]() -> asio::awaitable<void> {
                HttpRequest request;
                co_await client.call(server.endpoint(), request, steadyNow() + 100ms);
            },
            asio::detached);
    io.run_for(300ms);
    CHECK_EQUAL(2, client.connectionsOpened());
}

TEST(HttpClient, AnAnswerMayEndWithItsConnection)
{
    ScriptedServer server(io, { "HTTP/1.1 200 OK\r\nX: Close-Now\r\n\r\nall of it" });
    HttpClient client(io);
    const auto results = call(client, server.endpoint(), 1);
    CHECK(served(results[0]));
    CHECK_EQUAL(std::string("all of it"), std::get<HttpResponse>(results[0]).body);
}

TEST(HttpClient, ATruncatedAnswerIsNone)
{
    ScriptedServer server(io,
                          { "HTTP/1.1 200 OK\r\nX: Close-Now\r\nContent-Length: 50\r\n\r\nhalf" });
    HttpClient client(io);
    const auto results = call(client, server.endpoint(), 1);
    CHECK(!served(results[0]));
    CHECK(std::get<CallFailure>(results[0]).bytesSent);
}

TEST(HttpClient, WithoutAListenerNothingWasSent)
{
    Endpoint nobody { "127.0.0.1", 0 };
    {
        const asio::ip::tcp::acceptor bound(
                io, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        nobody.port = bound.local_endpoint().port();
    }
    HttpClient client(io);
    const auto results = call(client, nobody, 1);
    CHECK(!served(results[0]));
    CHECK(!std::get<CallFailure>(results[0]).bytesSent);
}

// A server may answer before it has read a long body: waiting for the write would wait forever.
TEST(HttpClient, ReadsAnEarlyAnswerAndDropsTheConnection)
{
    const std::string large(8 * 1024 * 1024, 'x');
    ScriptedServer server(io, { "HTTP/1.1 413 Too Large\r\nContent-Length: 2\r\n\r\nno", Plain });
    HttpClient client(io);
    const auto results = call(client, server.endpoint(), 1, large);
    CHECK(served(results[0]));
    CHECK_EQUAL(413, std::get<HttpResponse>(results[0]).head.status);
}

// The call after a silent connection took another one of the same age.
TEST(HttpClient, ATimeOutDropsAllConnectionsThatWereIdleMeanwhile)
{
    SilencedServer silenced(io);
    HttpClient client(io);
    callAtOnce(client, silenced.link.endpoint(), 3, 1s);
    silenced.link.silence();
    const int onSilentOne = callAtOnce(client, silenced.link.endpoint(), 1, 300ms);
    const int afterIt = callAtOnce(client, silenced.link.endpoint(), 1, 300ms);
    CHECK_EQUAL(0, onSilentOne);
    CHECK_EQUAL(1, afterIt);
    CHECK_EQUAL(4, client.connectionsOpened());
}

TEST(HttpClient, ATimeOutLeavesConnectionsThatWereUsedMeanwhile)
{
    SilencedServer silenced(io);
    HttpClient client(io);
    callAtOnce(client, silenced.link.endpoint(), 2, 1s);
    silenced.link.silence(0.5);
    const int onBoth = callAtOnce(client, silenced.link.endpoint(), 2, 300ms);
    const int afterThem = callAtOnce(client, silenced.link.endpoint(), 1, 300ms);
    CHECK_EQUAL(1, onBoth);
    CHECK_EQUAL(1, afterThem);
    CHECK_EQUAL(2, client.connectionsOpened());
}

TEST(HttpClient, AShortDeadlineSaysNothingAboutOtherConnections)
{
    SilencedServer silenced(io);
    HttpClient client(io);
    callAtOnce(client, silenced.link.endpoint(), 2, 1s);
    const int tooShort = callAtOnce(client, silenced.link.endpoint(), 1, 2ms);
    const int afterIt = callAtOnce(client, silenced.link.endpoint(), 1, 1s);
    CHECK_EQUAL(0, tooShort);
    CHECK_EQUAL(1, afterIt);
    CHECK_EQUAL(2, client.connectionsOpened());
}

TEST(HttpClient, ACallCanAskForAConnectionThatWasInUseLately)
{
    SilencedServer silenced(io);
    HttpClient client(io);
    callAtOnce(client, silenced.link.endpoint(), 1, 1s);
    const Instant used = steadyNow();
    const int answered = callAtOnce(client, silenced.link.endpoint(), 1, 1s, { .usedSince = used });
    CHECK_EQUAL(1, answered);
    CHECK_EQUAL(2, client.connectionsOpened());
}

TEST(HttpClient, JsonThatIsCutOffByTheCloseIsToldFromWholeJson)
{
    HttpResponseHead head;
    head.headers = { { "Content-Type", "application/json; charset=utf-8" } };
    head.delimiter = BodyDelimiter::Close;
    for (const char *cut : { "", "{\"a\":", "[1,2", "\"text" })
        CHECK(isVisiblyTruncated(head, cut));
    for (const char *whole : { "{}", "[1,2]\n", "not json" })
        CHECK(!isVisiblyTruncated(head, whole));
    head.delimiter = BodyDelimiter::Length;
    CHECK(!isVisiblyTruncated(head, "{"));
}
