#include "net/httpserver.h"

#include "net/coroutines.h"
#include "net/httpframing.h"

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

#include <algorithm>
#include <array>
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
/// Bytes read ahead of the parser: a head, trailers or one line between chunks, and a margin.
constexpr std::size_t BufferMargin = 4 * 1024;
/// A buffer that an idle connection keeps.
constexpr std::size_t MaxIdleBuffer = 8 * 1024;
constexpr std::size_t ReadAtOnce = 4 * 1024;
constexpr std::size_t FirstBuffer = 1024; // of a connection that has sent nothing yet
/// Requests that hold more are refused before idle connections of other callers are closed.
constexpr std::size_t LargeHold = 16 * 1024;
/// Memory that a header field takes besides its text, in the parser and in the request: callers may
/// send fields of four bytes.
constexpr std::size_t FieldBytes = 72 + 2 * sizeof(HttpHeader);
/// A request being answered counts this many times: its body is kept, and sent from a copy.
constexpr std::size_t AnsweredCopies = 2;
/// Of the bytes for all, larger requests leave this share to smaller ones while they are answered.
constexpr std::size_t SmallRequest = 64 * 1024;
constexpr std::size_t AnsweredShareDivisor = 4;
constexpr std::chrono::milliseconds RetryAfterRefusal { 1'000 };
/// After an early answer the rest of a request is read for so long, since closing at once would
/// reset the connection and take the answer from the caller.
constexpr std::chrono::milliseconds LingerTime { 1'000 };
constexpr std::size_t MaxLingerBytes = 1024 * 1024;
constexpr std::chrono::seconds RefusalLogInterval { 1 };

/// Frees the memory of a text, which an assignment would keep for the next one.
void freeText(std::string &text)
{
    std::string().swap(text);
}

/// Hop-by-hop headers and those that the server sets itself.
bool isOwnHeader(http::field field)
{
    return field == http::field::host || field == http::field::content_length
            || field == http::field::connection || field == http::field::transfer_encoding
            || field == http::field::keep_alive || field == http::field::expect;
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

    /// Refuses requests that are being read, and closes idle connections, until all together are
    /// within the limit.
    void limitBytes();
    /// Closes the connection that has waited longest for a request, if there is any.
    /// @return whether there is a place for a new connection
    bool makePlace();
    /// Counts a connection that was closed for others.
    void noteClosed(std::uint64_t &count, const char *reason);

    asio::io_context &io;
    HttpLimits limits;
    HttpHandler &handler;
    Tcp::acceptor acceptor;
    bool accepting = false;
    bool keepAlive = true; // connections outlive their answer
    int requestsInProgress = 0;
    std::size_t bytesHeld = 0;       // of all requests
    std::size_t bytesOfAnswered = 0; // of those that are being answered
    HttpRefusals refusals;
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
        m_progressAt = steadyNow();
        boost::system::error_code ignored;
        m_stream.socket().set_option(Tcp::no_delay(true), ignored);
    }

    ~HttpConnection() override
    {
        m_server->connections.erase(this);
        m_server->bytesHeld -= m_held;
        if (needsReset()) {
            boost::system::error_code ignored;
            m_stream.socket().set_option(asio::socket_base::linger(true, 0), ignored);
            m_stream.socket().close(ignored);
        }
    }

    asio::awaitable<void> run();

    /// Gives back what the connection holds: a request that is being read is refused, and an idle
    /// connection is closed.
    void giveUpMemory();
    /// Closes the connection, which waits for a request.
    void giveUpPlace();
    bool mayGiveUpMemory() const { return m_phase == Phase::Idle || m_phase == Phase::Reading; }
    bool isAnswering() const { return m_phase == Phase::Answering; }
    bool hasSentRequest() const { return m_requestNumber > 0; }
    Instant progressAt() const { return m_progressAt; }
    /// @return bytes held, times the time without progress; large holds come before all others
    std::pair<bool, double> weight(Instant now) const
    {
        constexpr double LeastTime = 1e3; // microseconds
        return { m_held > LargeHold,
                 double(m_held) * (LeastTime + double((now - m_progressAt).count())) };
    }

    asio::awaitable<bool> send(int status, std::vector<HttpHeader> headers,
                               std::string body) override;
    asio::awaitable<bool> begin(int status, std::vector<HttpHeader> headers) override;
    asio::awaitable<bool> write(std::string_view part) override;
    asio::awaitable<bool> finish() override;
    void onCallerLeft(std::function<void()> callback) override;
    bool callerLeft() const override { return m_callerLeft; }
    bool checkCallerLeft() override;
    bool begun() const override { return m_begun; }
    void cut() override { m_stream.close(); }

private:
    using Parser = http::request_parser<http::string_body>;

    enum class Phase {
        Idle,      // waits for the first byte of a request
        Reading,   // a request
        Answering, // a request that was read whole
        Closing,   // a request was refused, or the connection gave up its place
    };

    asio::awaitable<bool> readRequest();
    asio::awaitable<boost::system::error_code> awaitRequest();
    asio::awaitable<boost::system::error_code> readSome(std::size_t bytes);
    asio::awaitable<boost::system::error_code> readHead(Parser &parser);
    asio::awaitable<boost::system::error_code> confirmBody(const Parser &parser);
    asio::awaitable<boost::system::error_code> readMessage(Parser &parser);
    asio::awaitable<void> linger();
    void noteProgress(std::size_t bodyBytes);
    /// Counts the buffer, the head and so many bytes of the body.
    void setHeld(std::size_t bodyBytes);
    bool mayAnswer() const;
    asio::awaitable<void> refuseRequest(boost::system::error_code failure);
    asio::awaitable<void> answerRequest();
    void freeRequest();
    void freeBuffer();
    void takeHead(const http::request<http::string_body> &message);
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
    bool m_isRefusedForMemory = false;
    Phase m_phase = Phase::Idle;
    std::size_t m_headBytes = 0; // memory of the head of the request
    std::size_t m_held = 0;      // bytes of the buffer and the request
    Instant m_progressAt;        // latest bytes received, or end of the latest answer
    std::uint64_t m_requestNumber = 0;
};

void HttpServer::State::limitBytes()
{
    const Instant now = steadyNow();
    while (bytesHeld > limits.maxBytesOfAll) {
        HttpConnection *heaviest = nullptr;
        for (HttpConnection *connection : connections) {
            if (connection->mayGiveUpMemory()
                && (heaviest == nullptr || connection->weight(now) > heaviest->weight(now)))
                heaviest = connection;
        }
        if (heaviest == nullptr)
            return; // the rest belongs to requests that are being answered
        heaviest->giveUpMemory();
    }
}

void HttpServer::State::noteClosed(std::uint64_t &count, const char *reason)
{
    ++count;
    LOG_EVERY_T(INFO, RefusalLogInterval.count())
            << "closed a connection: " << reason << "; closed so far: idle, for memory "
            << refusals.idle << ", for the place of a new one " << refusals.connections
            << ", not accepted " << refusals.notAccepted;
}

bool HttpServer::State::makePlace()
{
    if (static_cast<int>(connections.size()) < limits.maxConnections)
        return true;
    // Connections that have sent a whole request before are kept longer.
    const auto precedes = [](const HttpConnection *left, const HttpConnection *right) {
        if (left->hasSentRequest() != right->hasSentRequest())
            return right->hasSentRequest();
        return left->progressAt() < right->progressAt();
    };
    HttpConnection *longest = nullptr;
    for (HttpConnection *connection : connections) {
        if (!connection->isAnswering() && (longest == nullptr || precedes(connection, longest)))
            longest = connection;
    }
    if (longest == nullptr)
        return false;
    longest->giveUpPlace();
    connections.erase(longest);
    noteClosed(refusals.connections, "all places for connections are taken");
    return true;
}

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
    const HttpLimits limits = m_server->limits;
    m_buffer.max_size(std::max(m_buffer.size(), limits.maxHeaderBytes + BufferMargin));
    if (m_buffer.size() == 0 && co_await awaitRequest())
        co_return false;
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits.maxHeaderBytes));
    parser.body_limit(limits.maxBodyBytes);
    m_stream.expires_after(limits.readTimeout);
    m_phase = Phase::Reading;
    const auto failure = co_await readMessage(parser);
    m_phase = Phase::Closing;
    m_stream.expires_never();
    if (!failure && !m_isRefusedForMemory) {
        m_request.body = std::move(parser.get().body());
        setHeld(AnsweredCopies * m_request.body.capacity());
        if (mayAnswer())
            co_return m_stream.socket().is_open();
        m_isRefusedForMemory = true;
    }
    freeText(parser.get().body());
    freeRequest();
    freeBuffer();
    co_await refuseRequest(failure);
    co_return false;
}

