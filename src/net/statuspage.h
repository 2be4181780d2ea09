// Status pages of a program.
//
// Index
//   StatusPage   one page
//   commonPage   the pages that every program has: /live, /metrics, /explain?about=TEXT
//   readyPage, jsonPage, missingPage
//   sendPage     sends a page
#pragma once

#include "net/decisionlog.h"
#include "net/httpserver.h"
#include "net/metrics.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>

namespace burdock {

struct StatusPage
{
    int status = 200;                       // HTTP status code
    std::string contentType = "text/plain"; // of the body
    std::string body;                       // whole body
};

/// @return the page, or nothing when the path is not one of the common ones
std::optional<StatusPage> commonPage(const HttpRequest &request, const Metrics &metrics,
                                     const DecisionLog &log);

/// @param ready whether the program takes work
StatusPage readyPage(bool ready);

/// @param text JSON
StatusPage jsonPage(std::string text);

/// @return the page for a path that the program does not have
StatusPage missingPage();

boost::asio::awaitable<void> sendPage(HttpReply &reply, StatusPage page);

} // namespace burdock
