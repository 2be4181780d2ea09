// Messages between burdockreel's own processes, over ZeroMQ.
//
// Index
//   PeerHandler   receives messages
//   PeerLink      sends and receives
//
// Messages are one-way and may be lost: a peer that does not take them in time loses the newest.
// Each protocol on top repeats what it must.
#pragma once

#include "base/result.h"
#include "net/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace burdock {

namespace wire {
class PeerMessage;
}

class PeerHandler
{
public:
    virtual ~PeerHandler() = default;

    /// @param message a well-formed message; its content is not trusted
    virtual void onPeerMessage(const wire::PeerMessage &message) = 0;
};

class PeerLink
{
public:
    /// @param io the program's event loop; must outlive the link
    /// @param handler receives the messages; must outlive the link
    PeerLink(boost::asio::io_context &io, PeerHandler &handler);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Binds and begins to receive.
    /// @return SettingsClash when the address cannot be bound
    Result<Done> listen(const Endpoint &endpoint);

    /// Sends a message, or drops it when the peer's queue is full.
    void send(const Endpoint &peer, const wire::PeerMessage &message);

    /// @return bytes of all messages sent so far, without ZeroMQ's framing
    std::uint64_t bytesSent() const;

    /// @return bytes of all messages received so far
    std::uint64_t bytesReceived() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace burdock
