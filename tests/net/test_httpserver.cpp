// How the HTTP server frames streamed answers, and what it takes and holds of callers that break
// the limits, seen on the caller's socket.
#include "net/coroutines.h"
#include "net/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <list>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

/// Streams one part, and ends the answer if asked to.
struct StreamsOnePart : public HttpHandler
{
    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override
    {
        co_await reply.begin(StatusOk, {});
        co_await reply.write("part");
        co_await sleepFor(20ms);
        if (request.target == "/whole")
            co_await reply.finish();
    }
};

} // namespace

TEST_GROUP(HttpServer)
{
    asio::io_context io { 1 };
    StreamsOnePart handler;
    HttpServer server { io, HttpLimits {}, handler };
    std::string received;
    boost::system::error_code end; // of the connection

    void ask(const std::string &request)
    {
        Tcp::endpoint address;
        do { // another process may take the free port first
            Tcp::acceptor free(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            address = free.local_endpoint();
            free.close();
        } while (!isOk(server.listen({ "127.0.0.1", address.port() })));
        const auto run = [&]() -> asio::awaitable<void> {
            Tcp::socket socket(io);
            co_await socket.async_connect(address, asio::use_awaitable);
            co_await asio::async_write(socket, asio::buffer(request), asio::use_awaitable);
            co_await asio::async_read(socket, asio::dynamic_buffer(received), withError(end));
        };
        asio::co_spawn(io, run(), asio::detached);
        io.run_for(200ms);
    }
};

TEST(HttpServer, CutStreamHasNoLastChunk)
{
    ask("GET /cut HTTP/1.1\r\nHost: h\r\n\r\n");
    STRCMP_CONTAINS("4\r\npart\r\n", received.c_str());
    CHECK(received.find("0\r\n\r\n") == std::string::npos);
}

TEST(HttpServer, CallerOfHttp10GetsAStreamWithoutChunks)
{
    ask("GET /whole HTTP/1.0\r\n\r\n");
    STRCMP_CONTAINS("\r\n\r\npart", received.c_str());
    CHECK(received.find("chunked") == std::string::npos);
    CHECK_EQUAL(received.size() - 4, received.find("part"));
    CHECK(end == asio::error::eof);
}

TEST(HttpServer, CutStreamOfAnHttp10CallerEndsWithAReset)
{
    ask("GET /cut HTTP/1.0\r\n\r\n");
    CHECK(end == asio::error::connection_reset);
}

// ---- Limits -------------------------------------------------------------------------------------

namespace {

constexpr std::size_t MemoryOfAll = 256 * 1024;
constexpr std::size_t HeadLimit = 8 * 1024;
constexpr std::size_t BodyLimit = 64 * 1024;

/// Repeats the body to the caller; requests to /held wait until they are released.
struct RepeatsBodies : public HttpHandler
{
    asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override
    {
        requests.push_back(request);
        while (request.target == "/held" && !released)
            co_await sleepFor(5ms);
        co_await reply.send(StatusOk, {}, "<" + request.body + ">");
    }

    std::vector<HttpRequest> requests;
    bool released = false;
};

/// A caller that sends its parts one by one, each in a packet of its own, and reads what comes.
struct RawCaller
{
    RawCaller(asio::io_context &io, std::vector<std::string> texts, bool readsAtOnce)
        : socket(io)
        , parts(std::move(texts))
        , readsWhileSending(readsAtOnce)
    {
    }

    asio::awaitable<void> send()
    {
        boost::system::error_code failure;
        for (std::size_t index = 0; index < parts.size() && !failure; ++index) {
            co_await asio::async_write(socket, asio::buffer(parts[index]), withError(failure));
            if (index + 1 < parts.size())
                co_await sleepFor(1ms);
        }
        if (!readsWhileSending)
            co_await receive();
    }

    asio::awaitable<void> receive()
    {
        co_await asio::async_read(socket, asio::dynamic_buffer(received), withError(end));
        ended = true;
    }

    Tcp::socket socket;
    std::vector<std::string> parts;
    bool readsWhileSending;
    std::string received;
    boost::system::error_code end;
    bool ended = false;
};

std::string post(const std::string &target, const std::string &body)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string Chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";

/// A head of fields that take far more memory than bytes on the wire.
std::string tinyFields(int count)
{
    std::string text;
    while (count-- > 0)
        text += "a:\r\n";
    return text;
}

} // namespace

TEST_GROUP(HttpServerLimits)
{
    asio::io_context io { 1 };
    RepeatsBodies handler;
    HttpLimits limits;
    std::unique_ptr<HttpServer> server;
    Tcp::endpoint address;
    std::list<RawCaller> callers;
    std::size_t mostHeld = 0;

    void setup() override
    {
        limits.maxHeaderBytes = HeadLimit;
        limits.maxBodyBytes = BodyLimit;
        limits.maxBytesOfAll = MemoryOfAll;
    }

    void listen()
    {
        server = std::make_unique<HttpServer>(io, limits, handler);
        do { // another process may take the free port first
            Tcp::acceptor free(io, Tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            address = free.local_endpoint();
            free.close();
        } while (!isOk(server->listen({ "127.0.0.1", address.port() })));
    }

    RawCaller &open(std::vector<std::string> parts, bool readsAtOnce = true)
    {
        if (!server)
            listen();
        RawCaller &caller = callers.emplace_back(io, std::move(parts), readsAtOnce);
        boost::system::error_code failure;
        caller.socket.connect(address, failure);
        CHECK(!failure);
        asio::co_spawn(io, caller.send(), asio::detached);
        if (readsAtOnce)
            asio::co_spawn(io, caller.receive(), asio::detached);
        return caller;
    }

    template <typename Condition>
    bool runUntil(Condition condition)
    {
        const Instant last = steadyNow() + 5s;
        while (!condition() && steadyNow() < last) {
            io.restart();
            io.run_for(1ms);
            mostHeld = std::max(mostHeld, server->bytesHeld());
        }
        return condition();
    }

    /// @return the whole of what the caller got
    std::string answerTo(std::vector<std::string> parts, bool readsAtOnce = true)
    {
        RawCaller &caller = open(std::move(parts), readsAtOnce);
        CHECK(runUntil([&] { return caller.ended; }));
        return caller.received;
    }

    void checkAllGivenBack()
    {
        handler.released = true;
        boost::system::error_code ignored;
        for (RawCaller &caller : callers)
            caller.socket.close(ignored);
        CHECK(runUntil([&] { return server->connections() == 0; }));
        CHECK_EQUAL(0U, server->bytesHeld());
    }
};

TEST(HttpServerLimits, TrailersAreDropped)
{
    const std::string chunked = Chunked + "Early: 1\r\n\r\n3\r\nabc\r\n0\r\nLate: 1\r\n\r\n";
    RawCaller &caller = open({ chunked + chunked });
    CHECK(runUntil([&] { return handler.requests.size() == 2; }));
    for (const HttpRequest &request : handler.requests) {
        STRCMP_EQUAL("abc", request.body.c_str());
        CHECK_EQUAL(1U, request.headers.size());
        STRCMP_EQUAL("Early", request.headers[0].name.c_str());
    }
    CHECK(!caller.ended);
    checkAllGivenBack();
}

// Another server on the way may see a different end of such a body and take its rest for a request.
TEST(HttpServerLimits, UnclearFramingIsRefused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string body = "\r\n3\r\nabc\r\n0\r\n\r\n";
    const std::string requests[] = {
        head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n" + body,
        head + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n" + body,
        head + "Transfer-Encoding: gzip, chunked\r\n" + body,
        head + "Transfer-Encoding: chunked, chunked\r\n" + body,
        head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" + body,
        head + "Transfer-Encoding: identity\r\n" + body,
        head + "Transfer-Encoding: \r\n" + body,
        head + "Transfer-Encoding: xchunked\r\n" + body,
        head + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
        head + "Content-Length: 3, 3\r\n\r\nabc",
        "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n" + body,
        Chunked + "\r\nFFFFFFFFFFFFFFFFFF\r\nabc\r\n0\r\n\r\n",
        Chunked + "\r\n-1\r\nabc\r\n0\r\n\r\n",
        Chunked + "\r\n3\nabc\r\n0\r\n\r\n",
        Chunked + "\r\n3\r\nabcd\r\n0\r\n\r\n",
    };
    for (const std::string &request : requests) {
        const std::string received = answerTo({ request });
        CHECK_TEXT(received.starts_with("HTTP/1.1 400 "), request.c_str());
        CHECK_TEXT(received.find("Connection: close") != std::string::npos, request.c_str());
    }
    CHECK_EQUAL(0U, handler.requests.size());
    checkAllGivenBack();
}

// Guards against a name that this server and the next one on the way read differently.
TEST(HttpServerLimits, NamesOfFieldsWithBlanksOrControlBytesAreRefused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n";
    const std::string lines[] = { "X Y: a",    "X\tY: a", "X\x01Y: a", "X\x7fY: a",
                                  "X\x80Y: a", "X : a",   "X\t: a",    ": a",
                                  "X",         "X(Y): a", "X: a\x7f",  "X: a\rb" };
    for (const std::string &line : lines) {
        const std::string received = answerTo({ head + line + "\r\n\r\nabc" });
        CHECK_TEXT(received.starts_with("HTTP/1.1 400 "), line.c_str());
    }
    CHECK_EQUAL(0U, handler.requests.size());
    checkAllGivenBack();
}

// Guards against a part of a body that passes for all of it when its caller's connection is reset.
TEST(HttpServerLimits, ABodyThatEndsByAResetIsNoRequest)
{
    const std::string parts[] = { post("/", std::string(1'000, 'x')).substr(0, 600),
                                  Chunked + "\r\n3\r\nabc\r\n" };
    for (const std::string &part : parts) {
        RawCaller &caller = open({ part }, false);
        CHECK(runUntil([&] { return server->bytesHeld() > 0; }));
        boost::system::error_code ignored;
        caller.socket.set_option(asio::socket_base::linger(true, 0), ignored);
        caller.socket.close(ignored);
        CHECK(runUntil([&] { return server->connections() == 0; }));
    }
    CHECK_EQUAL(0U, handler.requests.size());
    checkAllGivenBack();
}

// A reset that overtakes the answer would take it from a caller that reads only after it has sent
// all.
TEST(HttpServerLimits, ABodyOverTheLimitIsRefusedSoThatTheCallerCanReadIt)
{
    limits.maxBodyBytes = 4 * 1024 * 1024;
    limits.maxBytesOfAll = 4 * limits.maxBodyBytes;
    const std::string body(8 * limits.maxBodyBytes, 'x');
    const std::string chunk = "10000\r\n" + std::string(0x10000, 'x') + "\r\n";
    std::string chunks = Chunked + "\r\n";
    while (chunks.size() < body.size())
        chunks += chunk;
    for (const std::string &request : { post("/", body), chunks }) {
        for (const bool readsAtOnce : { true, false }) {
            const std::string received = answerTo({ request }, readsAtOnce);
            STRCMP_CONTAINS("HTTP/1.1 413 ", received.c_str());
            STRCMP_CONTAINS("Connection: close", received.c_str());
        }
    }
    CHECK_EQUAL(0U, handler.requests.size());
    CHECK_EQUAL(4U, server->refusals().tooLarge);
    checkAllGivenBack();
}

// Heads, trailers and chunk extensions without an end, in one line or in many whole ones. The
// parser counts only what it has not yet taken, so a head of whole lines, each in a packet, had no
// bound.
TEST(HttpServerLimits, LinesWithoutEndAreRefused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string lastChunk = "\r\n1\r\nx\r\n0\r\n";
    const std::pair<std::string, std::string> endless[] = {
        { head, "X-Field: " + std::string(500, 'x') + "\r\n" },
        { head + "X-Field: ", std::string(500, 'x') },
        { Chunked + lastChunk, "X-Field: " + std::string(500, 'x') + "\r\n" },
        { Chunked + lastChunk + "X-Field: ", std::string(500, 'x') },
        { Chunked + "\r\n1;", std::string(500, 'x') },
        { Chunked + "\r\n0;", std::string(500, 'x') },
    };
    for (const auto &[begin, repeated] : endless) {
        std::vector<std::string> parts(100, repeated);
        parts.insert(parts.begin(), begin);
        STRCMP_CONTAINS("HTTP/1.1 413 ", answerTo(parts).c_str());
    }
    CHECK_COMPARE(mostHeld, <=, MemoryOfAll);
    CHECK_EQUAL(0U, handler.requests.size());
    checkAllGivenBack();
}

TEST(HttpServerLimits, PipelinedRequestsAreAllAnswered)
{
    std::string requests;
    for (int number = 0; number < 40; ++number)
        requests += post("/", std::string(std::size_t(number) * 50, 'x'));
    RawCaller &caller = open({ requests + "GET / HTTP/1.1\r\nConnection: close\r\n\r\n" });
    CHECK(runUntil([&] { return caller.ended; }));
    CHECK_EQUAL(41U, handler.requests.size());
    for (int number = 0; number < 40; ++number)
        CHECK_EQUAL(std::size_t(number) * 50, handler.requests[std::size_t(number)].body.size());
    std::size_t answers = 0;
    for (auto at = caller.received.find("HTTP/1.1 200"); at != std::string::npos;
         at = caller.received.find("HTTP/1.1 200", at + 1))
        answers++;
    CHECK_EQUAL(41U, answers);
    checkAllGivenBack();
}

TEST(HttpServerLimits, ABodyIsAskedForWhereTheCallerExpectsIt)
{
    const std::string head = "POST / HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: ";
    RawCaller &caller = open({ head + "3\r\n\r\n" });
    CHECK(runUntil([&] { return caller.received.starts_with("HTTP/1.1 100 Continue\r\n\r\n"); }));
    STRCMP_CONTAINS("HTTP/1.1 413 ", answerTo({ head + "99999999\r\n\r\n" }).c_str());
    checkAllGivenBack();
}

// The memory of fields and of unfinished heads was not counted, and idle connections kept theirs:
// either could fill the memory of the process, or refuse every newcomer.
TEST(HttpServerLimits, ASmallRequestIsServedWhileOthersHoldAllMemory)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::string unfinished[] = {
        post("/", std::string(BodyLimit, 'x')).substr(0, BodyLimit / 2),
        Chunked + "\r\n8000\r\n" + std::string(0x7000, 'x'),
        head + "X-Field: " + std::string(HeadLimit / 2, 'x'),
        head + tinyFields(1000),
        head + tinyFields(1000) + "Content-Length: 9\r\n\r\n",
        post("/", "x"),
    };
    for (const std::string &text : unfinished) {
        for (int number = 0; number < 100; ++number)
            open({ text });
        io.run_for(100ms);
        const std::string received =
                answerTo({ post("/small", "y").insert(22, "Connection: close\r\n") });
        CHECK_TEXT(received.starts_with("HTTP/1.1 200 "), text.substr(0, 200).c_str());
    }
    CHECK_COMPARE(mostHeld, <=, MemoryOfAll);
    checkAllGivenBack();
}

// Small requests were answered whatever the others held: enough of them filled the memory.
TEST(HttpServerLimits, RequestsBeingAnsweredAreBoundedTogether)
{
    constexpr int Count = 100;
    for (int number = 0; number < Count; ++number)
        open({ post("/held", std::string(8 * 1024, 'x')) });
    io.run_for(200ms);
    CHECK_COMPARE(mostHeld, <=, MemoryOfAll);
    CHECK_COMPARE(server->bytesHeld(), <=, MemoryOfAll);
    CHECK(!handler.requests.empty());
    handler.released = true;
    const auto answered = [&] {
        return std::count_if(callers.begin(), callers.end(), [](const RawCaller &each) {
            return each.received.starts_with("HTTP");
        });
    };
    CHECK(runUntil([&] { return answered() == Count; }));
    CHECK_EQUAL(Count, std::int64_t(handler.requests.size() + server->refusals().memory));
    checkAllGivenBack();
}

// A field of four bytes takes many times as much memory.
TEST(HttpServerLimits, FieldsAreCountedByTheMemoryThatTheyTake)
{
    constexpr int Fields = 1'000;
    open({ "GET /held HTTP/1.1\r\n" + tinyFields(Fields) + "\r\n" });
    CHECK(runUntil([&] { return !handler.requests.empty(); }));
    CHECK_COMPARE(server->bytesHeld(), >=, Fields * sizeof(HttpHeader));
    checkAllGivenBack();
}
