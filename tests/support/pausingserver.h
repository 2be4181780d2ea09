// A server on loopback that falls silent within its answers and goes on, for tests of what uses it.
#pragma once

#include "net/coroutines.h"
#include "net/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace burdock {

/// Serves any number of connections, one request each: waits and writes, step by step, and closes.
struct PausingServer
{
    struct Step
    {
        std::chrono::milliseconds pause { 0 }; // before the text
        std::string text;
    };

    PausingServer(boost::asio::io_context &context, std::vector<Step> answer)
        : io(context)
        , acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , steps(std::move(answer))
    {
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            auto socket = std::make_shared<boost::asio::ip::tcp::socket>(
                    co_await acceptor.async_accept(boost::asio::use_awaitable));
            boost::asio::co_spawn(io, serve(socket), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(std::shared_ptr<boost::asio::ip::tcp::socket> socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code failure;
        co_await boost::asio::async_read_until(*socket, buffer, "\r\n\r\n", withError(failure));
        if (failure)
            co_return;
        requests++;
        for (const Step &step : steps) {
            if (step.pause.count() > 0)
                co_await sleepFor(step.pause);
            if (isClosed(*socket)) {
                closedEarly++;
                co_return;
            }
            co_await boost::asio::async_write(*socket, boost::asio::buffer(step.text),
                                              withError(failure));
        }
        answers++;
    }

    /// @return whether the caller has closed the connection
    static bool isClosed(boost::asio::ip::tcp::socket &socket)
    {
        char next = 0;
        boost::system::error_code failure;
        socket.non_blocking(true, failure);
        socket.receive(boost::asio::buffer(&next, sizeof next),
                       boost::asio::ip::tcp::socket::message_peek, failure);
        return failure && failure != boost::asio::error::would_block;
    }

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<Step> steps;
    int requests = 0;    // that were read
    int answers = 0;     // that were written whole
    int closedEarly = 0; // connections that the caller closed before that
};

} // namespace burdock
