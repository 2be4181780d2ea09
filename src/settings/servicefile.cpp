#include "settings/servicefile.h"

#include "settings/jsondocument.h"
#include "settings/jsonreader.h"
#include "settings/textrules.h"

#include <algorithm>
#include <filesystem>
#include <sstream>

namespace burdock {

namespace {

constexpr IntegerBounds TimeoutBounds { 1, 3'600'000 }; // milliseconds
constexpr IntegerBounds MemoryBounds { 1, 10'000'000 }; // megabytes
constexpr IntegerBounds MinReplicasBounds { 1, 10'000 };
constexpr IntegerBounds LoadsAtOnceBounds { 1, 10'000 };
constexpr IntegerBounds AdapterLoadsBounds { 1, 100'000 };
constexpr NumberBounds MoveWeightBounds { 0.0, 1'000'000.0 };
constexpr NumberBounds LoadsPerSecondBounds { 0.001, 100'000.0 };

// ---- Routes -------------------------------------------------------------------------------------

std::string classRule(const std::string &text)
{
    return requestClassFromName(text) ? "" : "must be fast, may-wait or at-most-once";
}

std::string keyRule(const std::string &text)
{
    return text == "required" || text == "optional" ? "" : "must be required or optional";
}

RequestClass classOf(const std::string &name)
{
    return requestClassFromName(name).value_or(RequestClass::Fast);
}

void refusePart(const JsonReader &reader, const std::string &part, const std::string &reason)
{
    if (!reason.empty())
        reader.refuse(ResultCode::SettingsOutOfRange, "the " + part + " " + reason);
}

/// Reads "CLASS METHOD PATH".
Route readShortRoute(const JsonReader &reader)
{
    std::istringstream words(reader.asText());
    std::string requestClass;
    std::string method;
    std::string path;
    std::string more;
    words >> requestClass >> method >> path;
    if (path.empty() || (words >> more)) {
        reader.refuse(ResultCode::SettingsOutOfRange,
                      "must be \"CLASS METHOD PATH\", such as \"fast GET /stock\"");
        return {};
    }
    refusePart(reader, "class", classRule(requestClass));
    refusePart(reader, "method", methodRule(method));
    refusePart(reader, "path", pathRule(path));
    Route route;
    route.requestClass = classOf(requestClass);
    route.method = method;
    route.pathPrefix = path;
    return route;
}

Route readLongRoute(JsonReader &reader)
{
    Route route;
    route.requestClass = classOf(reader.requireText("class", classRule));
    route.method = reader.requireText("method", methodRule);
    route.pathPrefix = reader.requireText("path", pathRule);
    route.timeout = std::chrono::milliseconds(
            reader.integer("timeout_ms", route.timeout.count(), TimeoutBounds));
    if (reader.has("key") && route.requestClass != RequestClass::AtMostOnce) {
        reader.refuseMember("key", ResultCode::SettingsClash,
                            "only an at-most-once route has a key");
    }
    route.keyRequired = reader.text("key", "required", keyRule) == "required";
    reader.finish();
    return route;
}

Route readRoute(JsonReader &reader)
{
    return reader.isText() ? readShortRoute(reader) : readLongRoute(reader);
}

bool sameTarget(const Route &left, const Route &right)
{
    return left.method == right.method && left.pathPrefix == right.pathPrefix;
}

void readRoutes(JsonReader &reader, Service &service)
{
    reader.requireArray("routes", [&](JsonReader &element) {
        Route route = readRoute(element);
        const bool taken = std::any_of(service.routes.begin(), service.routes.end(),
                                       [&](const Route &each) { return sameTarget(each, route); });
        if (taken && !route.pathPrefix.empty()) {
            element.refuse(ResultCode::SettingsClash,
                           "another route has " + route.method + " " + route.pathPrefix);
        }
        service.routes.push_back(std::move(route));
    });
    if (reader.has("routes") && service.routes.empty())
        reader.refuseMember("routes", ResultCode::SettingsOutOfRange, "must hold a route");
}

// ---- Models -------------------------------------------------------------------------------------

/// Reads "NAME" or "NAME@VERSION".
AdapterEntry readAdapter(const JsonReader &reader)
{
    const std::string text = reader.asText();
    if (!reader.isText())
        return {};
    const std::size_t at = text.find('@');
    AdapterEntry adapter;
    adapter.name = text.substr(0, at);
    if (at != std::string::npos)
        adapter.version = text.substr(at + 1);
    refusePart(reader, "adapter's name", nameRule(adapter.name));
    refusePart(reader, "adapter's version", versionRule(adapter.version));
    return adapter;
}

ModelEntry readModel(JsonReader &reader)
{
    ModelEntry model;
    model.name = reader.requireText("name", nameRule);
    model.version = reader.text("version", model.version, versionRule);
    model.memoryMb = reader.requireInteger("memory_mb", MemoryBounds);
    model.minReplicas =
            static_cast<int>(reader.integer("min_replicas", model.minReplicas, MinReplicasBounds));
    reader.array("adapters", [&](const JsonReader &element) {
        AdapterEntry adapter = readAdapter(element);
        const bool taken = std::any_of(model.adapters.begin(), model.adapters.end(),
                                       [&](const auto &each) { return each.name == adapter.name; });
        if (taken && !adapter.name.empty())
            element.refuse(ResultCode::SettingsClash,
                           "the adapter " + adapter.name + " is listed twice");
        model.adapters.push_back(std::move(adapter));
    });
    reader.finish();
    return model;
}

void readModels(JsonReader &reader, Service &service)
{
    reader.array("models", [&](JsonReader &element) {
        ModelEntry model = readModel(element);
        if (findModel(service, model.name) != nullptr && !model.name.empty()) {
            element.refuse(ResultCode::SettingsClash,
                           "the model " + model.name + " is listed twice");
        }
        service.models.push_back(std::move(model));
    });
}

void readPlacement(JsonReader &reader, PlacementPolicy &policy)
{
    reader.object("placement", [&](JsonReader &member) {
        policy.moveWeight = member.number("move_weight", policy.moveWeight, MoveWeightBounds);
        policy.loadsPerSecond =
                member.number("loads_per_second", policy.loadsPerSecond, LoadsPerSecondBounds);
        policy.loadsAtOnce = static_cast<int>(
                member.integer("loads_at_once", policy.loadsAtOnce, LoadsAtOnceBounds));
        policy.adapterLoadsInFlight = static_cast<int>(member.integer(
                "adapter_loads_in_flight", policy.adapterLoadsInFlight, AdapterLoadsBounds));
    });
}

// ---- Kind ---------------------------------------------------------------------------------------

std::string kindRule(const std::string &text)
{
    return text == "plain" || text == "models" ? "" : "must be plain or models";
}

/// The kind may be left out: a service with models is one of models.
void readKind(JsonReader &reader, Service &service)
{
    const std::string fallback = reader.has("models") ? "models" : "plain";
    const std::string kind = reader.text("kind", fallback, kindRule);
    service.kind = kind == "models" ? ServiceKind::Models : ServiceKind::Plain;
    if (service.kind == ServiceKind::Models && !reader.has("models")) {
        reader.refuseMember("models", ResultCode::SettingsMissingKey,
                            "a service of kind models must list them");
    } else if (service.kind == ServiceKind::Models && service.models.empty()) {
        reader.refuseMember("models", ResultCode::SettingsOutOfRange, "must hold a model");
    }
    for (const std::string key : { "models", "placement" }) {
        if (service.kind == ServiceKind::Plain && reader.has(key)) {
            reader.refuseMember(key, ResultCode::SettingsClash, "a plain service has no " + key);
        }
    }
}

} // namespace

// ---- One service --------------------------------------------------------------------------------

Service parseService(const std::string &text, const std::string &fileName,
                     std::vector<Error> &errors)
{
    const Result<JsonDocument> document = JsonDocument::parse(text, fileName);
    if (!isOk(document)) {
        errors.push_back(errorOf(document));
        return {};
    }
    Problems problems(fileName);
    JsonReader reader(valueOf(document).root(), "$", problems);
    Service service;
    service.name = reader.requireText("service", nameRule);
    service.upstreamGroup = reader.text("upstreams", service.name, nameRule);
    readRoutes(reader, service);
    readModels(reader, service);
    readPlacement(reader, service.placement);
    readKind(reader, service);
    reader.finish();
    sortEntries(service);
    errors.insert(errors.end(), problems.errors().begin(), problems.errors().end());
    return service;
}

Result<Service> parseService(const std::string &text, const std::string &fileName)
{
    std::vector<Error> errors;
    Service service = parseService(text, fileName, errors);
    if (!errors.empty())
        return joinErrors(errors);
    return service;
}

// ---- Folders ------------------------------------------------------------------------------------

Result<std::vector<std::string>> collectServiceFiles(const std::string &folder)
{
    namespace fs = std::filesystem;
    std::error_code error;
    if (fs::is_regular_file(folder, error))
        return std::vector<std::string> { folder };

    std::vector<std::string> paths;
    fs::recursive_directory_iterator entry(folder, error);
    while (!error && entry != fs::recursive_directory_iterator()) {
        const std::string name = entry->path().filename().string();
        if (name.starts_with('.'))
            entry.disable_recursion_pending();
        else if (name == ServiceFileName && entry->is_regular_file(error))
            paths.push_back(entry->path().string());
        entry.increment(error);
    }
    if (error) {
        return Error { ResultCode::SettingsUnreadable,
                       folder + ": $: the folder cannot be read: " + error.message() };
    }
    if (paths.empty()) {
        return Error { ResultCode::SettingsUnreadable,
                       folder + ": $: there is no " + std::string(ServiceFileName) + " below it" };
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}

ServiceFolder readServiceFolder(const std::string &folder)
{
    ServiceFolder found;
    const Result<std::vector<std::string>> paths = collectServiceFiles(folder);
    if (!isOk(paths)) {
        found.errors.push_back(errorOf(paths));
        return found;
    }
    for (const std::string &path : valueOf(paths)) {
        const Result<std::string> text = readTextFile(path);
        if (!isOk(text)) {
            found.errors.push_back(errorOf(text));
            continue;
        }
        const std::size_t before = found.errors.size();
        Service service = parseService(valueOf(text), path, found.errors);
        if (found.errors.size() == before)
            found.files.push_back(ServiceFile { path, std::move(service) });
    }
    return found;
}

} // namespace burdock
