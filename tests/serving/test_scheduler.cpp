// Queueing and refusing under the heaviest loads: what callers get, not how it is done.
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
    request.arrived = now;
    request.objective = now + 1'200ms;
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

// A replica whose steps read all prompts that came since the last one, whole.
struct StepwiseReplica
{
    /// Plays the step that begins at `now`.
    /// @return when it ends
    Instant step(Instant now)
    {
        const Duration length = 10ms + std::exchange(unread, {});
        if (++steps % TokensPerEvent == 0) {
            longestEvent = std::max(longestEvent, now + length - eventBegan);
            eventBegan = now + length;
        }
        return now + length;
    }

    static constexpr int TokensPerEvent = 3;
    Duration unread {};
    int steps = 0;
    Instant eventBegan = Start;
    Duration longestEvent {};
};

// Pauses over 400 ms made every third stream late. A long prompt went out a moment after a short
// one, and others during the steps after it: three steps of an event had prompts to read.
TEST(RequestScheduler, StreamsPauseNoLongerThanTheyMay)
{
    EngineLimits limits;
    limits.tokensPerEvent = StepwiseReplica::TokensPerEvent;
    chooser.setEngine("pool", limits, 400ms);
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    StepwiseReplica replica;
    Random random(11);
    std::uint64_t id = 0;
    int starts = 0;
    Duration work {};
    Instant stepEnds = Start;
    for (Instant now = Start; now < Start + 30s; now += 2ms) {
        if (random.unit() < 0.014) { // seven a second, one in twenty is long
            const bool isLong = random.unit() < 0.05;
            const int tokens = isLong ? 4'500 : 500 + static_cast<int>(random.below(2'000));
            scheduler.submit(modelRequest(++id, tokens, now), {}, false, now);
        }
        scheduler.tick(now);
        for (const StartRequest &start : actions<StartRequest>()) {
            starts++;
            const Duration own = table.prefillTime(*table.find("r1"), start.choice.freshTokens);
            replica.unread += own;
            work += own;
            table.onFinished("r1", start.choice.generation, ReplicaOutcome::Served, now);
        }
        if (now >= stepEnds)
            stepEnds = replica.step(now);
    }
    CHECK(replica.longestEvent <= 400ms);
    CHECK(starts > 150);
    CHECK(work > 15s); // half of the time was spent reading
}

TEST(RequestScheduler, PromptsThatOtherNodesSentCount)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    table.onPrompt("r1", 4'400, Start);
    scheduler.submit(modelRequest(1, 1'400, Start), {}, false, Start);
    CHECK(actions<StartRequest>().empty());
}

TEST(RequestScheduler, ALongPromptStartsWhereNothingIsRead)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    scheduler.submit(modelRequest(1, 6'000, Start), {}, false, Start);
    CHECK_EQUAL(1, actions<StartRequest>().size());
}

// A sudden load of five times the capacity: early refusals, and those that start are on time.
TEST(RequestScheduler, RefusesAtOnceWhatWouldBeLate)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    std::uint64_t id = 0;
    std::map<std::uint64_t, Instant> arrived;
    int lateStarts = 0;
    int starts = 0;
    int lateRefusals = 0;
    int refusals = 0;
    std::vector<std::pair<Instant, ReplicaChoice>> running; // until when, where
    for (Instant now = Start; now < Start + 10s; now += 10ms) {
        // 50 prompts of 1800 tokens a second are five times what one replica reads.
        if ((now - Start) % 20ms == 0ms) {
            arrived[++id] = now;
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
                lateStarts += now - arrived[start->id] > 1'200ms ? 1 : 0;
            } else if (const auto *refusal = std::get_if<RefuseRequest>(&action)) {
                refusals++;
                lateRefusals += now - arrived[refusal->id] > 150ms ? 1 : 0;
                CHECK(refusal->retryAfter <= 2'000ms); // a third of the time that callers have
            }
        }
    }
    CHECK(starts >= 80); // what the replica can read in 10 s, less one in ten
    CHECK(refusals > 300);
    CHECK(lateStarts * 5 <= starts);      // four of five on time
    CHECK(lateRefusals * 10 <= refusals); // nine of ten at once
}

// One of many nodes starts few requests of a model. It took that for all that could be served and
// refused whatever had to wait, if only for some milliseconds.
TEST(RequestScheduler, FewStartsAreNoOverload)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    std::uint64_t id = 0;
    int starts = 0;
    int refusals = 0;
    for (Instant now = Start; now < Start + 20s; now += 10ms) {
        if ((now - Start) % 2s == 0ms) {
            table.onPrompt("r1", 1'800, now); // another node was a little faster
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

TEST(RequestScheduler, WaitsForACopyThatIsBeingLoaded)
{
    table.onAnnounced(engine("r1", {}), Start);
    scheduler.submit(modelRequest(1, 500, Start), {}, false, Start);
    CHECK_EQUAL(1, actions<WantCopy>().size());
    table.onCopyComing("r1", "m1", Start + 2s);
    scheduler.tick(Start + 1s);
    CHECK(actions<RefuseRequest>().empty());
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start + 2s);
    scheduler.pump(Start + 2s);
    CHECK_EQUAL(1, actions<StartRequest>().size());
}

TEST(RequestScheduler, DoesNotWaitForACopyThatNobodyLoads)
{
    table.onAnnounced(engine("r1", {}), Start);
    scheduler.submit(modelRequest(1, 500, Start), {}, false, Start);
    scheduler.tick(Start + 400ms);
    CHECK_EQUAL(1, actions<RefuseRequest>().size());
}

TEST(RequestScheduler, TheMoreUrgentStartsFirst)
{
    table.onAnnounced(engine("r1", { { "m1", {} } }), Start);
    table.onPrompt("r1", 4'000, Start);
    ServingRequest patient = modelRequest(1, 1'400, Start);
    patient.priority = 1;
    ServingRequest urgent = modelRequest(2, 1'400, Start);
    urgent.priority = 0;
    scheduler.submit(patient, {}, false, Start);
    scheduler.submit(urgent, {}, false, Start);
    scheduler.tick(Start + 300ms);
    const auto started = actions<StartRequest>();
    CHECK(!started.empty());
    CHECK_EQUAL(2, started.front().id);
}

TEST(RequestScheduler, EachRequestIsDecidedOnce)
{
    CHECK(rc::check("one start or refusal for each request, whatever happens", [] {
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
                replicas.onMissing("r1", false, now);
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
