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

AddressSettings addressSettings(const NodeSettings &settings)
{
    AddressSettings addresses;
    addresses.lifetime = settings.answerLifetime;
    return addresses;
}

DrainSettings drainSettings(const NodeSettings &settings)
{
    DrainSettings drain;
    drain.answerLifetime = settings.answerLifetime;
    return drain;
}

EntryNodeState entryNodeState(MemberState state)
{
    if (state == MemberState::Alive)
        return EntryNodeState::Usable;
    return state == MemberState::Leaving ? EntryNodeState::Leaving : EntryNodeState::Suspect;
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
    , board(io, dispatcher, log, metrics, settings.name)
    , link(io, *this)
    , fleet(io, link, objects, log, *this, fleetSettings(settings, incarnation))
    , orders(io, fleet, objects, log, { settings.name, processOf(incarnation) })
    , quarantine(io, fleet, log, settings.name)
    , feed(http, upstreams, prefixes)
    , addresses(addressSettings(settings), settings.seed)
    , drain(drainSettings(settings))
{
}

// ---- Events -------------------------------------------------------------------------------------

void EntryState::onPeerMessage(const wire::PeerMessage &message)
{
    if (fleet.onPeerMessage(message))
        return;
    if (message.kind_case() == wire::PeerMessage::kLedger) {
        if (const auto ledgerMessage = fromWire(message.ledger()))
            orders.onMessage(*ledgerMessage);
    } else if (message.kind_case() == wire::PeerMessage::kQuarantine) {
        if (const auto quarantineMessage = fromWire(message.quarantine()))
            quarantine.onMessage(*quarantineMessage);
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
    const std::set<std::string> drainedBefore = leaving.byOperator();
    leaving.onConfig(config.texts);
    for (const std::string &upstream : drainedBefore) {
        if (leaving.mayReceive(upstream))
            upstreams.onRemoved(upstream); // announced again below, with nothing against it
    }
    updateUpstreams();
    rebuildAddresses();
}

void EntryState::onLiveNodes()
{
    orders.onLiveNodes();
    quarantine.onLiveNodes();
    drain.setOtherUsableNodes(fleet.otherUsableNodes(), steadyNow());
    rebuildAddresses();
}

void EntryState::onNote(const GossipRecord &note)
{
    if (note.topic != UpstreamLeavingTopic)
        return;
    leaving.onLeavingRecord(note.key);
    upstreams.onLeaving(note.key);
}

void EntryState::onVmList(std::vector<VmEntry> listed)
{
    vms = std::move(listed);
    fleet.onVmList(vms);
    std::set<std::string> names;
    std::set<std::string> leavingNames;
    for (const VmEntry &vm : vms) {
        names.insert(vm.name);
        if (vm.state == VmState::Leaving)
            leavingNames.insert(vm.name);
    }
    for (const std::string &upstream : leaving.onVmList(names, leavingNames))
        fleet.disseminateRecord({ UpstreamLeavingTopic, upstream, incarnation, "" });
    updateUpstreams();
}

// ---- Tables -------------------------------------------------------------------------------------

void EntryState::updateUpstreams()
{
    std::vector<VmEntry> current = vms;
    for (VmEntry &vm : current) {
        if (!leaving.mayReceive(vm.name))
            vm.state = VmState::Leaving;
    }
    feed.onVmList(current, modelGroups(catalog));
}

void EntryState::forgetCopy(const std::string &upstream, const std::string &key)
{
    const UpstreamRow *row = upstreams.find(upstream);
    if (row == nullptr)
        return;
    UpstreamInfo info = row->info;
    std::erase_if(info.resident, [&key](const ResidentModel &resident) {
        return servingKey(resident.model, resident.version) == key;
    });
    upstreams.onAnnounced(info, steadyNow());
}

std::string EntryState::upstreamProcess(const std::string &upstream) const
{
    const UpstreamRow *row = upstreams.find(upstream);
    return upstream + "/" + (row == nullptr ? "" : std::to_string(row->info.incarnation));
}

void EntryState::rebuildAddresses()
{
    std::vector<EntryNode> nodes;
    for (const VmEntry &vm : vms) {
        const auto member = fleet.membership().members().find(vm.name);
        if (member == fleet.membership().members().end() || !isRunning(member->second))
            continue;
        nodes.push_back({ vm.name, vm.availabilityZone, toText(vm.endpoint),
                          entryNodeState(member->second.state) });
    }
    std::vector<ModelShare> shares;
    for (const auto &[name, service] : catalog.services) {
        for (const ModelEntry &model : service.models)
            shares.push_back({ model.name, 0.0 });
    }
    for (ModelShare &share : shares)
        share.share = 1.0 / static_cast<double>(shares.size());
    addresses.rebuild(std::move(nodes), std::move(shares));
}

} // namespace burdock
