// Runs many Membership and ConfigTracker objects in one process on virtual time, with a message
// queue and a small fake of the Object API. Tests inject faults through Fleet::fault.
#pragma once

#include "decide/configtracker.h"
#include "decide/membership.h"
#include "decide/publisher.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdock::testing {

constexpr std::size_t TransportBytes = 60; // IP, TCP and framing of one message

/// The result of sending a message, or of a call to the Object API and its response.
struct Delivery
{
    int copies = 1;            // times that it arrives; 0: lost
    Duration delay {};         // in addition to the usual latency
    bool isRefused = false;    // calls: not executed, and the response says so
    bool isAnswerLost = false; // calls: executed, but the response is lost
};

struct FleetNode
{
    std::string name, zone;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigTracker> tracker;
    bool isRunning = true;
    bool isSuspended = false;
    std::uint64_t processIncarnation = 1;
    Instant nextMembersAt {};                 // when the tracker is next notified of the members
    std::uint64_t bytes = 0;                  // bytes sent and received
    std::vector<std::function<void()>> inbox; // messages that arrived while suspended
    std::vector<std::pair<Instant, MemberChanged>> changes;
    std::vector<GossipRecord> records;
};

class Fleet
{
public:
    using FaultFunction = std::function<Delivery(const char *step, const std::string &from,
                                                 const std::string &to)>;

    Fleet(int nodeCount, int zoneCount, std::uint64_t seedBase)
        : seed(seedBase)
    {
        for (int number = 0; number < nodeCount; ++number) {
            const std::string zone = "zone-" + std::to_string(number % zoneCount);
            const std::string name = "vm-" + std::to_string(number);
            vmList.push_back({ name, zone, "10.0.0." + std::to_string(number) + ":7000", false });
            nodes[name].name = name;
            nodes[name].zone = zone;
        }
        for (auto &[name, node] : nodes)
            start(node);
    }

    void start(FleetNode &node)
    {
        MembershipSettings settings = membershipDefaults;
        settings.self = node.name;
        settings.zone = node.zone;
        settings.address = node.name + ":7000";
        settings.seed = ++seed;
        node.membership = std::make_unique<Membership>(settings, now);
        ConfigTrackerSettings trackerSettings = trackerDefaults;
        trackerSettings.self = node.name;
        trackerSettings.seed = ++seed;
        node.tracker = std::make_unique<ConfigTracker>(trackerSettings, now);
        const std::uint64_t processIncarnation = node.processIncarnation + 1;
        if (vmListDelay == Duration::zero())
            node.membership->onVmList(vmList, now);
        else
            after(vmListDelay, [&node, processIncarnation, this] {
                if (node.processIncarnation == processIncarnation)
                    node.membership->onVmList(vmList, now);
            });
        node.nextMembersAt = now;
        node.isRunning = true;
        node.isSuspended = false;
        ++node.processIncarnation;
    }

    void kill(FleetNode &node) { node.isRunning = false; }
    void suspend(FleetNode &node) { node.isSuspended = true; }
    void resume(FleetNode &node)
    {
        node.isSuspended = false;
        if (node.isRunning) // the clock has advanced meanwhile, so a timer runs first
            tickNode(node);
        for (const auto &each : std::exchange(node.inbox, {}))
            each();
    }

    void at(Instant when, std::function<void()> event) { m_queue.emplace(when, std::move(event)); }
    void after(Duration delay, std::function<void()> event) { at(now + delay, std::move(event)); }

    void runUntil(Instant end)
    {
        while (now < end) {
            const Instant next = now + tickInterval;
            while (!m_queue.empty() && m_queue.begin()->first <= next) {
                now = std::max(now, m_queue.begin()->first);
                const auto event = std::move(m_queue.begin()->second);
                m_queue.erase(m_queue.begin());
                event();
            }
            now = next;
            for (auto &[name, node] : nodes) {
                if (node.isRunning && !node.isSuspended)
                    tickNode(node);
            }
        }
    }

    // ---- Object API ----

