#include "ctl/publishrun.h"

#include "base/hashing.h"
#include "net/coroutines.h"
#include "node/configjson.h"
#include "settings/catalogcheck.h"
#include "settings/jsonreader.h"

#include <random>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds TickInterval { 20 };
constexpr std::chrono::seconds AnswerTimeout { 10 }; // above the client's own timeout
constexpr std::string_view ServicePrefix = "services/";

struct HeadRead
{
    ConfigHead head;
    std::uint64_t version = 0; // 0: there is none yet
};

asio::awaitable<Result<HeadRead>> readHead(ObjectClient &objects)
{
    const auto object = co_await objects.read(ConfigHeadPath);
    if (!isOk(object)) {
        if (errorOf(object).code == ResultCode::PlatformNotFound)
            co_return HeadRead {};
        co_return errorOf(object);
    }
    auto head = configHeadFromJson(valueOf(object).value);
    if (!head) {
        co_return Error { ResultCode::SettingsUnreadable,
                          std::string(ConfigHeadPath) + ": $: not a configuration head" };
    }
    HeadRead read;
    read.head = std::move(*head);
    read.version = valueOf(object).version;
    co_return read;
}

/// Carries out the actions of one publisher, one call at a time.
class PublishRun
{
public:
    PublishRun(ObjectClient &objects, Publisher &publisher)
        : m_objects(objects)
        , m_publisher(publisher)
    {
    }

    /// @return an error that the publisher cannot know of, or Done
    asio::awaitable<Result<Done>> carryOut(PublisherAction action)
    {
        if (const auto *read = std::get_if<ReadConfigHead>(&action))
            co_return co_await readHeadFor(read->requestId);
        if (const auto *read = std::get_if<ReadConfigEntry>(&action))
            co_await readEntry(*read);
        else if (const auto *create = std::get_if<CreateConfigEntry>(&action))
            co_await createEntry(*create);
        else if (const auto *write = std::get_if<WriteConfigHead>(&action))
            co_await writeHead(*write);
        co_return Done {};
    }

private:
    asio::awaitable<Result<Done>> readHeadFor(std::uint64_t requestId)
    {
        const auto head = co_await readHead(m_objects);
        if (isOk(head)) {
            const HeadRead &read = valueOf(head);
            m_publisher.onHeadRead(requestId, read.head, read.version, steadyNow());
        } else if (errorOf(head).code == ResultCode::SettingsUnreadable) {
            co_return errorOf(head);
        } else {
            m_publisher.onReadFailed(requestId, steadyNow());
        }
        co_return Done {};
    }

    asio::awaitable<void> readEntry(ReadConfigEntry action)
    {
        const auto object = co_await m_objects.read(entryPath(action.key, action.hash));
        if (isOk(object))
            m_publisher.onEntryRead(action.requestId, valueOf(object).value, steadyNow());
        else
            m_publisher.onReadFailed(action.requestId, steadyNow());
    }

    /// An entry's path holds its hash, so one that can be read back was created, by whom ever.
    asio::awaitable<void> createEntry(CreateConfigEntry action)
    {
        const std::string path = entryPath(action.key, action.hash);
        const WriteAnswer answer = co_await m_objects.write(path, action.text, 0);
        WriteOutcome outcome = answer.outcome;
        if (outcome == WriteOutcome::Unknown) {
            const auto stored = co_await m_objects.read(path);
            if (isOk(stored) && valueOf(stored).value == action.text)
                outcome = WriteOutcome::Done;
        }
        m_publisher.onEntryCreated(action.requestId, outcome, steadyNow());
    }

    asio::awaitable<void> writeHead(WriteConfigHead action)
    {
        const WriteAnswer answer = co_await m_objects.write(
                ConfigHeadPath, configHeadToJson(action.head), action.expectedVersion);
        m_publisher.onHeadWritten(action.requestId, answer.outcome, steadyNow());
    }

    ObjectClient &m_objects;
    Publisher &m_publisher;
};

} // namespace

std::string newPublishId()
{
    std::random_device device;
    const std::uint64_t high = device();
    return hashToHex(high << 32U | device());
}

asio::awaitable<Result<ConfigSnapshot>> readPublished(ObjectClient &objects)
{
    auto head = co_await readHead(objects);
    if (!isOk(head))
        co_return errorOf(head);
    ConfigSnapshot snapshot;
    snapshot.head = valueOf(head).head;
    for (const auto &[key, hash] : snapshot.head.entries) {
        const auto object = co_await objects.read(entryPath(key, hash));
        if (!isOk(object))
            co_return errorOf(object);
        snapshot.texts[key] = valueOf(object).value;
    }
    co_return snapshot;
}

ServiceTextChecker::ServiceTextChecker(std::map<std::string, std::string> fileNames)
    : m_fileNames(std::move(fileNames))
{
}

Result<Done> ServiceTextChecker::check(const std::map<std::string, std::string> &texts) const
{
    std::vector<ServiceFile> published; // first, so that the operator's own files are refused
    std::vector<ServiceFile> own;
    std::vector<Error> errors;
    for (const auto &[key, text] : texts) {
        if (!key.starts_with(ServicePrefix))
            continue;
        const auto name = m_fileNames.find(key);
        const bool isOwn = name != m_fileNames.end();
        const std::string fileName = isOwn ? name->second : "published " + key;
        Service service = parseService(text, fileName, errors);
        (isOwn ? own : published).push_back(ServiceFile { fileName, std::move(service) });
    }
    if (errors.empty()) {
        published.insert(published.end(), own.begin(), own.end());
        errors = checkCatalog(published);
    }
    if (!errors.empty())
        return joinErrors(errors);
    return Done {};
}

asio::awaitable<Result<std::uint64_t>> runPublisher(ObjectClient &objects, PublishRequest request,
                                                    const CatalogChecker &checker,
                                                    std::chrono::seconds publishTimeout)
{
    PublisherSettings settings;
    settings.responseTimeout = AnswerTimeout;
    settings.publishTimeout = publishTimeout;
    Publisher publisher(settings, std::move(request), checker, steadyNow());
    PublishRun run(objects, publisher);
    while (!publisher.outcome()) {
        publisher.tick(steadyNow());
        const std::vector<PublisherAction> actions = publisher.takeActions();
        for (const PublisherAction &action : actions) {
            const auto done = co_await run.carryOut(action);
            if (!isOk(done))
                co_return errorOf(done);
        }
        if (actions.empty())
            co_await sleepFor(TickInterval);
    }
    co_return *publisher.outcome();
}

} // namespace burdock
