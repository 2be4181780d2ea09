#include "entry/entrystate.h"

#include "base/hashing.h"
#include "base/wallclock.h"
#include "node/configjson.h"
#include "peer.pb.h"
#include "peer/ledgerwire.h"
#include "suspects/suspecttext.h"

#include <glog/logging.h>

#include <set>

namespace burdock {

namespace {

/// Gossip records of notes on parts of prompts; their key is the part's.
constexpr const char *SuspectTopic = "suspect part";
constexpr std::chrono::seconds SuspectRepeatInterval { 5 };

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
    , suspects(io, http, *this)
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
    if (note.topic == SuspectTopic) {
        if (const auto suspect = suspectFromText(note.key, note.payload))
            suspects.onNotes({ *suspect });
        else
            LOG(WARNING) << "a note on a suspect cannot be read: " << note.payload;
        return;
    }
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

// ---- Suspects -----------------------------------------------------------------------------------

bool EntryState::isOwner(std::uint64_t key, Instant) const
{
    const auto order = rendezvousOrder(hashToHex(key), fleet.runningNodes());
    return !order.empty() && order.front() == settings.name;
}

void EntryState::sendSuspectNotes(const std::vector<SuspectNote> &notes, bool toAll)
{
    // Gossip reaches all nodes that run now; what is repeated is for others.
    const Instant now = steadyNow();
    if (!toAll && now < m_repeatSuspectsAt)
        return;
    m_repeatSuspectsAt = now + Duration(SuspectRepeatInterval);
    const auto number = static_cast<std::uint64_t>(unixTime().count());
    for (const SuspectNote &note : notes)
        fleet.disseminateRecord(
                { SuspectTopic, hashToHex(note.key.id), number, suspectText(note) });
}

void EntryState::logVerdict(const RunVerdict &verdict)
{
    static constexpr const char *Fates[] = { "ended", "alive", "unknown" };
    DecisionLine line("connection_ended");
    line.field("run", verdict.run.request)
            .field("upstream", verdict.run.replica)
            .field("upstream_is", Fates[static_cast<std::size_t>(verdict.fate)])
            .reason(verdict.reason);
    log.write(line);
}

void EntryState::logSuspect(const SuspectNote &note, bool isRefused, const char *source)
{
    DecisionLine line("suspect_part");
    line.field("key", hashToHex(note.key.id))
            .field("crashes", std::int64_t(note.crashes.size()))
            .field("trials", note.trials)
            .field("source", source)
            .reason(isRefused                      ? "refused"
                            : note.crashes.empty() ? "cleared by a whole answer"
                                                   : "sent one at a time");
    log.write(line);
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
