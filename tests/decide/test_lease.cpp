#include "decide/lease.h"

#include "base/random.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

// One stored object with conditional writes.
struct FakeObject
{
    std::uint64_t version = 0;
    LeaseValue value;

    WriteOutcome write(const LeaseWrite &write)
    {
        if (write.expectedVersion != version)
            return WriteOutcome::Conflict;
        ++version;
        value = write.value;
        return WriteOutcome::Done;
    }
};

// Carries out the lease's calls at once.
void serve(Lease &lease, FakeObject &object, Instant now)
{
    for (const LeaseAction &action : lease.takeActions()) {
        if (const auto *read = std::get_if<LeaseRead>(&action))
            lease.onRead({ read->callId, true, object.version, object.value }, now);
        if (const auto *write = std::get_if<LeaseWrite>(&action)) {
            const WriteOutcome status = object.write(*write);
            lease.onWritten({ write->callId, status, object.version }, now);
        }
    }
}

Lease makeLease(const std::string &node)
{
    Lease lease(LeaseSettings {}, node, 1);
    lease.setCandidate(true, Instant {});
    return lease;
}

void runLease(Lease &lease, FakeObject &object, Instant &now, Duration span)
{
    const Instant end = now + span;
    for (; now < end; now += 100ms) {
        lease.tick(now);
        serve(lease, object, now);
    }
}

} // namespace

TEST_GROUP(Lease) {};

// How it is used: tick, carry out the actions, ask holds() before acting.
TEST(Lease, IsTakenRenewedAndTakenOverAfterTheLeaseTime)
{
    FakeObject object;
    Instant now(1s);
    Lease first = makeLease("node-1");
    runLease(first, object, now, 20s);
    CHECK(first.holds(now));
    LONGS_EQUAL(1, first.term());

    Lease second = makeLease("node-2"); // the first one dies here
    runLease(second, object, now, 8s);
    CHECK(!second.holds(now));
    runLease(second, object, now, 2s);
    CHECK(second.holds(now));
    LONGS_EQUAL(2, second.term());
    CHECK(!first.holds(now));
}

TEST(Lease, GivenBackIsTakenAtOnce)
{
    FakeObject object;
    Instant now(1s);
    Lease first = makeLease("node-1");
    runLease(first, object, now, 5s);
    first.release(now);
    CHECK(!first.holds(now));
    runLease(first, object, now, 1s);
    CHECK(!first.owns());
    Lease second = makeLease("node-2");
    runLease(second, object, now, 1s);
    CHECK(second.holds(now));
}

TEST(Lease, AWriteThatTookEffectWithoutAnAnswerIsReadBack)
{
    FakeObject object;
    const Instant now(1s);
    Lease lease = makeLease("node-1");
    lease.tick(now);
    serve(lease, object, now); // reads: no lease yet
    lease.tick(now);
    const LeaseAction action = lease.takeActions().at(0);
    const auto &write = std::get<LeaseWrite>(action);
    object.write(write);
    lease.onWritten({ write.callId, WriteOutcome::Unknown, 0 }, now + 50ms);
    CHECK(!lease.holds(now + 50ms));
    lease.tick(now + 50ms);
    serve(lease, object, now + 60ms);
    CHECK(lease.holds(now + 60ms));
    // It counts from when the write was sent.
    CHECK(lease.holds(now + LeaseSettings {}.holdTime - 1ms));
    CHECK(!lease.holds(now + LeaseSettings {}.holdTime));
}

TEST(Lease, TermIsRaisedAboveWhatTheLeaseProtects)
{
    FakeObject object;
    Instant now(1s);
    Lease lease = makeLease("node-1");
    runLease(lease, object, now, 1s);
    lease.takeEvents();
    lease.raiseTerm(41);
    runLease(lease, object, now, 3s);
    LONGS_EQUAL(42, lease.term());
    LONGS_EQUAL(1, lease.takeEvents().size());
}

namespace {

struct PendingCall
{
    Instant at;           // when it reaches the object
    std::size_t node = 0; // who sent it
    LeaseAction action;   // what it is
    bool answered = true; // whether the answer comes back
};

// Three candidates on one object. Calls are late or stay without an answer; nodes pause.
struct LeaseWorld
{
    FakeObject object;
    std::vector<Lease> nodes;
    std::vector<Instant> pausedUntil { 3 };
    std::vector<PendingCall> calls;
    std::map<std::uint64_t, std::size_t> termOwner;
    int overlaps = 0;
    int termsShared = 0;
    int takeovers = 0;
    Random random;

