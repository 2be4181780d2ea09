// Serves one request to a published service: by a model, or by a plain service.
//
// Index
//   ServiceCall    a caller's request with the service and route that it was matched to
//   proxyModel     a request to a model, streamed or whole
//   proxyPlain     a request to a plain service
//   proxyOrder     a request that must run at most once
#pragma once

#include "entry/entrystate.h"
#include "net/httpserver.h"

namespace burdock {

struct ServiceCall
{
    const HttpRequest &request; // as received
    Service service;            // a copy: the configuration may change meanwhile
    Route route;                // the matching route
    std::string path;           // path and query within the service
    Instant arrived;            // when the request was read
};

boost::asio::awaitable<void> proxyModel(EntryState &state, const ServiceCall &call,
                                        HttpReply &reply);

boost::asio::awaitable<void> proxyPlain(EntryState &state, const ServiceCall &call,
                                        HttpReply &reply);

boost::asio::awaitable<void> proxyOrder(EntryState &state, const ServiceCall &call,
                                        HttpReply &reply);

/// @return who sent the request: its X-Customer header, or "anonymous"
std::string customerOf(const HttpRequest &request);

/// @return the request as the dispatcher sees it
QueuedRequest queuedRequest(EntryState &state, const ServiceCall &call);

/// Sends the final answer to a request that is not served.
boost::asio::awaitable<void> answerRefusal(HttpReply &reply, const Refusal &refusal);

} // namespace burdock
