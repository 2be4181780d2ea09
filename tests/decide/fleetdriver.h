// Runs many Membership and ConfigKeeper objects in one process on virtual time, with a message
// queue and a small fake of the Object API. Faults come in through one function.
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

/// What becomes of one message, or of one call to the Object API and its answer.
struct Fate
{
    int copies = 1;          // 0: lost
    Duration delay {};       // beyond the usual
    bool refused = false;    // calls: not carried out, and said so
    bool answerLost = false; // calls: carried out, the answer is lost
};

struct FleetNode
{
    std::string name, zone;
    std::unique_ptr<Membership> membership;
    std::unique_ptr<ConfigTracker> keeper;
    bool up = true;
    bool frozen = false;
    std::uint64_t life = 1;
    Instant membersAt {};                     // the keeper is next told who runs
    std::uint64_t bytes = 0;                  // sent and received
    std::vector<std::function<void()>> inbox; // arrived while frozen
    std::vector<std::pair<Instant, MemberChanged>> changes;
    std::vector<FleetNote> notes;
};

class Fleet
{
public:
    using FaultFunction =
            std::function<Fate(const char *step, const std::string &from, const std::string &to)>;

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
        ConfigTrackerSettings keeperSettings = keeperDefaults;
        keeperSettings.self = node.name;
        keeperSettings.seed = ++seed;
        node.keeper = std::make_unique<ConfigTracker>(keeperSettings, now);
        const std::uint64_t life = node.life + 1;
        if (listDelay == Duration::zero())
            node.membership->onVmList(vmList, now);
        else
            after(listDelay, [&node, life, this] {
                if (node.life == life)
                    node.membership->onVmList(vmList, now);
            });
        node.membersAt = now;
        node.up = true;
        node.frozen = false;
        ++node.life;
    }

    void kill(FleetNode &node) { node.up = false; }
    void freeze(FleetNode &node) { node.frozen = true; }
    void resume(FleetNode &node)
    {
        node.frozen = false;
        if (node.up) // the clock has gone on; the first thing that runs is a timer
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
                if (node.up && !node.frozen)
                    tickNode(node);
            }
        }
    }

    // ---- Object API ----

    WriteOutcome writeHead(std::uint64_t expected, const ConfigHead &head)
    {
        if (expected != headVersion && !blindPut)
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
    Duration listDelay {}; // a node that starts gets the VM list this late
    Duration tickInterval = std::chrono::milliseconds(200);
    MembershipSettings membershipDefaults;
    ConfigTrackerSettings keeperDefaults;
    ConfigHead storedHead;
    std::uint64_t headVersion = 0;
    std::map<std::string, std::string> entries; // path -> text
    bool blindPut = false;                      // ablation: ignores the expected version
    FaultFunction fault = [](const char *, const std::string &, const std::string &) {
        return Fate {};
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
        node.membership->setRevisions(node.keeper->revision(), 0);
        node.membership->tick(now);
        if (now >= node.membersAt)
            passMembers(node);
        node.keeper->tick(now);
        carryOut(node);
    }

    void passMembers(FleetNode &node)
    {
        node.membersAt = now + std::chrono::seconds(1);
        std::vector<std::string> peers;
        for (const auto &[name, row] : node.membership->members()) {
            if (row.state == MemberState::Alive)
                peers.push_back(name);
        }
        node.keeper->onMembers(node.membership->runningInZone(node.zone), peers, now);
    }

    /// Delivers to the same life of the node; a frozen one gets it when it resumes.
    void deliver(const std::string &to, std::uint64_t life,
                 const std::function<void(FleetNode &)> &f)
    {
        FleetNode &node = nodes.at(to);
        if (!node.up || (life != 0 && life != node.life))
            return;
        if (node.frozen) {
            node.inbox.emplace_back([this, to, f, life] { deliver(to, life, f); });
            return;
        }
        f(node);
        carryOut(node);
    }

    void post(const char *step, FleetNode &from, const std::string &to, std::size_t bytes,
              const std::function<void(FleetNode &)> &f)
    {
        from.bytes += bytes + TransportBytes;
        const Fate fate = fault(step, from.name, to);
        for (int copy = 0; copy < fate.copies; ++copy) {
            after(std::chrono::milliseconds(2 + copy) + fate.delay, [=, this] {
                if (nodes.at(to).up)
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
            else if (auto *note = std::get_if<NoteArrived>(&action))
                node.notes.push_back(note->note);
        }
        for (const ConfigTrackerAction &action : node.keeper->takeActions())
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
            to.keeper->onPeerRevision(message->from, message->configRevision, now);
        });
    }

    void carry(FleetNode &node, const WatchHead &action)
    {
        const Fate fate = fault("watch", node.name, "store");
        if (fate.answerLost || fate.copies == 0)
            return;
        const std::string name = node.name;
        const std::uint64_t life = node.life;
        after(StoreDelay + fate.delay, [=, this] {
            const Watch watch { action.requestId, life };
            if (fate.refused)
                deliver(name, life, [=, this](FleetNode &to) {
                    to.keeper->onWatchFailed(action.requestId, now);
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
            deliver(name, life,
                    [=, this](FleetNode &to) { to.keeper->onWatchIdle(action.requestId, now); });
        });
    }

    struct Watch
    {
        std::uint64_t requestId = 0;
        std::uint64_t life = 0;
    };

    void answerWatch(const std::string &name, const Watch &watch)
    {
        const Fate fate = fault("watch answer", "store", name);
        if (fate.answerLost || fate.refused || fate.copies == 0)
            return;
        const ConfigHead head = storedHead;
        const std::uint64_t version = headVersion;
        for (int copy = 0; copy < fate.copies; ++copy)
            after(StoreDelay + fate.delay, [=, this] {
                deliver(name, watch.life, [=, this](FleetNode &to) {
                    to.keeper->onHead(watch.requestId, head, version, now);
                });
            });
    }

    void carry(FleetNode &node, const FetchEntry &action)
    {
        const Fate fate = fault("entry fetch", node.name, "store");
        if (fate.answerLost || fate.refused || fate.copies == 0)
            return;
        const std::string name = node.name;
        const std::uint64_t life = node.life;
        after(2 * StoreDelay + fate.delay, [=, this] {
            const std::string text = entries[entryPath(action.key, action.hash)];
            deliver(name, life,
                    [=, this](FleetNode &to) { to.keeper->onEntry(action.key, text, now); });
        });
    }

    void carry(FleetNode &node, const SendPullRequest &action)
    {
        post("pull request", node, action.to, 40,
             [=, this](FleetNode &to) { to.keeper->onPullRequest(action.message, now); });
    }

    void carry(FleetNode &node, const SendPullReply &action)
    {
        std::size_t bytes = 100;
        for (const auto &[key, text] : action.message.delta.texts)
            bytes += key.size() + text.size() + 6;
        for (const PublishRecord &record : action.message.delta.records)
            bytes += 40 + 20 * record.touched.size();
        post("pull reply", node, action.to, bytes,
             [=, this](FleetNode &to) { to.keeper->onPullReply(action.message, now); });
    }

    void carry(FleetNode &node, const SendNotice &action)
    {
        post("notice", node, action.to, 16,
             [=, this](FleetNode &to) { to.keeper->onNotice(action.message, now); });
    }

    void carry(FleetNode &node, const SendReport &action)
    {
        post("report", node, action.to, 16,
             [=, this](FleetNode &to) { to.keeper->onReport(action.message, now); });
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
