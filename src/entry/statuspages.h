// The HTTP interface for operators of one entry process.
//
//   GET  /live      the process runs
//   GET  /ready     it has a configuration and takes requests
//   GET  /metrics   counters and latencies as text
//   GET  /status    every table as JSON
//   GET  /explain?about=TEXT   the latest decisions whose line contains the text
//   POST /drain     begins a planned stop, as SIGTERM does
#pragma once

#include "entry/entrystate.h"
#include "net/httpserver.h"
#include "net/statuspage.h"

#include <functional>

namespace burdock {

class StatusPages : public HttpHandler
{
public:
    /// @param state what is shown
    /// @param drain begins a planned stop
    StatusPages(EntryState &state, std::function<void()> drain);

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    StatusPage page(const HttpRequest &request);

    EntryState &m_state;
    std::function<void()> m_drain;
};

} // namespace burdock
