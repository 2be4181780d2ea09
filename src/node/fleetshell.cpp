#include "node/fleetshell.h"

#include "base/wallclock.h"
#include "net/coroutines.h"
#include "node/configjson.h"
#include "peer.pb.h"
#include "peer/gossipwire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <glog/logging.h>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr std::string_view EntryGroup = "entry";

MembershipSettings membershipSettings(const FleetSettings &settings)
{
    MembershipSettings membership;
    membership.self = settings.name;
    membership.zone = settings.zone;
    membership.address = toText(settings.peerEndpoint);
    membership.incarnation = settings.incarnation;
    membership.seed = settings.seed;
    return membership;
}

ConfigTrackerSettings keeperSettings(const FleetSettings &settings)
{
    ConfigTrackerSettings keeper;
    keeper.self = settings.name;
    keeper.seed = settings.seed;
    return keeper;
}

std::chrono::milliseconds toMilliseconds(Duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time);
}

} // namespace

std::uint64_t newIncarnation()
{
    return static_cast<std::uint64_t>(unixTime().count()) << RefutationBits;
}

FleetShell::FleetShell(asio::io_context &io, PeerLink &link, ObjectClient &objects,
                       DecisionLog &log, FleetListener &listener, FleetSettings settings)
    : m_io(io)
    , m_link(link)
    , m_objects(objects)
    , m_log(log)
    , m_listener(listener)
    , m_settings(std::move(settings))
    , m_membership(membershipSettings(m_settings), steadyNow())
    , m_keeper(keeperSettings(m_settings), steadyNow())
{
}

void FleetShell::onVmList(const std::vector<VmEntry> &vms)
{
    std::vector<VmRecord> records;
    for (const VmEntry &vm : vms) {
        if (vm.group != EntryGroup)
            continue;
        VmRecord record;
        record.name = vm.name;
        record.zone = vm.availabilityZone;
        record.address = toText({ vm.endpoint.address, m_settings.peerEndpoint.port });
        record.leaving = vm.state == VmState::Leaving;
        records.push_back(std::move(record));
    }
    m_membership.onVmList(records, steadyNow());
    tellKeeperOfMembers();
    carryOut();
    m_listener.onLiveNodes();
}

bool isRunning(const MemberRow &row)
{
    return row.state == MemberState::Alive || row.state == MemberState::Leaving
            || row.state == MemberState::Suspect;
}

std::vector<std::string> FleetShell::runningNodes() const
{
    std::vector<std::string> names;
    for (const auto &[name, row] : m_membership.members()) {
        if (isRunning(row))
            names.push_back(name);
    }
    return names;
}

std::size_t FleetShell::otherUsableNodes() const
{
    std::size_t count = 0;
    for (const auto &[name, row] : m_membership.members()) {
        if (name != m_settings.name && m_membership.isUsable(row, steadyNow()))
            ++count;
    }
    return count;
}

void FleetShell::disseminateRecord(const GossipRecord &record)
{
    m_membership.disseminateRecord(record);
    carryOut();
}

void FleetShell::tellKeeperOfMembers()
{
    std::vector<std::string> peers = runningNodes();
    std::erase(peers, m_settings.name);
    m_keeper.onMembers(m_membership.runningInZone(m_settings.zone), peers, steadyNow());
}

bool FleetShell::onPeerMessage(const wire::PeerMessage &message)
{
    const Instant now = steadyNow();
    switch (message.kind_case()) {
    case wire::PeerMessage::kGossip:
        if (const auto gossip = fromWire(message.gossip())) {
            m_membership.onGossip(*gossip, now);
            m_keeper.onPeerRevision(gossip->from, gossip->configRevision, now);
        }
        break;
    case wire::PeerMessage::kPullRequest:
        m_keeper.onPullRequest(fromWire(message.pull_request()), now);
        break;
    case wire::PeerMessage::kPullReply:
        m_keeper.onPullReply(fromWire(message.pull_reply()), now);
        break;
    case wire::PeerMessage::kRevisionNotice:
        m_keeper.onNotice(
                { message.revision_notice().from(), message.revision_notice().revision() }, now);
        break;
    case wire::PeerMessage::kRevisionReport:
        m_keeper.onReport(
                { message.revision_report().from(), message.revision_report().revision() }, now);
        break;
    default:
        return false;
    }
    carryOut();
    return true;
}

void FleetShell::tick()
{
    m_membership.setRevisions(m_keeper.revision(), 0);
    m_membership.tick(steadyNow());
    m_keeper.tick(steadyNow());
    carryOut();
}

void FleetShell::announceLeaving()
{
    m_membership.announceLeaving(steadyNow());
    carryOut();
}

void FleetShell::announceStopped()
{
    m_membership.announceStopped(steadyNow());
    carryOut();
}

