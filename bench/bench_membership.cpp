// Processor time and memory of membership and configuration for one node, by fleet size.
#include "decide/addressanswer.h"
#include "decide/configtracker.h"
#include "decide/membership.h"

#include <benchmark/benchmark.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr int Zones = 8;

std::string nodeName(int number)
{
    return "vm-" + std::to_string(number);
}

/// A node that knows `count` nodes alive, its own items sent.
class WarmNode
{
public:
    explicit WarmNode(int count)
        : m_node(settings(), m_now)
    {
        std::vector<VmRecord> list;
        list.reserve(static_cast<std::size_t>(count));
        for (int number = 0; number < count; ++number)
            list.push_back({ nodeName(number), "zone-" + std::to_string(number % Zones),
                             "10.0.0.1:7000", false });
        m_node.onVmList(list, m_now);
        for (int number = 1; number < count; ++number)
            answer(nodeName(number), GossipKind::Ack, 0);
        for (int round = 0; round < 400; ++round)
            second();
    }

    /// One second of a node's life: two pings answered, two pings to answer.
    void second()
    {
        for (int part = 0; part < 5; ++part) {
            m_now += 200ms;
            m_node.tick(m_now);
            for (const MembershipAction &action : m_node.takeActions()) {
                const auto *gossip = std::get_if<SendGossip>(&action);
                if (gossip != nullptr && gossip->message.kind == GossipKind::Ping)
                    answer(gossip->to, GossipKind::Ack, gossip->message.number);
            }
        }
        answer("vm-1", GossipKind::Ping, 1);
        answer("vm-2", GossipKind::Ping, 1);
        m_node.takeActions();
    }

private:
    static MembershipSettings settings()
    {
        MembershipSettings result;
        result.self = nodeName(0);
        result.zone = "zone-0";
        result.address = "10.0.0.1:7000";
        return result;
    }

    void answer(const std::string &from, GossipKind kind, std::uint64_t number)
    {
        GossipMessage message;
        message.kind = kind;
        message.from = from;
        message.incarnation = 1;
        message.number = number;
        m_node.onGossip(message, m_now);
    }

    Instant m_now { 1000s };
    Membership m_node;
};

} // namespace

static void membershipSecond(benchmark::State &state)
{
    WarmNode node(static_cast<int>(state.range(0)));
    for (auto _ : state)
        node.second();
}
BENCHMARK(membershipSecond)->Arg(8)->Arg(48)->Arg(380)->Arg(1520);

static void applyConfigDelta(benchmark::State &state)
{
    ConfigSnapshot snapshot;
    snapshot.head.revision = 100;
    for (int number = 0; number < state.range(0); ++number) {
        const std::string key = serviceKey(std::to_string(number));
        snapshot.texts[key] = std::string(2000, 'a');
        snapshot.head.entries[key] = contentHash(snapshot.texts[key]);
    }
    ConfigSnapshot next = snapshot;
    next.head.revision = 101;
    next.texts[serviceKey("1")] = std::string(2000, 'b');
    next.head.entries[serviceKey("1")] = contentHash(next.texts[serviceKey("1")]);
    appendRecord(next.head, { 101, "p", "ann", { serviceKey("1") } });
    for (auto _ : state) {
        const ConfigDelta delta = makeDelta(next, 100);
        benchmark::DoNotOptimize(applyDelta(snapshot, delta));
    }
}
BENCHMARK(applyConfigDelta)->Arg(8)->Arg(50)->Arg(350);

static void rebuildAddressDirectory(benchmark::State &state)
{
    const int count = static_cast<int>(state.range(0));
    std::vector<EntryNode> nodes;
    nodes.reserve(static_cast<std::size_t>(count));
    for (int number = 0; number < count; ++number)
        nodes.push_back({ nodeName(number), "zone-" + std::to_string(number % Zones), "10.0.0.1" });
    std::vector<ModelShare> demand;
    demand.reserve(350);
    for (int number = 0; number < 350; ++number)
        demand.push_back({ "model-" + std::to_string(number), 1.0 / 350 });
    AddressDirectory directory({}, 1);
    for (auto _ : state)
        directory.rebuild(nodes, demand);
}
BENCHMARK(rebuildAddressDirectory)->Arg(8)->Arg(380)->Unit(benchmark::kMillisecond);

static void answerCaller(benchmark::State &state)
{
    std::vector<EntryNode> nodes;
    nodes.reserve(380);
    for (int number = 0; number < 380; ++number)
        nodes.push_back({ nodeName(number), "zone-" + std::to_string(number % Zones), "10.0.0.1" });
    AddressDirectory directory({}, 1);
    directory.rebuild(nodes, { { "base", 0.01 } });
    for (auto _ : state)
        benchmark::DoNotOptimize(directory.answer({ "s", "base", "zone-3" }));
}
BENCHMARK(answerCaller);

BENCHMARK_MAIN();
