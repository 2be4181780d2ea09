#include "entry/entrystate.h"

namespace burdock {

namespace {

RouterSettings routerSettings(const NodeSettings &settings)
{
    RouterSettings router;
    router.zone = settings.availabilityZone;
    return router;
}

} // namespace

EntryState::EntryState(boost::asio::io_context &context, NodeSettings nodeSettings)
    : io(context)
    , settings(std::move(nodeSettings))
    , http(io)
    , objects(http, { settings.platformAddress, settings.platformPort })
    , log(settings.name)
    , router(upstreams, prefixes, routerSettings(settings), settings.seed)
    , dispatcher(upstreams, prefixes, router)
    , board(io, dispatcher, log, metrics)
    , feed(http, upstreams, prefixes)
{
}

} // namespace burdock
