// The fake engine of the experiments: output of each request, batch speed and memory bound.
#include "load/fakeengine.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace burdock;

namespace {

EngineRequest request(std::uint64_t id, int promptTokens, int outputTokens, bool urgent = false)
{
    EngineRequest result;
    result.id = id;
    result.key = "promo@1";
    result.promptTokens = promptTokens;
    result.outputTokens = outputTokens;
    result.urgent = urgent;
    return result;
}

} // namespace

TEST_GROUP(FakeEngine) {};

TEST(FakeEngine, RequestsBeginAndEndExactlyOnce)
{
    CHECK(rc::check("one first token and one end for each request", [] {
        EngineSettings settings;
        settings.slots = 3;
        FakeEngine engine(settings);
        const int requests = *rc::gen::inRange(1, 20);
        for (int id = 1; id <= requests; ++id) {
            engine.add(request(std::uint64_t(id), *rc::gen::inRange(1, 1500),
                               *rc::gen::inRange(1, 20), *rc::gen::arbitrary<bool>()));
        }
        std::map<std::uint64_t, int> began;
        std::map<std::uint64_t, int> ended;
        while (engine.beginStep() > Duration::zero()) {
            RC_ASSERT(engine.running() <= 3);
            const EngineOutput output = engine.endStep();
            for (const EngineRequest &each : output.began)
                began[each.id]++;
            for (const EngineRequest &each : output.ended)
                ended[each.id]++;
        }
        RC_ASSERT(int(began.size()) == requests);
        RC_ASSERT(began == ended);
        for (const auto &[id, times] : ended)
            RC_ASSERT(times == 1);
    }));
}

TEST(FakeEngine, LargerBatchesSlowStepsAndCachedPrefixesShortenPrompts)
{
    FakeEngine engine;
    EngineRequest first = request(1, 1024, 2);
    first.prefix = { 11, 12, 13, 14, 15, 16, 17, 18 };
    engine.add(first);
    int steps = 0;
    while (engine.beginStep() > Duration::zero()) {
        engine.endStep();
        steps++;
    }
    LONGS_EQUAL(
            3, steps); // two chunks of the prompt, the second yields the first token, then the last
    first.id = 2;
    engine.add(first);
    const Duration singleStep = engine.beginStep(); // 512 tokens are cached, 512 fit in one chunk
    LONGS_EQUAL(1, engine.endStep().began.size());
    for (std::uint64_t id = 3; id < 20; ++id)
        engine.add(request(id, 1, 5));
    CHECK(engine.beginStep() > engine.settings().stepPerRequest * 18);
    CHECK(singleStep > Duration::zero());
}

TEST(FakeEngine, ReserveRefusesToOvercommitMemory)
{
    FakeEngine engine;
    CHECK(engine.reserve("a@1", 50'000));
    CHECK(!engine.reserve("b@1", 40'000));
    engine.release("a@1");
    CHECK(engine.reserve("b@1", 40'000));
}
