// Checks queueing and refusals under overload by what callers get, not by internal state.
#include "base/random.h"
#include "serving/scheduler.h"
#include "support/replicas.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <map>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

constexpr Instant Start { 1'000s };

ReplicaInfo engine(const std::string &id, std::vector<ModelCopy> models)
{
    return poolReplica(id, std::move(models), 64);
}

ServingRequest modelRequest(std::uint64_t id, int tokens, Instant now)
{
    ServingRequest request;
    request.id = id;
    request.service = "pool";
    request.model = "m1";
    request.promptTokens = tokens;
    request.outputTokens = 20;
    request.prompt = { { id, tokens } };
    request.arrivedAt = now;
    request.firstByteObjective = now + 1'200ms;
    request.deadline = now + 6s;
    request.attempts = 2;
    return request;
}

} // namespace

TEST_GROUP(RequestScheduler)
{
    ReplicaTable table;
    ReplicaChooser chooser { table, {}, 7 };
    RequestScheduler scheduler { table, chooser };

    template <typename Action>
    std::vector<Action> actions()
    {
        std::vector<Action> found;
        for (SchedulerAction &action : scheduler.takeActions()) {
            if (auto *match = std::get_if<Action>(&action))
                found.push_back(std::move(*match));
        }
        return found;
    }
};

// Simulates a replica whose steps completely read all prompts that arrived since the previous step.
struct StepwiseReplica
{
    /// Simulates the step that begins at `now`.
    /// @return when the step ends
    Instant step(Instant now)
    {
        const Duration length = 10ms + std::exchange(unreadPrefill, {});
        if (++steps % TokensPerEvent == 0) {
            maxEventTime = std::max(maxEventTime, now + length - eventBeganAt);
            eventBeganAt = now + length;
        }
        return now + length;
    }

    static constexpr int TokensPerEvent = 3;
    Duration unreadPrefill {};
    int steps = 0;
    Instant eventBeganAt = Start;
    Duration maxEventTime {};
};

// Guards against pauses of more than 400 ms, which made every third stream late. They occur when a
// long prompt is sent just after a short one and more prompts follow during the next steps, so that
// all three steps of an event have prompts to read.
TEST(RequestScheduler, StreamsPauseNoLongerThanAllowed)
{
    EngineLimits limits;
    limits.tokensPerEvent = StepwiseReplica::TokensPerEvent;
    chooser.setEngineLimits("pool", limits, 400ms);
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    StepwiseReplica replica;
    Random random(11);
    std::uint64_t id = 0;
    int starts = 0;
    Duration totalReadTime {};
    Instant stepEndsAt = Start;
    for (Instant now = Start; now < Start + 30s; now += 2ms) {
        if (random.unit() < 0.014) { // seven requests a second, one in twenty has a long prompt
            const bool isLong = random.unit() < 0.05;
            const int tokens = isLong ? 4'500 : 500 + static_cast<int>(random.below(2'000));
            scheduler.submit(modelRequest(++id, tokens, now), {}, false, now);
        }
        scheduler.tick(now);
        for (const StartRequest &start : actions<StartRequest>()) {
            starts++;
            const Duration readTime =
                    table.prefillTime(*table.find("r1"), start.choice.freshTokens, now);
            replica.unreadPrefill += readTime;
            totalReadTime += readTime;
            table.onFinished("r1", start.choice.generation, ReplicaOutcome::Served, now);
        }
        if (now >= stepEndsAt)
            stepEndsAt = replica.step(now);
    }
    CHECK(replica.maxEventTime <= 400ms);
    CHECK(starts > 150);
    CHECK(totalReadTime > 15s); // the replica was reading prompts for half of the time
}

