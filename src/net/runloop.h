// Runs a program's event loop until it is told to stop.
#pragma once

#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <string>

namespace burdock {

/// Serves a handler until SIGTERM or SIGINT. For programs that need no orderly stop.
/// @param io the program's event loop
/// @param listenOn "IP:PORT"
/// @param handler answers the requests
/// @param program the program's name, for its log
/// @return the exit code
int serveUntilStopped(boost::asio::io_context &io, const std::string &listenOn,
                      HttpHandler &handler, const char *program);

} // namespace burdock
