// The Dispatcher from the arrival of a request to its final response: retries, refusals, probes.
#include "decide/dispatcher.h"
#include "decide/routingbaselines.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

const std::string Key = servingKey("layout-check", "3");

UpstreamInfo engine(const std::string &name, int slots)
{
    UpstreamInfo info;
    info.name = name;
    info.address = "127.0.0.1:9000";
    info.group = "atelier-llm";
    info.zone = "a";
    info.incarnation = 1;
    info.resident = { { "layout-check", "3", {} } };
    info.slots = slots;
    return info;
}

QueuedRequest request(std::uint64_t id, RequestClass requestClass, const std::string &customer,
                      Instant now, Duration maxQueueingTime = 10s)
{
    QueuedRequest result;
    result.routing.id = id;
    result.routing.requestClass = requestClass;
    result.routing.customer = customer;
    result.routing.key = Key;
    result.routing.promptTokens = 500;
    result.arrived = now;
    result.deadline = now + maxQueueingTime;
    return result;
}

/// The tables, the router and the dispatcher of one entry node.
struct Node
{
    UpstreamTable table;
    PrefixIndex prefixes;
    CostRouter router { table, prefixes, RouterSettings(), 1 };
    Dispatcher dispatcher;
    Instant now { 1h };

    explicit Node(int engines = 2, int slots = 2, const DispatcherSettings &settings = {})
        : dispatcher(table, prefixes, router, settings)
    {
        for (int number = 0; number < engines; ++number)
            table.onAnnounced(engine("engine-" + std::to_string(number), slots), now);
    }

    template <typename Action>
    std::vector<Action> takeActionsOf()
    {
        std::vector<Action> actions;
        for (const DispatchAction &action : dispatcher.takeActions()) {
            if (const auto *match = std::get_if<Action>(&action))
                actions.push_back(*match);
        }
        return actions;
    }

    /// Passes a request to the dispatcher and checks that it is sent at once.
    SendRequest requestAndSend(const QueuedRequest &queued)
    {
        dispatcher.onRequest(queued, now);
        const std::vector<SendRequest> sent = takeActionsOf<SendRequest>();
        LONGS_EQUAL(1, sent.size());
        return sent.front();
    }
};

} // namespace

TEST_GROUP(Dispatcher) {};

TEST(Dispatcher, FailedConnectIsRetriedAtAnotherUpstream)
{
    Node node(2, 2);
    const SendRequest first =
            node.requestAndSend(request(1, RequestClass::Fast, "baxley", node.now));
    CHECK_EQUAL(1, first.attempt);
    CHECK(first.reason.find("reason=least_expected_delay") != std::string::npos);

    node.dispatcher.onConnectFailed(1, 1, node.now); // no byte was sent
    const std::vector<SendRequest> second = node.takeActionsOf<SendRequest>();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().choice.upstream != first.choice.upstream);
    CHECK(node.table.find(first.choice.upstream)->state == UpstreamState::Unreachable);

    node.dispatcher.onFinished(1, 1, node.now); // event of the first attempt: ignored
    LONGS_EQUAL(1, node.dispatcher.active().size());
    node.dispatcher.onFirstByte(1, 2, node.now);
    node.dispatcher.onFinished(1, 2, node.now);
    LONGS_EQUAL(0, node.dispatcher.active().size());
    LONGS_EQUAL(0, node.table.find(second.front().choice.upstream)->ownInFlight);
}

TEST(Dispatcher, AtMostOnceRequestsAreSentOnce)
{
    Node node;
    node.requestAndSend(request(1, RequestClass::AtMostOnce, "baxley", node.now));
    node.dispatcher.onUpstreamFailed(1, 1, true, node.now);
    const std::vector<FailRequest> failures = node.takeActionsOf<FailRequest>();
    LONGS_EQUAL(1, failures.size());
    CHECK(failures.front().refusal.code == ResultCode::OutcomeUnknown);
    CHECK(!failures.front().refusal.notRun);

    node.requestAndSend(request(2, RequestClass::AtMostOnce, "baxley", node.now));
    node.dispatcher.onConnectFailed(2, 1, node.now);
    const std::vector<FailRequest> refused = node.takeActionsOf<FailRequest>();
    CHECK(refused.front().refusal.notRun);
    CHECK(refused.front().refusal.code == ResultCode::RefusedNoUpstream);
}

