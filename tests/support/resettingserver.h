// A server on loopback that answers while the request is still being written, and then resets the
// connection.
#pragma once

#include "net/coroutines.h"
#include "net/endpoint.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <string>

namespace burdock {

struct ResettingPlay
{
    std::size_t bytesRead = 1'000;           // of the request, before the answer
    std::string answer;                      // written whole
    std::chrono::milliseconds resetAfter {}; // the answer
    bool isReset = true;                     // false: the connection is closed
};

struct ResettingServer
{
    ResettingServer(boost::asio::io_context &context, ResettingPlay what)
        : io(context)
        , acceptor(context,
                   boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0))
        , play(std::move(what))
    {
        boost::asio::co_spawn(io, accept(), boost::asio::detached);
    }

    Endpoint endpoint() const { return { "127.0.0.1", acceptor.local_endpoint().port() }; }

    boost::asio::awaitable<void> accept()
    {
        while (true) {
            boost::system::error_code failure;
            boost::asio::ip::tcp::socket socket(io);
            co_await acceptor.async_accept(socket, withError(failure));
            if (failure)
                co_return;
            std::string request(play.bytesRead, '\0');
            co_await boost::asio::async_read(socket, boost::asio::buffer(request),
                                             withError(failure));
            co_await boost::asio::async_write(socket, boost::asio::buffer(play.answer),
                                              withError(failure));
            if (play.resetAfter.count() > 0)
                co_await sleepFor(play.resetAfter);
            if (play.isReset)
                socket.set_option(boost::asio::socket_base::linger(true, 0), failure);
            else
                takeIn(socket);
            socket.close(failure);
            plays++;
        }
    }

    /// Reads what has arrived: the kernel resets a connection that is closed with unread bytes.
    static void takeIn(boost::asio::ip::tcp::socket &socket)
    {
        boost::system::error_code failure;
        std::string rest(1'000, '\0');
        socket.non_blocking(true);
        while (!failure)
            socket.read_some(boost::asio::buffer(rest), failure);
    }

    boost::asio::io_context &io;
    boost::asio::ip::tcp::acceptor acceptor;
    ResettingPlay play;
    int plays = 0;
};

/// @param answerHead first line and header lines
/// @return an answer without a length, of which the body began, under an upload of `uploadBytes`:
///         reset before and after, at once and later, with little and much of it read
inline std::vector<ResettingPlay> resetsUnderAnUpload(const std::string &answerHead,
                                                      std::size_t uploadBytes)
{
    using std::chrono::milliseconds;
    std::vector<ResettingPlay> plays;
    for (const std::size_t bytesRead : { std::size_t(1), std::size_t(1'000), uploadBytes / 2 }) {
        for (const std::size_t partBytes : { 0, 5, 20'000 }) {
            for (const int resetMs : { 0, 1, 5, 30 })
                plays.push_back({ bytesRead, answerHead + "\r\n" + std::string(partBytes, 'p'),
                                  milliseconds(resetMs), true });
        }
    }
    return plays;
}

} // namespace burdock
