#include "decide/lease.h"

#include "base/random.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

// The lease object of a store with conditional writes.
struct FakeLeaseObject
{
    std::uint64_t version = 0;
    LeaseValue value;
    std::uint64_t era = 0;

    WriteOutcome write(const LeaseWrite &write)
    {
        if (write.expectedVersion != version)
            return WriteOutcome::Conflict;
        ++version;
        value = write.value;
        return WriteOutcome::Done;
    }
};

// Executes the calls of the lease immediately, without faults.
void executeCalls(Lease &lease, FakeLeaseObject &object, Instant now)
{
    for (const LeaseAction &action : lease.takeActions()) {
        if (const auto *read = std::get_if<LeaseRead>(&action))
            lease.onRead({ read->callId, true, object.version, object.value, object.era }, now);
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

void runLease(Lease &lease, FakeLeaseObject &object, Instant &now, Duration span)
{
    const Instant end = now + span;
    for (; now < end; now += 100ms) {
        lease.tick(now);
        executeCalls(lease, object, now);
    }
}

} // namespace

TEST_GROUP(Lease) {};

// Shows how to use Lease: call tick(), execute the actions, check holds() before acting.
TEST(Lease, CandidateTakesOverOnceLeaseTimePassesWithoutRenewal)
{
    FakeLeaseObject object;
    Instant now(1s);
    Lease first = makeLease("node-1");
    runLease(first, object, now, 20s);
    CHECK(first.holds(now));
    LONGS_EQUAL(1, first.term());

    Lease second = makeLease("node-2"); // from here on node-1 no longer runs
    runLease(second, object, now, 8s);
    CHECK(!second.holds(now));
    runLease(second, object, now, 2s);
    CHECK(second.holds(now));
    LONGS_EQUAL(2, second.term());
    CHECK(!first.holds(now));
}

TEST(Lease, CandidateTakesReleasedLeaseWithoutWaiting)
{
    FakeLeaseObject object;
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

// A store that came back from an older copy does not have the lease; its holder does not know yet.
TEST(Lease, LeaseThatDisappearedIsTakenOnlyOnceItsHolderHasStopped)
{
    FakeLeaseObject object;
    Instant now(1s);
    Lease first = makeLease("node-1");
    Lease second = makeLease("node-2");
    runLease(first, object, now, 5s);
    runLease(second, object, now, 1s);
    CHECK(first.holds(now));
    object = {};
    runLease(second, object, now, 3s);
    CHECK(!second.holds(now));
    runLease(second, object, now, 10s);
    CHECK(second.holds(now));
    CHECK(!first.holds(now));
}

// The copy named the node as holder, and another had taken over since; a new process of the node
// took its own name for a lease that it held.
TEST(Lease, NewProcessWaitsWhenAnOlderCopyNamesItsNodeAsHolder)
{
    FakeLeaseObject object;
    object.era = 1;
    Instant now(1s);
    Lease earlier = makeLease("node-1");
    runLease(earlier, object, now, 3s);
    CHECK(earlier.holds(now));
    object.era = 2;
    Lease later = makeLease("node-1");
    runLease(later, object, now, 8s);
    CHECK(!later.holds(now));
    runLease(later, object, now, 3s);
    CHECK(later.holds(now));
}

// Guards against two holders with one fencing token: a power loss ended all processes that knew the
// latest term, and the store came back from a copy that lacked it.
TEST(Lease, TermOfALostHolderIsNotGivenOutAgainInALaterEra)
{
    FakeLeaseObject object;
    object.era = 1;
    Instant now(1s);
    Lease first = makeLease("node-1");
    runLease(first, object, now, 5s);
    FakeLeaseObject copy = object;
    first.release(now);
    runLease(first, object, now, 1s);
    Lease second = makeLease("node-2");
    runLease(second, object, now, 5s);
    CHECK(second.holds(now));
    const std::uint64_t lostTerm = second.term();

    object = copy;
    object.era = 2;
    Lease third = makeLease("node-3"); // node-1 and node-2 no longer run
    runLease(third, object, now, 20s);
    CHECK(third.holds(now));
    CHECK_COMPARE(third.term(), >, lostTerm);
}

// The same when the copy is older than the lease object itself.
TEST(Lease, TermsOfALaterEraAreAboveThoseOfEarlierOnesWithoutTheLeaseObject)
{
    FakeLeaseObject object;
    object.era = 1;
    Instant now(1s);
    Lease first = makeLease("node-1");
    runLease(first, object, now, 5s);
    object = {};
    object.era = 2;
    Lease second = makeLease("node-2");
    runLease(second, object, now, 20s);
    CHECK(second.holds(now));
    CHECK_COMPARE(second.term(), >, first.lastSeen().term);
    runLease(first, object, now, 1s);
    CHECK(!first.holds(now));
}

TEST(Lease, TermsStayExactInJsonReadersHoweverHighTheEra)
{
    constexpr std::uint64_t MaxExactJsonInteger = std::uint64_t(1) << 53;
    for (const std::uint64_t era : { std::uint64_t(1), MaxExactJsonInteger, ~std::uint64_t(0) }) {
        FakeLeaseObject object;
        object.era = era;
        Instant now(1s);
        Lease lease = makeLease("node-1");
        runLease(lease, object, now, 20s);
        CHECK(lease.holds(now));
        CHECK_COMPARE(lease.term(), <, MaxExactJsonInteger);
    }
}

TEST(Lease, NewProcessGoesOnWithTheLeaseOfItsNodeInTheSameEra)
{
    FakeLeaseObject object;
    object.era = 1;
    Instant now(1s);
    Lease earlier = makeLease("node-1");
    runLease(earlier, object, now, 3s);
    Lease later = makeLease("node-1");
    runLease(later, object, now, 1s);
    CHECK(later.holds(now));
}

// A store that answers 503 at once got a takeover after the other, without a pause.
TEST(Lease, RefusedTakeoverIsTriedAgainOnlyAfterTheRetryInterval)
{
    FakeLeaseObject object;
    Instant now(1s);
    Lease lease = makeLease("node-1");
    lease.tick(now);
    executeCalls(lease, object, now); // the read finds no lease object
    int writes = 0;
    for (const Instant end = now + 3s; now < end; now += 1ms) {
        lease.tick(now);
        for (const LeaseAction &action : lease.takeActions()) {
            writes++;
            lease.onWritten({ std::get<LeaseWrite>(action).callId, WriteOutcome::Unavailable, 0 },
                            now);
        }
    }
    CHECK_COMPARE(writes, >=, 2);
    CHECK_COMPARE(writes, <=, 7); // one each 500 ms
}

TEST(Lease, WriteWithUnknownOutcomeIsConfirmedByReadingBack)
{
    FakeLeaseObject object;
    const Instant now(1s);
    Lease lease = makeLease("node-1");
    lease.tick(now);
    executeCalls(lease, object, now); // the read finds no lease object
    lease.tick(now);
    const LeaseAction action = lease.takeActions().at(0);
    const auto &write = std::get<LeaseWrite>(action);
    object.write(write);
    lease.onWritten({ write.callId, WriteOutcome::Unknown, 0 }, now + 50ms);
    CHECK(!lease.holds(now + 50ms));
    lease.tick(now + 50ms);
    executeCalls(lease, object, now + 60ms);
    CHECK(lease.holds(now + 60ms));
    // The hold time is counted from when the write was sent, not from when it was read back.
    CHECK(lease.holds(now + LeaseSettings {}.holdTime - 1ms));
    CHECK(!lease.holds(now + LeaseSettings {}.holdTime));
}

TEST(Lease, RenewalCarriesTermAboveTheRaisedFloor)
{
    FakeLeaseObject object;
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
    Instant at;                    // when the call reaches the object
    std::size_t node = 0;          // index of the sending node
    LeaseAction action;            // the read or write
    bool responseDelivered = true; // false: the response is lost
};

// Three candidates on one object. Calls are delayed, responses are lost, and nodes are suspended.
// With drills the store comes back from an older copy, at times after a power loss of all nodes.
struct LeaseSimulation
{
    FakeLeaseObject object;
    FakeLeaseObject copy; // of the object, for the next drill
    bool hasDrills = false;
    LeaseSettings settings;
    Instant poweredFrom;
    bool hasKnownHolder = false; // a node has held the lease since the latest power loss
    std::vector<Lease> nodes;
    std::vector<Instant> suspendedUntil { 3 };
    std::vector<PendingCall> calls;
    std::map<std::uint64_t, std::size_t> firstHolderOfTerm;
    int overlappingHolders = 0;
    int sharedTerms = 0;
    int takeovers = 0;
    Random random;

    LeaseSimulation(const LeaseSettings &leaseSettings, std::uint64_t seed)
        : settings(leaseSettings)
        , random(seed)
    {
        startNodes();
    }

    void startNodes()
    {
        nodes.clear();
        for (int number = 0; number < 3; ++number) {
            nodes.emplace_back(settings, "node-" + std::to_string(number), 1);
            nodes.back().setCandidate(true, Instant {});
        }
    }

    /// Makes a copy of the store, or brings the latest one back in a new era.
    void drill(Instant now)
    {
        if (random.below(3) != 0) {
            copy = object;
            return;
        }
        const std::uint64_t era = object.era + 1;
        object = copy;
        object.era = era;
        if (random.below(2) == 0) {
            calls.clear();
            startNodes();
            hasKnownHolder = false;
            poweredFrom = now + settings.leaseTime; // no node is up for a lease time
        }
    }

    void run()
    {
        Instant now(1s);
        for (int tick = 0; tick < 600; ++tick, now += 100ms) {
            if (random.below(60) == 0)
                suspendedUntil[random.below(3)] =
                        now + std::chrono::milliseconds(random.below(15'000));
            if (hasDrills && random.below(60) == 0)
                drill(now);
            if (now >= poweredFrom)
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
            execute(call, now);
        }
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (suspendedUntil[node] > now)
                continue;
            nodes[node].tick(now);
            for (const LeaseAction &action : nodes[node].takeActions()) {
                const auto latencyClass = random.below(10);
                const auto delay =
                        std::chrono::milliseconds(latencyClass < 6 ? 5 : random.below(12'000));
                calls.push_back({ now + delay, node, action, latencyClass != 9 });
            }
        }
        check(now);
    }

    void execute(const PendingCall &call, Instant now)
    {
        Lease &lease = nodes[call.node];
        const bool delivered = call.responseDelivered && suspendedUntil[call.node] <= now;
        if (const auto *read = std::get_if<LeaseRead>(&call.action)) {
            if (delivered)
                lease.onRead({ read->callId, true, object.version, object.value, object.era,
                               hasKnownHolder },
                             now);
            return;
        }
        const auto &write = std::get<LeaseWrite>(call.action);
        // Its condition may be met by another object's revision of the new era.
        const bool isOfEarlierEra = write.value.era < object.era;
        const WriteOutcome met = object.write(write);
        const WriteOutcome status = isOfEarlierEra ? WriteOutcome::Unknown : met;
        if (delivered)
            lease.onWritten({ write.callId, status, object.version }, now);
    }

    void check(Instant now)
    {
        int holders = 0;
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (suspendedUntil[node] > now || !nodes[node].holds(now))
                continue;
            ++holders;
            hasKnownHolder = true;
            const auto [holder, newTerm] = firstHolderOfTerm.try_emplace(nodes[node].term(), node);
            takeovers += newTerm ? 1 : 0;
            sharedTerms += holder->second != node ? 1 : 0;
        }
        overlappingHolders += holders > 1 ? 1 : 0;
    }
};

struct LeaseCounts
{
    int schedules = 0;
    int takeovers = 0;
    int overlappingHolders = 0;
    int sharedTerms = 0;
};

LeaseCounts runSchedules(const LeaseSettings &settings, int schedules, bool hasDrills = false)
{
    LeaseCounts counts;
    for (int seed = 1; seed <= schedules; ++seed) {
        LeaseSimulation simulation(settings, static_cast<std::uint64_t>(seed));
        simulation.hasDrills = hasDrills;
        simulation.run();
        ++counts.schedules;
        counts.takeovers += simulation.takeovers;
        counts.overlappingHolders += simulation.overlappingHolders > 0 ? 1 : 0;
        counts.sharedTerms += simulation.sharedTerms > 0 ? 1 : 0;
    }
    return counts;
}

} // namespace

TEST(Lease, RunningHoldersNeverOverlapAndNeverShareATerm)
{
    const LeaseCounts counts = runSchedules(LeaseSettings {}, 2'000);
    UT_PRINT(StringFromFormat("seeds 1..%d: %d takeovers, %d overlaps, %d shared terms",
                              counts.schedules, counts.takeovers, counts.overlappingHolders,
                              counts.sharedTerms)
                     .asCharString());
    CHECK(counts.takeovers > counts.schedules);
    LONGS_EQUAL(0, counts.overlappingHolders);
    LONGS_EQUAL(0, counts.sharedTerms);
}

TEST(Lease, RunningHoldersNeverShareATermWhenTheStoreComesBackOlder)
{
    const LeaseCounts counts = runSchedules(LeaseSettings {}, 2'000, true);
    UT_PRINT(StringFromFormat("seeds 1..%d: %d takeovers, %d overlaps, %d shared terms",
                              counts.schedules, counts.takeovers, counts.overlappingHolders,
                              counts.sharedTerms)
                     .asCharString());
    CHECK(counts.takeovers > counts.schedules);
    LONGS_EQUAL(0, counts.overlappingHolders);
    LONGS_EQUAL(0, counts.sharedTerms);
}

// Two holders overlap when a candidate takes over after a lease time shorter than the hold time of
// the holder: here 9 s against 30 s. Shows that the simulation detects overlapping holders.
TEST(Lease, CandidateWithLeaseTimeBelowHoldTimeOverlapsWithHolder)
{
    LeaseSettings settings;
    settings.holdTime = 30s;
    settings.leaseTime = 30'001ms;
    settings.renewInterval = 2s;
    LeaseSettings shortLease = settings;
    shortLease.leaseTime = 9s;
    shortLease.holdTime = 8'999ms;
    // node-1 does not wait for the lease time that the other nodes use.
    LeaseCounts counts;
    for (int seed = 1; seed <= 500; ++seed) {
        LeaseSimulation simulation(settings, static_cast<std::uint64_t>(seed));
        simulation.nodes[1] = Lease(shortLease, "node-1", 1);
        simulation.nodes[1].setCandidate(true, Instant {});
        simulation.run();
        counts.overlappingHolders += simulation.overlappingHolders > 0 ? 1 : 0;
    }
    UT_PRINT(StringFromFormat("500 schedules, %d with overlap", counts.overlappingHolders)
                     .asCharString());
    CHECK(counts.overlappingHolders > 0);
}
