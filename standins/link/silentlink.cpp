#include "link/silentlink.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <cmath>
#include <list>

namespace standin {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t PieceBytes = 16 * 1024;

struct Connection
{
    explicit Connection(asio::io_context &io)
        : caller(io)
        , server(io)
    {
    }

    Tcp::socket caller;
    Tcp::socket server;
    bool isSilent = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

Tcp::endpoint tcpEndpoint(const burdock::Endpoint &endpoint)
{
    return { asio::ip::make_address(endpoint.address), endpoint.port };
}

} // namespace

struct SilentLink::State : public std::enable_shared_from_this<State>
{
    State(asio::io_context &context, burdock::Endpoint where)
        : io(context)
        , server(std::move(where))
        , acceptor(context)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> connect(ConnectionPtr connection);
    asio::awaitable<void> pass(ConnectionPtr connection, bool toServer);

    asio::io_context &io;
    burdock::Endpoint server;
    Tcp::acceptor acceptor;
    std::list<ConnectionPtr> open; // oldest first
    int opened = 0;
};

asio::awaitable<void> SilentLink::State::accept()
{
    const auto self = shared_from_this();
    while (acceptor.is_open()) {
        auto connection = std::make_shared<Connection>(io);
        boost::system::error_code failure;
        co_await acceptor.async_accept(connection->caller, burdock::withError(failure));
        if (failure)
            continue;
        opened++;
        open.push_back(connection);
        asio::co_spawn(io, connect(std::move(connection)), asio::detached);
    }
}

asio::awaitable<void> SilentLink::State::connect(ConnectionPtr connection)
{
    const auto self = shared_from_this();
    boost::system::error_code failure;
    const Tcp::endpoint where = tcpEndpoint(server);
    co_await connection->server.async_connect(where, burdock::withError(failure));
    if (failure) {
        open.remove(connection);
        co_return;
    }
    connection->caller.set_option(Tcp::no_delay(true), failure);
    connection->server.set_option(Tcp::no_delay(true), failure);
    asio::co_spawn(io, pass(connection, false), asio::detached);
    co_await pass(connection, true);
    open.remove(connection);
}

asio::awaitable<void> SilentLink::State::pass(ConnectionPtr connection, bool toServer)
{
    Tcp::socket &from = toServer ? connection->caller : connection->server;
    Tcp::socket &to = toServer ? connection->server : connection->caller;
    std::array<char, PieceBytes> piece {};
    boost::system::error_code failure;
    while (true) {
        const auto bytes =
                co_await from.async_read_some(asio::buffer(piece), burdock::withError(failure));
        if (failure)
            break;
        if (connection->isSilent)
            continue;
        co_await asio::async_write(to, asio::buffer(piece.data(), bytes),
                                   burdock::withError(failure));
        if (failure)
            break;
    }
    const bool isHidden = connection->isSilent && !toServer; // the caller must not see the close
    if (isHidden)
        co_return;
    connection->caller.close(failure);
    connection->server.close(failure);
}

SilentLink::SilentLink(asio::io_context &io, burdock::Endpoint server)
    : m_state(std::make_shared<State>(io, std::move(server)))
{
}

SilentLink::~SilentLink()
{
    boost::system::error_code ignored; // the link ends
    m_state->acceptor.close(ignored);
}

burdock::Result<burdock::Done> SilentLink::listen(const burdock::Endpoint &endpoint)
{
    Tcp::acceptor &acceptor = m_state->acceptor;
    boost::system::error_code failure;
    acceptor.open(Tcp::v4(), failure);
    acceptor.set_option(Tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(tcpEndpoint(endpoint), failure);
    if (!failure)
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return burdock::Error { burdock::ResultCode::SettingsClash,
                                burdock::toText(endpoint) + ": " + failure.message() };
    asio::co_spawn(m_state->io, m_state->accept(), asio::detached);
    return burdock::Done {};
}

const burdock::Endpoint &SilentLink::server() const
{
    return m_state->server;
}

burdock::Endpoint SilentLink::endpoint() const
{
    const auto local = m_state->acceptor.local_endpoint();
    return { local.address().to_string(), local.port() };
}

int SilentLink::silence(double share)
{
    const auto wanted =
            static_cast<std::size_t>(std::ceil(share * static_cast<double>(m_state->open.size())));
    int silenced = 0;
    for (const ConnectionPtr &connection : m_state->open) {
        if (static_cast<std::size_t>(silenced) >= wanted)
            break;
        connection->isSilent = true;
        silenced++;
    }
    return silenced;
}

int SilentLink::connectionsOpened() const
{
    return m_state->opened;
}

} // namespace standin
