// The HTTP client against servers whose answers do not end: each call ends by its deadline and
// takes bounded memory.
#include "net/httpclient.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr auto Deadline = 300ms;
constexpr auto Slack = 200ms; // to notice the deadline
/// What a call may take in: the longest body, what is in flight in sockets, and the growth of a
/// buffer.
constexpr std::size_t MostBytes = 64 * 1024 * 1024;

const std::string Ok = "HTTP/1.1 200 OK\r\n";

} // namespace

TEST_GROUP(EndlessAnswers)
{
    asio::io_context io { 1 };
    Duration taken {};

    CallResult<HttpResponse> call(const ScriptedServer &server, std::chrono::milliseconds limit)
    {
        HttpClient client(io);
        std::optional<CallResult<HttpResponse>> result;
        const Instant begun = steadyNow();
        const auto run = [&]() -> asio::awaitable<void> {
            HttpRequest request;
            result = co_await client.call(server.endpoint(), request, begun + limit);
            taken = steadyNow() - begun;
        };
        io.restart(); // the call before may have left it without work
        asio::co_spawn(io, run(), asio::detached);
        while (!result)
            io.run_for(10ms);
        io.run_for(50ms);
        return *result;
    }

    void endsByItsDeadline(const std::string &beginning, const std::string &repeated,
                           std::chrono::milliseconds pause = {})
    {
        ScriptedServer server(io, { beginning });
        server.endless = repeated;
        server.endlessPause = pause;
        const auto result = call(server, Deadline);
        // The server notices at its second write after the caller has closed the connection.
        for (const Instant end = steadyNow() + Slack;
             server.closedByCaller == 0 && steadyNow() < end;)
            io.run_for(10ms);
        CHECK_TEXT(std::holds_alternative<CallFailure>(result), beginning.c_str());
        CHECK_TEXT(taken <= Deadline + Slack, beginning.c_str());
        CHECK_TEXT(server.endlessBytes <= MostBytes, beginning.c_str());
        CHECK_EQUAL_TEXT(1, server.closedByCaller, beginning.c_str());
    }
};

TEST(EndlessAnswers, AHeadLineWithoutEnd)
{
    endsByItsDeadline(Ok + "X: ", "a");
}

TEST(EndlessAnswers, AHeadWithoutEnd)
{
    endsByItsDeadline(Ok, "X: a\r\n");
}

TEST(EndlessAnswers, BytesThatAreNoAnswer)
{
    endsByItsDeadline("\r\n", "\r\n");
    endsByItsDeadline("x", "x");
}

TEST(EndlessAnswers, ABodyThatWouldEndWithItsConnection)
{
    endsByItsDeadline(Ok + "\r\n", "a");
}

TEST(EndlessAnswers, ABodyOfAVastLength)
{
    endsByItsDeadline(Ok + "Content-Length: 1000000000000\r\n\r\n", "a");
}

TEST(EndlessAnswers, ChunksWithoutEnd)
{
    endsByItsDeadline(Ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n");
}

TEST(EndlessAnswers, AChunkExtensionWithoutEnd)
{
    endsByItsDeadline(Ok + "Transfer-Encoding: chunked\r\n\r\n1;x=", "a");
}

TEST(EndlessAnswers, TrailersWithoutEnd)
{
    endsByItsDeadline(Ok + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X: a\r\n");
}

TEST(EndlessAnswers, AByteNowAndThen)
{
    endsByItsDeadline(Ok, "X: a\r\n", 20ms);
    endsByItsDeadline(Ok + "\r\n", "a", 20ms);
    endsByItsDeadline(Ok + "Transfer-Encoding: chunked\r\n\r\n", "1\r\na\r\n", 20ms);
}

TEST(EndlessAnswers, ALateDeadlineDoesNotLetABodyFillTheMemory)
{
    ScriptedServer server(io, { Ok + "\r\n" });
    server.endless = "a";
    const auto result = call(server, 4s);
    CHECK(std::holds_alternative<CallFailure>(result));
    CHECK_COMPARE(server.endlessBytes, <=, MostBytes);
}
