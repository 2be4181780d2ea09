#include "net/httpclient.h"

#include "net/coroutines.h"
#include "net/httpframing.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json/stream_parser.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <optional>
#include <vector>

namespace burdock {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t PartBytes = 16 * 1024;
constexpr std::size_t MaxAnswerHeaderBytes = 64 * 1024;
/// Bytes of an answer that were received and not parsed. Longer lines between the chunks of a body,
/// or after them, are an error.
constexpr std::size_t MaxBufferedBytes = 2 * MaxAnswerHeaderBytes;
constexpr std::size_t MaxIdlePerEndpoint = 64;
/// A deadline that passes after a shorter silence says nothing about the connection.
constexpr std::chrono::milliseconds SuspiciousSilence { 200 };
/// Reads that an answer may still get after its deadline; together they take in what sockets hold.
constexpr int MaxLateReads = 32;

struct Connection
{
    explicit Connection(asio::io_context &io)
        : stream(io)
    {
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer { MaxBufferedBytes };
    std::optional<http::request<http::string_body>> message; // being written
    Instant keptAt {};                                       // when it was put aside for reuse
    Instant usableUntil {}; // when kept for reuse: the server closes it at about this time
};

using ConnectionPtr = std::shared_ptr<Connection>;

/// A margin below the server's own idle timeout, so that a request does not cross its close.
constexpr std::chrono::milliseconds IdleMargin { 500 };

/// @return the idle timeout in a Keep-Alive header such as "timeout=5, max=100", or nothing
std::optional<std::chrono::seconds> keepAliveTimeout(std::string_view value)
{
    constexpr std::string_view Name = "timeout=";
    const auto at = value.find(Name);
    if (at == std::string_view::npos)
        return std::nullopt;
    long seconds = 0;
    const char *first = value.data() + at + Name.size();
    if (std::from_chars(first, value.data() + value.size(), seconds).ec != std::errc())
        return std::nullopt;
    return std::chrono::seconds(std::max(0L, seconds));
}

void limitSilence(Tcp::socket &socket, std::chrono::milliseconds timeout)
{
    if (timeout.count() <= 0)
        return;
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using ProbeIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using ProbeInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using ProbeCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    const int seconds = std::max<int>(1, static_cast<int>(timeout.count() / 2'000));
    boost::system::error_code ignored; // an option that is not there leaves the deadlines in place
    socket.set_option(UserTimeout(static_cast<int>(timeout.count())), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(ProbeIdle(seconds), ignored);
    socket.set_option(ProbeInterval(seconds), ignored);
    socket.set_option(ProbeCount(2), ignored);
}

std::chrono::milliseconds toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

bool isRefusal(boost::system::error_code failure)
{
    return failure == asio::error::connection_refused;
}

constexpr int MaxInterimAnswers = 16; // before the final one

bool isInterim(int status)
{
    constexpr int SwitchingProtocols = 101; // never asked for
    return status >= 100 && status < 200 && status != SwitchingProtocols;
}

bool isFinal(int status)
{
    return status >= 200 && status < 600;
}

/// @return why the head is not that of an answer whose end can be told; null: it is
template <typename Head>
const char *headFault(const Head &head)
{
    const int status = static_cast<int>(head.result_int());
    if (!isInterim(status) && !isFinal(status))
        return "a status that no answer has";
    return isFramedClearly(head) ? nullptr : "a framing that is not known";
}

/// @return whether the other side has reset the connection, whoever was told of it
bool wasReset(Tcp::socket &socket)
{
    tcp_info info {};
    socklen_t size = sizeof(info);
    return ::getsockopt(socket.native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) == 0
            && info.tcpi_state == TCP_CLOSE;
}

bool isHopByHop(http::field field)
{
    return field == http::field::content_length || field == http::field::connection
            || field == http::field::transfer_encoding || field == http::field::keep_alive;
}

} // namespace

// ---- Idle connections ---------------------------------------------------------------------------

struct HttpClient::State
{
    State(asio::io_context &context, HttpClientSettings limits)
        : io(context)
        , settings(limits)
    {
    }

    ConnectionPtr takeIdle(const Endpoint &endpoint, Instant usedSince);
    void keepIdle(const Endpoint &endpoint, ConnectionPtr connection);
    void dropIdle(const Endpoint &endpoint, Instant unusedSince);

    asio::io_context &io;
    HttpClientSettings settings;
    std::uint64_t opened = 0;
    std::map<Endpoint, std::vector<ConnectionPtr>> idle;
};

ConnectionPtr HttpClient::State::takeIdle(const Endpoint &endpoint, Instant usedSince)
{
    auto &connections = idle[endpoint]; // the last one was kept last
    const Instant now = steadyNow();
    while (!connections.empty() && connections.back()->keptAt >= usedSince) {
        auto connection = std::move(connections.back());
        connections.pop_back();
        if (now >= connection->usableUntil)
            continue;
        // A byte or an end of stream waiting on an idle connection means it is no longer usable.
        std::array<char, 1> byte {};
        boost::system::error_code failure;
        connection->stream.socket().non_blocking(true, failure);
        connection->stream.socket().receive(asio::buffer(byte), Tcp::socket::message_peek, failure);
        if (failure == asio::error::would_block)
            return connection;
    }
    return nullptr;
}

void HttpClient::State::keepIdle(const Endpoint &endpoint, ConnectionPtr connection)
{
    auto &connections = idle[endpoint];
    const Instant now = steadyNow();
    std::erase_if(connections, [&](const ConnectionPtr &kept) { return now >= kept->usableUntil; });
    connection->keptAt = now;
    if (connections.size() < MaxIdlePerEndpoint)
        connections.push_back(std::move(connection));
}

void HttpClient::State::dropIdle(const Endpoint &endpoint, Instant unusedSince)
{
    std::erase_if(idle[endpoint],
                  [&](const ConnectionPtr &kept) { return kept->keptAt <= unusedSince; });
}

// ---- Exchange -----------------------------------------------------------------------------------

namespace {

enum class ConnectionUse {
    Kept,  // takes an idle connection and gives it back
    Fresh, // opens a connection and gives it back
    Own,   // opens a connection at first and keeps it for the next request
};

class BeastExchange : public HttpExchange
{
public:
    /// @param usedSince a connection that is taken was in use after it
    BeastExchange(std::shared_ptr<HttpClient::State> client, Endpoint endpoint, ConnectionUse use,
                  Instant usedSince = {})
        : m_client(std::move(client))
        , m_endpoint(std::move(endpoint))
        , m_use(use)
        , m_usedSince(usedSince)
    {
    }

    asio::awaitable<CallResult<HttpResponseHead>> start(HttpRequest request, Instant deadline,
                                                        SendCheck *check) override;
    asio::awaitable<CallResult<std::string>> readPart(Instant deadline) override;
    void cancel() override;
    void expire() override;

private:
    asio::awaitable<std::optional<CallFailure>> connect(Instant deadline);
    asio::awaitable<boost::system::error_code> readHead(bool isHead);
    HttpResponseHead takeHead();
    bool isEndCertain() const;
    CallFailure fault(const char *what);
    CallFailure failed(boost::system::error_code failure);
    CallFailure withhold(bool timedOut);
    void sendRequest(HttpRequest request);
    void finish();

    std::shared_ptr<HttpClient::State> m_client;
    Endpoint m_endpoint;
    ConnectionUse m_use;
    Instant m_usedSince;
    Instant m_aliveAt; // the other side was last heard then, or not yet asked
    bool m_bytesSent = false;
    bool m_cancelled = false;
    bool m_expired = false; // cancelled because the other side was silent
    bool m_closed = false;
    bool m_kept = false; // the connection had served a request before
    bool m_headRead = false;
    int m_lateReads = 0;   // reads of the answer after its deadline
    Duration m_idleFor {}; // the kept connection had been idle
    Instant m_idleUntil {};
    ConnectionPtr m_connection;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::array<char, PartBytes> m_part {};
};

CallFailure BeastExchange::failed(boost::system::error_code failure)
{
    if (m_expired)
        failure = beast::error::timeout;
    if (m_connection)
        m_connection->stream.close(); // a write may still be under way
    // The server had dropped the connection without notice: it keeps idle ones for a shorter time.
    if (m_kept && !m_headRead && !m_cancelled && failure != beast::error::timeout) {
        auto &limit = m_client->settings.idleLimit;
        limit = std::max(m_client->settings.idleLeast,
                         std::min(limit, toMilliseconds(m_idleFor) / 2));
    }
    // Whatever silenced this connection may have silenced those that were open at the time.
    if (failure == beast::error::timeout && steadyNow() >= m_aliveAt + SuspiciousSilence)
        m_client->dropIdle(m_endpoint, m_aliveAt);
    m_connection.reset();
    m_closed = m_use == ConnectionUse::Own;
    std::string message = toText(m_endpoint) + ": " + failure.message();
    if (m_kept && m_use == ConnectionUse::Kept)
        message += " (kept connection, idle for "
                + std::to_string(toMilliseconds(m_idleFor).count()) + " ms)";
    return { m_bytesSent, failure == beast::error::timeout, m_kept && !m_headRead,
             isRefusal(failure), std::move(message) };
}

/// Ends the exchange, whose answer is none.
CallFailure BeastExchange::fault(const char *what)
{
    CallFailure failure = failed(http::error::bad_status);
    failure.message = toText(m_endpoint) + ": the answer has " + what;
    return failure;
}

/// Ends the exchange before a byte was sent.
CallFailure BeastExchange::withhold(bool timedOut)
{
    if (m_connection)
        m_connection->stream.close();
    m_connection.reset();
    m_closed = m_use == ConnectionUse::Own;
    return { false, timedOut, false, false, toText(m_endpoint) + ": not sent any more" };
}

asio::awaitable<std::optional<CallFailure>> BeastExchange::connect(Instant deadline)
{
    if (m_cancelled)
        co_return CallFailure { false, false, false, false, toText(m_endpoint) + ": cancelled" };
    m_aliveAt = steadyNow();
    if (m_use == ConnectionUse::Kept)
        m_connection = m_client->takeIdle(m_endpoint, m_usedSince);
    m_kept = m_connection != nullptr;
    if (m_connection) {
        m_idleFor = steadyNow() - m_connection->keptAt;
        co_return std::nullopt;
    }
    if (m_closed)
        co_return CallFailure { false, false, false, false,
                                toText(m_endpoint) + ": the session has ended" };

    boost::system::error_code failure;
    const auto address = asio::ip::make_address(m_endpoint.address, failure);
    if (failure)
        co_return failed(failure);
    m_connection = std::make_shared<Connection>(m_client->io);
    ++m_client->opened;
    const Instant connectBy = steadyNow() + m_client->settings.connectTimeout;
    m_connection->stream.expires_at(toSteady(std::min(deadline, connectBy)));
    co_await m_connection->stream.async_connect(Tcp::endpoint(address, m_endpoint.port),
                                                withError(failure));
    if (m_cancelled)
        failure = asio::error::operation_aborted;
    if (failure)
        co_return failed(failure);
    m_connection->stream.socket().set_option(Tcp::no_delay(true), failure);
    limitSilence(m_connection->stream.socket(), m_client->settings.silenceTimeout);
    co_return std::nullopt;
}

asio::awaitable<CallResult<HttpResponseHead>>
BeastExchange::start(HttpRequest request, Instant deadline, SendCheck *check)
{
    if (auto failure = co_await connect(deadline))
        co_return std::move(*failure);
    // A process that is short of processor time may be here long after the connection was opened.
    const bool isTimely = steadyNow() < deadline;
    if (!isTimely || (check != nullptr && !check->mayStillSend()) || m_cancelled)
        co_return withhold(!isTimely);

    m_connection->stream.expires_at(toSteady(deadline));
    m_parser.reset();
    m_headRead = false;
    m_lateReads = 0;
    const bool isHead = request.method == "HEAD";
    sendRequest(std::move(request));

    for (int interim = 0; interim <= MaxInterimAnswers; ++interim) {
        if (const auto failure = co_await readHead(isHead))
            co_return failed(failure);
        if (const char *what = headFault(m_parser->get()))
            co_return fault(what);
        if (isFinal(static_cast<int>(m_parser->get().result_int())))
            co_return takeHead();
    }
    co_return fault("interim answers without a final one");
}

asio::awaitable<boost::system::error_code> BeastExchange::readHead(bool isHead)
{
    m_parser.emplace();
    m_parser->header_limit(MaxAnswerHeaderBytes);
    m_parser->body_limit(boost::none);
    m_parser->skip(isHead);
    boost::system::error_code failure;
    co_await http::async_read_header(m_connection->stream, m_connection->buffer, *m_parser,
                                     withError(failure));
    if (m_cancelled && !failure)
        failure = asio::error::operation_aborted;
    m_headRead = m_headRead || !failure;
    m_aliveAt = failure ? m_aliveAt : steadyNow();
    co_return failure;
}

/// Writes while the answer is read: a server may answer before it has read a long body, and would
/// otherwise leave both sides waiting for each other.
void BeastExchange::sendRequest(HttpRequest request)
{
    auto &message =
            m_connection->message.emplace(http::string_to_verb(request.method), request.target, 11);
    message.method_string(request.method);
    message.set(http::field::host, request.host.empty() ? toText(m_endpoint) : request.host);
    for (const HttpHeader &header : request.headers)
        message.insert(header.name, header.value);
    message.body() = std::move(request.body);
    message.prepare_payload();
    m_bytesSent = true;
    // Whether a failed write is an end of the exchange, the read decides: the server may have
    // answered before it closed. The message stays as a mark of it.
    http::async_write(m_connection->stream, message,
                      [connection = m_connection](boost::system::error_code failure, std::size_t) {
                          if (!failure)
                              connection->message.reset();
                      });
}

HttpResponseHead BeastExchange::takeHead()
{
    HttpResponseHead head;
    head.status = static_cast<int>(m_parser->get().result_int());
    std::chrono::milliseconds idleLimit = m_client->settings.idleLimit;
    if (const auto timeout = keepAliveTimeout(m_parser->get()[http::field::keep_alive]))
        idleLimit = std::min<std::chrono::milliseconds>(idleLimit, *timeout - IdleMargin);
    m_idleUntil = steadyNow() + idleLimit;
    for (const auto &field : m_parser->get()) {
        if (!isHopByHop(field.name()))
            head.headers.push_back(
                    { std::string(field.name_string()), std::string(field.value()) });
    }
    head.onKeptConnection = m_kept;
    if (m_parser->chunked())
        head.delimiter = BodyDelimiter::Chunks;
    else if (m_parser->need_eof())
        head.delimiter = BodyDelimiter::Close;
    if (m_parser->is_done())
        finish();
    return head;
}

asio::awaitable<CallResult<std::string>> BeastExchange::readPart(Instant deadline)
{
    std::string part;
    boost::system::error_code failure;
    while (part.empty() && m_connection && !m_parser->is_done()) {
        m_parser->get().body().data = m_part.data();
        m_parser->get().body().size = m_part.size();
        // The timer does not end a read that always finds bytes. What has already arrived when a
        // suspended process goes on is still read.
        if (steadyNow() >= deadline && ++m_lateReads > MaxLateReads)
            co_return failed(beast::error::timeout);
        m_connection->stream.expires_at(toSteady(deadline));
        co_await http::async_read_some(m_connection->stream, m_connection->buffer, *m_parser,
                                       withError(failure));
        if (failure == http::error::need_buffer)
            failure = {};
        if (failure)
            co_return failed(failure);
        part.assign(m_part.data(), m_part.size() - m_parser->get().body().size);
        m_aliveAt = steadyNow();
        if (m_parser->is_done() && !isEndCertain())
            co_return failed(asio::error::connection_reset);
    }
    if (!m_parser || (!m_connection && !m_parser->is_done()))
        co_return CallFailure { m_bytesSent, false, false, false,
                                toText(m_endpoint) + ": cancelled" };
    if (m_parser->is_done())
        finish();
    co_return part;
}

/// @return whether the body that was read is whole, not only its connection at its end
bool BeastExchange::isEndCertain() const
{
    const bool isOwnEnd = m_parser->chunked() || !m_parser->need_eof();
    const bool wasWritten = !m_connection->message.has_value();
    return isOwnEnd || (wasWritten && !wasReset(m_connection->stream.socket()));
}

void BeastExchange::finish()
{
    if (!m_connection)
        return;
    m_connection->stream.expires_never();
    // Bytes beyond the answer belong to no request, and a request that is still being written would
    // share the connection with the next.
    const bool clean = m_connection->buffer.size() == 0 && !m_connection->message.has_value();
    const bool keep = clean && m_parser->keep_alive();
    m_connection->usableUntil = m_idleUntil;
    if (keep && m_use == ConnectionUse::Own)
        return;
    m_closed = m_use == ConnectionUse::Own;
    if (!keep)
        m_connection->stream.close();
    if (keep)
        m_client->keepIdle(m_endpoint, std::move(m_connection));
    m_connection.reset();
}

void BeastExchange::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->stream.close();
}

void BeastExchange::expire()
{
    m_expired = true;
    cancel();
}

} // namespace

// ---- Whole answers ------------------------------------------------------------------------------

bool isVisiblyTruncated(const HttpResponseHead &head, std::string_view body)
{
    const auto type = headerValue(head.headers, "Content-Type");
    if (head.delimiter != BodyDelimiter::Close || !type || !type->starts_with("application/json"))
        return false;
    boost::json::stream_parser parser;
    boost::system::error_code failure;
    parser.write(body.data(), body.size(), failure);
    if (!failure)
        parser.finish(failure);
    return failure == boost::json::error::incomplete;
}

bool BodyMemory::tryAdd(std::size_t earlier, std::size_t bytes)
{
    const std::size_t total = earlier + bytes;
    if (total > m_limits.maxBytes)
        return false;
    while (total > m_limits.alwaysAllowed && m_used + bytes > m_limits.maxBytesOfAll) {
        if (!reclaim())
            return false;
    }
    m_used += bytes;
    return true;
}

bool BodyMemory::reclaim()
{
    const Instant now = steadyNow();
    const auto weight = [now](const BodyHold *hold) {
        return double(hold->m_bytes) * double((now - hold->m_sendingFrom).count());
    };
    BodyHold *heaviest = nullptr;
    for (BodyHold *hold : m_sending) {
        if (now - hold->m_sendingFrom >= m_limits.sendTime
            && (heaviest == nullptr || weight(hold) > weight(heaviest)))
            heaviest = hold;
    }
    if (heaviest == nullptr)
        return false;
    const auto cut = std::move(heaviest->m_cut);
    heaviest->release(); // its body is freed as soon as the sending has ended
    cut();
    return true;
}

bool BodyHold::tryAdd(std::size_t bytes)
{
    if (!m_memory->tryAdd(m_bytes, bytes))
        return false;
    m_bytes += bytes;
    return true;
}

void BodyHold::beginSending(std::function<void()> cut)
{
    m_sendingFrom = steadyNow();
    m_cut = std::move(cut);
    m_memory->m_sending.insert(this);
}

void BodyHold::release()
{
    m_memory->m_sending.erase(this);
    m_memory->m_used -= m_bytes;
    m_bytes = 0;
}

asio::awaitable<CallResult<std::string>> readBody(HttpExchange &exchange, Instant deadline,
                                                  std::size_t maxBytes)
{
    BodyMemory memory({ maxBytes, maxBytes, maxBytes });
    BodyHold hold(memory);
    co_return co_await readBody(exchange, deadline, hold);
}

asio::awaitable<CallResult<std::string>> readBody(HttpExchange &exchange, Instant deadline,
                                                  BodyHold &hold)
{
    std::string body;
    while (true) {
        auto part = co_await exchange.readPart(deadline);
        if (const auto *failure = std::get_if<CallFailure>(&part)) {
            exchange.cancel();
            co_return *failure;
        }
        const auto &text = std::get<std::string>(part);
        if (text.empty())
            co_return body;
        if (!hold.tryAdd(text.size())) {
            exchange.cancel();
            co_return CallFailure { true, false, false, false,
                                    "the body is longer than this process buffers" };
        }
        body += text;
    }
}

namespace {

asio::awaitable<CallResult<HttpResponse>> readWholeAnswer(HttpExchange &exchange,
                                                          const HttpRequest &request,
                                                          Instant headDeadline, Instant deadline,
                                                          std::size_t maxBytes, SendCheck *check)
{
    auto head = co_await exchange.start(request, headDeadline, check);
    if (const auto *failure = std::get_if<CallFailure>(&head))
        co_return *failure;

    HttpResponse response;
    response.head = std::move(std::get<HttpResponseHead>(head));
    auto body = co_await readBody(exchange, deadline, maxBytes);
    if (const auto *failure = std::get_if<CallFailure>(&body))
        co_return *failure;
    response.body = std::move(std::get<std::string>(body));
    co_return response;
}

class BeastSession : public HttpSession
{
public:
    BeastSession(std::shared_ptr<HttpClient::State> client, const Endpoint &endpoint)
        : m_maxBodyBytes(client->settings.maxBodyBytes)
        , m_exchange(std::move(client), endpoint, ConnectionUse::Own)
    {
    }

    asio::awaitable<CallResult<HttpResponse>> call(const HttpRequest &request,
                                                   Instant deadline) override
    {
        co_return co_await readWholeAnswer(m_exchange, request, deadline, deadline, m_maxBodyBytes,
                                           nullptr);
    }

private:
    std::size_t m_maxBodyBytes;
    BeastExchange m_exchange;
};

} // namespace

// ---- Client -------------------------------------------------------------------------------------

HttpClient::HttpClient(asio::io_context &io, HttpClientSettings settings)
    : m_state(std::make_shared<State>(io, settings))
{
}

asio::awaitable<ConnectOutcome> HttpClient::tryConnect(Endpoint endpoint, Instant deadline)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
        co_return ConnectOutcome::Failed;
    const auto state = m_state;
    const auto connection = std::make_shared<Connection>(state->io);
    ++state->opened;
    connection->stream.expires_at(toSteady(deadline));
    co_await connection->stream.async_connect(Tcp::endpoint(address, endpoint.port),
                                              withError(failure));
    if (isRefusal(failure))
        co_return ConnectOutcome::Refused;
    if (failure)
        co_return ConnectOutcome::Failed;
    connection->stream.expires_never();
    connection->stream.socket().set_option(Tcp::no_delay(true), failure);
    limitSilence(connection->stream.socket(), state->settings.silenceTimeout);
    connection->usableUntil = steadyNow() + state->settings.idleLimit;
    state->keepIdle(endpoint, connection);
    co_return ConnectOutcome::Accepted;
}

bool HttpClient::hasIdleConnection(const Endpoint &endpoint) const
{
    const auto connections = m_state->idle.find(endpoint);
    return connections != m_state->idle.end() && !connections->second.empty()
            && steadyNow() < connections->second.back()->usableUntil;
}

std::uint64_t HttpClient::connectionsOpened() const
{
    return m_state->opened;
}

HttpClient::~HttpClient() = default;

std::shared_ptr<HttpExchange> HttpClient::exchange(const Endpoint &endpoint, bool freshConnection)
{
    const auto use = freshConnection ? ConnectionUse::Fresh : ConnectionUse::Kept;
    return std::make_shared<BeastExchange>(m_state, endpoint, use);
}

std::shared_ptr<HttpSession> HttpClient::session(const Endpoint &endpoint)
{
    return std::make_shared<BeastSession>(m_state, endpoint);
}

asio::awaitable<CallResult<HttpResponse>> HttpClient::call(Endpoint endpoint, HttpRequest request,
                                                           Instant deadline, CallOptions options)
{
    BeastExchange own(m_state, std::move(endpoint), ConnectionUse::Kept, options.usedSince);
    co_return co_await readWholeAnswer(own, request, std::min(deadline, options.headDeadline),
                                       deadline, m_state->settings.maxBodyBytes, options.check);
}

} // namespace burdock