    LeaseWorld(const LeaseSettings &settings, std::uint64_t seed)
        : random(seed)
    {
        for (int number = 0; number < 3; ++number) {
            nodes.emplace_back(settings, "node-" + std::to_string(number), 1);
            nodes.back().setCandidate(true, Instant {});
        }
    }

    void run()
    {
        Instant now(1s);
        for (int tick = 0; tick < 600; ++tick, now += 100ms) {
            if (random.below(60) == 0)
                pausedUntil[random.below(3)] =
                        now + std::chrono::milliseconds(random.below(15'000));
            step(now);
        }
    }

    void step(Instant now)
    {
        for (std::size_t index = 0; index < calls.size();) {
            if (calls[index].at > now) {
                ++index;
                continue;
            }
            const PendingCall call = calls[index];
            calls.erase(calls.begin() + static_cast<std::ptrdiff_t>(index));
            carryOut(call, now);
        }
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (pausedUntil[node] > now)
                continue;
            nodes[node].tick(now);
            for (const LeaseAction &action : nodes[node].takeActions()) {
                const auto fate = random.below(10);
                const auto delay = std::chrono::milliseconds(fate < 6 ? 5 : random.below(12'000));
                calls.push_back({ now + delay, node, action, fate != 9 });
            }
        }
        check(now);
    }

    void carryOut(const PendingCall &call, Instant now)
    {
        Lease &lease = nodes[call.node];
        const bool heard = call.answered && pausedUntil[call.node] <= now;
        if (const auto *read = std::get_if<LeaseRead>(&call.action)) {
            if (heard)
                lease.onRead({ read->callId, true, object.version, object.value }, now);
            return;
        }
        const auto &write = std::get<LeaseWrite>(call.action);
        const WriteOutcome status = object.write(write);
        if (heard)
            lease.onWritten({ write.callId, status, object.version }, now);
    }

    void check(Instant now)
    {
        int holders = 0;
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (pausedUntil[node] > now || !nodes[node].holds(now))
                continue;
            ++holders;
            const auto [owner, fresh] = termOwner.try_emplace(nodes[node].term(), node);
            takeovers += fresh ? 1 : 0;
            termsShared += owner->second != node ? 1 : 0;
        }
        overlaps += holders > 1 ? 1 : 0;
    }
};

struct LeaseCounts
{
    int schedules = 0;
    int takeovers = 0;
    int overlaps = 0;
    int termsShared = 0;
};

LeaseCounts runSchedules(const LeaseSettings &settings, int schedules)
{
    LeaseCounts counts;
    for (int seed = 1; seed <= schedules; ++seed) {
        LeaseWorld world(settings, static_cast<std::uint64_t>(seed));
        world.run();
        ++counts.schedules;
        counts.takeovers += world.takeovers;
        counts.overlaps += world.overlaps > 0 ? 1 : 0;
        counts.termsShared += world.termsShared > 0 ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST(Lease, UnpausedHoldersNeverOverlapAndTermsAreNeverShared)
{
    const LeaseCounts counts = runSchedules(LeaseSettings {}, 2'000);
    UT_PRINT(StringFromFormat("seeds 1..%d: %d takeovers, %d overlaps, %d shared terms",
                              counts.schedules, counts.takeovers, counts.overlaps,
                              counts.termsShared)
                     .asCharString());
    CHECK(counts.takeovers > counts.schedules);
    LONGS_EQUAL(0, counts.overlaps);
    LONGS_EQUAL(0, counts.termsShared);
}

// The hold time is what keeps holders apart: with one that reaches the lease time they overlap.
TEST(Lease, AblationHoldTimeAsLongAsTheLeaseTimeOverlaps)
{
    LeaseSettings settings;
    settings.holdTime = 30s;
    settings.leaseTime = 30'001ms;
    settings.renewInterval = 2s;
    LeaseSettings impatient = settings;
    impatient.leaseTime = 9s;
    impatient.holdTime = 8'999ms;
    // A candidate that does not wait for the whole lease time of the holder.
    LeaseCounts counts;
    for (int seed = 1; seed <= 500; ++seed) {
        LeaseWorld world(settings, static_cast<std::uint64_t>(seed));
        world.nodes[1] = Lease(impatient, "node-1", 1);
        world.nodes[1].setCandidate(true, Instant {});
        world.run();
        counts.overlaps += world.overlaps > 0 ? 1 : 0;
    }
    UT_PRINT(StringFromFormat("500 schedules, %d with overlap", counts.overlaps).asCharString());
    CHECK(counts.overlaps > 0);
}
