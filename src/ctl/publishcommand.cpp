#include "ctl/changes.h"
#include "ctl/commands.h"
#include "ctl/inforce.h"
#include "ctl/publishrun.h"
#include "ctl/session.h"
#include "settings/catalogcheck.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

/// Makes the base that clashes are judged against.
/// @return the head, set back to the revision that the operator looked at, or PublishClash
Result<ConfigHead> baseOf(const ConfigHead &head, const std::optional<std::uint64_t> &revision)
{
    ConfigHead base = head;
    if (!revision)
        return base;
    if (*revision > head.revision || !historyReaches(head, *revision)) {
        return Error { ResultCode::PublishClash,
                       "cannot tell what was published since revision " + std::to_string(*revision)
                               + "; the newest is " + std::to_string(head.revision) };
    }
    base.revision = *revision;
    return base;
}

/// Reads and checks the files. Reports their errors.
std::optional<std::vector<ServiceFile>> readFiles(const PublishOptions &options,
                                                  CommandOutput &output)
{
    if (options.folder.empty())
        return std::vector<ServiceFile>();
    ServiceFolder read = readServiceFolder(options.folder);
    const std::vector<Error> clashes = checkCatalog(read.files);
    output.errors(read.errors);
    output.errors(clashes);
    if (!read.errors.empty() || !clashes.empty())
        return std::nullopt;
    return std::move(read.files);
}

asio::awaitable<void> publishChanges(Session &session, const PublishOptions &options,
                                     const ChangeSet &changes, ConfigHead base)
{
    PublishRequest request;
    request.publishId = options.publishId;
    request.operatorName = options.operatorName;
    request.changes = changes.entries;
    request.base = std::move(base);
    const ServiceTextChecker checker(changes.fileNames);
    const auto revision =
            co_await runPublisher(session.objects, request, checker, options.giveUpAfter);
    if (!isOk(revision)) {
        Error error = errorOf(revision);
        if (error.code == ResultCode::PlatformUnknownOutcome)
            error.message += "; to find out, publish again with --publish-id " + request.publishId;
        session.output.error(error);
        co_return;
    }
    session.output.set("revision", valueOf(revision));
    session.output.line("published revision " + std::to_string(valueOf(revision)));
    co_await waitUntilInForce(session, valueOf(revision), options.waitTime);
}

asio::awaitable<void> publish(Session &session, const PublishOptions &options)
{
    const auto files = readFiles(options, session.output);
    if (!files)
        co_return;
    const auto published = co_await readPublished(session.objects);
    if (!isOk(published)) {
        session.output.error(errorOf(published));
        co_return;
    }
    const ConfigHead &head = valueOf(published).head;
    const auto changes = findChanges(*files, options.removed, valueOf(published));
    const auto base = baseOf(head, options.base);
    if (!isOk(changes) || !isOk(base)) {
        session.output.error(isOk(changes) ? errorOf(base) : errorOf(changes));
        co_return;
    }
    session.output.set("publish_id", json::string(options.publishId));
    printChanges(valueOf(changes), session.output);
    const PublishRecord *earlier = findPublish(head, options.publishId);
    if (valueOf(changes).entries.empty() || earlier != nullptr) {
        const std::uint64_t revision = earlier != nullptr ? earlier->revision : head.revision;
        session.output.set("revision", revision);
        session.output.line("nothing to publish: revision " + std::to_string(revision)
                            + " holds these services");
        co_return;
    }
    co_await publishChanges(session, options, valueOf(changes), valueOf(base));
}

} // namespace

int runPublish(const CommonOptions &common, const PublishOptions &options)
{
    return runCommand(common, [&](Session &session) { return publish(session, options); });
}

} // namespace burdock
