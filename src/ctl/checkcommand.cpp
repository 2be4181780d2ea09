#include "ctl/changes.h"
#include "ctl/commands.h"
#include "ctl/publishrun.h"
#include "ctl/session.h"
#include "settings/catalogcheck.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

std::size_t modelCount(const std::vector<ServiceFile> &files)
{
    std::size_t count = 0;
    for (const ServiceFile &file : files)
        count += file.service.models.size();
    return count;
}

void printFiles(const std::vector<ServiceFile> &files, CommandOutput &output)
{
    json::array list;
    for (const ServiceFile &file : files) {
        json::object object;
        object["file"] = file.fileName;
        object["service"] = file.service.name;
        list.emplace_back(std::move(object));
    }
    output.set("files", std::move(list));
    output.line("good: " + std::to_string(files.size()) + " services with "
                + std::to_string(modelCount(files)) + " models");
}

asio::awaitable<void> checkWithPublished(Session &session, const std::vector<ServiceFile> &files)
{
    const auto published = co_await readPublished(session.objects);
    if (!isOk(published)) {
        session.output.error(errorOf(published));
        co_return;
    }
    const ConfigSnapshot &snapshot = valueOf(published);
    const Result<ChangeSet> found = findChanges(files, {}, snapshot);
    const ChangeSet &changes = valueOf(found);
    std::map<std::string, std::string> texts = snapshot.texts;
    for (const auto &[key, text] : changes.entries)
        texts[key] = text.value_or("");
    const Result<Done> whole = ServiceTextChecker(changes.fileNames).check(texts);
    if (!isOk(whole)) {
        session.output.error(errorOf(whole));
        co_return;
    }
    session.output.set("revision", snapshot.head.revision);
    session.output.line("against revision " + std::to_string(snapshot.head.revision)
                        + (changes.entries.empty() ? ": no difference" : ":"));
    printChanges(changes, session.output);
}

} // namespace

int runCheck(const CommonOptions &common, const std::string &folder, bool withPublished)
{
    return runCommand(common, [&](Session &session) -> asio::awaitable<void> {
        const ServiceFolder read = readServiceFolder(folder);
        session.output.errors(read.errors);
        const std::vector<Error> clashes = checkCatalog(read.files);
        session.output.errors(clashes);
        if (!read.errors.empty() || !clashes.empty())
            co_return;
        printFiles(read.files, session.output);
        if (withPublished)
            co_await checkWithPublished(session, read.files);
    });
}

} // namespace burdock
