#include "net/httpserver.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <glog/logging.h>

#include <sys/socket.h>

#include <cerrno>
#include <set>

namespace burdock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::chrono::milliseconds AcceptRetryDelay { 50 };
constexpr unsigned HttpVersion11 = 11; // as Beast numbers it

/// Hop-by-hop headers and those that the server sets itself.
bool isOwnHeader(http::field field)
{
    return field == http::field::host || field == http::field::content_length
            || field == http::field::connection || field == http::field::transfer_encoding
            || field == http::field::keep_alive;
}

} // namespace

// ---- Connection ---------------------------------------------------------------------------------

class HttpConnection;

struct HttpServer::State
{
    State(asio::io_context &context, HttpLimits bounds, HttpHandler &answerer)
        : io(context)
        , limits(bounds)
        , handler(answerer)
        , acceptor(context)
    {
    }

    asio::io_context &io;
    HttpLimits limits;
    HttpHandler &handler;
    Tcp::acceptor acceptor;
    bool accepting = false;
    bool keepAlive = true; // connections outlive their answer
    int requestsInProgress = 0;
    std::set<HttpConnection *> connections;
};

class HttpConnection : public HttpReply, public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<HttpServer::State> server, Tcp::socket socket)
        : m_server(std::move(server))
        , m_stream(std::move(socket))
    {
        m_server->connections.insert(this);
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    }

    ~HttpConnection() override
    {
        m_server->connections.erase(this);
        if (needsReset()) {
            boost::system::error_code ignored;
            m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            m_stream.socket().close(ignored);
        }
    }

    asio::awaitable<void> run();

    asio::awaitable<bool> send(int status, std::vector<HttpHeader> headers,
                               std::string body) override;
    asio::awaitable<bool> begin(int status, std::vector<HttpHeader> headers) override;
    asio::awaitable<bool> write(std::string_view part) override;
    asio::awaitable<bool> finish() override;
    void onCallerLeft(std::function<void()> callback) override;
    bool callerLeft() const override { return m_callerLeft; }
    bool checkCallerLeft() override;
    bool begun() const override { return m_begun; }

private:
    asio::awaitable<bool> readRequest();
    asio::awaitable<void> refuseRequest(boost::system::error_code failure);
    asio::awaitable<void> answerRequest();
    void takeRequest(http::request<http::string_body> &&message);
    void watchCaller();
    void noteCallerLeft();
    bool sent(boost::system::error_code failure);
    /// @return whether an orderly close would make a cut stream look complete
    bool needsReset() const { return m_streaming && !m_ended && !m_knowsChunks; }

    std::shared_ptr<HttpServer::State> m_server;
    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    HttpRequest m_request;
    std::function<void()> m_onCallerLeft;
    bool m_keepAlive = true;
    bool m_knowsChunks = true; // false: HTTP/1.0, where the end of the connection ends a stream
    bool m_begun = false;
    bool m_streaming = false;
    bool m_ended = false;
    bool m_callerLeft = false;
    std::uint64_t m_requestNumber = 0;
};

asio::awaitable<void> HttpConnection::run()
{
    const auto self = shared_from_this();
    while (m_keepAlive && !m_callerLeft) {
        if (!co_await readRequest())
            break;
        co_await answerRequest();
        if (!m_ended)
            break;
        if (!m_server->keepAlive)
            m_keepAlive = false;
    }
    boost::system::error_code ignored;
    if (!needsReset())
        m_stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
}

asio::awaitable<bool> HttpConnection::readRequest()
{
    http::request_parser<http::string_body> parser;
    parser.header_limit(static_cast<std::uint32_t>(m_server->limits.maxHeaderBytes));
    parser.body_limit(m_server->limits.maxBodyBytes);

    boost::system::error_code failure;
    if (m_buffer.size() == 0) {
        m_stream.expires_after(m_server->limits.idleTimeout);
        const auto bytes =
                co_await m_stream.async_read_some(m_buffer.prepare(4096), withError(failure));
        m_buffer.commit(bytes);
        if (failure)
            co_return false;
    }
    m_stream.expires_after(m_server->limits.readTimeout);
    co_await http::async_read(m_stream, m_buffer, parser, withError(failure));
    m_stream.expires_never();
    if (failure) {
        co_await refuseRequest(failure);
        co_return false;
    }
    takeRequest(parser.release());
    co_return true;
}

