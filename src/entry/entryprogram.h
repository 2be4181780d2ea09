// Runs one entry process: servers, periodic work and the planned stop.
#pragma once

#include "entry/callerapi.h"
#include "entry/controllink.h"
#include "entry/entrystate.h"
#include "entry/statuspages.h"

#include <boost/asio/signal_set.hpp>

namespace burdock {

class EntryProgram
{
public:
    EntryProgram(boost::asio::io_context &io, NodeSettings settings);

    /// Opens the ports and starts the periodic work.
    /// @return the error that kept a port from being opened
    Result<Done> start();

private:
    boost::asio::awaitable<void> dispatchTicks();
    boost::asio::awaitable<void> demandReports();
    boost::asio::awaitable<void> followVmList();
    boost::asio::awaitable<void> fleetTicks();
    boost::asio::awaitable<void> followEngines();
    boost::asio::awaitable<void> stop();
    void beginDrain();
    void carryOutDrain();

    boost::asio::io_context &m_io;
    EntryState m_state;
    ControlLink m_controlLink;
    CallerApi m_callerApi;
    StatusPages m_statusPages;
    HttpServer m_callerServer;
    HttpServer m_statusServer;
    boost::asio::signal_set m_signals;
};

} // namespace burdock
