// Writing and comparing services; the reading is in servicefile.cpp.
#include "settings/servicefile.h"

#include <boost/json.hpp>

#include <algorithm>
#include <map>
#include <tuple>

namespace burdock {

namespace json = boost::json;

namespace {

// ---- Writing ------------------------------------------------------------------------------------

json::object routeToJson(const Route &route)
{
    json::object object;
    object["class"] = requestClassName(route.requestClass);
    object["method"] = route.method;
    object["path"] = route.pathPrefix;
    object["timeout_ms"] = route.timeout.count();
    if (route.requestClass == RequestClass::AtMostOnce)
        object["key"] = route.keyRequired ? "required" : "optional";
    return object;
}

json::object modelToJson(const ModelEntry &model)
{
    json::object object;
    object["name"] = model.name;
    object["version"] = model.version;
    object["memory_mb"] = model.memoryMb;
    object["min_replicas"] = model.minReplicas;
    json::array &adapters = object["adapters"].emplace_array();
    for (const AdapterEntry &adapter : model.adapters)
        adapters.emplace_back(adapter.name + "@" + adapter.version);
    return object;
}

json::object placementToJson(const PlacementPolicy &policy)
{
    json::object object;
    object["move_weight"] = policy.moveWeight;
    object["loads_per_second"] = policy.loadsPerSecond;
    object["loads_at_once"] = policy.loadsAtOnce;
    object["adapter_loads_in_flight"] = policy.adapterLoadsInFlight;
    return object;
}

std::string kindName(ServiceKind kind)
{
    return kind == ServiceKind::Models ? "models" : "plain";
}

// ---- Comparing ----------------------------------------------------------------------------------

/// Each value of a service under the words that a difference names it by. Nested entries appear as
/// "model NAME" with their own values.
using Facts = std::map<std::string, std::map<std::string, std::string>>;

Facts factsOf(const Service &service)
{
    Facts facts;
    auto &whole = facts["service " + service.name];
    whole["kind"] = kindName(service.kind);
    whole["upstreams"] = service.upstreamGroup;
    if (service.kind == ServiceKind::Models) {
        for (const auto &member : placementToJson(service.placement))
            whole[std::string(member.key())] = json::serialize(member.value());
    }
    for (const Route &route : service.routes) {
        auto &values = facts["route " + route.method + " " + route.pathPrefix];
        values["class"] = requestClassName(route.requestClass);
        values["timeout_ms"] = std::to_string(route.timeout.count());
        if (route.requestClass == RequestClass::AtMostOnce)
            values["key"] = route.keyRequired ? "required" : "optional";
    }
    for (const ModelEntry &model : service.models) {
        auto &values = facts["model " + model.name];
        values["version"] = model.version;
        values["memory_mb"] = std::to_string(model.memoryMb);
        values["min_replicas"] = std::to_string(model.minReplicas);
        for (const AdapterEntry &adapter : model.adapters)
            facts["adapter " + model.name + "/" + adapter.name]["version"] = adapter.version;
    }
    return facts;
}

std::string describeValues(const std::map<std::string, std::string> &values)
{
    std::string text;
    for (const auto &[key, value] : values)
        text.append(text.empty() ? "" : ", ").append(key).append(" ").append(value);
    return text;
}

void diffValues(const std::string &entry, const std::map<std::string, std::string> &before,
                const std::map<std::string, std::string> &after, std::vector<std::string> &lines)
{
    const auto add = [&](const std::string &key, const std::string &change) {
        lines.push_back(std::string(entry).append(": ").append(key).append(" ").append(change));
    };
    for (const auto &[key, value] : after) {
        const auto old = before.find(key);
        if (old == before.end())
            add(key, value + " added");
        else if (old->second != value)
            add(key, std::string(old->second).append(" -> ").append(value));
    }
    for (const auto &[key, value] : before) {
        if (!after.contains(key))
            add(key, value + " removed");
    }
}

} // namespace

void sortEntries(Service &service)
{
    std::sort(service.routes.begin(), service.routes.end(),
              [](const Route &left, const Route &right) {
                  return std::tie(left.pathPrefix, left.method)
                          < std::tie(right.pathPrefix, right.method);
              });
    const auto byName = [](const auto &left, const auto &right) {
        return left.name < right.name;
    };
    std::sort(service.models.begin(), service.models.end(), byName);
    for (ModelEntry &model : service.models)
        std::sort(model.adapters.begin(), model.adapters.end(), byName);
}

std::string serviceToJson(const Service &service)
{
    Service sorted = service;
    sortEntries(sorted);
    json::object object;
    object["service"] = sorted.name;
    object["kind"] = kindName(sorted.kind);
    object["upstreams"] = sorted.upstreamGroup;
    json::array &routes = object["routes"].emplace_array();
    for (const Route &route : sorted.routes)
        routes.emplace_back(routeToJson(route));
    if (sorted.kind == ServiceKind::Models) {
        json::array &models = object["models"].emplace_array();
        for (const ModelEntry &model : sorted.models)
            models.emplace_back(modelToJson(model));
        object["placement"] = placementToJson(sorted.placement);
    }
    return json::serialize(object);
}

std::vector<std::string> diffServices(const Service *before, const Service *after)
{
    const Facts old = before == nullptr ? Facts() : factsOf(*before);
    const Facts now = after == nullptr ? Facts() : factsOf(*after);
    std::vector<std::string> lines;
    for (const auto &[entry, values] : now) {
        const auto found = old.find(entry);
        if (found == old.end())
            lines.push_back(entry + ": added (" + describeValues(values) + ")");
        else
            diffValues(entry, found->second, values, lines);
    }
    for (const auto &[entry, values] : old) {
        if (!now.contains(entry))
            lines.push_back(entry + ": removed");
    }
    return lines;
}

} // namespace burdock
