// How the HTTP server frames streamed answers, seen on the caller's socket.
#include "net/coroutines.h"
#include "net/httpserver.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

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
