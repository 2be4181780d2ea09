#include "net/statuspage.h"

namespace burdock {

namespace asio = boost::asio;

std::optional<StatusPage> commonPage(const HttpRequest &request, const Metrics &metrics,
                                     const DecisionLog &log)
{
    const std::string path = pathOf(request);
    StatusPage page;
    if (path == "/live")
        page.body = "live\n";
    else if (path == "/metrics")
        page.body = metrics.text();
    else if (path == "/explain")
        page.body = log.linesWith(queryValue(request, "about").value_or(""));
    else
        return std::nullopt;
    return page;
}

StatusPage readyPage(bool ready)
{
    StatusPage page;
    page.status = ready ? 200 : 503;
    page.body = ready ? "ready\n" : "not ready\n";
    return page;
}

StatusPage jsonPage(std::string text)
{
    StatusPage page;
    page.contentType = "application/json";
    page.body = std::move(text);
    return page;
}

StatusPage missingPage()
{
    StatusPage page;
    page.status = 404;
    page.body = "no such page\n";
    return page;
}

asio::awaitable<void> sendPage(HttpReply &reply, StatusPage page)
{
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", page.contentType });
    co_await reply.send(page.status, std::move(headers), std::move(page.body));
}

} // namespace burdock
