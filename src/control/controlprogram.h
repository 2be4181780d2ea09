// Runs one control process: placement under a lease, and its status pages.
#pragma once

#include "control/placementshell.h"
#include "net/httpserver.h"
#include "net/statuspage.h"
#include "peer/peerlink.h"
#include "settings/nodesettings.h"

#include <boost/asio/signal_set.hpp>

namespace burdock {

namespace wire {
class NodeView;
class DemandReport;
} // namespace wire

class ControlProgram : public HttpHandler, public PeerHandler
{
public:
    ControlProgram(boost::asio::io_context &io, NodeSettings settings);

    /// Opens the ports and starts the periodic work.
    /// @return the error that kept a port from being opened
    Result<Done> start();

    /// Takes the entry process's view and the demand that entry processes report.
    void onPeerMessage(const wire::PeerMessage &message) override;

    /// Status pages: /live, /ready, /metrics, /status, /explain?about=TEXT.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    boost::asio::awaitable<void> placementTicks();
    boost::asio::awaitable<void> viewRequests();
    void onView(const wire::NodeView &view);
    void onDemand(const wire::DemandReport &report);
    boost::asio::awaitable<void> enginePolls();
    boost::asio::awaitable<void> stop();
    StatusPage page(const HttpRequest &request);
    std::string statusText();

    boost::asio::io_context &m_io;
    NodeSettings m_settings;
    HttpClient m_http;
    ObjectClient m_objects;
    DecisionLog m_log;
    Metrics m_metrics;
    PeerLink m_link;
    ServiceCatalog m_catalog;
    PlacementShell m_shell;
    HttpServer m_statusServer;
    boost::asio::signal_set m_signals;
};

} // namespace burdock