asio::awaitable<void> HttpConnection::refuseRequest(boost::system::error_code failure)
{
    m_begun = false;
    m_ended = false;
    m_keepAlive = false;
    Error error { ResultCode::RequestMalformed, "malformed request: " + failure.message() };
    if (failure == http::error::header_limit || failure == http::error::body_limit)
        error = { ResultCode::RequestTooLarge, failure.message() };
    else if (failure == beast::error::timeout)
        error = { ResultCode::RequestTooSlow, "the request was not received in time" };
    else if (failure.category() != http::make_error_code(http::error::bad_method).category()
             || failure == http::error::end_of_stream || failure == http::error::partial_message)
        co_return;
    LOG(INFO) << "refused a request: " << error.message;
    co_await sendError(*this, error);
}

void HttpConnection::takeRequest(http::request<http::string_body> &&message)
{
    m_request = {};
    m_request.method = std::string(message.method_string());
    m_request.target = std::string(message.target());
    m_request.host = std::string(message[http::field::host]);
    for (const auto &field : message) {
        if (!isOwnHeader(field.name()))
            m_request.headers.push_back(
                    { std::string(field.name_string()), std::string(field.value()) });
    }
    m_keepAlive = message.keep_alive();
    m_knowsChunks = message.version() >= HttpVersion11;
    m_request.body = std::move(message.body());
}

asio::awaitable<void> HttpConnection::answerRequest()
{
    m_begun = false;
    m_streaming = false;
    m_ended = false;
    ++m_requestNumber;
    ++m_server->requestsInProgress;
    watchCaller();
    try {
        co_await m_server->handler.handle(m_request, *this);
    } catch (const std::exception &exception) {
        LOG(ERROR) << "a request failed: " << exception.what();
        m_keepAlive = false;
    }
    m_onCallerLeft = nullptr;
    ++m_requestNumber;
    --m_server->requestsInProgress;
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
}

void HttpConnection::watchCaller()
{
    const auto watched = m_requestNumber;
    m_stream.socket().async_wait(
            Tcp::socket::wait_read,
            [self = weak_from_this(), watched](boost::system::error_code failure) {
                const auto connection = self.lock();
                if (!connection || connection->m_requestNumber != watched || failure)
                    return;
                boost::system::error_code ignored;
                if (connection->m_stream.socket().available(ignored) == 0)
                    connection->noteCallerLeft();
            });
}

void HttpConnection::noteCallerLeft()
{
    if (m_callerLeft)
        return;
    m_callerLeft = true;
    m_keepAlive = false;
    if (const auto callback = std::exchange(m_onCallerLeft, nullptr))
        callback();
}

bool HttpConnection::checkCallerLeft()
{
    if (m_callerLeft)
        return true;
    char next = 0;
    const auto bytes =
            ::recv(m_stream.socket().native_handle(), &next, sizeof next, MSG_PEEK | MSG_DONTWAIT);
    if (bytes == 0 || (bytes < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR))
        noteCallerLeft();
    return m_callerLeft;
}

void HttpConnection::onCallerLeft(std::function<void()> callback)
{
    if (m_callerLeft && callback)
        callback();
    else
        m_onCallerLeft = std::move(callback);
}

bool HttpConnection::sent(boost::system::error_code failure)
{
    if (failure)
        noteCallerLeft();
    return !failure;
}

asio::awaitable<bool> HttpConnection::send(int status, std::vector<HttpHeader> headers,
                                           std::string body)
{
    assert(!m_begun && "an answer is sent once");
    m_begun = true;
    http::response<http::string_body> message(static_cast<http::status>(status), HttpVersion11);
    for (const HttpHeader &header : headers)
        message.insert(header.name, header.value);
    message.body() = std::move(body);
    message.prepare_payload();
    message.keep_alive(m_keepAlive && m_server->keepAlive);

    boost::system::error_code failure;
    m_stream.expires_after(m_server->limits.writeTimeout);
    co_await http::async_write(m_stream, message, withError(failure));
    m_stream.expires_never();
    m_ended = !failure;
    co_return sent(failure);
}

asio::awaitable<bool> HttpConnection::begin(int status, std::vector<HttpHeader> headers)
{
    assert(!m_begun && "an answer is begun once");
    m_begun = true;
    m_streaming = true;
    m_keepAlive = m_keepAlive && m_knowsChunks;
    http::response<http::empty_body> message(static_cast<http::status>(status), HttpVersion11);
    for (const HttpHeader &header : headers)
        message.insert(header.name, header.value);
    message.chunked(m_knowsChunks);
    message.keep_alive(m_keepAlive && m_server->keepAlive);

    boost::system::error_code failure;
    http::response_serializer<http::empty_body> serializer(message);
    m_stream.expires_after(m_server->limits.writeTimeout);
    co_await http::async_write_header(m_stream, serializer, withError(failure));
    m_stream.expires_never();
    co_return sent(failure);
}

