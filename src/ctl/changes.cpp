#include "ctl/changes.h"

#include <boost/json.hpp>

namespace burdock {

namespace json = boost::json;

namespace {

/// @return the published service, or nothing if there is none or its text cannot be read
std::optional<Service> publishedService(const ConfigSnapshot &published, const std::string &key)
{
    const auto text = published.texts.find(key);
    if (text == published.texts.end())
        return std::nullopt;
    auto service = parseService(text->second, key);
    if (!isOk(service))
        return std::nullopt;
    return takeValue(std::move(service));
}

void addFile(const ServiceFile &file, const ConfigSnapshot &published, ChangeSet &changes)
{
    const std::string key = serviceKey(file.service.name);
    changes.fileNames[key] = file.fileName;
    std::string text = serviceToJson(file.service);
    const auto before = published.texts.find(key);
    if (before != published.texts.end() && before->second == text)
        return;
    changes.entries[key] = std::move(text);
    const std::optional<Service> old = publishedService(published, key);
    changes.lines[file.service.name] = diffServices(old ? &*old : nullptr, &file.service);
}

} // namespace

Result<ChangeSet> findChanges(const std::vector<ServiceFile> &files,
                              const std::vector<std::string> &removed,
                              const ConfigSnapshot &published)
{
    ChangeSet changes;
    for (const ServiceFile &file : files)
        addFile(file, published, changes);
    for (const std::string &name : removed) {
        const std::string key = serviceKey(name);
        if (changes.fileNames.contains(key)) {
            return Error { ResultCode::UsageError,
                           name + " is to be removed, and " + changes.fileNames[key]
                                   + " publishes it" };
        }
        if (!published.texts.contains(key))
            return Error { ResultCode::ServiceUnknown, "no service " + name + " is published" };
        changes.entries[key] = std::nullopt;
        const std::optional<Service> old = publishedService(published, key);
        changes.lines[name] = diffServices(old ? &*old : nullptr, nullptr);
    }
    return changes;
}

void printChanges(const ChangeSet &changes, CommandOutput &output)
{
    json::object services;
    for (const auto &[name, lines] : changes.lines) {
        output.line(name + ":");
        json::array &list = services[name].emplace_array();
        for (const std::string &line : lines) {
            output.line("  " + line);
            list.emplace_back(line);
        }
    }
    output.set("changes", std::move(services));
}

} // namespace burdock