    WriteOutcome writeHead(std::uint64_t expected, const ConfigHead &head)
    {
        if (expected != headVersion && !ignoresExpectedVersion)
            return WriteOutcome::Conflict;
        storedHead = head;
        ++headVersion;
        onStored(head);
        for (auto &[node, watch] : std::exchange(m_watches, {}))
            answerWatch(node, watch);
        return WriteOutcome::Done;
    }

    std::map<std::string, FleetNode> nodes;
    std::vector<VmRecord> vmList;
    Instant now { std::chrono::seconds(1000) };
    std::uint64_t seed;
    Duration vmListDelay {}; // from the start of a node until it receives the VM list
    Duration tickInterval = std::chrono::milliseconds(200);
    MembershipSettings membershipDefaults;
    ConfigTrackerSettings trackerDefaults;
    ConfigHead storedHead;
    std::uint64_t headVersion = 0;
    std::map<std::string, std::string> entries; // path -> text
    bool ignoresExpectedVersion = false;        // ablation: ignores the expected version
    FaultFunction fault = [](const char *, const std::string &, const std::string &) {
        return Delivery {};
    };
    std::function<void(const FleetNode &, const ApplyConfig &)> onApplied =
            [](const FleetNode &, const ApplyConfig &) {
            };
    std::function<void(const ConfigHead &)> onStored = [](const ConfigHead &) {
    };

private:
    static constexpr Duration StoreDelay = std::chrono::milliseconds(3);

    void tickNode(FleetNode &node)
    {
        node.membership->setRevisions(node.tracker->revision(), 0);
        node.membership->tick(now);
        if (now >= node.nextMembersAt)
            passMembersToTracker(node);
        node.tracker->tick(now);
        carryOut(node);
    }

    void passMembersToTracker(FleetNode &node)
    {
        node.nextMembersAt = now + std::chrono::seconds(1);
        std::vector<std::string> peers;
        for (const auto &[name, row] : node.membership->members()) {
            if (row.state == MemberState::Alive)
                peers.push_back(name);
        }
        node.tracker->onMembers(node.membership->runningInZone(node.zone), peers, now);
    }

    /// Delivers to the node unless it was restarted; processIncarnation 0 accepts any process. A
    /// suspended node receives it when it resumes.
    void deliver(const std::string &to, std::uint64_t processIncarnation,
                 const std::function<void(FleetNode &)> &f)
    {
        FleetNode &node = nodes.at(to);
        if (!node.isRunning
            || (processIncarnation != 0 && processIncarnation != node.processIncarnation))
            return;
        if (node.isSuspended) {
            node.inbox.emplace_back(
                    [this, to, f, processIncarnation] { deliver(to, processIncarnation, f); });
            return;
        }
        f(node);
        carryOut(node);
    }

    void post(const char *step, FleetNode &from, const std::string &to, std::size_t bytes,
              const std::function<void(FleetNode &)> &f)
    {
        from.bytes += bytes + TransportBytes;
        const Delivery delivery = fault(step, from.name, to);
        for (int copy = 0; copy < delivery.copies; ++copy) {
            after(std::chrono::milliseconds(2 + copy) + delivery.delay, [=, this] {
                if (nodes.at(to).isRunning)
                    nodes.at(to).bytes += bytes + TransportBytes;
                deliver(to, 0, f);
            });
        }
    }

    void carryOut(FleetNode &node)
    {
        for (MembershipAction &action : node.membership->takeActions()) {
            if (auto *gossip = std::get_if<SendGossip>(&action))
                sendGossip(node, *gossip);
            else if (auto *change = std::get_if<MemberChanged>(&action))
                node.changes.emplace_back(now, *change);
            else if (auto *record = std::get_if<RecordReceived>(&action))
                node.records.push_back(record->record);
        }
        for (const ConfigTrackerAction &action : node.tracker->takeActions())
            std::visit([&](const auto &each) { carry(node, each); }, action);
    }

    void sendGossip(FleetNode &node, SendGossip &gossip)
    {
        const auto message = std::make_shared<const GossipMessage>(std::move(gossip.message));
        const char *step = message->kind == GossipKind::Ping ? "ping"
                : message->kind == GossipKind::Ack           ? "ack"
                                                             : "ping request";
        post(step, node, gossip.to, encodedSize(*message), [this, message](FleetNode &to) {
            to.membership->onGossip(*message, now);
            to.tracker->onPeerRevision(message->from, message->configRevision, now);
        });
    }

