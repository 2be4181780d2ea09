// A server on loopback that answers by script, for tests of clients and of what uses them.
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
#include <vector>

namespace burdock {

/// In a script: the request is read and never answered.
const std::string NoAnswer;

/// Answers each request head with the next text; with "Close-Now" in it, the connection is closed
/// after it, with "Reset-Now" it is reset. With `endless` set, it goes on with that over and over
/// until the caller closes the connection.
struct ScriptedServer
{
    ScriptedServer(boost::asio::io_context &context, std::vector<std::string> texts)
        : io(context)
        , acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , answers(std::move(texts))
    {
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::awaitable<void> accept()
    {
        while (next < answers.size()) {
            boost::asio::ip::tcp::socket socket =
                    co_await acceptor.async_accept(boost::asio::use_awaitable);
            connections++;
            co_await serve(socket);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket &socket)
    {
        boost::asio::streambuf buffer;
        while (next < answers.size()) {
            boost::system::error_code failure;
            const auto bytes = co_await boost::asio::async_read_until(socket, buffer, "\r\n\r\n",
                                                                      withError(failure));
            if (failure)
                co_return;
            buffer.consume(bytes);
            const std::string text = answers[next++];
            if (text == NoAnswer)
                continue;
            co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                              withError(failure));
            if (!endless.empty()) {
                co_await writeOn(socket);
                co_return;
            }
            if (text.find("Reset-Now") != std::string::npos) {
                socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
                socket.close(failure); // the destructor would close it without a reset
                co_return;
            }
            if (failure || text.find("Close-Now") != std::string::npos)
                co_return;
        }
    }

    boost::asio::awaitable<void> writeOn(boost::asio::ip::tcp::socket &socket)
    {
        constexpr std::size_t BytesPerWrite = 16 * 1024;
        std::string text = endless;
        while (endlessPause.count() == 0 && text.size() < BytesPerWrite)
            text += text;
        boost::system::error_code failure;
        while (!failure && endlessBytes < MostEndlessBytes) {
            endlessBytes += co_await boost::asio::async_write(socket, boost::asio::buffer(text),
                                                              withError(failure));
            if (endlessPause.count() > 0)
                co_await sleepFor(endlessPause);
        }
        closedByCaller += failure ? 1 : 0;
    }

    /// Ends even the answers of a caller that never closes.
    static constexpr std::size_t MostEndlessBytes = 512 * 1024 * 1024;

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    std::vector<std::string> answers;
    std::size_t next = 0;
    int connections = 0;
    std::string endless;                          // follows each answer
    std::chrono::milliseconds endlessPause { 0 }; // between repetitions; 0: as fast as they go
    std::size_t endlessBytes = 0;                 // written so far
    int closedByCaller = 0;                       // connections closed while it went on
};

} // namespace burdock