asio::awaitable<bool> HttpConnection::write(std::string_view part)
{
    assert(m_streaming && "call begin() before write()");
    if (part.empty())
        co_return !m_callerLeft;
    boost::system::error_code failure;
    m_stream.expires_after(m_server->limits.writeTimeout);
    if (m_knowsChunks)
        co_await asio::async_write(m_stream, http::make_chunk(asio::buffer(part)),
                                   withError(failure));
    else
        co_await asio::async_write(m_stream, asio::buffer(part), withError(failure));
    m_stream.expires_never();
    co_return sent(failure);
}

asio::awaitable<bool> HttpConnection::finish()
{
    assert(m_streaming && "call begin() before finish()");
    boost::system::error_code failure;
    if (m_knowsChunks) {
        m_stream.expires_after(m_server->limits.writeTimeout);
        co_await asio::async_write(m_stream, http::make_chunk_last(), withError(failure));
        m_stream.expires_never();
    }
    m_ended = !failure;
    co_return sent(failure);
}

// ---- Server -------------------------------------------------------------------------------------

namespace {

asio::awaitable<void> serveConnection(std::shared_ptr<HttpConnection> connection)
{
    co_await connection->run();
}

asio::awaitable<void> acceptConnections(std::shared_ptr<HttpServer::State> state)
{
    while (state->accepting) {
        boost::system::error_code failure;
        Tcp::socket socket = co_await state->acceptor.async_accept(withError(failure));
        if (failure == asio::error::operation_aborted)
            co_return;
        if (failure) {
            co_await sleepFor(AcceptRetryDelay);
            continue;
        }
        if (static_cast<int>(state->connections.size()) >= state->limits.maxConnections)
            continue;
        auto connection = std::make_shared<HttpConnection>(state, std::move(socket));
        asio::co_spawn(state->io, serveConnection(std::move(connection)), asio::detached);
    }
}

} // namespace

HttpServer::HttpServer(asio::io_context &io, HttpLimits limits, HttpHandler &handler)
    : m_state(std::make_shared<State>(io, limits, handler))
{
}

HttpServer::~HttpServer()
{
    stopAccepting();
}

Result<Done> HttpServer::listen(const Endpoint &endpoint)
{
    boost::system::error_code failure;
    const Tcp::endpoint address(asio::ip::make_address(endpoint.address, failure), endpoint.port);
    if (!failure)
        m_state->acceptor.open(address.protocol(), failure);
    if (!failure)
        m_state->acceptor.set_option(Tcp::acceptor::reuse_address(true), failure);
    if (!failure)
        m_state->acceptor.bind(address, failure);
    if (!failure)
        m_state->acceptor.listen(asio::socket_base::max_listen_connections, failure);
    if (failure)
        return Error { ResultCode::SettingsClash,
                       "cannot listen on " + toText(endpoint) + ": " + failure.message() };
    m_state->accepting = true;
    asio::co_spawn(m_state->io, acceptConnections(m_state), asio::detached);
    return Done {};
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    m_state->limits = limits;
}

void HttpServer::closeAfterAnswers()
{
    m_state->keepAlive = false;
}

void HttpServer::stopAccepting()
{
    if (!m_state->accepting)
        return;
    m_state->accepting = false;
    m_state->keepAlive = false;
    boost::system::error_code ignored;
    m_state->acceptor.close(ignored);
}

int HttpServer::connections() const
{
    return static_cast<int>(m_state->connections.size());
}

int HttpServer::requestsInProgress() const
{
    return m_state->requestsInProgress;
}

// ---- Errors -------------------------------------------------------------------------------------

std::string errorBody(const Error &error)
{
    const ResultCodeRow &row = describe(error.code);
    return boost::json::serialize(boost::json::value { { "error",
                                                         { { "code", static_cast<int>(error.code) },
                                                           { "name", std::string(row.name) },
                                                           { "message", error.message } } } });
}

asio::awaitable<bool> sendError(HttpReply &reply, const Error &error,
                                std::chrono::milliseconds retryAfter)
{
    std::vector<HttpHeader> headers { { "Content-Type", "application/json" } };
    if (retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(retryAfter);
        headers.push_back({ "Retry-After", std::to_string(seconds.count()) });
    }
    co_return co_await reply.send(describe(error.code).httpStatus, std::move(headers),
                                  errorBody(error));
}

} // namespace burdock
