// A replica stops within the head of its answer and closes the connection: an empty or short answer
// must not pass for a whole one.
#include "support/pausingreplicas.h"

using namespace burdock;

TEST_GROUP_BASE(CutHeads, PausingReplicas) {
    void playCutHeads(const std::string &answer, const char *path) { constexpr std::size_t Step = 7;
const std::size_t headBytes = answer.find("\r\n\r\n") + 4;
for (std::size_t bytes = 1; bytes < headBytes; bytes += Step) {
    add({ { 0ms, answer.substr(0, bytes) } });
    const std::vector<Caller> callers = play(path, 1);
    CHECK_EQUAL(502, callers[0].status);
    CHECK(!headerValue(callers[0].headers, "Server-Seal").has_value());
    state->replicas.onDelisted("r" + std::to_string(replicas.size() - 1), {}, steadyNow());
}
}
}
;

TEST(CutHeads, AnswersWithALength)
{
    playCutHeads(Good, "/once/a");
}

TEST(CutHeads, AnswersInChunks)
{
    playCutHeads("HTTP/1.1 200 OK\r\n" + Head
                         + "Transfer-Encoding: chunked\r\n\r\n4\r\ngood\r\n0\r\n\r\n",
                 "/once/a");
}

TEST(CutHeads, AnswersThatEndWithTheirConnection)
{
    playCutHeads("HTTP/1.1 200 OK\r\n" + Head + "\r\ngood", "/once/a");
}

TEST(CutHeads, Streams)
{
    playCutHeads(events("id: 1\ndata: a\n\n", true), "/stream-once/a");
}
