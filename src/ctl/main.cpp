// burdockctl: what operators change and ask.
#include "ctl/commands.h"
#include "ctl/publishrun.h"

#include <CLI/CLI.hpp>

#include <cstdlib>

namespace burdock {

namespace {

constexpr const char *Footer = "Exit codes and their meaning: docs/RESULT-CODES.md, or "
                               "'burdockctl explain CODE'.";

std::string defaultOperator()
{
    const char *user = std::getenv("USER");
    return user == nullptr ? "unknown" : user;
}

/// Turns "IP:PORT" into an endpoint, and refuses what is none.
class EndpointOption
{
public:
    static void add(CLI::App &app, const std::string &flag, Endpoint &endpoint,
                    const std::string &help)
    {
        const auto store = [&endpoint](const std::string &text) {
            endpoint = parsed(text);
        };
        app.add_option_function<std::string>(flag, store, help)
                ->default_str(toText(endpoint))
                ->type_name("IP:PORT");
    }

    static void addList(CLI::App &app, const std::string &flag, std::vector<Endpoint> &endpoints,
                        const std::string &help)
    {
        const auto store = [&endpoints](const std::vector<std::string> &texts) {
            for (const std::string &text : texts)
                endpoints.push_back(parsed(text));
        };
        app.add_option_function<std::vector<std::string>>(flag, store, help)->type_name("IP:PORT");
    }

private:
    static Endpoint parsed(const std::string &text)
    {
        const auto endpoint = parseEndpoint(text);
        if (!isOk(endpoint))
            throw CLI::ValidationError(errorOf(endpoint).message);
        return valueOf(endpoint);
    }
};

struct CommandLine
{
    CommonOptions common;
    PublishOptions publish;
    DrainOptions drain;
    std::string checkFolder;
    bool checkWithPublished = false;
    std::string explainAbout;
    std::chrono::milliseconds::rep timeoutMs = 1'000;
    std::chrono::seconds::rep publishWait = 30;
    std::chrono::seconds::rep publishGiveUp = 20;
    std::chrono::seconds::rep drainWait = 120;

    void finish()
    {
        common.fleet.callTimeout = std::chrono::milliseconds(timeoutMs);
        publish.waitTime = std::chrono::seconds(publishWait);
        publish.giveUpAfter = std::chrono::seconds(publishGiveUp);
        drain.waitTime = std::chrono::seconds(drainWait);
        if (publish.publishId.empty())
            publish.publishId = newPublishId();
    }
};

void addCommon(CLI::App &app, CommandLine &line)
{
    FleetOptions &fleet = line.common.fleet;
    EndpointOption::add(app, "--platform", fleet.platform, "the platform's service");
    EndpointOption::addList(app, "--node", fleet.nodes,
                            "status address of a node's entry process, in place of the VM list");
    app.add_option("--status-offset", fleet.statusOffset,
                   "entry status port above the port in the VM list")
            ->capture_default_str();
    app.add_option("--control-offset", fleet.controlOffset,
                   "control status port above the port in the VM list")
            ->capture_default_str();
    app.add_option("--timeout-ms", line.timeoutMs, "for one call")
            ->check(CLI::Range(1, 60'000))
            ->capture_default_str();
    app.add_flag("--json", line.common.asJson, "print one JSON object");
}

CLI::App *addCheck(CLI::App &app, CommandLine &line)
{
    CLI::App *check = app.add_subcommand("check", "check service files without writing anything");
    check->add_option("folder", line.checkFolder, "folder with burdock.json files")->required();
    check->add_flag("--published", line.checkWithPublished,
                    "check them with what is published, and show the difference");
    return check;
}

CLI::App *addPublish(CLI::App &app, CommandLine &line)
{
    CLI::App *publish = app.add_subcommand("publish", "put service files in force on every node");
    PublishOptions &options = line.publish;
    publish->add_option("folder", options.folder, "folder with burdock.json files");
    publish->add_option("--remove", options.removed, "take a service out of the configuration");
    publish->add_option("--operator", options.operatorName, "who publishes")->capture_default_str();
    publish->add_option("--base", options.base,
                        "refuse if these services changed after this revision");
    publish->add_option("--publish-id", options.publishId,
                        "repeat a publish whose outcome is not known");
    publish->add_option("--wait", line.publishWait, "seconds until in force; 0: do not wait")
            ->check(CLI::Range(0, 3'600))
            ->capture_default_str();
    publish->add_option("--give-up", line.publishGiveUp, "seconds without the platform")
            ->check(CLI::Range(1, 3'600))
            ->capture_default_str();
    return publish;
}

CLI::App *addDrain(CLI::App &app, CommandLine &line)
{
    CLI::App *drain = app.add_subcommand(
            "drain", "stop a node, or keep new work from an upstream, without cutting a request");
    DrainOptions &options = line.drain;
    drain->add_option("name", options.name, "a VM of the VM list")->required();
    drain->add_flag("--undo", options.undo, "let an upstream take new work again");
    drain->add_option("--operator", options.operatorName, "who drains")->capture_default_str();
    drain->add_option("--wait", line.drainWait, "seconds to wait; 0: do not wait")
            ->check(CLI::Range(0, 86'400))
            ->capture_default_str();
    return drain;
}

int runCommandLine(int argc, char **argv)
{
    CommandLine line;
    line.common.fleet.platform = Endpoint { "127.0.0.1", 7000 };
    line.publish.operatorName = line.drain.operatorName = defaultOperator();

    CLI::App app { "burdockctl: check, publish, status, explain, drain" };
    app.footer(Footer);
    app.require_subcommand(1);
    app.fallthrough(); // common options may stand after the command
    addCommon(app, line);
    const CLI::App *check = addCheck(app, line);
    const CLI::App *publish = addPublish(app, line);
    const CLI::App *status = app.add_subcommand(
            "status", "on how many nodes the configuration is in force, nodes, placement");
    CLI::App *explain = app.add_subcommand(
            "explain",
            "why a request went where it did, why a model is where it is, what a "
            "result code means");
    explain->add_option("about", line.explainAbout,
                        "request id, decision id, model, upstream, or result code")
            ->required();
    addDrain(app, line);

    try {
        app.parse(argc, argv);
        if (*publish && line.publish.folder.empty() && line.publish.removed.empty())
            throw CLI::RequiredError("folder or --remove");
    } catch (const CLI::ParseError &error) {
        const bool isHelp = app.exit(error) == 0;
        return isHelp ? 0 : describe(ResultCode::UsageError).exitCode;
    }
    line.finish();
    if (*check)
        return runCheck(line.common, line.checkFolder, line.checkWithPublished);
    if (*publish)
        return runPublish(line.common, line.publish);
    if (*status)
        return runStatus(line.common);
    if (*explain)
        return runExplain(line.common, line.explainAbout);
    return runDrain(line.common, line.drain);
}

} // namespace

} // namespace burdock

int main(int argc, char **argv)
{
    return burdock::runCommandLine(argc, argv);
}
