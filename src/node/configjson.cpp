#include "node/configjson.h"

#include "settings/servicefile.h"

#include <boost/json.hpp>

namespace burdock {

namespace json = boost::json;

namespace {

json::object recordObject(const PublishRecord &record)
{
    json::array touched;
    for (const std::string &key : record.touched)
        touched.push_back(json::string(key));
    return { { "revision", record.revision },
             { "publish_id", record.publishId },
             { "operator", record.operatorName },
             { "touched", std::move(touched) } };
}

PublishRecord readRecord(const json::object &object)
{
    PublishRecord record;
    record.revision = object.at("revision").to_number<std::uint64_t>();
    record.publishId = std::string(object.at("publish_id").as_string());
    record.operatorName = std::string(object.at("operator").as_string());
    for (const json::value &key : object.at("touched").as_array())
        record.touched.emplace_back(key.as_string());
    return record;
}

ConfigHead readHead(const json::object &object)
{
    ConfigHead head;
    head.revision = object.at("revision").to_number<std::uint64_t>();
    head.publishId = std::string(object.at("publish_id").as_string());
    for (const auto &[key, hash] : object.at("entries").as_object())
        head.entries[std::string(key)] = std::string(hash.as_string());
    for (const json::value &record : object.at("history").as_array())
        head.history.push_back(readRecord(record.as_object()));
    return head;
}

} // namespace

std::string configHeadToJson(const ConfigHead &head)
{
    json::object entries;
    for (const auto &[key, hash] : head.entries)
        entries[key] = hash;
    json::array history;
    for (const PublishRecord &record : head.history)
        history.push_back(recordObject(record));
    const json::value object = { { "revision", head.revision },
                                 { "publish_id", head.publishId },
                                 { "entries", std::move(entries) },
                                 { "history", std::move(history) } };
    return json::serialize(object);
}

std::optional<ConfigHead> configHeadFromJson(const std::string &text)
{
    try {
        return readHead(json::parse(text).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

Result<ServiceCatalog> catalogFromTexts(std::uint64_t revision, const std::string &publishId,
                                        const std::map<std::string, std::string> &texts)
{
    const std::string prefix = serviceKey("");
    ServiceCatalog catalog;
    catalog.revision = revision;
    catalog.publishId = publishId;
    for (const auto &[key, text] : texts) {
        if (!key.starts_with(prefix))
            continue;
        const auto service = parseService(text, key);
        if (!isOk(service))
            return errorOf(service);
        catalog.services[valueOf(service).name] = valueOf(service);
    }
    return catalog;
}

} // namespace burdock
