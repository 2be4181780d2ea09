// The HTTP interface for callers.
//
//   GET  /burdock/v1/addresses?service=S   which entry addresses to use, and for how long
//   any  /SERVICE/PATH                     a request to a service
//
// Models take the widely used chat-completions shape with two more fields, "adapter" and "version".
// A request that is refused gets a numbered error and, where a later try makes sense, Retry-After.
#pragma once

#include "entry/entrystate.h"
#include "net/httpserver.h"

namespace burdock {

class CallerApi : public HttpHandler
{
public:
    explicit CallerApi(EntryState &state);

    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    boost::asio::awaitable<void> serve(const HttpRequest &request, HttpReply &reply);
    boost::asio::awaitable<void> answerAddresses(const HttpRequest &request, HttpReply &reply);

    EntryState &m_state;
};

} // namespace burdock
