#include "entry/entrystate.h"

#include "node/configjson.h"
#include "peer.pb.h"
#include "peer/ledgerwire.h"

#include <glog/logging.h>

#include <set>

namespace burdock {

namespace {

RouterSettings routerSettings(const NodeSettings &settings)
{
    RouterSettings router;
    router.zone = settings.availabilityZone;
    return router;
}

FleetSettings fleetSettings(const NodeSettings &settings, std::uint64_t incarnation)
{
    FleetSettings fleet;
    fleet.name = settings.name;
    fleet.zone = settings.availabilityZone;
    fleet.peerEndpoint = { settings.address, settings.entryPeerPort };
    fleet.incarnation = incarnation;
    fleet.seed = settings.seed;
    return fleet;
}

std::set<std::string> modelGroups(const ServiceCatalog &catalog)
{
    std::set<std::string> groups;
    for (const auto &[name, service] : catalog.services) {
        if (service.kind == ServiceKind::Models)
            groups.insert(service.upstreamGroup);
    }
    return groups;
}

} // namespace

EntryState::EntryState(boost::asio::io_context &context, NodeSettings nodeSettings)
    : io(context)
    , settings(std::move(nodeSettings))
    , http(io)
    , objects(http, { settings.platformAddress, settings.platformPort })
    , log(settings.name)
    , incarnation(newIncarnation())
    , router(upstreams, prefixes, routerSettings(settings), settings.seed)
    , dispatcher(upstreams, prefixes, router)
    , board(io, dispatcher, log, metrics)
    , link(io, *this)
    , fleet(io, link, objects, log, *this, fleetSettings(settings, incarnation))
    , orders(io, fleet, objects, log, { settings.name, processOf(incarnation) })
    , feed(http, upstreams, prefixes)
{
}

void EntryState::onPeerMessage(const wire::PeerMessage &message)
{
    if (fleet.onPeerMessage(message))
        return;
    if (message.kind_case() == wire::PeerMessage::kLedger) {
        if (const auto ledgerMessage = fromWire(message.ledger()))
            orders.onMessage(*ledgerMessage);
    } else if (message.kind_case() == wire::PeerMessage::kViewRequest && onViewRequest) {
        onViewRequest(message.view_request());
    }
}

void EntryState::onConfiguration(const ApplyConfig &config)
{
    auto read = catalogFromTexts(config.revision, config.publishId, config.texts);
    if (!isOk(read)) {
        LOG(ERROR) << "configuration revision " << config.revision
                   << " cannot be read: " << errorOf(read).message;
        return;
    }
    catalog = takeValue(std::move(read));
    feed.onVmList(vms, modelGroups(catalog));
}

void EntryState::onLiveNodes()
{
    orders.onLiveNodes();
}

void EntryState::onVmList(std::vector<VmEntry> listed)
{
    vms = std::move(listed);
    fleet.onVmList(vms);
    feed.onVmList(vms, modelGroups(catalog));
}

} // namespace burdock
