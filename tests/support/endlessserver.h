// A server on loopback whose answers do not end, for tests of everything that reads answers.
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

#include <string>

namespace burdock {

/// Answers each request with the beginning, then with the rest over and over until the caller
/// closes the connection.
struct EndlessServer
{
    /// @param pause between two repetitions; zero: as fast as the caller takes them
    EndlessServer(boost::asio::io_context &context, std::string beginning, std::string repeated,
                  std::chrono::milliseconds pause = {})
        : io(context)
        , acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , head(std::move(beginning))
        , rest(std::move(repeated))
        , interval(pause)
    {
        constexpr std::size_t BytesPerWrite = 16 * 1024;
        while (pause.count() == 0 && rest.size() < BytesPerWrite)
            rest += rest;
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    /// Ends even the answers of a caller that never closes.
    static constexpr std::size_t MostBytes = 512 * 1024 * 1024;

    Endpoint endpoint() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            boost::asio::ip::tcp::socket socket =
                    co_await acceptor.async_accept(boost::asio::use_awaitable);
            requests++;
            boost::asio::co_spawn(io, serve(std::move(socket)), boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket)
    {
        boost::asio::streambuf buffer;
        boost::system::error_code failure;
        co_await boost::asio::async_read_until(socket, buffer, "\r\n\r\n", withError(failure));
        if (!failure)
            co_await boost::asio::async_write(socket, boost::asio::buffer(head),
                                              withError(failure));
        while (!failure && bytes < MostBytes) {
            bytes += co_await boost::asio::async_write(socket, boost::asio::buffer(rest),
                                                       withError(failure));
            if (interval.count() > 0)
                co_await sleepFor(interval);
        }
        closed++;
    }

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::string head;
    std::string rest;
    std::chrono::milliseconds interval;
    int requests = 0;
    int closed = 0;        // connections that the caller closed
    std::size_t bytes = 0; // written beyond the beginning
};

} // namespace burdock
