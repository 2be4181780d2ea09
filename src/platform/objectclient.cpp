#include "platform/objectclient.h"

#include <boost/json.hpp>

#include <glog/logging.h>

#include <charconv>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::string objectTarget(const std::string &key)
{
    return "/objects/" + percentEncode(key);
}

std::uint64_t versionOf(const HttpResponseHead &head)
{
    const auto tag = headerValue(head.headers, "ETag");
    std::uint64_t version = 0;
    if (tag && tag->size() > 2)
        std::from_chars(tag->data() + 1, tag->data() + tag->size() - 1, version);
    return version;
}

Error unavailable(const std::string &message)
{
    LOG(WARNING) << "a read from the Object API failed: " << message;
    return { ResultCode::PlatformUnavailable, "Object API: " + message };
}

Error errorOfStatus(int status, const std::string &what)
{
    if (status == StatusNotFound)
        return { ResultCode::PlatformNotFound, "Object API: there is no " + what };
    if (status == StatusTooMany)
        return { ResultCode::PlatformRateLimited, "Object API: too many calls for " + what };
    return unavailable("status " + std::to_string(status) + " for " + what);
}

/// Turns the answer of a reading call into JSON.
Result<json::value> jsonOf(const CallResult<HttpResponse> &answer, const std::string &what)
{
    if (const auto *failure = std::get_if<CallFailure>(&answer))
        return unavailable(failure->message);
    const auto &response = std::get<HttpResponse>(answer);
    if (response.head.status != StatusOk)
        return errorOfStatus(response.head.status, what);
    boost::system::error_code failure;
    json::value value = json::parse(response.body, failure);
    if (failure)
        return unavailable("an answer that is not JSON for " + what);
    return value;
}

std::vector<ObjectChange> changesOf(const json::value &array)
{
    std::vector<ObjectChange> changes;
    for (const json::value &item : array.as_array()) {
        ObjectChange change;
        change.key = std::string(item.at("key").as_string());
        change.version = item.at("version").to_number<std::uint64_t>();
        change.deleted = item.at("deleted").as_bool();
        changes.push_back(std::move(change));
    }
    return changes;
}

VmEntry vmOf(const json::value &item)
{
    VmEntry vm;
    vm.name = std::string(item.at("name").as_string());
    vm.endpoint.address = std::string(item.at("address").as_string());
    vm.endpoint.port = item.at("port").to_number<std::uint16_t>();
    vm.group = std::string(item.at("group").as_string());
    vm.availabilityZone = std::string(item.at("availability_zone").as_string());
    vm.state = item.at("state").as_string() == "leaving" ? VmState::Leaving : VmState::Live;
    return vm;
}

} // namespace

ObjectClient::ObjectClient(HttpClient &http, Endpoint platform,
                           std::chrono::milliseconds callTimeout)
    : m_http(http)
    , m_platform(std::move(platform))
    , m_callTimeout(callTimeout)
{
}

asio::awaitable<CallResult<HttpResponse>> ObjectClient::call(HttpRequest request,
                                                             std::chrono::milliseconds extraTime)
{
    ++m_calls;
    const Instant deadline = steadyNow() + m_callTimeout + extraTime;
    co_return co_await m_http.call(m_platform, std::move(request), deadline);
}

asio::awaitable<Result<StoredObject>> ObjectClient::read(std::string key)
{
    HttpRequest request;
    request.target = objectTarget(key);
    auto answer = co_await call(std::move(request));
    if (const auto *failure = std::get_if<CallFailure>(&answer))
        co_return unavailable(failure->message);
    auto &response = std::get<HttpResponse>(answer);
    if (response.head.status != StatusOk)
        co_return errorOfStatus(response.head.status, key);
    // Stored records parse as well when some are missing at the end.
    if (response.head.delimiter == BodyDelimiter::Close)
        co_return unavailable("no length or chunks show that the answer is whole for " + key);
    StoredObject object;
    object.version = versionOf(response.head);
    object.key = std::move(key);
    object.value = std::move(response.body);
    co_return object;
}