bool FleetShell::sendTo(const std::string &node, const wire::PeerMessage &message)
{
    const auto found = m_membership.members().find(node);
    if (found == m_membership.members().end())
        return false;
    const auto endpoint = parseEndpoint(found->second.address);
    if (!isOk(endpoint))
        return false;
    m_link.send(valueOf(endpoint), message);
    return true;
}

// ---- Actions ------------------------------------------------------------------------------------

void FleetShell::carryOut()
{
    carryOutMembership();
    carryOutKeeper();
}

void FleetShell::carryOutMembership()
{
    bool changed = false;
    for (const MembershipAction &action : m_membership.takeActions()) {
        if (const auto *send = std::get_if<SendGossip>(&action)) {
            wire::PeerMessage message;
            toWire(send->message, *message.mutable_gossip());
            const auto endpoint = parseEndpoint(send->address);
            if (isOk(endpoint))
                m_link.send(valueOf(endpoint), message);
        } else if (const auto *change = std::get_if<MemberChanged>(&action)) {
            changed = true;
            DecisionLine line("member");
            line.field("node", change->name)
                    .field("before", memberStateName(change->before))
                    .field("after", memberStateName(change->after))
                    .reason(change->reason);
            m_log.write(line);
        } else if (const auto *arrived = std::get_if<RecordReceived>(&action)) {
            m_listener.onNote(arrived->record);
        }
    }
    if (!changed)
        return;
    tellKeeperOfMembers();
    m_listener.onLiveNodes();
}

void FleetShell::carryOutKeeper()
{
    for (const ConfigTrackerAction &action : m_keeper.takeActions()) {
        wire::PeerMessage message;
        if (const auto *watch = std::get_if<WatchHead>(&action)) {
            asio::co_spawn(m_io, watchHead(*watch), asio::detached);
        } else if (const auto *fetch = std::get_if<FetchEntry>(&action)) {
            asio::co_spawn(m_io, fetchEntry(*fetch), asio::detached);
        } else if (const auto *pull = std::get_if<SendPullRequest>(&action)) {
            toWire(pull->message, *message.mutable_pull_request());
            sendTo(pull->to, message);
        } else if (const auto *reply = std::get_if<SendPullReply>(&action)) {
            toWire(reply->message, *message.mutable_pull_reply());
            sendTo(reply->to, message);
        } else if (const auto *notice = std::get_if<SendNotice>(&action)) {
            message.mutable_revision_notice()->set_from(notice->message.from);
            message.mutable_revision_notice()->set_revision(notice->message.revision);
            sendTo(notice->to, message);
        } else if (const auto *report = std::get_if<SendReport>(&action)) {
            message.mutable_revision_report()->set_from(report->message.from);
            message.mutable_revision_report()->set_revision(report->message.revision);
            sendTo(report->to, message);
        } else if (const auto *apply = std::get_if<ApplyConfig>(&action)) {
            LOG(INFO) << "configuration revision " << apply->revision << " from " << apply->source;
            m_listener.onConfiguration(*apply);
        } else if (const auto *alarm = std::get_if<ConfigAlarm>(&action)) {
            LOG(ERROR) << "configuration: " << alarm->message;
        }
    }
}

/// Waits for a head newer than the version. The first read answers for objects that are there
/// already; after it the platform holds the call until something changes.
asio::awaitable<void> FleetShell::watchHead(WatchHead action)
{
    auto head = co_await m_objects.read(ConfigHeadPath);
    const bool isNew = isOk(head) && valueOf(head).version > action.afterVersion;
    if (!isNew) {
        const auto changes = co_await m_objects.watch(ConfigHeadPath, action.afterVersion,
                                                      toMilliseconds(action.timeout));
        if (!isOk(changes)) {
            m_keeper.onWatchFailed(action.requestId, steadyNow());
            carryOut();
            co_return;
        }
        head = co_await m_objects.read(ConfigHeadPath);
    }
    const auto parsed = isOk(head) ? configHeadFromJson(valueOf(head).value) : std::nullopt;
    const bool absent = !isOk(head) && errorOf(head).code == ResultCode::PlatformNotFound;
    if (parsed && valueOf(head).version > action.afterVersion)
        m_keeper.onHead(action.requestId, *parsed, valueOf(head).version, steadyNow());
    else if (parsed || absent)
        m_keeper.onWatchIdle(action.requestId, steadyNow());
    else
        m_keeper.onWatchFailed(action.requestId, steadyNow());
    carryOut();
}

asio::awaitable<void> FleetShell::fetchEntry(FetchEntry action)
{
    const auto object = co_await m_objects.read(entryPath(action.key, action.hash));
    if (!isOk(object))
        co_return;
    m_keeper.onEntry(action.key, valueOf(object).value, steadyNow());
    carryOut();
}

} // namespace burdock