TEST(RequestScheduler, PromptsOfOtherNodesUseUpCapacity)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    table.onPromptAssigned("r1", 4'400, Start);
    scheduler.submit(modelRequest(1, 1'400, Start), {}, false, Start);
    CHECK(actions<StartRequest>().empty());
}

TEST(RequestScheduler, LongPromptStartsAtAnIdleReplica)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    scheduler.submit(modelRequest(1, 6'000, Start), {}, false, Start);
    CHECK_EQUAL(1, actions<StartRequest>().size());
}

// Under a sudden load of five times the capacity, refusals have to come early and the requests that
// are started have to be on time.
TEST(RequestScheduler, RefusesOnArrivalWhatWouldStartLate)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    std::uint64_t id = 0;
    std::map<std::uint64_t, Instant> arrivedAt;
    int lateStarts = 0;
    int starts = 0;
    int lateRefusals = 0;
    int refusals = 0;
    std::vector<std::pair<Instant, ReplicaChoice>> running; // end time and replica
    for (Instant now = Start; now < Start + 10s; now += 10ms) {
        // 50 prompts of 1800 tokens per second are five times what one replica can read.
        if ((now - Start) % 20ms == 0ms) {
            arrivedAt[++id] = now;
            scheduler.submit(modelRequest(id, 1'800, now), {}, false, now);
        }
        std::erase_if(running, [&](const auto &entry) {
            if (now < entry.first)
                return false;
            table.onFinished(entry.second.id, entry.second.generation, ReplicaOutcome::Served, now);
            return true;
        });
        scheduler.tick(now);
        for (SchedulerAction &action : scheduler.takeActions()) {
            if (const auto *start = std::get_if<StartRequest>(&action)) {
                starts++;
                running.emplace_back(now + 1s, start->choice);
                lateStarts += now - arrivedAt[start->id] > 1'200ms ? 1 : 0;
            } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
                refusals++;
                lateRefusals += now - arrivedAt[refusal->id] > 150ms ? 1 : 0;
                CHECK(refusal->retryAfter <= 2'000ms); // a third of the callers' time limit
            }
        }
    }
    CHECK(starts >= 80); // what the replica can read in 10 s, less 10 %
    CHECK(refusals > 300);
    CHECK(lateStarts * 5 <= starts);      // four of five start on time
    CHECK(lateRefusals * 10 <= refusals); // nine of ten are refused at once
}

// Guards against needless refusals in a fleet of many nodes, where one node starts only few
// requests for a model. Such a node took its own low start rate for the capacity of the replicas
// and refused every request that had to be queued, even if only for some milliseconds.
TEST(RequestScheduler, DoesNotTakeFewStartsForOverload)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    std::uint64_t id = 0;
    int starts = 0;
    int refusals = 0;
    for (Instant now = Start; now < Start + 20s; now += 10ms) {
        if ((now - Start) % 2s == 0ms) {
            table.onPromptAssigned("r1", 1'800, now); // a peer sent a prompt just before
            scheduler.submit(modelRequest(++id, 1'800, now), {}, false, now);
        }
        scheduler.tick(now);
        for (SchedulerAction &action : scheduler.takeActions()) {
            if (const auto *start = std::get_if<StartRequest>(&action)) {
                starts++;
                table.onFinished(start->choice.id, start->choice.generation, ReplicaOutcome::Served,
                                 now);
            }
            refusals += std::holds_alternative<RefuseRequest>(action) ? 1 : 0;
        }
    }
    CHECK_EQUAL(0, refusals);
    CHECK_EQUAL(10, starts);
}

TEST(RequestScheduler, QueuesRequestsWhileTheirCopyIsLoaded)
{
    table.onAnnounced(engine("r1", {}), Start);
    scheduler.submit(modelRequest(1, 500, Start), {}, false, Start);
    CHECK_EQUAL(1, actions<CopyRequest>().size());
    table.onCopyLoading("r1", "m1", Start + 2s);
    scheduler.tick(Start + 1s);
    CHECK(actions<RefuseRequest>().empty());
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start + 2s);
    scheduler.pump(Start + 2s);
    CHECK_EQUAL(1, actions<StartRequest>().size());
}

TEST(RequestScheduler, RefusesSoonIfNoReplicaLoadsTheCopy)
{
    table.onAnnounced(engine("r1", {}), Start);
    scheduler.submit(modelRequest(1, 500, Start), {}, false, Start);
    scheduler.tick(Start + 400ms);
    CHECK_EQUAL(1, actions<RefuseRequest>().size());
}

TEST(RequestScheduler, StartsTheMoreUrgentRequestFirst)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    table.onPromptAssigned("r1", 4'000, Start);
    ServingRequest lessUrgent = modelRequest(1, 1'400, Start);
    lessUrgent.priority = 1;
    ServingRequest urgent = modelRequest(2, 1'400, Start);
    urgent.priority = 0;
    scheduler.submit(lessUrgent, {}, false, Start);
    scheduler.submit(urgent, {}, false, Start);
    scheduler.tick(Start + 300ms);
    const auto started = actions<StartRequest>();
    CHECK(!started.empty());
    CHECK_EQUAL(2, started.front().id);
}

// First sends, and repeats or resumed streams, which have an attempt behind them.
TEST(RequestScheduler, AQueuedRequestIsNotSentToAReplicaWhoseDrainTimeEndedMeanwhile)
{
    for (const bool wasAttempted : { false, true }) {
        const std::string id = wasAttempted ? "r2" : "r1";
        table.onAnnounced(engine(id, { { "m1", {} } }), Start);
        table.onPromptAssigned(id, 4'000, Start);
        scheduler.submit(modelRequest(wasAttempted ? 2 : 1, 1'400, Start), {}, wasAttempted, Start);
        CHECK(actions<StartRequest>().empty());
        CHECK(table.onLeaving(id, table.find(id)->info.startedMs, Start + 200ms, Start));
        scheduler.tick(Start + 300ms); // its prompts are read: the request could go
        CHECK(actions<StartRequest>().empty());
        table.onDelisted(id, {}, Start + 300ms);
        scheduler.cancel(wasAttempted ? 2 : 1);
    }
}

TEST(RequestScheduler, StartsOrRefusesEachRequestOnce)
{
    CHECK(rc::check("each request is started or refused exactly once", [] {
        ReplicaTable replicas;
        ReplicaChooser replicaChooser { replicas, {}, 3 };
        RequestScheduler requests { replicas, replicaChooser };
        std::map<std::uint64_t, int> decisions;
        std::set<std::uint64_t> cancelled;
        Instant now = Start;
        std::uint64_t id = 0;
        const auto steps = *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 6));
        for (const int step : steps) {
            now += 20ms;
            if (step <= 2)
                requests.submit(modelRequest(++id, 900, now), {}, false, now);
            else if (step == 3)
                replicas.onAnnounced(engine("r1", { { "m1", {} } }), now);
            else if (step == 4)
                replicas.onDelisted("r1", {}, now);
            else if (id > 0) {
                requests.cancel(id);
                cancelled.insert(id);
            }
            requests.tick(now);
            for (SchedulerAction &action : requests.takeActions()) {
                if (const auto *start = std::get_if<StartRequest>(&action))
                    decisions[start->id]++;
                else if (const auto *refusal = std::get_if<RefuseRequest>(&action))
                    decisions[refusal->id]++;
            }
        }
        requests.tick(now + 60s);
        for (SchedulerAction &action : requests.takeActions()) {
            if (const auto *refusal = std::get_if<RefuseRequest>(&action))
                decisions[refusal->id]++;
            else if (const auto *start = std::get_if<StartRequest>(&action))
                decisions[start->id]++;
        }
        for (std::uint64_t each = 1; each <= id; ++each) {
            if (!cancelled.contains(each))
                RC_ASSERT(decisions[each] == 1);
            else
                RC_ASSERT(decisions[each] <= 1);
        }
        RC_ASSERT(requests.queued() == 0);
    }));
}

TEST(RequestScheduler, RefusesAtOnceWithSpreadTimesWhileAllReplicasAskedForAPause)
{
    for (const char *id : { "r1", "r2" }) {
        table.onAnnounced(engine(id, { { "m1", {} } }), Start);
        table.onPauseRequested(id, table.find(id)->info.startedMs, 2s, Start);
    }
    std::set<std::chrono::milliseconds> times;
    for (std::uint64_t id = 1; id <= 20; ++id)
        scheduler.submit(modelRequest(id, 100, Start), {}, false, Start);
    const auto refusals = actions<RefuseRequest>();
    CHECK_EQUAL(20, refusals.size());
    for (const RefuseRequest &refusal : refusals) {
        CHECK(refusal.retryAfter >= 2s && refusal.retryAfter <= 3s);
        times.insert(refusal.retryAfter);
    }
    CHECK(times.size() > 10);
    scheduler.submit(modelRequest(30, 100, Start + 2s), {}, false, Start + 2s);
    CHECK_EQUAL(1, actions<StartRequest>().size());
}

TEST(RequestScheduler, AReplicaThatAskedForAPauseIsPassedOver)
{
    for (const char *id : { "r1", "r2" })
        table.onAnnounced(engine(id, { { "m1", {} } }), Start);
    table.onPauseRequested("r1", table.find("r1")->info.startedMs, 2s, Start);
    for (std::uint64_t id = 1; id <= 5; ++id)
        scheduler.submit(modelRequest(id, 10, Start), {}, false, Start);
    const auto starts = actions<StartRequest>();
    CHECK_EQUAL(5, starts.size());
    for (const StartRequest &start : starts)
        CHECK_EQUAL(std::string("r2"), start.choice.id);
}

TEST(RequestScheduler, QueuedRequestsAreRefusedOnceAllReplicasAskForAPause)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    table.onConnectFailed("r1", Start);
    scheduler.submit(modelRequest(1, 10, Start), {}, false, Start);
    CHECK_EQUAL(1, scheduler.queued());
    table.onPauseRequested("r1", table.find("r1")->info.startedMs, 5s, Start);
    scheduler.tick(Start + 20ms);
    CHECK_EQUAL(1, actions<RefuseRequest>().size());
    CHECK_EQUAL(0, scheduler.queued());
}

TEST(RequestScheduler, AReplicaThatLeavesIsUsedOnlyWhereNoOtherHasRoom)
{
    for (const char *id : { "r1", "r2" })
        table.onAnnounced(engine(id, { { "m1", {} } }), Start);
    table.onLeaving("r1", table.find("r1")->info.startedMs, Start + 2s, Start);
    for (std::uint64_t id = 1; id <= 5; ++id)
        scheduler.submit(modelRequest(id, 10, Start), {}, false, Start);
    for (const StartRequest &start : actions<StartRequest>())
        CHECK_EQUAL(std::string("r2"), start.choice.id);
    table.onLeaving("r2", table.find("r2")->info.startedMs, Start + 3s, Start);
    scheduler.submit(modelRequest(6, 10, Start + 1s), {}, false, Start + 1s);
    CHECK_EQUAL(1, actions<StartRequest>().size()); // the whole service leaves
    scheduler.submit(modelRequest(7, 10, Start + 2'500ms), {}, false, Start + 2'500ms);
    CHECK_EQUAL(std::string("r2"), actions<StartRequest>().at(0).choice.id);
    scheduler.submit(modelRequest(8, 10, Start + 3s), {}, false, Start + 3s);
    CHECK_EQUAL(0, actions<StartRequest>().size());
}

// Guards against streams that stay queued after their callers left, and against refusing the rest
// of a stream whose first byte came long ago.
TEST(RequestScheduler, AStreamIsRefusedBeforeItsCallerLeaves)
{
    for (const auto objective : { 500ms, 1'200ms }) {
        table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
        for (int i = 0; i < 64; ++i)
            table.onSent("r1", 0, Start); // no slot is free
        ServingRequest stream = modelRequest(1, 100, Start);
        stream.firstByteObjective = Start + objective;
        stream.firstByteDeadline = Start + 1s;
        scheduler.submit(stream, {}, false, Start);
        ServingRequest rest = modelRequest(2, 100, Start - 3s);
        scheduler.submit(rest, {}, true, Start);
        CHECK(actions<RefuseRequest>().empty());
        scheduler.tick(Start + 400ms);
        CHECK(actions<RefuseRequest>().empty());
        scheduler.tick(Start + 950ms);
        const auto refusals = actions<RefuseRequest>();
        CHECK_EQUAL(1, refusals.size());
        CHECK_EQUAL(1, refusals.at(0).id);
        scheduler.cancel(2);
        table.onDelisted("r1", {}, Start + 1s);
    }
}

// Guards against one organisation that sends five times its usual and keeps the others of its rank
// waiting. Four organisations usually send 4 prompts a second each, for which the capacity of 20 is
// enough. With 20 of "a", 32 a second are sent. An equal share is 5 a second, so that the others
// could all be served: 90 in 100 have to start in time, and "a" gets what is left.
TEST(RequestScheduler, OneOrganisationsBurstDoesNotKeepOthersOfItsRankWaiting)
{
    for (const bool isNamed : { true, false }) {
        ReplicaTable replicas;
        ReplicaChooser replicaChooser { replicas, {}, 7 };
        RequestScheduler requests { replicas, replicaChooser };
        replicas.onAnnounced(poolReplica("r1", { { "m1", {} } }, 20),
                             Start); // 20 for a second each
        std::map<std::uint64_t, std::pair<std::string, Instant>> sent;
        std::map<std::string, int> total;
        std::map<std::string, int> inTime;
        std::multimap<Instant, std::uint64_t> running; // end and generation
        std::uint64_t id = 0;
        const auto submit = [&](const std::string &organisation, Instant now) {
            ServingRequest request = modelRequest(++id, 100, now);
            request.organisation = isNamed ? organisation : "";
            sent[id] = { organisation, now };
            total[organisation]++;
            requests.submit(request, {}, false, now);
        };
        for (Instant now = Start; now < Start + 20s; now += 10ms) {
            for (; !running.empty() && running.begin()->first <= now;
                 running.erase(running.begin()))
                replicas.onFinished("r1", running.begin()->second, ReplicaOutcome::Served, now);
            const auto at = now - Start;
            if (at % 50ms == 0ms)
                submit("a", now);
            if (at % 250ms == 0ms) {
                for (const char *organisation : { "b", "c", "d" })
                    submit(organisation, now);
            }
            requests.tick(now);
            for (SchedulerAction &action : requests.takeActions()) {
                const auto *start = std::get_if<StartRequest>(&action);
                if (start == nullptr)
                    continue;
                running.emplace(now + 1s, start->choice.generation);
                const auto &[organisation, sentAt] = sent[start->id];
                inTime[organisation] += now - sentAt <= 1'200ms ? 1 : 0;
            }
        }
        const int others = inTime["b"] + inTime["c"] + inTime["d"];
        const int ofOthers = total["b"] + total["c"] + total["d"];
        CHECK_EQUAL(isNamed, others * 10 >= ofOthers * 9); // the load defeats the order by due time
        CHECK(inTime["a"] >= 4 * 20);                      // at least its usual
    }
}

// Guards against organisations that wait for ever, and against time that grows with the square of
// the queue: a thousand organisations with two requests each.
TEST(RequestScheduler, EveryOrganisationGetsATurn)
{
    table.onAnnounced(poolReplica("r1", { { "m1", {} } }, 20), Start);
    for (int i = 0; i < 20; ++i)
        table.onSent("r1", 0, Start);
    for (std::uint64_t id = 1; id <= 2'000; ++id) {
        ServingRequest request = modelRequest(id, 2, Start);
        request.organisation = std::to_string(id <= 1'001 ? 0 : id); // one has half of the queue
        request.deadline = request.firstByteObjective = Start + 1h;
        scheduler.submit(request, {}, true, Start);
    }
    CHECK_EQUAL(2'000, scheduler.queued());
    const std::uint64_t generation = table.find("r1")->generation;
    std::set<std::uint64_t> lines;
    for (int i = 0; i < 1'000; ++i) {
        table.onFinished("r1", generation, ReplicaOutcome::Served, Start);
        scheduler.pump(Start);
        for (const StartRequest &start : actions<StartRequest>())
            lines.insert(start.id <= 1'001 ? 0 : start.id);
    }
    CHECK_EQUAL(1'000, lines.size());
}

TEST(RequestScheduler, AFullQueueKeepsRoomForOtherOrganisations)
{
    SchedulerSettings settings;
    settings.maxQueued = 4;
    RequestScheduler requests { table, chooser, settings };
    table.onAnnounced(poolReplica("r1", { { "m1", {} } }, 1), Start);
    table.onSent("r1", 0, Start);
    std::vector<std::uint64_t> refused;
    for (std::uint64_t id = 1; id <= 6; ++id) {
        ServingRequest request = modelRequest(id, 2, Start);
        request.organisation = id <= 5 ? "a" : "b";
        requests.submit(request, {}, false, Start);
        for (const SchedulerAction &action : requests.takeActions())
            refused.push_back(std::get<RefuseRequest>(action).id);
    }
    CHECK(refused == (std::vector<std::uint64_t> { 5, 4 })); // its own, then its last for the other
}

// Guards against requests that wait for their queue deadline after their replicas were lost. Four
// replicas read 38 prompts a second, one 9.6: of the 1.1 s of prompts that are queued, those beyond
// the 2.2 s that the margin allows have to be refused, the last ones first.
TEST(RequestScheduler, RefusesAtOnceWhatNoLongerFitsAfterReplicasAreLost)
{
    for (int i = 1; i <= 4; ++i)
        table.onAnnounced(engine("r" + std::to_string(i), { { "m1", {} } }), Start);
    for (std::uint64_t id = 1; id <= 100; ++id) {
        ServingRequest request = modelRequest(id, 1'800, Start);
        request.deadline = Start + 2s;
        scheduler.submit(request, {}, false, Start);
    }
    const auto queued = scheduler.queued();
    CHECK(queued > 30);
    const auto refusedOnArrival = actions<RefuseRequest>();
    CHECK(!refusedOnArrival.empty());
    CHECK(refusedOnArrival.front().prediction->wait > 1'200ms);
    CHECK(refusedOnArrival.front().prediction->requestsAhead > 30);
    scheduler.tick(Start + 10ms);
    CHECK(actions<RefuseRequest>().empty());
    for (const char *id : { "r2", "r3", "r4" })
        table.onDelisted(id, {}, Start + 20ms);
    scheduler.tick(Start + 120ms);
    const auto refused = actions<RefuseRequest>();
    CHECK(refused.size() > queued / 3 && refused.size() < queued * 2 / 3);
    for (std::size_t i = 1; i < refused.size(); ++i)
        CHECK(refused[i].id < refused[i - 1].id);
    scheduler.tick(Start + 150ms); // too early for another look
    CHECK(actions<RefuseRequest>().empty());
}

// Guards against refusals of queued requests that would have been started: the same load of twice
// the capacity, while replicas come and go, must lead to as many starts as without these refusals.
TEST(RequestScheduler, RefusesNoQueuedRequestThatWouldHaveBeenStarted)
{
    const auto startsWith = [](Duration reviewInterval, Duration &refusedWaits) {
        SchedulerSettings settings;
        settings.reviewInterval = reviewInterval;
        ReplicaTable replicas;
        ReplicaChooser replicaChooser { replicas, {}, 7 };
        RequestScheduler requests { replicas, replicaChooser, settings };
        Random random(5);
        std::uint64_t id = 0;
        int starts = 0;
        std::map<std::uint64_t, Instant> sentAt;
        for (Instant now = Start; now < Start + 60s; now += 10ms) {
            if ((now - Start) % 3s == 0ms) {
                for (const char *name : { "r1", "r2", "r3", "r4" }) {
                    if (random.unit() < 0.5)
                        replicas.onAnnounced(engine(name, { { "m1", {} } }), now);
                    else
                        replicas.onDelisted(name, {}, now);
                }
            }
            if (random.unit() < 0.4) {
                sentAt[++id] = now;
                ServingRequest request = modelRequest(id, 500 + int(random.below(2'600)), now);
                request.deadline = now + 2s;
                requests.submit(request, {}, false, now);
            }
            requests.tick(now);
            for (SchedulerAction &action : requests.takeActions()) {
                if (const auto *start = std::get_if<StartRequest>(&action)) {
                    starts++;
                    replicas.onFinished(start->choice.id, start->choice.generation,
                                        ReplicaOutcome::Served, now);
                } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
                    refusedWaits += now - sentAt[refusal->id];
                }
            }
        }
        return starts;
    };
    Duration reviewed {};
    Duration unreviewed {};
    const int starts = startsWith(100ms, reviewed);
    const int startsWithout = startsWith(1h, unreviewed);
    CHECK(reviewed < unreviewed); // callers learn earlier
    CHECK(starts * 100 >= startsWithout * 99);
}

// Guards against requests that wait for their queue deadline, 4.2 s here, after their copy was
// lost.
TEST(RequestScheduler, RefusesSoonAfterTheLastCopyIsLostUnlessItIsLoadedAgain)
{
    for (const bool isLoaded : { false, true }) {
        for (const char *id : { "r1", "r2" })
            table.onAnnounced(engine(id, { { "m1", {} } }), Start);
        for (const char *id : { "r1", "r2" })
            table.onPromptAssigned(id, 9'000, Start);
        for (std::uint64_t id = 1; id <= 3; ++id)
            scheduler.submit(modelRequest(id, 100, Start), {}, false, Start);
        scheduler.tick(Start);
        for (const char *id : { "r1", "r2" })
            table.onAnnounced(engine(id, {}), Start + 100ms);
        scheduler.tick(Start + 100ms);
        if (isLoaded)
            table.onCopyLoading("r1", "m1", Start + 700ms);
        scheduler.tick(Start + 510ms);
        CHECK_EQUAL(isLoaded ? 0 : 3, actions<RefuseRequest>().size());
        table.onAnnounced(engine("r1", { { "m1", {} } }), Start + 700ms);
        scheduler.tick(Start + 800ms);
        CHECK_EQUAL(isLoaded ? 3 : 0, actions<StartRequest>().size());
        for (const char *id : { "r1", "r2" })
            table.onDelisted(id, {}, Start + 800ms);
    }
}
