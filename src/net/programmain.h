// The main function that the programs of a node share: command line, settings, event loop.
#pragma once

#include "net/decisionlog.h"
#include "net/eventloop.h"
#include "settings/nodesettings.h"

#include <CLI/CLI.hpp>
#include <glog/logging.h>

#include <iostream>
#include <string>

namespace burdock {

/// Reads the settings, starts a program and runs it until it stops.
/// @param description one line for --help
/// @return the exit code, see docs/RESULT-CODES.md
template <typename Program>
int runNodeProgram(int argc, char **argv, const std::string &description)
{
    std::string settingsFile;
    bool checkOnly = false;
    CLI::App app { description };
    app.add_option("--settings", settingsFile, "settings file, JSON with comments")->required();
    app.add_flag("--check", checkOnly, "check the settings and exit");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError &error) {
        const bool isHelp = app.exit(error) == 0;
        return isHelp ? 0 : describe(ResultCode::UsageError).exitCode;
    }

    const auto settings = readNodeSettings(settingsFile);
    if (!isOk(settings)) {
        std::cerr << errorOf(settings).message << '\n';
        return describe(errorOf(settings).code).exitCode;
    }
    if (checkOnly)
        return 0;

    startLogging(argv[0]);
    EventLoop io;
    Program program(io, valueOf(settings));
    const WorkEnd workEnd(io);
    const auto started = program.start();
    if (!isOk(started)) {
        LOG(ERROR) << errorOf(started).message;
        return describe(errorOf(started).code).exitCode;
    }
    io.run();
    return 0;
}

} // namespace burdock
