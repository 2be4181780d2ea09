// A model's event stream, relayed to its caller by the product's own interface.
#include "entry/relay.h"
#include "support/caller.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <memory>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t RequestNumber = 7;
const std::string RequestName = "n1/7";
const std::string Part = "id: 0\ndata: a\n\n";
const std::string EndMark = "id: 1\ndata: [DONE]\n\n";

std::string closeDelimited(const std::string &text)
{
    return "HTTP/1.1 200 OK\r\nX: Close-Now\r\nX-Request-Id: " + RequestName
            + "\r\nContent-Type: text/event-stream\r\n\r\n" + text;
}

const std::string CutJson = "HTTP/1.1 200 OK\r\nX: Close-Now\r\n"
                            "Content-Type: application/json\r\n\r\n{\"choices\":";

} // namespace

TEST_GROUP(StreamRelay)
{
    asio::io_context io { 1 };
    HttpClient client { io };
    Caller caller;
    StreamRelay relay { caller, RequestNumber, RequestName };
    std::unique_ptr<ScriptedServer> engine;
    std::string endless; // follows its answer, with that pause
    std::chrono::milliseconds endlessPause { 20 };

    /// Relays one attempt; when it fails, the stream is given up.
    AttemptEnd play(const std::string &answer)
    {
        engine = std::make_unique<ScriptedServer>(io, std::vector { answer });
        engine->endless = endless;
        engine->endlessPause = endlessPause;
        AttemptEnd end = AttemptEnd::ConnectFailed;
        bool done = false;
        const auto run = [&]() -> asio::awaitable<void> {
            StreamAttempt attempt;
            attempt.number = 1;
            attempt.exchange = client.exchange(engine->endpoint(), true);
            attempt.request.method = "POST";
            attempt.firstByteDeadline = steadyNow() + 1s;
            attempt.gapTimeout = 1s;
            attempt.onFirstByte = [] {
            };
            end = co_await relay.run(std::move(attempt));
            const Error truncated { ResultCode::AnswerTruncated, relay.failure() };
            if (end != AttemptEnd::Done)
                co_await relay.truncate(truncated);
        };
        asio::co_spawn(io, run(), [&done](const std::exception_ptr &failure) {
            done = true;
            if (failure)
                std::rethrow_exception(failure);
        });
        const Instant limit = steadyNow() + 3s;
        while (!done && steadyNow() < limit)
            io.run_for(5ms);
        io.run_for(100ms); // the engine notices a close when it writes
        return end;
    }
};

TEST(StreamRelay, TruncatedStreamIsNotFramedAsComplete)
{
    CHECK(play(closeDelimited(Part)) == AttemptEnd::Failed);
    STRCMP_CONTAINS("event: error", caller.body.c_str());
    CHECK(!caller.ended);
}

TEST(StreamRelay, CloseInsideTheEndMarkIsNotDeliveredAsComplete)
{
    CHECK(play(closeDelimited(Part + "id: 1\ndata: [DONE]")) == AttemptEnd::Failed);
    CHECK(!caller.ended);
}

TEST(StreamRelay, CloseDelimitedStreamWithItsEndMarkIsComplete)
{
    CHECK(play(closeDelimited(Part + EndMark)) == AttemptEnd::Done);
    CHECK_EQUAL(Part + EndMark, caller.body);
    CHECK(caller.ended);
}

TEST(StreamRelay, WholeAnswerCutOffByTheCloseIsLost)
{
    engine = std::make_unique<ScriptedServer>(io, std::vector { CutJson });
    WholeAnswer answer;
    const auto run = [&]() -> asio::awaitable<void> {
        const HttpRequest request;
        answer = co_await readWhole(client.exchange(engine->endpoint(), true), request,
                                    steadyNow() + 1s);
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run_for(100ms);
    CHECK(answer.end == AttemptEnd::Lost);
}

TEST(StreamRelay, CommentsWithoutEndDoNotKeepAStreamAlive)
{
    endless = ": still here\n\n";
    CHECK(play(closeDelimited(Part)) != AttemptEnd::Done);
    CHECK_EQUAL(1, engine->closedByCaller);
}

TEST(StreamRelay, AnEventWithoutEndIsBrokenOff)
{
    endless = "data";
    endlessPause = {};
    CHECK(play(closeDelimited(Part)) == AttemptEnd::Failed);
    CHECK(engine->endlessBytes < 32 * 1024 * 1024);
}
