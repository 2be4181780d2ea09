// Streams that their replica breaks off, by what marks the end of the answer's body.
#include "support/requestflowfixture.h"

#include <array>
#include <cstdio>

using namespace burdock;

namespace {

const std::string FirstEvent = "id: 1\ndata: a\n\n";
const std::string SecondEvent = "id: 2\ndata: b\n\n";
const std::string PartOfEvent = "id: 2\nda";

std::string streamHead(const std::string &delimiter)
{
    return "HTTP/1.1 200 OK\r\n" + Head + "Content-Type: text/event-stream\r\n" + delimiter
            + "\r\n";
}

std::string closeDelimited(const std::string &text)
{
    return streamHead("X: Close-Now\r\n") + text;
}

std::string resetAfter(const std::string &text)
{
    return streamHead("X: Reset-Now\r\n") + text;
}

std::string withLength(const std::string &text)
{
    return streamHead("Content-Length: " + std::to_string(text.size()) + "\r\n") + text;
}

std::string chunked(const std::string &text)
{
    std::array<char, 16> size {};
    std::snprintf(size.data(), size.size(), "%zx\r\n", text.size());
    return streamHead("Transfer-Encoding: chunked\r\n") + size.data() + text + "\r\n0\r\n\r\n";
}

struct LossCounter : public NoNodes
{
    asio::awaitable<void> announceLoss(BrokenRun run, Endpoint) override
    {
        losses += run.isAnswered ? 0 : 1;
        co_return;
    }

    int losses = 0;
};

} // namespace

TEST_GROUP_BASE(BrokenStreams, RequestFlowFixture) {
    void checkBrokenOff(const std::string &answer) { play("/stream-once/a", { answer });
CHECK_EQUAL(FirstEvent, caller.body);
CHECK(!caller.ended);
}

void checkNotContinued(const std::string &statusLine)
{
    play("/stream/a",
         { resetAfter(FirstEvent),
           "HTTP/1.1 " + statusLine + "\r\n" + Head
                   + "Content-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror" });
    CHECK_EQUAL(FirstEvent, caller.body);
    CHECK_EQUAL(1, caller.answers);
    CHECK(!caller.ended);
}

void checkDelivered(const std::string &answer)
{
    play("/stream-once/a", { answer });
    CHECK_EQUAL(FirstEvent + SecondEvent, caller.body);
    CHECK(caller.ended);
}
}
;

TEST(BrokenStreams, CloseInsideAnEventIsNotDeliveredAsComplete)
{
    checkBrokenOff(closeDelimited(FirstEvent + PartOfEvent));
}

TEST(BrokenStreams, LastChunkInsideAnEventIsNotDeliveredAsComplete)
{
    checkBrokenOff(chunked(FirstEvent + PartOfEvent));
}

TEST(BrokenStreams, LengthThatEndsInsideAnEventIsNotDeliveredAsComplete)
{
    checkBrokenOff(withLength(FirstEvent + PartOfEvent));
}

TEST(BrokenStreams, ResumableStreamClosedInsideAnEventIsResumedAtAnotherReplica)
{
    play("/stream/a", { closeDelimited(FirstEvent + PartOfEvent), withLength(SecondEvent) });
    CHECK_EQUAL(FirstEvent + SecondEvent, caller.body);
    CHECK(caller.ended);
    CHECK_EQUAL(1, servers[1]->next);
}

TEST(BrokenStreams, ErrorOfTheNextReplicaIsNotWrittenIntoTheStream)
{
    checkNotContinued("404 Not Found");
}

TEST(BrokenStreams, FailureOfTheNextReplicaIsNotWrittenIntoTheStream)
{
    checkNotContinued("500 Failed");
}

TEST(BrokenStreams, WholeAnswerOfTheNextReplicaIsNotWrittenIntoTheStream)
{
    checkNotContinued("200 OK");
}

TEST(BrokenStreams, CloseInsideAnEventCountsAsALossOfTheReplica)
{
    LossCounter counter;
    play("/stream-once/a", { closeDelimited(FirstEvent + PartOfEvent) }, counter);
    CHECK_EQUAL(1, counter.losses);
}

TEST(BrokenStreams, CloseBeforeTheFirstEventIsNotDeliveredAsComplete)
{
    play("/stream-once/a", { closeDelimited("") });
    CHECK_EQUAL(502, caller.status);
}

TEST(BrokenStreams, ResumedStreamThatHasNothingLeftIsComplete)
{
    play("/stream/a", { resetAfter(FirstEvent), closeDelimited("") });
    CHECK_EQUAL(FirstEvent, caller.body);
    CHECK(caller.ended);
}

TEST(BrokenStreams, EmptyStreamWithALengthIsDelivered)
{
    play("/stream-once/a", { withLength("") });
    CHECK_EQUAL(200, caller.status);
    CHECK(caller.ended);
}

TEST(BrokenStreams, ResetBetweenEventsIsNotDeliveredAsComplete)
{
    checkBrokenOff(resetAfter(FirstEvent));
}

TEST(BrokenStreams, CloseDelimitedStreamIsDeliveredWhole)
{
    checkDelivered(closeDelimited(FirstEvent + SecondEvent));
}

TEST(BrokenStreams, ChunkedStreamIsDeliveredWhole)
{
    checkDelivered(chunked(FirstEvent + SecondEvent));
}

TEST(BrokenStreams, StreamWithALengthIsDeliveredWhole)
{
    checkDelivered(withLength(FirstEvent + SecondEvent));
}

TEST(BrokenStreams, StreamWithoutEventIdsIsCutRatherThanBegunAnewAtAnotherReplica)
{
    play("/stream/a", { resetAfter("data: a\n\n"), withLength("data: a\n\ndata: b\n\n") });
    CHECK_EQUAL(std::string("data: a\n\n"), caller.body);
    CHECK(!caller.ended);
    CHECK_EQUAL(0, servers[1]->next);
}

TEST(BrokenStreams, CommentsDoNotKeepAStreamFromBeingResumed)
{
    const std::string comment = ": keep-alive\n\n";
    play("/stream/a", { resetAfter(FirstEvent + comment), withLength(SecondEvent) });
    CHECK_EQUAL(FirstEvent + comment + SecondEvent, caller.body);
    CHECK(caller.ended);
}
