// Stand-in for the store of the users' platform, behind a link whose open connections can go
// silent; see storeserver.h and silentlink.h.
#include "link/silentlink.h"
#include "net/runloop.h"
#include "store/storeserver.h"

#include <boost/asio/ip/tcp.hpp>

#include <CLI/CLI.hpp>

#include <iostream>

namespace {

burdock::Endpoint freeEndpoint(boost::asio::io_context &io)
{
    const boost::asio::ip::tcp::acceptor bound(io, { boost::asio::ip::address_v4::loopback(), 0 });
    return { "127.0.0.1", bound.local_endpoint().port() };
}

} // namespace

int main(int argc, char **argv)
{
    std::string listenOn = "127.0.0.1:7100";
    CLI::App app { "Stand-in for the store of the users' platform" };
    app.add_option("--listen", listenOn, "IP:PORT")->capture_default_str();
    CLI11_PARSE(app, argc, argv);

    boost::asio::io_context io(1);
    standin::StoreServer store;
    standin::SilentLink link(io, freeEndpoint(io));
    const auto endpoint = burdock::parseEndpoint(listenOn);
    const auto listening = burdock::isOk(endpoint)
            ? link.listen(burdock::valueOf(endpoint))
            : burdock::Result<burdock::Done>(burdock::errorOf(endpoint));
    if (!burdock::isOk(listening)) {
        std::cerr << burdock::errorOf(listening).message << '\n';
        return burdock::describe(burdock::errorOf(listening).code).exitCode;
    }
    store.onSilence = [&](double share) {
        link.silence(share);
    };
    return burdock::serveUntilStopped(io, burdock::toText(link.server()), store, argv[0]);
}
