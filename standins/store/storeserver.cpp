#include "store/storeserver.h"

#include "jsonbody.h"
#include "net/coroutines.h"

#include <boost/json.hpp>

namespace standin {

namespace asio = boost::asio;
namespace json = boost::json;
using burdock::HttpReply;
using burdock::HttpRequest;

namespace {

constexpr std::chrono::milliseconds PollInterval { 10 };
constexpr std::chrono::milliseconds SilenceDelay { 30 }; // whoever asked has closed its connection
constexpr const char *ObjectsPath = "/objects/";

json::value toJson(const StoredObject &object)
{
    return { { "metadata", { { "name", object.name }, { "revision", object.revision } } },
             { "spec", object.spec } };
}

bool flagIn(const json::object &fields, const char *name)
{
    const auto *field = fields.if_contains(name);
    return field != nullptr && field->is_bool() && field->get_bool();
}

/// @return the revision in the metadata of a written object, if it has one
std::optional<std::uint64_t> expectedRevision(const json::value &body)
{
    const auto *metadata = body.is_object() ? body.get_object().if_contains("metadata") : nullptr;
    if (metadata == nullptr || !metadata->is_object())
        return std::nullopt;
    const auto *revision = metadata->get_object().if_contains("revision");
    if (revision == nullptr)
        return std::nullopt;
    return revision->to_number<std::uint64_t>();
}

std::string nameIn(const json::value &body)
{
    const auto *metadata = body.is_object() ? body.get_object().if_contains("metadata") : nullptr;
    const auto *name = metadata == nullptr || !metadata->is_object()
            ? nullptr
            : metadata->get_object().if_contains("name");
    return name == nullptr || !name->is_string() ? "" : std::string(name->get_string());
}

json::value specIn(const json::value &body)
{
    const auto *spec = body.is_object() ? body.get_object().if_contains("spec") : nullptr;
    return spec == nullptr ? json::value() : *spec;
}

} // namespace

asio::awaitable<void> StoreServer::answer(HttpReply &reply, int status, json::value body)
{
    std::vector<burdock::HttpHeader> headers;
    headers.push_back({ "Content-Type", "application/json" });
    headers.push_back({ "Store-Era", std::to_string(objects.era()) });
    co_await reply.send(status, std::move(headers), json::serialize(body));
}

asio::awaitable<void> StoreServer::handle(const HttpRequest &request, HttpReply &reply)
{
    const std::string path = burdock::pathOf(request);
    if (path == "/faults") {
        co_await setFaults(request, reply);
        co_return;
    }
    if (path == "/written") {
        json::value all = written();
        co_await answer(reply, 200, std::move(all));
        co_return;
    }
    if (!path.starts_with(ObjectsPath)) {
        co_await answer(reply, 404, json::object());
        co_return;
    }
    while (absence == StoreAbsence::Silent && !reply.callerLeft())
        co_await burdock::sleepFor(PollInterval);
    if (absence == StoreAbsence::Refusing) {
        co_await answer(reply, 503, json::object());
        co_return;
    }
    const std::string id = path.substr(std::string_view(ObjectsPath).size());
    const auto slash = id.find('/');
    const std::string kind = id.substr(0, slash);
    const std::string name =
            slash == std::string::npos ? "" : burdock::percentDecode(id.substr(slash + 1));
    if (request.method == "GET")
        co_await read(request, reply, kind, name);
    else
        co_await write(request, reply, kind, name);
}

asio::awaitable<void> StoreServer::read(const HttpRequest &request, HttpReply &reply,
                                        std::string kind, std::string name)
{
    reads++;
    if (const auto since = burdock::queryValue(request, "watch")) {
        co_await watch(request, reply, kind, std::stoull(*since));
        co_return;
    }
    if (!name.empty()) {
        const StoredObject *object = objects.find(kind, name);
        json::value body = object == nullptr ? json::value(json::object()) : toJson(*object);
        co_await answer(reply, object == nullptr ? 404 : 200, std::move(body));
        co_return;
    }
    json::array items;
    for (const StoredObject &object : objects.list(kind))
        items.push_back(toJson(object));
    json::value body = { { "items", std::move(items) },
                         { "has_more", false },
                         { "at", objects.revision() } };
    co_await answer(reply, 200, std::move(body));
}

asio::awaitable<void> StoreServer::watch(const HttpRequest &request, HttpReply &reply,
                                         std::string kind, std::uint64_t since)
{
    const std::chrono::milliseconds wait(
            std::stoll(burdock::queryValue(request, "wait_ms").value_or("0")));
    const auto end = std::chrono::steady_clock::now() + wait;
    const std::uint64_t era = objects.era();
    auto events = objects.eventsAfter(kind, since);
    while (events && events->empty() && std::chrono::steady_clock::now() < end) {
        co_await burdock::sleepFor(PollInterval);
        if (reply.callerLeft() || absence == StoreAbsence::Silent
            || (objects.era() != era && !keepsWatches))
            co_return; // the connection is closed without an answer
        auto newer = objects.eventsAfter(kind, since);
        if (newer || objects.era() == era)
            events = std::move(newer);
    }
    if (!events) {
        co_await answer(reply, 410, json::object());
        co_return;
    }
    json::array listed;
    for (const ObjectEvent &event : *events)
        listed.push_back({ { "object", toJson(event.object) }, { "deleted", event.deleted } });
    json::value body = { { "events", std::move(listed) }, { "at", objects.revision() } };
    co_await answer(reply, 200, std::move(body));
}

asio::awaitable<void> StoreServer::write(const HttpRequest &request, HttpReply &reply,
                                         std::string kind, std::string name)
{
    writes++;
    const json::value body = parseOrNull(request.body);
    if (request.method == "POST")
        name = nameIn(body);
    std::optional<std::uint64_t> revision;
    if (request.method == "POST")
        revision = objects.create(kind, name, specIn(body));
    else if (request.method == "PUT")
        revision = objects.replace(kind, name, expectedRevision(body), specIn(body));
    else if (objects.remove(kind, name))
        revision = objects.revision();
    const StoredObject *object = objects.find(kind, name);
    json::value there = object == nullptr ? json::value(json::object()) : toJson(*object);
    const bool isMissing = object == nullptr && request.method != "DELETE";
    co_await answer(reply, revision ? 200 : (isMissing ? 404 : 409), std::move(there));
}

asio::awaitable<void> StoreServer::setFaults(const HttpRequest &request, HttpReply &reply)
{
    const json::value wanted = parseOrNull(request.body);
    if (!wanted.is_object()) {
        co_await answer(reply, 400, json::object());
        co_return;
    }
    const json::object &fields = wanted.get_object();
    if (const auto *away = fields.if_contains("away"); away != nullptr && away->is_string()) {
        const std::string how(away->get_string());
        absence = how == "refuse" ? StoreAbsence::Refusing
                : how == "silent" ? StoreAbsence::Silent
                                  : StoreAbsence::None;
    }
    if (fields.contains("keep_watches"))
        keepsWatches = flagIn(fields, "keep_watches");
    if (flagIn(fields, "save"))
        objects.save();
    if (flagIn(fields, "restore"))
        objects.restore();
    co_await answer(reply, 200, json::object());
    if (const auto *share = fields.if_contains("silence"); share != nullptr && share->is_number()) {
        co_await burdock::sleepFor(SilenceDelay);
        onSilence(share->to_number<double>());
    }
}

json::value StoreServer::written() const
{
    json::array changes;
    for (const WrittenChange &change : objects.written()) {
        const ObjectEvent &event = change.event;
        const auto at =
                std::chrono::duration_cast<std::chrono::milliseconds>(change.at.time_since_epoch());
        changes.emplace_back(json::array { change.era, event.revision, event.kind,
                                           event.object.name, event.deleted, event.object.spec,
                                           at.count() });
    }
    return changes;
}

} // namespace standin