/// Waits for the first bytes of a request.
asio::awaitable<boost::system::error_code> HttpConnection::awaitRequest()
{
    m_phase = Phase::Idle;
    if (m_buffer.capacity() > MaxIdleBuffer)
        m_buffer.shrink_to_fit();
    m_stream.expires_after(m_server->limits.idleTimeout);
    co_return co_await readSome(std::clamp(m_buffer.capacity(), FirstBuffer, ReadAtOnce));
}

/// Reads what has arrived into the buffer, so many bytes at most.
asio::awaitable<boost::system::error_code> HttpConnection::readSome(std::size_t bytes)
{
    const std::size_t most = std::min(bytes, m_buffer.max_size() - m_buffer.size());
    if (most == 0)
        co_return http::error::buffer_overflow;
    boost::system::error_code failure;
    const auto space = m_buffer.prepare(most);
    setHeld(0);
    m_buffer.commit(co_await m_stream.async_read_some(space, withError(failure)));
    co_return failure;
}

/// Reads the head, then the body; fields that come after the body are not taken.
asio::awaitable<boost::system::error_code> HttpConnection::readMessage(Parser &parser)
{
    auto failure = co_await readHead(parser);
    if (failure)
        co_return failure;
    if (!isFramedClearly(parser.get()))
        co_return http::error::bad_transfer_encoding;
    takeHead(parser.get());
    // Most bodies have arrived with the head.
    parser.eager(true);
    if (!parser.is_done() && m_buffer.size() > 0) {
        m_buffer.consume(parser.put(m_buffer.data(), failure));
        if (failure == http::error::need_more)
            failure = {};
    } else if (!parser.is_done()) {
        failure = co_await confirmBody(parser);
    }
    if (!failure && !parser.is_done())
        m_buffer.reserve(ReadAtOnce); // the size of the reads that follow
    while (!failure && !parser.is_done()) {
        noteProgress(parser.get().body().capacity());
        if (m_isRefusedForMemory)
            co_return asio::error::operation_aborted;
        co_await http::async_read_some(m_stream, m_buffer, parser, withError(failure));
    }
    co_return failure;
}

