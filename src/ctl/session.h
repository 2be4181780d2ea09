// What a command needs to talk to the platform and the nodes.
//
// Index
//   Session      event loop, HTTP client and Object API client
//   runCommand   runs a command's coroutine to its end
#pragma once

#include "ctl/commands.h"
#include "ctl/output.h"

#include <boost/asio/io_context.hpp>

#include <functional>

namespace burdock {

struct Session
{
    explicit Session(const CommonOptions &common);

    CommonOptions options;
    boost::asio::io_context io { 1 };
    HttpClient http;
    ObjectClient objects;
    CommandOutput output;
};

/// Runs a command and prints its output.
/// @param work the command; what it reports as errors decides the exit code
/// @return the exit code
int runCommand(const CommonOptions &common,
               const std::function<boost::asio::awaitable<void>(Session &)> &work);

} // namespace burdock
