// Stand-in for the store of the users' platform; see storeserver.h.
#include "net/runloop.h"
#include "store/storeserver.h"

#include <CLI/CLI.hpp>

int main(int argc, char **argv)
{
    std::string listenOn = "127.0.0.1:7100";
    CLI::App app { "Stand-in for the store of the users' platform" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    standin::StoreServer store;
    return burdock::serveUntilStopped(io, listenOn, store, argv[0]);
}