/// Reads the head part by part, so that its memory is counted while it grows.
asio::awaitable<boost::system::error_code> HttpConnection::readHead(Parser &parser)
{
    const std::size_t limit = m_server->limits.maxHeaderBytes;
    std::size_t taken = 0;
    m_headBytes = 0;
    while (true) {
        noteProgress(0);
        if (m_isRefusedForMemory)
            co_return asio::error::operation_aborted;
        boost::system::error_code failure;
        const auto arrived = m_buffer.data();
        const std::size_t bytes = parser.put(arrived, failure);
        const auto *text = static_cast<const char *>(arrived.data());
        taken += bytes;
        m_headBytes += 2 * bytes + FieldBytes * std::size_t(std::count(text, text + bytes, '\n'));
        m_buffer.consume(bytes);
        if (!failure && parser.is_header_done())
            co_return failure;
        if (taken + m_buffer.size() > limit)
            co_return http::error::header_limit;
        if (failure && failure != http::error::need_more)
            co_return failure;
        failure = co_await readSome(ReadAtOnce);
        if (failure)
            co_return failure;
    }
}

/// Tells a caller that waits for it to send the body.
asio::awaitable<boost::system::error_code> HttpConnection::confirmBody(const Parser &parser)
{
    static constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::system::error_code failure;
    if (m_knowsChunks && beast::iequals(parser.get()[http::field::expect], "100-continue"))
        co_await asio::async_write(m_stream, asio::buffer(Continue), withError(failure));
    co_return failure;
}

void HttpConnection::noteProgress(std::size_t bodyBytes)
{
    m_progressAt = steadyNow();
    setHeld(bodyBytes);
}

void HttpConnection::setHeld(std::size_t bodyBytes)
{
    const std::size_t bytes = m_buffer.capacity() + m_headBytes + bodyBytes;
    m_server->bytesHeld += bytes - m_held; // wraps around where it falls
    const bool isMore = bytes > m_held;
    m_held = bytes;
    if (isMore)
        m_server->limitBytes();
}

/// Frees what the request holds besides the buffer.
void HttpConnection::freeRequest()
{
    freeText(m_request.body);
    m_request = {};
    m_headBytes = 0;
    setHeld(0);
}