asio::awaitable<WriteAnswer> ObjectClient::conditionalCall(HttpRequest request,
                                                           std::uint64_t expectedVersion)
{
    HttpHeader condition { "If-None-Match", "*" };
    if (expectedVersion != 0)
        condition = { "If-Match", "\"" + std::to_string(expectedVersion) + "\"" };
    request.headers.push_back(std::move(condition));

    const auto answer = co_await call(std::move(request));
    WriteAnswer result;
    if (const auto *failure = std::get_if<CallFailure>(&answer)) {
        result.outcome = failure->bytesSent ? WriteOutcome::Unknown : WriteOutcome::Unavailable;
        LOG(WARNING) << "a write to the Object API failed: " << failure->message;
        co_return result;
    }
    const auto &response = std::get<HttpResponse>(answer);
    result.version = versionOf(response.head);
    switch (response.head.status) {
    case 200:
        result.outcome = WriteOutcome::Done;
        break;
    case 404:
    case 412:
        result.outcome = WriteOutcome::Conflict;
        break;
    case 400:
    case 413:
    case 429:
    case 503:
        result.outcome = WriteOutcome::Unavailable;
        break;
    default:
        result.outcome = WriteOutcome::Unknown;
    }
    if (result.outcome == WriteOutcome::Unavailable || result.outcome == WriteOutcome::Unknown)
        LOG(WARNING) << "a write to the Object API got status " << response.head.status;
    co_return result;
}

asio::awaitable<WriteAnswer> ObjectClient::write(std::string key, std::string value,
                                                 std::uint64_t expectedVersion)
{
    HttpRequest request;
    request.method = "PUT";
    request.target = objectTarget(key);
    request.body = std::move(value);
    co_return co_await conditionalCall(std::move(request), expectedVersion);
}

asio::awaitable<WriteAnswer> ObjectClient::remove(std::string key, std::uint64_t expectedVersion)
{
    HttpRequest request;
    request.method = "DELETE";
    request.target = objectTarget(key);
    co_return co_await conditionalCall(std::move(request), expectedVersion);
}

asio::awaitable<Result<std::vector<ObjectChange>>> ObjectClient::list(std::string prefix)
{
    HttpRequest request;
    request.target = "/objects?prefix=" + percentEncode(prefix);
    const auto answer = co_await call(std::move(request));
    const auto parsed = jsonOf(answer, prefix);
    if (!isOk(parsed))
        co_return errorOf(parsed);
    co_return changesOf(valueOf(parsed).at("objects"));
}

asio::awaitable<Result<ObjectChanges>>
ObjectClient::watch(std::string prefix, std::uint64_t afterSequence, std::chrono::milliseconds wait)
{
    HttpRequest request;
    request.target = "/watch?prefix=" + percentEncode(prefix) + "&after="
            + std::to_string(afterSequence) + "&wait_ms=" + std::to_string(wait.count());
    const auto answer = co_await call(std::move(request), wait);
    const auto parsed = jsonOf(answer, prefix);
    if (!isOk(parsed))
        co_return errorOf(parsed);
    ObjectChanges changes;
    changes.sequence = valueOf(parsed).at("sequence").to_number<std::uint64_t>();
    changes.changes = changesOf(valueOf(parsed).at("changes"));
    co_return changes;
}

asio::awaitable<Result<std::vector<VmEntry>>> ObjectClient::vms()
{
    HttpRequest request;
    request.target = "/vms";
    const auto answer = co_await call(std::move(request));
    const auto parsed = jsonOf(answer, "VM list");
    if (!isOk(parsed))
        co_return errorOf(parsed);
    std::vector<VmEntry> vms;
    for (const json::value &item : valueOf(parsed).at("vms").as_array())
        vms.push_back(vmOf(item));
    co_return vms;
}

} // namespace burdock