    void carry(FleetNode &node, const WatchHead &action)
    {
        const Delivery delivery = fault("watch", node.name, "store");
        if (delivery.isAnswerLost || delivery.copies == 0)
            return;
        const std::string name = node.name;
        const std::uint64_t processIncarnation = node.processIncarnation;
        after(StoreDelay + delivery.delay, [=, this] {
            const Watch watch { action.requestId, processIncarnation };
            if (delivery.isRefused)
                deliver(name, processIncarnation, [=, this](FleetNode &to) {
                    to.tracker->onWatchFailed(action.requestId, now);
                });
            else if (action.afterVersion != headVersion)
                answerWatch(name, watch);
            else
                m_watches.emplace(name, watch);
        });
        after(action.timeout, [=, this] {
            std::erase_if(m_watches, [&](const auto &each) {
                return each.first == name && each.second.requestId == action.requestId;
            });
            deliver(name, processIncarnation,
                    [=, this](FleetNode &to) { to.tracker->onWatchIdle(action.requestId, now); });
        });
    }

    struct Watch
    {
        std::uint64_t requestId = 0;
        std::uint64_t processIncarnation = 0;
    };

    void answerWatch(const std::string &name, const Watch &watch)
    {
        const Delivery delivery = fault("watch answer", "store", name);
        if (delivery.isAnswerLost || delivery.isRefused || delivery.copies == 0)
            return;
        const ConfigHead head = storedHead;
        const std::uint64_t version = headVersion;
        for (int copy = 0; copy < delivery.copies; ++copy)
            after(StoreDelay + delivery.delay, [=, this] {
                deliver(name, watch.processIncarnation, [=, this](FleetNode &to) {
                    to.tracker->onHead(watch.requestId, head, version, now);
                });
            });
    }

    void carry(FleetNode &node, const FetchEntry &action)
    {
        const Delivery delivery = fault("entry fetch", node.name, "store");
        if (delivery.isAnswerLost || delivery.isRefused || delivery.copies == 0)
            return;
        const std::string name = node.name;
        const std::uint64_t processIncarnation = node.processIncarnation;
        after(2 * StoreDelay + delivery.delay, [=, this] {
            const std::string text = entries[entryPath(action.key, action.hash)];
            deliver(name, processIncarnation,
                    [=, this](FleetNode &to) { to.tracker->onEntry(action.key, text, now); });
        });
    }

    void carry(FleetNode &node, const SendPullRequest &action)
    {
        post("pull request", node, action.to, 40,
             [=, this](FleetNode &to) { to.tracker->onPullRequest(action.message, now); });
    }

    void carry(FleetNode &node, const SendPullReply &action)
    {
        std::size_t bytes = 100;
        for (const auto &[key, text] : action.message.delta.texts)
            bytes += key.size() + text.size() + 6;
        for (const PublishRecord &record : action.message.delta.records)
            bytes += 40 + 20 * record.touched.size();
        post("pull reply", node, action.to, bytes,
             [=, this](FleetNode &to) { to.tracker->onPullReply(action.message, now); });
    }

    void carry(FleetNode &node, const SendNotice &action)
    {
        post("notice", node, action.to, 16,
             [=, this](FleetNode &to) { to.tracker->onNotice(action.message, now); });
    }

    void carry(FleetNode &node, const SendReport &action)
    {
        post("report", node, action.to, 16,
             [=, this](FleetNode &to) { to.tracker->onReport(action.message, now); });
    }

    void carry(FleetNode &node, const ApplyConfig &action) { onApplied(node, action); }
    void carry(FleetNode &, const StopWatch &) { }
    void carry(FleetNode &, const ConfigAlarm &) { ++alarms; }

    std::multimap<Instant, std::function<void()>> m_queue;
    std::multimap<std::string, Watch> m_watches;

public:
    std::uint64_t alarms = 0;
};

} // namespace burdock::testing
