#include "ctl/session.h"

#include <boost/asio/co_spawn.hpp>

namespace burdock {

namespace asio = boost::asio;

Session::Session(const CommonOptions &common)
    : options(common)
    , http(io)
    , objects(http, common.fleet.platform, common.fleet.callTimeout)
    , output(common.asJson)
{
}

int runCommand(const CommonOptions &common,
               const std::function<asio::awaitable<void>(Session &)> &work)
{
    Session session(common);
    const auto noteEnd = [&session](const std::exception_ptr &thrown) {
        if (thrown)
            session.output.error(Error { ResultCode::Internal, "the command ended early" });
        session.io.stop();
    };
    asio::co_spawn(session.io, work(session), noteEnd);
    session.io.run();
    return session.output.finish();
}

} // namespace burdock
