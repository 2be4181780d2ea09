#include "net/runloop.h"

#include "net/decisionlog.h"

#include <boost/asio/signal_set.hpp>

#include <glog/logging.h>

#include <csignal>

namespace burdock {

int serveUntilStopped(boost::asio::io_context &io, const std::string &listenOn,
                      HttpHandler &handler, const char *program)
{
    startLogging(program);
    const auto endpoint = parseEndpoint(listenOn);
    if (!isOk(endpoint)) {
        LOG(ERROR) << errorOf(endpoint).message;
        return describe(ResultCode::UsageError).exitCode;
    }
    HttpServer server(io, HttpLimits {}, handler);
    const auto listening = server.listen(valueOf(endpoint));
    if (!isOk(listening)) {
        LOG(ERROR) << errorOf(listening).message;
        return describe(errorOf(listening).code).exitCode;
    }
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&io](const auto &, int) { io.stop(); });
    LOG(INFO) << "listening on " << listenOn;
    io.run();
    return 0;
}

} // namespace burdock
