#include "entry/callerapi.h"

#include "entry/serviceproxy.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view AddressesPath = "/burdock/v1/addresses";
constexpr std::chrono::milliseconds DrainRetryAfter { 1'000 };

/// Counts a request as in progress while it lives.
class RequestGuard
{
public:
    explicit RequestGuard(NodeDrain &drain)
        : m_drain(drain)
    {
    }
    ~RequestGuard() { m_drain.onRequestFinished(steadyNow()); }
    RequestGuard(const RequestGuard &) = delete;
    RequestGuard &operator=(const RequestGuard &) = delete;

private:
    NodeDrain &m_drain;
};

struct ServicePath
{
    std::string service; // first segment
    std::string path;    // the rest, beginning with '/'
};

ServicePath splitTarget(const std::string &target)
{
    const auto slash = target.find('/', 1);
    if (target.empty() || slash == std::string::npos)
        return { target.empty() ? "" : target.substr(1), "/" };
    return { target.substr(1, slash - 1), target.substr(slash) };
}

} // namespace

CallerApi::CallerApi(EntryState &state)
    : m_state(state)
{
}

asio::awaitable<void> CallerApi::handle(const HttpRequest &request, HttpReply &reply)
{
    m_state.metrics.count("burdock_requests_total");
    if (pathOf(request) == AddressesPath) {
        co_await answerAddresses(request, reply);
        co_return;
    }
    if (!m_state.drain.onRequest()) {
        const Error error { ResultCode::RefusedDraining, "this node is stopping; ask for another" };
        co_await sendError(reply, error, DrainRetryAfter);
        co_return;
    }
    const RequestGuard guard(m_state.drain);
    co_await serve(request, reply);
}

asio::awaitable<void> CallerApi::serve(const HttpRequest &request, HttpReply &reply)
{
    const ServicePath target = splitTarget(request.target);
    const auto service = m_state.catalog.services.find(target.service);
    if (service == m_state.catalog.services.end()) {
        const Error error { ResultCode::ServiceUnknown, "no service '" + target.service + "'" };
        co_await sendError(reply, error);
        co_return;
    }
    const std::string path = target.path.substr(0, target.path.find('?'));
    const Route *route = findRoute(service->second, request.method, path);
    if (route == nullptr) {
        const Error error { ResultCode::RouteUnknown,
                            "service '" + target.service + "' has no route for " + request.method
                                    + " " + path };
        co_await sendError(reply, error);
        co_return;
    }
    const ServiceCall call { request, service->second, *route, target.path, steadyNow() };
    if (call.service.kind == ServiceKind::Models)
        co_await proxyModel(m_state, call, reply);
    else if (call.route.requestClass == RequestClass::AtMostOnce)
        co_await proxyOrder(m_state, call, reply);
    else
        co_await proxyPlain(m_state, call, reply);
}

asio::awaitable<void> CallerApi::answerAddresses(const HttpRequest &request, HttpReply &reply)
{
    AddressQuery query;
    query.service = queryValue(request, "service").value_or("");
    query.model = queryValue(request, "model").value_or("");
    query.callerZone = queryValue(request, "zone").value_or(m_state.settings.availabilityZone);
    if (!m_state.catalog.services.contains(query.service)) {
        const Error error { ResultCode::ServiceUnknown, "no service '" + query.service + "'" };
        co_await sendError(reply, error);
        co_return;
    }
    const auto answered = m_state.addresses.answer(query);
    if (!isOk(answered)) {
        co_await sendError(reply, errorOf(answered), DrainRetryAfter);
        co_return;
    }
    json::array addresses;
    for (const std::string &address : valueOf(answered).addresses)
        addresses.push_back(json::string(address));
    const auto lifetime =
            std::chrono::duration_cast<std::chrono::milliseconds>(valueOf(answered).lifetime);
    const json::value answer = { { "service", query.service },
                                 { "addresses", std::move(addresses) },
                                 { "expires_in_ms", lifetime.count() } };
    std::vector<HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    co_await reply.send(200, std::move(headers), json::serialize(answer));
}

} // namespace burdock
