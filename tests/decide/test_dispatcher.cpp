// The path of a request from arrival to its final answer, and what must hold on it.
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
                      Instant now, Duration patience = 10s)
{
    QueuedRequest made;
    made.routing.id = id;
    made.routing.requestClass = requestClass;
    made.routing.customer = customer;
    made.routing.key = Key;
    made.routing.promptTokens = 500;
    made.arrived = now;
    made.deadline = now + patience;
    return made;
}

/// One node's tables and systems.
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
    std::vector<Action> take()
    {
        std::vector<Action> taken;
        for (const DispatchAction &action : dispatcher.takeActions()) {
            if (const auto *one = std::get_if<Action>(&action))
                taken.push_back(*one);
        }
        return taken;
    }

    SendRequest sendOne(const QueuedRequest &one)
    {
        dispatcher.onRequest(one, now);
        const std::vector<SendRequest> sent = take<SendRequest>();
        LONGS_EQUAL(1, sent.size());
        return sent.front();
    }
};

} // namespace

TEST_GROUP(Dispatcher) {};

TEST(Dispatcher, WorkedExample)
{
    Node node(2, 2);
    const SendRequest first = node.sendOne(request(1, RequestClass::Fast, "baxley", node.now));
    CHECK_EQUAL(1, first.attempt);
    CHECK(first.reason.find("reason=least_expected_delay") != std::string::npos);

    node.dispatcher.onConnectFailed(1, 1, node.now); // nothing was sent: another upstream is tried
    const std::vector<SendRequest> second = node.take<SendRequest>();
    LONGS_EQUAL(1, second.size());
    CHECK(second.front().choice.upstream != first.choice.upstream);
    CHECK(node.table.find(first.choice.upstream)->state == UpstreamState::Unreachable);

    node.dispatcher.onFinished(1, 1, node.now); // late word of the first attempt: dropped
    LONGS_EQUAL(1, node.dispatcher.active().size());
    node.dispatcher.onFirstByte(1, 2, node.now);
    node.dispatcher.onFinished(1, 2, node.now);
    LONGS_EQUAL(0, node.dispatcher.active().size());
    LONGS_EQUAL(0, node.table.find(second.front().choice.upstream)->ownInFlight);
}

TEST(Dispatcher, OrdersAreSentOnce)
{
    Node node;
    node.sendOne(request(1, RequestClass::AtMostOnce, "baxley", node.now));
    node.dispatcher.onUpstreamFailed(1, 1, true, node.now);
    const std::vector<GiveAnswer> answers = node.take<GiveAnswer>();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().refusal.code == ResultCode::OutcomeUnknown);
    CHECK(!answers.front().refusal.notRun);

    node.sendOne(request(2, RequestClass::AtMostOnce, "baxley", node.now));
    node.dispatcher.onConnectFailed(2, 1, node.now);
    const std::vector<GiveAnswer> refused = node.take<GiveAnswer>();
    CHECK(refused.front().refusal.notRun);
    CHECK(refused.front().refusal.code == ResultCode::RefusedNoUpstream);
}

TEST(Dispatcher, NoUpstreamIsRefusedAtOnceAndWaitableWorkWaits)
{
    Node node(0);
    node.dispatcher.onRequest(request(1, RequestClass::Fast, "baxley", node.now), node.now);
    LONGS_EQUAL(1, node.take<GiveAnswer>().size());
    node.dispatcher.onRequest(request(2, RequestClass::MayWait, "baxley", node.now), node.now);
    LONGS_EQUAL(0, node.take<GiveAnswer>().size());
    node.table.onAnnounced(engine("engine-9", 2), node.now);
    node.dispatcher.tick(node.now + 1s);
    LONGS_EQUAL(1, node.take<SendRequest>().size());
}

TEST(Dispatcher, DeadlineEndsAWaitWithAFinalAnswer)
{
    Node node(1, 1);
    node.sendOne(request(1, RequestClass::Fast, "baxley", node.now));
    node.dispatcher.onRequest(request(2, RequestClass::Fast, "baxley", node.now, 200ms), node.now);
    node.dispatcher.tick(node.now + 199ms);
    LONGS_EQUAL(0, node.take<GiveAnswer>().size());
    node.dispatcher.tick(node.now + 200ms);
    const std::vector<GiveAnswer> answers = node.take<GiveAnswer>();
    LONGS_EQUAL(1, answers.size());
    CHECK(answers.front().refusal.notRun);
    CHECK(answers.front().refusal.retryAfter >= 1s);
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
            std::vector<SendRequest> sent = node.take<SendRequest>();
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
                sent = node.take<SendRequest>();
            }
        }
        RC_ASSERT(sends - requests <= 2 + successes / 10);
        RC_ASSERT(node.dispatcher.active().empty());
    }));
}

TEST(Dispatcher, AFailedProbeDoublesTheWait)
{
    Node node(1);
    const Instant start = node.now;
    node.sendOne(request(1, RequestClass::Fast, "baxley", node.now));
    node.dispatcher.onConnectFailed(1, 1, node.now);
    LONGS_EQUAL(1, node.take<GiveAnswer>().size()); // there is no other upstream
    node.now = start + 250ms;
    CHECK(node.sendOne(request(2, RequestClass::Fast, "baxley", node.now)).choice.probe);
    node.dispatcher.onConnectFailed(2, 1, node.now);
    node.take<GiveAnswer>();
    node.now = start + 250ms + 499ms;
    node.dispatcher.onRequest(request(3, RequestClass::Fast, "baxley", node.now), node.now);
    LONGS_EQUAL(0, node.take<SendRequest>().size());
    node.now = start + 250ms + 500ms;
    node.sendOne(request(4, RequestClass::Fast, "baxley", node.now));
}
