// A link before a server whose open connections can go silent for good.
//
//   SilentLink link(io, server);
//   link.listen({ "127.0.0.1", 0 });   // callers connect to link.endpoint()
//   link.silence();                    // nothing passes on the connections open now, and none
//   closes
//
// Connections that are opened later work. A silent one still takes bytes and its socket stays open,
// so that neither side can see its state; it ends when the caller closes it.
#pragma once

#include "base/result.h"
#include "net/endpoint.h"

#include <boost/asio/io_context.hpp>

#include <memory>

namespace standin {

class SilentLink
{
public:
    /// @param io runs the link; must outlive it
    /// @param server where connections lead
    SilentLink(boost::asio::io_context &io, burdock::Endpoint server);
    ~SilentLink();

    /// Binds and begins to accept.
    /// @param endpoint where to listen; port 0: any that is free
    burdock::Result<burdock::Done> listen(const burdock::Endpoint &endpoint);

    /// @return where connections lead
    const burdock::Endpoint &server() const;

    /// @return where the link listens
    burdock::Endpoint endpoint() const;

    /// Silences connections that are open now.
    /// @param share of them, oldest first
    /// @return how many
    int silence(double share = 1.0);

    /// @return connections opened so far
    int connectionsOpened() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace standin
