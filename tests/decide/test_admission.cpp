// Bounds, deadlines and fairness of the queues, against a target with a fixed number of slots.
#include "decide/admission.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <cstdio>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

/// Starts a request while it has slots.
class SlotTarget : public StartTarget
{
public:
    int slots = 0;
    std::vector<QueuedRequest> started;

    StartResult tryStart(const QueuedRequest &request, Instant) override
    {
        if (slots <= 0)
            return StartResult::NoRoom;
        slots--;
        started.push_back(request);
        return StartResult::Started;
    }
};

QueuedRequest request(std::uint64_t id, RequestClass requestClass, const std::string &customer,
                      Instant now, Duration patience = 30s)
{
    QueuedRequest made;
    made.routing.id = id;
    made.routing.requestClass = requestClass;
    made.routing.customer = customer;
    made.routing.key = "layout-check@3";
    made.routing.promptTokens = 500;
    made.arrived = now;
    made.deadline = now + patience;
    return made;
}

/// A large customer sends ten times what there is room for, a small one a little.
/// @return share of the small customer's requests that were started
double smallCustomerServed(bool fair)
{
    AdmissionSettings settings;
    settings.fairCustomers = fair;
    settings.maxPerKey = 100;
    Admission admission(settings);
    SlotTarget target;
    Instant now { 1h };
    std::uint64_t id = 0;
    int asked = 0;
    for (int step = 0; step < 600; ++step, now += 100ms) {
        for (int each = 0; each < 10; ++each)
            admission.offer(request(++id, RequestClass::MayWait, "large", now), now);
        if (step % 10 == 0) {
            admission.offer(request(++id, RequestClass::MayWait, "small", now), now);
            asked++;
        }
        target.slots = 1;
        admission.pump(target, now);
        admission.tick(now);
    }
    int served = 0;
    for (const QueuedRequest &each : target.started)
        served += each.routing.customer == "small" ? 1 : 0;
    return double(served) / asked;
}

} // namespace

TEST_GROUP(Admission) {};

TEST(Admission, WorkedExample)
{
    Admission admission;
    SlotTarget target;
    const Instant now { 1h };
    admission.offer(request(1, RequestClass::MayWait, "baxley", now), now);
    admission.offer(request(2, RequestClass::Fast, "baxley", now), now);
    admission.offer(request(3, RequestClass::AtMostOnce, "baxley", now), now);
    CHECK(admission.cancel(1));
    CHECK(!admission.cancel(1));
    target.slots = 1;
    admission.pump(target, now);
    LONGS_EQUAL(2, target.started.front().routing.id); // fast requests go first
    LONGS_EQUAL(1, admission.queued());
}

TEST(Admission, EachRequestEndsOnceAndBoundsHold)
{
    CHECK(rc::check("started, refused, cancelled or queued: exactly one", [] {
        AdmissionSettings settings;
        settings.maxPerKey = 5;
        settings.maxTotal = 12;
        Admission admission(settings);
        SlotTarget target;
        Instant now { 1h };
        std::set<std::uint64_t> open;
        std::uint64_t id = 0;
        const int steps = *rc::gen::inRange(1, 150);
        for (int step = 0; step < steps; ++step) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
            const auto kind = RequestClass(*rc::gen::inRange(0, 3));
            QueuedRequest made = request(++id, kind, std::to_string(*rc::gen::inRange(0, 3)), now,
                                         std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
            made.routing.key = std::to_string(*rc::gen::inRange(0, 2));
            const bool queued = admission.offer(made, now);
            open.insert(id);
            const std::uint64_t leaver = std::uint64_t(*rc::gen::inRange(1, 40));
            if (admission.cancel(leaver))
                RC_ASSERT(open.erase(leaver) == 1);
            target.slots = *rc::gen::inRange(0, 3);
            admission.pump(target, now);
            admission.tick(now);
            for (const QueuedRequest &each : target.started) {
                RC_ASSERT(open.erase(each.routing.id) == 1);
                RC_ASSERT(each.deadline + 300ms > now); // overdue ones were refused by the tick
            }
            target.started.clear();
            bool refusedNow = false;
            for (const Refusal &each : admission.takeRefusals()) {
                RC_ASSERT(open.erase(each.id) == 1);
                RC_ASSERT(each.notRun);
                RC_ASSERT(each.retryAfter >= 1s && each.retryAfter <= 75s);
                refusedNow = refusedNow || each.id == id;
            }
            RC_ASSERT(queued || refusedNow); // a refusal is not held back
            RC_ASSERT(admission.queued() == open.size());
            RC_ASSERT(admission.queued() <= settings.maxTotal);
        }
    }));
}

TEST(Admission, AFloodingCustomerDoesNotStarveAnother)
{
    const double fair = smallCustomerServed(true);
    const double shared = smallCustomerServed(false);
    std::printf("\nsmall customer served beside a flood: %.2f with fairness, %.2f without\n", fair,
                shared);
    CHECK(fair > 0.95);
    CHECK(shared < 0.5);
}

TEST(Admission, ALowerClassGetsItsTurns)
{
    Admission admission;
    SlotTarget target;
    Instant now { 1h };
    std::uint64_t id = 0;
    for (int each = 0; each < 20; ++each)
        admission.offer(request(++id, RequestClass::MayWait, "baxley", now), now);
    for (int step = 0; step < 200; ++step, now += 10ms) {
        admission.offer(request(++id, RequestClass::Fast, "baxley", now), now);
        target.slots = 1; // never enough for more than the fast ones
        admission.pump(target, now);
    }
    int waitable = 0;
    for (const QueuedRequest &each : target.started)
        waitable += each.routing.requestClass == RequestClass::MayWait ? 1 : 0;
    CHECK(waitable >= 20);
}

TEST(Admission, WhatCannotBeReachedInTimeIsRefusedAtOnceWithWhenToComeBack)
{
    Admission admission;
    SlotTarget target;
    Instant now { 1h };
    std::uint64_t id = 0;
    for (int each = 0; each < 100; ++each)
        admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 1h), now);
    for (int step = 0; step < 50; ++step, now += 100ms) { // 10 starts a second
        target.slots = 1;
        admission.pump(target, now);
        admission.tick(now);
    }
    // 50 are left, which takes 5 s; one that cannot wait longer than 2 s may come back in 3 s.
    CHECK(!admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 2s), now));
    const std::vector<Refusal> refusals = admission.takeRefusals();
    LONGS_EQUAL(1, refusals.size());
    CHECK(refusals.front().retryAfter >= 2500ms && refusals.front().retryAfter <= 4500ms);
    CHECK(admission.offer(request(++id, RequestClass::MayWait, "baxley", now, 8s), now));
}