TEST(Dispatcher, WithoutUpstreamFastRequestsAreRefusedAndMayWaitRequestsQueued)
{
    Node node(0);
    node.dispatcher.onRequest(request(1, RequestClass::Fast, "baxley", node.now), node.now);
    LONGS_EQUAL(1, node.takeActionsOf<FailRequest>().size());
    node.dispatcher.onRequest(request(2, RequestClass::MayWait, "baxley", node.now), node.now);
    LONGS_EQUAL(0, node.takeActionsOf<FailRequest>().size());
    node.table.onAnnounced(engine("engine-9", 2), node.now);
    node.dispatcher.tick(node.now + 1s);
    LONGS_EQUAL(1, node.takeActionsOf<SendRequest>().size());
}

TEST(Dispatcher, QueuedRequestIsRefusedAtItsDeadline)
{
    Node node(1, 1);
    node.requestAndSend(request(1, RequestClass::Fast, "baxley", node.now));
    node.dispatcher.onRequest(request(2, RequestClass::Fast, "baxley", node.now, 200ms), node.now);
    node.dispatcher.tick(node.now + 199ms);
    LONGS_EQUAL(0, node.takeActionsOf<FailRequest>().size());
    node.dispatcher.tick(node.now + 200ms);
    const std::vector<FailRequest> failures = node.takeActionsOf<FailRequest>();
    LONGS_EQUAL(1, failures.size());
    CHECK(failures.front().refusal.notRun);
    CHECK(failures.front().refusal.retryAfter >= 1s);
}

TEST(Dispatcher, RetriesStayWithinTheBudget)
{
    CHECK(rc::check("retries <= share of successes + initial", [] {
        DispatcherSettings settings;
        settings.retries.initialTokens = 2.0;
        Node node(4, 50, settings);
        const int requests = *rc::gen::inRange(1, 200);
        const int failPercent = *rc::gen::inRange(0, 101);
        int sends = 0;
        int successes = 0;
        for (int id = 1; id <= requests; ++id) {
            node.dispatcher.onRequest(request(std::uint64_t(id), RequestClass::Fast, "c", node.now),
                                      node.now);
            std::vector<SendRequest> sent = node.takeActionsOf<SendRequest>();
            while (!sent.empty()) {
                sends++;
                const SendRequest last = sent.back();
                const bool fails = *rc::gen::inRange(0, 100) < failPercent;
                if (fails) {
                    node.dispatcher.onUpstreamFailed(last.id, last.attempt, true, node.now);
                } else {
                    node.dispatcher.onFinished(last.id, last.attempt, node.now);
                    successes++;
                }
                sent = node.takeActionsOf<SendRequest>();
            }
        }
        RC_ASSERT(sends - requests <= 2 + successes / 10);
        RC_ASSERT(node.dispatcher.active().empty());
    }));
}

TEST(Dispatcher, FailedProbeDoublesTheProbeDelay)
{
    Node node(1);
    const Instant start = node.now;
    node.requestAndSend(request(1, RequestClass::Fast, "baxley", node.now));
    node.dispatcher.onConnectFailed(1, 1, node.now);
    LONGS_EQUAL(1, node.takeActionsOf<FailRequest>().size()); // refused: there is no other upstream
    node.now = start + 250ms;
    CHECK(node.requestAndSend(request(2, RequestClass::Fast, "baxley", node.now)).choice.probe);
    node.dispatcher.onConnectFailed(2, 1, node.now);
    node.takeActionsOf<FailRequest>();
    node.now = start + 250ms + 499ms;
    node.dispatcher.onRequest(request(3, RequestClass::Fast, "baxley", node.now), node.now);
    LONGS_EQUAL(0, node.takeActionsOf<SendRequest>().size());
    node.now = start + 250ms + 500ms;
    node.requestAndSend(request(4, RequestClass::Fast, "baxley", node.now));
}
