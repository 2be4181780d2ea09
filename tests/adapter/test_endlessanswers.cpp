// Callers' requests before replicas whose answers do not end: each caller gets a true final answer
// in time, and the node takes bounded memory.
#include "support/requestflowfixture.h"

using namespace burdock;

namespace {

/// What the node may take in of one answer, with what is in flight in sockets.
constexpr std::size_t MostBytes = 32 * 1024 * 1024;
constexpr auto CallerTime = 2s; // Deadline-Ms of the fixture's requests
constexpr auto Slack = 400ms;

const std::string StreamHead =
        "HTTP/1.1 200 OK\r\n" + Head + "Content-Type: text/event-stream\r\n\r\n";
const std::string FirstEvent = "id: 1\ndata: a\n\n";

} // namespace

struct EndlessAnswersFixture : public RequestFlowFixture
{
    Duration taken {};

    /// Plays a request at a replica that goes on with `endless` after the text, then at the others.
    void playEndless(const char *path, const std::string &text, const std::string &endless,
                     std::chrono::milliseconds pause, const std::vector<std::string> &others = {})
    {
        servers.push_back(std::make_unique<ScriptedServer>(io, std::vector { text }));
        servers[0]->endless = endless;
        servers[0]->endlessPause = pause;
        const Instant begun = steadyNow();
        play(path, others);
        taken = steadyNow() - begun;
        io.run_for(100ms); // the server notices the close when it writes
        CHECK_COMPARE(servers[0]->endlessBytes, <=, MostBytes);
        CHECK_EQUAL(1, servers[0]->closedByCaller);
        CHECK(taken <= CallerTime + Slack);
    }
};

TEST_GROUP_BASE(EndlessAnswers, EndlessAnswersFixture) {};

TEST(EndlessAnswers, AWholeAnswerIsFailedAndNotPassedOn)
{
    playEndless("/once/a", "HTTP/1.1 200 OK\r\n" + Head + "\r\n", "a", 0ms);
    CHECK(caller.status == 502 || caller.status == 504);
    CHECK_EQUAL(1, caller.answers);
}

TEST(EndlessAnswers, AWholeAnswerThatComesByteByByteEndsAtTheDeadline)
{
    playEndless("/once/a", "HTTP/1.1 200 OK\r\n" + Head + "\r\n", "a", 20ms);
    CHECK_EQUAL(504, caller.status);
}

TEST(EndlessAnswers, AHeadIsFailed)
{
    playEndless("/once/a", "HTTP/1.1 200 OK\r\n", "X: a\r\n", 0ms);
    CHECK(caller.status == 502 || caller.status == 504);
}

// The request went to another replica only after its deadline.
TEST(EndlessAnswers, ARefusalWithABodyWithoutEndIsFollowedByAnotherReplicaAtOnce)
{
    playEndless("/once/a", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n\r\n", "a", 10ms, { Good });
    CHECK_EQUAL(200, caller.status);
    CHECK(taken <= 1s);
}

TEST(EndlessAnswers, AnEventIsBrokenOff)
{
    playEndless("/stream-once/a", StreamHead + FirstEvent + "id: 2\ndata: ", "a", 0ms);
    CHECK_EQUAL(FirstEvent, caller.body);
    CHECK(!caller.ended);
}

TEST(EndlessAnswers, AnEventThatComesByteByByteIsContinuedAtAnotherReplica)
{
    offersAllAtOnce = true;
    const std::string second = "id: 2\ndata: b\n\n";
    playEndless("/stream/a", StreamHead + FirstEvent + "id: 2\ndata: ", "a", 20ms,
                { events(second, true) });
    CHECK_EQUAL(FirstEvent + second, caller.body);
    CHECK(caller.ended);
}

TEST(EndlessAnswers, CommentsWithoutEndDoNotKeepAStreamAlive)
{
    offersAllAtOnce = true;
    const std::string second = "id: 2\ndata: b\n\n";
    playEndless("/stream/a", StreamHead + FirstEvent, ": still here\n\n", 20ms,
                { events(second, true) });
    STRCMP_CONTAINS(second.c_str(), caller.body.c_str());
    CHECK(caller.ended);
}

TEST(EndlessAnswers, EventsWithoutEndEndAtTheDeadline)
{
    playEndless("/stream-once/a", StreamHead + FirstEvent, "data: a\n\n", 20ms);
    CHECK(!caller.ended);
}