void HttpConnection::freeBuffer()
{
    m_buffer.clear();
    m_buffer.shrink_to_fit();
    setHeld(0);
}

/// @return whether the request fits among those that are being answered, which cannot be dropped
bool HttpConnection::mayAnswer() const
{
    const std::size_t all = m_server->limits.maxBytesOfAll;
    const bool isSmall = m_request.body.size() <= SmallRequest;
    const std::size_t share = isSmall ? all : all - all / AnsweredShareDivisor;
    return m_server->bytesOfAnswered == 0 || m_server->bytesOfAnswered + m_held <= share;
}

void HttpConnection::giveUpMemory()
{
    m_server->bytesHeld -= m_held; // freed as soon as the reading has ended
    m_held = 0;
    if (m_phase == Phase::Idle) {
        giveUpPlace();
        m_server->noteClosed(m_server->refusals.idle, "all requests together hold too much memory");
        return;
    }
    m_phase = Phase::Closing;
    m_isRefusedForMemory = true;
    boost::system::error_code ignored;
    m_stream.socket().cancel(ignored);
}

void HttpConnection::giveUpPlace()
{
    m_phase = Phase::Closing;
    m_stream.close();
}

asio::awaitable<void> HttpConnection::refuseRequest(boost::system::error_code failure)
{
    m_begun = false;
    m_streaming = false;
    m_ended = false;
    m_keepAlive = false;
    HttpRefusals &refusals = m_server->refusals;
    Error error { ResultCode::RequestMalformed, "malformed request: " + failure.message() };
    std::chrono::milliseconds retryAfter { 0 };
    std::uint64_t *count = &refusals.malformed;
    if (m_isRefusedForMemory) {
        error = { ResultCode::RefusedOverload, "the requests being read hold too much memory" };
        retryAfter = RetryAfterRefusal;
        count = &refusals.memory;
    } else if (failure == http::error::header_limit || failure == http::error::body_limit
               || failure == http::error::buffer_overflow) {
        error = { ResultCode::RequestTooLarge, failure.message() };
        count = &refusals.tooLarge;
    } else if (failure == beast::error::timeout) {
        error = { ResultCode::RequestTooSlow, "the request was not received in time" };
        count = &refusals.tooSlow;
    } else if (failure.category() != http::make_error_code(http::error::bad_method).category()
               || failure == http::error::end_of_stream || failure == http::error::partial_message)
        co_return;
    ++*count;
    LOG_EVERY_T(INFO, RefusalLogInterval.count())
            << "refused a request: " << error.message << "; refused so far: malformed "
            << refusals.malformed << ", too large " << refusals.tooLarge << ", too slow "
            << refusals.tooSlow << ", for memory " << refusals.memory;
    if (co_await sendError(*this, error, retryAfter))
        co_await linger();
}

/// Reads and drops what the caller still sends, for a bounded time, so that it gets the answer.
asio::awaitable<void> HttpConnection::linger()
{
    boost::system::error_code failure;
    m_stream.socket().shutdown(Tcp::socket::shutdown_send, failure);
    m_stream.expires_after(LingerTime);
    // Nobody reads it, so that all connections share it.
    static thread_local std::array<char, 16 * 1024> unread;
    std::size_t dropped = 0;
    while (!failure && dropped < MaxLingerBytes)
        dropped += co_await m_stream.async_read_some(asio::buffer(unread), withError(failure));
    m_stream.expires_never();
}

void HttpConnection::takeHead(const http::request<http::string_body> &message)
{
    m_request.headers.clear();
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
}

asio::awaitable<void> HttpConnection::answerRequest()
{
    m_begun = false;
    m_streaming = false;
    m_ended = false;
    ++m_requestNumber;
    ++m_server->requestsInProgress;
    m_phase = Phase::Answering;
    const std::size_t held = m_held;
    m_server->bytesOfAnswered += held;
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
    m_phase = Phase::Closing; // until the next request is awaited
    m_server->bytesOfAnswered -= held;
    m_progressAt = steadyNow();
    freeRequest();
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
        if (!state->makePlace()) {
            state->noteClosed(state->refusals.notAccepted, "no place is left for a new connection");
            continue;
        }
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

std::size_t HttpServer::bytesHeld() const
{
    return m_state->bytesHeld;
}

const HttpRefusals &HttpServer::refusals() const
{
    return m_state->refusals;
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
