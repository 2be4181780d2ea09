// The HTTP client against servers that send bytes that are no answer, or a part of one: no call may
// take them for an answer.
#include "net/httpclient.h"
#include "support/oddanswers.h"
#include "support/resettingserver.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

constexpr std::size_t UploadBytes = 4 * 1024 * 1024;
constexpr int RepeatsOfResets = 3; // which operation is told of a reset differs from run to run

const std::string Final = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
const std::string Interim = "HTTP/1.1 102 X\r\nAttempt-Id: q1\r\n\r\n";

std::string interimAnswers(int count)
{
    std::string text;
    for (int each = 0; each < count; ++each)
        text += Interim;
    return text;
}

} // namespace

TEST_GROUP(OddAnswers)
{
    asio::io_context io { 1 };

    CallResult<HttpResponse> call(const Endpoint &endpoint, std::size_t bodyBytes = 0)
    {
        HttpClient client(io);
        std::optional<CallResult<HttpResponse>> result;
        const auto run = [&]() -> asio::awaitable<void> {
            HttpRequest request;
            request.method = bodyBytes == 0 ? "GET" : "POST";
            request.body.assign(bodyBytes, 'u');
            result = co_await client.call(endpoint, request, steadyNow() + 2s);
        };
        io.restart();
        asio::co_spawn(io, run(), asio::detached);
        while (!result)
            io.run_for(1ms);
        return *result;
    }

    CallResult<HttpResponse> callScripted(const std::string &answer)
    {
        ScriptedServer server(io, { answer });
        return call(server.endpoint());
    }
};

// Guards against a status, a framing or a head that this client does not understand being taken for
// an answer: status 000 and unknown codings were.
TEST(OddAnswers, NoneIsTakenForAnAnswer)
{
    for (const OddAnswer &odd : oddAnswers("Server: x\r\n")) {
        const auto result = callScripted(odd.text);
        const auto *failure = std::get_if<CallFailure>(&result);
        CHECK_TEXT(failure != nullptr, odd.name.c_str());
        CHECK_TEXT(failure->bytesSent, odd.name.c_str()); // it may have run
    }
}

// Guards against an interim answer being taken for the final one.
TEST(OddAnswers, InterimAnswersArePassedOver)
{
    for (const int count : { 1, 2, 16 }) {
        const auto result = callScripted(interimAnswers(count) + Final);
        const auto *response = std::get_if<HttpResponse>(&result);
        CHECK(response != nullptr);
        CHECK_EQUAL(200, response->head.status);
        CHECK_EQUAL(std::string("hello"), response->body);
    }
    CHECK(std::holds_alternative<CallFailure>(callScripted(interimAnswers(17) + Final)));
}

// Guards against a part of an answer being taken for all of it: the reset is told to the write, and
// the read then sees a clean end.
TEST(OddAnswers, APartIsNoAnswerWhenTheConnectionIsResetUnderTheUpload)
{
    for (const ResettingPlay &play : resetsUnderAnUpload("HTTP/1.1 200 OK\r\n", UploadBytes)) {
        for (int repeat = 0; repeat < RepeatsOfResets; ++repeat) {
            ResettingServer server(io, play);
            const auto result = call(server.endpoint(), UploadBytes);
            CHECK_TEXT(std::holds_alternative<CallFailure>(result),
                       StringFromFormat("read %d, part %d, reset after %d ms", int(play.bytesRead),
                                        int(play.answer.size()), int(play.resetAfter.count()))
                               .asCharString());
        }
    }
}

// The same when the whole request has been written, to the kernel at least.
TEST(OddAnswers, APartIsNoAnswerWhenTheConnectionIsResetAfterTheRequest)
{
    for (const auto resetAfter : { 0ms, 1ms, 20ms }) {
        ResettingServer server(io, { 10, "HTTP/1.1 200 OK\r\n\r\npart", resetAfter, true });
        CHECK(std::holds_alternative<CallFailure>(call(server.endpoint(), 1'000)));
    }
}

TEST(OddAnswers, AnAnswerThatEndsWithItsConnectionIsWholeOnceTheRequestWasTakenIn)
{
    for (const std::size_t bytes : { std::size_t(100), UploadBytes }) {
        ResettingServer server(io, { bytes, "HTTP/1.1 200 OK\r\n\r\nwhole", 20ms, false });
        const auto result = call(server.endpoint(), bytes);
        const auto *response = std::get_if<HttpResponse>(&result);
        CHECK(response != nullptr);
        CHECK_EQUAL(std::string("whole"), response->body);
    }
}
