// A node's process that ends while requests are under way.
#include "support/storefleet.h"

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A node whose process ends while its replicas, which are stuck, have requests.
struct EndingProgramCases : public StoreFleet
{
    int status = -1;

    void startNode(int replicaCount)
    {
        const auto routeTo = [](const char *prefix, const char *type, const char *service) {
            return boost::json::object { { "name", prefix },        { "host", "h.example" },
                                         { "path_prefix", prefix }, { "type", type },
                                         { "resumable", true },     { "timeout_ms", 5'000 },
                                         { "latency_goal_ms", 50 }, { "attempts", 2 },
                                         { "service", service } };
        };
        put(ConfigKind, "main",
            { { "version", 1 },
              { "routes",
                { routeTo("/whole/", "idempotent", "s"), routeTo("/once/", "non_idempotent", "s"),
                  routeTo("/stream/", "streaming", "s"),
                  routeTo("/none/", "idempotent", "none") } },
              { "services", { { { "name", "s" } }, { { "name", "none" } } } } });
        for (int number = 0; number < replicaCount; ++number)
            addReplica("i-" + std::to_string(number)).isStuck = true;
        start(1);
        io.run_for(1s);
    }

    int arrivals() const
    {
        int sum = 0;
        for (const auto &[id, replica] : replicas)
            sum += replica->arrivals;
        return sum;
    }

    /// Leaves a request open that has come to this number of replicas.
    void callAndEnd(const char *path, int sends)
    {
        asio::co_spawn(io, call(0, path, status), asio::detached);
        const Instant end = steadyNow() + 3s;
        do {
            io.run_for(50ms);
        } while (arrivals() < sends && steadyNow() < end);
        CHECK_EQUAL(sends, arrivals());
        CHECK_EQUAL(-1, status);
    }
};

} // namespace

// Requests that were still under way removed themselves from a state that was gone.
TEST_GROUP_BASE(EndingProgram, EndingProgramCases) {};

TEST(EndingProgram, DestroysARequestThatWaitsForAReplicaBeforeItsState)
{
    startNode(0);
    callAndEnd("/none/a", 0);
}

TEST(EndingProgram, DestroysARequestThatWaitsForItsFirstByteBeforeItsState)
{
    startNode(1);
    callAndEnd("/once/a", 1);
}

TEST(EndingProgram, DestroysAStreamBeforeItsState)
{
    startNode(1);
    callAndEnd("/stream/a", 1);
}

TEST(EndingProgram, DestroysARequestWithASecondAttemptBeforeItsState)
{
    startNode(2);
    callAndEnd("/whole/a", 2);
}
