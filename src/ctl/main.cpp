// burdockctl: what operators change and ask.
#include "base/hashing.h"
#include "net/coroutines.h"
#include "platform/objectclient.h"
#include "settings/catalogcheck.h"
#include "settings/servicefile.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

#include <CLI/CLI.hpp>

#include <unistd.h>

#include <iostream>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

struct PublishResult
{
    std::uint64_t revision = 0;
};

asio::awaitable<Result<PublishResult>> publishHead(ObjectClient &objects, json::object services,
                                                   std::string publishId)
{
    std::uint64_t version = 0;
    std::uint64_t revision = 0;
    const auto head = co_await objects.read("config/head");
    if (isOk(head)) {
        const json::value parsed = json::parse(valueOf(head).value);
        version = valueOf(head).version;
        revision = parsed.at("revision").to_number<std::uint64_t>();
    } else if (errorOf(head).code != ResultCode::PlatformNotFound) {
        co_return errorOf(head);
    }
    const json::value next = { { "revision", revision + 1 },
                               { "publish_id", publishId },
                               { "services", std::move(services) } };
    const WriteAnswer answer =
            co_await objects.write("config/head", json::serialize(next), version);
    if (answer.outcome != WriteOutcome::Done)
        co_return Error { ResultCode::PublishClash, "another publish came first" };
    co_return PublishResult { revision + 1 };
}

asio::awaitable<Result<PublishResult>> publish(ObjectClient &objects,
                                               std::vector<ServiceFile> files)
{
    json::object services;
    for (const ServiceFile &file : files) {
        const std::string text = serviceToJson(file.service);
        const std::string hash = hashToHex(hashText(text));
        const std::string key = "config/services/" + file.service.name + "/" + hash;
        const WriteAnswer answer = co_await objects.write(key, text, 0);
        const bool there =
                answer.outcome == WriteOutcome::Done || answer.outcome == WriteOutcome::Conflict;
        if (!there)
            co_return Error { ResultCode::PlatformUnavailable, "cannot write " + key };
        services[file.service.name] = hash;
    }
    const std::string publishId = std::to_string(getpid());
    co_return co_await publishHead(objects, std::move(services), publishId);
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
            std::cout << "published revision " << valueOf(published).revision << '\n';
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
