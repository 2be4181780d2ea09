// burdockctl: what operators change and ask.
#include "decide/confighead.h"
#include "net/coroutines.h"
#include "node/configjson.h"
#include "platform/objectclient.h"
#include "settings/catalogcheck.h"
#include "settings/servicefile.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <iostream>

namespace burdock {

namespace asio = boost::asio;

namespace {

asio::awaitable<Result<std::uint64_t>> publishHead(ObjectClient &objects, ConfigHead next)
{
    std::uint64_t version = 0;
    const auto stored = co_await objects.read(ConfigHeadPath);
    if (isOk(stored)) {
        const auto head = configHeadFromJson(valueOf(stored).value);
        if (!head)
            co_return Error { ResultCode::PlatformUnavailable, "config/head cannot be read" };
        version = valueOf(stored).version;
        next.revision = head->revision;
        next.history = head->history;
    } else if (errorOf(stored).code != ResultCode::PlatformNotFound) {
        co_return errorOf(stored);
    }
    ++next.revision;
    appendRecord(next, { next.revision, next.publishId, "operator", {} });
    const WriteAnswer answer =
            co_await objects.write(ConfigHeadPath, configHeadToJson(next), version);
    if (answer.outcome != WriteOutcome::Done)
        co_return Error { ResultCode::PublishClash, "another publish came first" };
    co_return next.revision;
}

asio::awaitable<Result<std::uint64_t>> publish(ObjectClient &objects,
                                               std::vector<ServiceFile> files)
{
    ConfigHead head;
    head.publishId = std::to_string(getpid());
    for (const ServiceFile &file : files) {
        const std::string text = serviceToJson(file.service);
        const std::string key = serviceKey(file.service.name);
        const std::string hash = contentHash(text);
        const WriteAnswer answer = co_await objects.write(entryPath(key, hash), text, 0);
        const bool there =
                answer.outcome == WriteOutcome::Done || answer.outcome == WriteOutcome::Conflict;
        if (!there)
            co_return Error { ResultCode::PlatformUnavailable, "cannot write " + key };
        head.entries[key] = hash;
    }
    co_return co_await publishHead(objects, std::move(head));
}

int runPublish(const std::string &folder, const std::string &platform)
{
    const ServiceFolder read = readServiceFolder(folder);
    std::vector<Error> errors = read.errors;
    for (const Error &error : checkCatalog(read.files))
        errors.push_back(error);
    for (const Error &error : errors)
        std::cerr << error.message << '\n';
    if (!errors.empty())
        return describe(errors.front().code).exitCode;
    const auto endpoint = parseEndpoint(platform);
    if (!isOk(endpoint)) {
        std::cerr << errorOf(endpoint).message << '\n';
        return describe(ResultCode::UsageError).exitCode;
    }

    asio::io_context io(1);
    HttpClient http(io);
    ObjectClient objects(http, valueOf(endpoint));
    int exitCode = 0;
    const auto work = [&]() -> asio::awaitable<void> {
        const auto published = co_await publish(objects, read.files);
        if (isOk(published)) {
            std::cout << "published revision " << valueOf(published) << '\n';
        } else {
            std::cerr << errorOf(published).message << '\n';
            exitCode = describe(errorOf(published).code).exitCode;
        }
    };
    asio::co_spawn(io, work, asio::detached);
    io.run();
    return exitCode;
}

} // namespace

} // namespace burdock

int main(int argc, char **argv)
{
    std::string folder = ".";
    std::string platform = "127.0.0.1:7000";
    CLI::App app { "burdockctl: check, publish, status, explain, drain" };
    app.require_subcommand(1);
    CLI::App *publish = app.add_subcommand("publish", "publish the service files below a folder");
    publish->add_option("folder", folder, "folder with burdock.json files")->required();
    publish->add_option("--platform", platform, "IP:PORT of the Object API")->capture_default_str();
    CLI11_PARSE(app, argc, argv);
    return burdock::runPublish(folder, platform);
}
