#include "peer/peerlink.h"

#include "peer.pb.h"

#include <boost/asio/posix/stream_descriptor.hpp>

#include <glog/logging.h>

#include <zmq.h>

#include <map>
#include <vector>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr int QueueMessages = 256;                  // waiting for one peer
constexpr int ReconnectMs = 100;                    // first wait before connecting again
constexpr int ReconnectMaxMs = 2'000;               // longest wait before connecting again
constexpr std::size_t MaxPeers = 1'000;             // sockets; the rest is dropped
constexpr std::int64_t MaxMessageBytes = 4'000'000; // larger ones end the connection

struct SocketCloser
{
    void operator()(void *socket) const { zmq_close(socket); }
};

using Socket = std::unique_ptr<void, SocketCloser>;

void setOption(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

std::string tcpAddress(const Endpoint &endpoint)
{
    return "tcp://" + toText(endpoint);
}

} // namespace

struct PeerLink::State : public std::enable_shared_from_this<PeerLink::State>
{
    State(asio::io_context &io, PeerHandler &receiver)
        : handler(receiver)
        , context(zmq_ctx_new())
        , readable(io)
    {
    }

    ~State()
    {
        readable.release();
        receiving.reset();
        sending.clear();
        zmq_ctx_term(context);
    }

    void waitReadable();
    void receiveAll();
    bool receiveOne();
    void *socketTo(const Endpoint &peer);

    PeerHandler &handler;
    void *context;
    asio::posix::stream_descriptor readable; // ZeroMQ's descriptor; it is not ours to close
    Socket receiving;
    std::map<Endpoint, Socket> sending;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

void PeerLink::State::waitReadable()
{
    readable.async_wait(asio::posix::stream_descriptor::wait_read,
                        [self = weak_from_this()](boost::system::error_code failure) {
                            const auto state = self.lock();
                            if (!state || failure)
                                return;
                            state->receiveAll();
                            state->waitReadable();
                        });
}

/// Takes every message: the descriptor becomes readable again only after the queue was emptied.
void PeerLink::State::receiveAll()
{
    while (receiveOne()) { }
}

bool PeerLink::State::receiveOne()
{
    zmq_msg_t message;
    zmq_msg_init(&message);
    const int bytes = zmq_msg_recv(&message, receiving.get(), ZMQ_DONTWAIT);
    if (bytes < 0) {
        zmq_msg_close(&message);
        return false;
    }
    bytesReceived += static_cast<std::uint64_t>(bytes);
    wire::PeerMessage parsed;
    if (parsed.ParseFromArray(zmq_msg_data(&message), bytes))
        handler.onPeerMessage(parsed);
    else
        LOG(WARNING) << "dropped a peer message that is not well-formed";
    zmq_msg_close(&message);
    return true;
}

void *PeerLink::State::socketTo(const Endpoint &peer)
{
    const auto found = sending.find(peer);
    if (found != sending.end())
        return found->second.get();
    if (sending.size() >= MaxPeers)
        return nullptr;
    Socket socket(zmq_socket(context, ZMQ_PUSH));
    setOption(socket.get(), ZMQ_LINGER, 0);
    setOption(socket.get(), ZMQ_SNDHWM, QueueMessages);
    setOption(socket.get(), ZMQ_RECONNECT_IVL, ReconnectMs);
    setOption(socket.get(), ZMQ_RECONNECT_IVL_MAX, ReconnectMaxMs);
    if (zmq_connect(socket.get(), tcpAddress(peer).c_str()) != 0)
        return nullptr;
    return sending.emplace(peer, std::move(socket)).first->second.get();
}

PeerLink::PeerLink(asio::io_context &io, PeerHandler &handler)
    : m_state(std::make_shared<State>(io, handler))
{
}

PeerLink::~PeerLink() = default;

Result<Done> PeerLink::listen(const Endpoint &endpoint)
{
    m_state->receiving.reset(zmq_socket(m_state->context, ZMQ_PULL));
    void *socket = m_state->receiving.get();
    setOption(socket, ZMQ_LINGER, 0);
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &MaxMessageBytes, sizeof(MaxMessageBytes));
    if (zmq_bind(socket, tcpAddress(endpoint).c_str()) != 0)
        return Error { ResultCode::SettingsClash,
                       "cannot listen on " + toText(endpoint) + ": " + zmq_strerror(zmq_errno()) };
    int descriptor = 0;
    std::size_t size = sizeof(descriptor);
    zmq_getsockopt(socket, ZMQ_FD, &descriptor, &size);
    m_state->readable.assign(descriptor);
    m_state->receiveAll();
    m_state->waitReadable();
    return Done {};
}

void PeerLink::send(const Endpoint &peer, const wire::PeerMessage &message)
{
    void *socket = m_state->socketTo(peer);
    if (socket == nullptr)
        return;
    std::string bytes;
    message.SerializeToString(&bytes);
    if (zmq_send(socket, bytes.data(), bytes.size(), ZMQ_DONTWAIT) >= 0)
        m_state->bytesSent += bytes.size();
}

std::uint64_t PeerLink::bytesSent() const
{
    return m_state->bytesSent;
}

std::uint64_t PeerLink::bytesReceived() const
{
    return m_state->bytesReceived;
}

} // namespace burdock
