// Bounds, deadlines and fairness of the admission queues, with a starter of fixed capacity.
#include "decide/admission.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

/// Starts requests while it has free slots.
class SlotStarter : public RequestStarter
{
public:
    int slots = 0;
    std::vector<QueuedRequest> started;

    StartResult tryStart(const QueuedRequest &request, Instant) override
    {
        if (slots <= 0)
            return StartResult::NoFreeSlot;
        slots--;
        started.push_back(request);
        return StartResult::Started;
    }
};

QueuedRequest request(std::uint64_t id, RequestClass requestClass, const std::string &customer,
                      Instant now, Duration maxQueueingTime = 30s)
{
    QueuedRequest result;
    result.routing.id = id;
    result.routing.requestClass = requestClass;
    result.routing.customer = customer;
    result.routing.key = "layout-check@3";
    result.routing.promptTokens = 500;
    result.arrived = now;
    result.deadline = now + maxQueueingTime;
    return result;
}

/// Simulates a large customer that sends ten times as many requests as can start, beside a small
/// customer that sends one for every ten starts.
/// @return share of the small customer's requests that were started
double smallCustomerShare(bool fair)
{
    AdmissionSettings settings;
    settings.fairCustomers = fair;
    settings.maxPerKey = 100;
    Admission admission(settings);
    SlotStarter starter;
    Instant now { 1h };
    std::uint64_t id = 0;
    int offered = 0;
    for (int step = 0; step < 600; ++step, now += 100ms) {
        for (int each = 0; each < 10; ++each)
            admission.offer(request(++id, RequestClass::MayWait, "large", now), now);
        if (step % 10 == 0) {
            admission.offer(request(++id, RequestClass::MayWait, "small", now), now);
            offered++;
        }
        starter.slots = 1;
        admission.startQueued(starter, now);
        admission.tick(now);
    }
    int served = 0;
    for (const QueuedRequest &each : starter.started)
        served += each.routing.customer == "small" ? 1 : 0;
    return double(served) / offered;
}

} // namespace

TEST_GROUP(Admission) {};

TEST(Admission, StartsFastRequestsFirst)
{
    Admission admission;
    SlotStarter starter;
    const Instant now { 1h };
    admission.offer(request(1, RequestClass::MayWait, "baxley", now), now);
    admission.offer(request(2, RequestClass::Fast, "baxley", now), now);
    admission.offer(request(3, RequestClass::AtMostOnce, "baxley", now), now);
    CHECK(admission.cancel(1));
    CHECK(!admission.cancel(1));
    starter.slots = 1;
    admission.startQueued(starter, now);
    LONGS_EQUAL(2, starter.started.front().routing.id); // the fast request
    LONGS_EQUAL(1, admission.queued());
}

TEST(Admission, RequestsEndExactlyOnceAndQueuesStayBounded)
{
    CHECK(rc::check("started, refused, cancelled or queued: exactly one", [] {
        AdmissionSettings settings;
        settings.maxPerKey = 5;
        settings.maxTotal = 12;
        Admission admission(settings);
        SlotStarter starter;
        Instant now { 1h };
        std::set<std::uint64_t> open;
        std::uint64_t id = 0;
        const int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            const auto kind = RequestClass(*rc::gen::inRange(0, 3));
            QueuedRequest offered =
                    request(++id, kind, std::to_string(*rc::gen::inRange(0, 3)), now,
                            std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
            offered.routing.key = std::to_string(*rc::gen::inRange(0, 2));
            const bool queued = admission.offer(offered, now);
            open.insert(id);
            const std::uint64_t cancelledId = std::uint64_t(*rc::gen::inRange(1, 40));
            if (admission.cancel(cancelledId))
                RC_ASSERT(open.erase(cancelledId) == 1);
            starter.slots = *rc::gen::inRange(0, 3);
            admission.startQueued(starter, now);
            admission.tick(now);
            for (const QueuedRequest &each : starter.started) {
                RC_ASSERT(open.erase(each.routing.id) == 1);
                RC_ASSERT(each.deadline + 300ms > now); // the last tick refused overdue requests
            }
            starter.started.clear();
            bool refusedNow = false;
            for (const Refusal &each : admission.takeRefusals()) {
                RC_ASSERT(open.erase(each.id) == 1);
                RC_ASSERT(each.notRun);
                RC_ASSERT(each.retryAfter >= 1s && each.retryAfter <= 75s);
                refusedNow = refusedNow || each.id == id;
            }
            RC_ASSERT(queued || refusedNow); // offer() either queues or refuses at once
            RC_ASSERT(admission.queued() == open.size());
            RC_ASSERT(admission.queued() <= settings.maxTotal);
        }
    }));
}

TEST(Admission, FloodingCustomerDoesNotStarveOthers)
{
    const double fair = smallCustomerShare(true);
    const double shared = smallCustomerShare(false);
    std::printf("\nsmall customer served beside a flood: %.2f with fairness, %.2f without\n", fair,
                shared);
    CHECK(fair > 0.95);
    CHECK(shared < 0.5);
}

TEST(Admission, LowerClassesDoNotStarve)
{
    Admission admission;
    SlotStarter starter;
    Instant now { 1h };
    std::uint64_t id = 0;
    for (int each = 0; each < 20; ++each)
        admission.offer(request(++id, RequestClass::MayWait, "baxley", now), now);
    for (int step = 0; step < 200; ++step, now += 10ms) {
        admission.offer(request(++id, RequestClass::Fast, "baxley", now), now);
        starter.slots = 1; // one slot for each fast request that arrives
        admission.startQueued(starter, now);
    }
    int mayWait = 0;
    for (const QueuedRequest &each : starter.started)
        mayWait += each.routing.requestClass == RequestClass::MayWait ? 1 : 0;
    CHECK(mayWait >= 20);
}

TEST(Admission, RequestThatCannotMeetItsDeadlineIsRefusedAtOnceWithRetryAfter)
{
    Admission admission;
    SlotStarter starter;
    Instant now { 1h };
    std::uint64_t id = 0;
    for (int each = 0; each < 100; ++each)
        admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 1h), now);
    for (int step = 0; step < 50; ++step, now += 100ms) { // 10 starts per second
        starter.slots = 1;
        admission.startQueued(starter, now);
        admission.tick(now);
    }
    // 50 requests are left, which takes 5 s: a request with a deadline in 2 s is refused and could
    // be retried after 3 s.
    CHECK(!admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 2s), now));
    const std::vector<Refusal> refusals = admission.takeRefusals();
    LONGS_EQUAL(1, refusals.size());
    CHECK(refusals.front().retryAfter >= 2500ms && refusals.front().retryAfter <= 4500ms);
    CHECK(admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 8s), now));
}
