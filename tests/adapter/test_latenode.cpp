// Requests at a node that is short of processor time: between the choice of a replica and the first
// byte to it, deadlines pass, callers leave and replicas are taken away.
#include "support/requestflowfixture.h"

using namespace burdock;

namespace {

/// The replica is removed after it was chosen, before anything is sent to it.
struct RemovesReplicaAtClaim : public NodeAnnouncer
{
    explicit RemovesReplicaAtClaim(NodeState &node)
        : state(node)
    {
    }

    bool announcePrompt(const PromptNote &note) override
    {
        if (!isRemoved)
            state.replicas.onDelisted(note.replica, {}, steadyNow());
        isRemoved = true;
        return false;
    }
    asio::awaitable<void> announceLoss(BrokenRun, Endpoint) override { co_return; }
    void announceLimit(const LimitNote &) override { }
    void announceSpending() override { }

    NodeState &state;
    bool isRemoved = false;
};

} // namespace

TEST_GROUP_BASE(LateNode, RequestFlowFixture) {
    /// The node handles events this late.
    void setDelay(Duration delay) { const Instant now = steadyNow();
state->delay.onTimer(now - delay, now);
}
}
;

TEST(LateNode, NothingIsSentToAReplicaThatWasRemovedAfterItWasChosen)
{
    service = "pool";
    models = { { "m", {} } };
    RemovesReplicaAtClaim remover(*state);
    play("/model-stream/a", { events("id: 1\ndata: a\n\n", true) }, remover);
    CHECK(remover.isRemoved);
    CHECK_EQUAL(0, servers[0]->next);
    CHECK_EQUAL(503, caller.status); // it was not run
}

TEST(LateNode, ARequestIsSentToAnotherReplicaInstead)
{
    service = "pool";
    models = { { "m", {} } };
    offersAllAtOnce = true;
    RemovesReplicaAtClaim remover(*state);
    const std::string answer = events("id: 1\ndata: a\n\n", true);
    play("/model-stream/a", { answer, answer }, remover);
    CHECK_EQUAL(200, caller.status);
    CHECK_EQUAL(1, servers[0]->next + servers[1]->next);
}

// The close of the caller's connection had arrived, and waited behind other events.
TEST(LateNode, NothingIsSentForACallerWhoHasLeft)
{
    setDelay(300ms);
    caller.hasLeft = true;
    play("/repeat/a", { Good });
    CHECK_EQUAL(0, servers[0]->next);
    CHECK_EQUAL(0, caller.answers);
}

TEST(LateNode, ARequestThatCannotBeAnsweredInTimeIsRefusedAtOnce)
{
    setDelay(800ms); // of its 2 s
    const Instant start = steadyNow();
    play("/once/a", { Good });
    CHECK_EQUAL(503, caller.status);
    CHECK(headerValue(caller.headers, "Retry-After").has_value());
    CHECK_EQUAL(0, servers[0]->next);
    CHECK(steadyNow() < start + 500ms);
}

TEST(LateNode, ARequestThatCanStillBeAnsweredIsServed)
{
    setDelay(200ms);
    play("/once/a", { Good });
    CHECK_EQUAL(200, caller.status);
}
