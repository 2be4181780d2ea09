// The store as a node follows it, against a store that loses answers or gives odd ones.
#include "edge/storewatch.h"
#include "platform/storeclient.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <unistd.h>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

std::string answer(int status, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status)
            + " X\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string Object = R"({"metadata":{"name":"main","revision":)";
const std::string List = answer(200, R"({"at":5,"items":[)" + Object + R"(5},"spec":{}}]})");
const std::string NewerList = answer(200, R"({"at":7,"items":[)" + Object + R"(7},"spec":{}}]})");
const std::string Change =
        answer(200, R"({"at":7,"events":[{"object":)" + Object + R"(7},"spec":{}}}]})");

/// An answer of a store that came back from an older copy.
std::string ofNextEra(std::string text)
{
    const std::string line = "\r\n";
    return text.insert(text.find(line) + line.size(), "Store-Era: 2" + line);
}

struct Follower : public StoreListener
{
    void onList(ObjectKind, const std::vector<StoredItem> &items) override
    {
        lists++;
        listed = items.size();
        if (!items.empty())
            newest = items.back().revision.number;
    }
    void onChanges(ObjectKind, const std::vector<StoredItem> &items) override
    {
        changes += items.size();
        newest = items.back().revision.number;
    }

    int lists = 0;
    std::size_t listed = 0;
    std::size_t changes = 0;
    std::uint64_t newest = 0;
};

} // namespace

TEST_GROUP(StoreWatching)
{
    boost::asio::io_context io { 1 };
    HttpClient http { io, { 600ms, 30'000ms, 2'000ms } };
    EventLog log { STDERR_FILENO, "n1" };
    Follower follower;

    /// Follows a store that answers by script.
    /// @return how long it took until revision 7 arrived; the most allowed if it did not
    std::chrono::milliseconds follow(const std::vector<std::string> &script,
                                     std::chrono::milliseconds most,
                                     ObjectKind kind = ObjectKind::Replicas)
    {
        ScriptedServer server(io, script);
        StoreClient store(http, server.endpoint());
        StoreWatch watch(io, store, log, follower, kind);
        watch.start();
        const Instant began = steadyNow();
        while (follower.newest < 7 && steadyNow() < began + most)
            io.run_for(10ms);
        const Duration taken = steadyNow() - began;
        io.stop(); // nothing runs on after its server
        return std::chrono::duration_cast<std::chrono::milliseconds>(taken);
    }

    /// Follows a list and a change that have an entry nested as deep as this beside others.
    void checkFollowedBesideOddEntry(std::size_t depth)
    {
        const std::string odd = R"({"metadata":{"name":"odd","revision":4},"spec":{"text":"]}[\"",)"
                                R"("service":)"
                + std::string(depth, '[') + std::string(depth, ']') + "}}";
        const std::string list =
                answer(200, R"({"at":5,"items":[)" + odd + "," + Object + R"(5},"spec":{}}]})");
        const std::string change =
                answer(200,
                       R"({"at":7,"events":[{"object":)" + odd + R"(},{"object":)" + Object
                               + R"(7},"spec":{}}}]})");
        CHECK(follow({ list, change }, 2s) < 1s);
        CHECK_EQUAL(2, follower.listed);
        CHECK_EQUAL(7, follower.newest);
    }
};

TEST(StoreWatching, AChangeArrives)
{
    CHECK(follow({ List, Change }, 1s) < 500ms);
    CHECK_EQUAL(1, follower.listed);
    CHECK_EQUAL(1, follower.changes);
    CHECK_EQUAL(7, follower.newest);
}

// In a cut, an answer is lost while the connection seems to live; a node has 3 s to catch up.
TEST(StoreWatching, ALostAnswerIsAskedForAgainInTime)
{
    CHECK(follow({ List, NoAnswer, Change }, 4s) < 3s);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(1, follower.lists);
}

TEST(StoreWatching, ForgottenHistoryIsListedAnew)
{
    follow({ List, answer(410, "{}"), List, Change }, 2s);
    CHECK_EQUAL(2, follower.lists);
    CHECK_EQUAL(7, follower.newest);
}

TEST(StoreWatching, OddAnswersAreFailuresThatPass)
{
    follow({ answer(200, "no json"), answer(503, ""), List, answer(200, "{}"), answer(200, "[]"),
             Change },
           6s);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(1, follower.lists);
}

TEST(StoreWatching, AnEntryNestedTooDeepHarmsNoOther)
{
    checkFollowedBesideOddEntry(40);
}

TEST(StoreWatching, AnEntryNestedVeryDeepHarmsNoOther)
{
    checkFollowedBesideOddEntry(100'000);
}

TEST(StoreWatching, TheNewestConfigurationIsListedInTimeAfterALostAnswer)
{
    CHECK(follow({ List, NoAnswer, NewerList }, 4s, ObjectKind::Configuration) < 3s);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(2, follower.lists);
}

TEST(StoreWatching, TheNewestConfigurationIsListedAfterOddAnswers)
{
    follow({ answer(200, "no json"), answer(503, ""), List, answer(200, "{}"), answer(200, "[]"),
             NewerList },
           6s, ObjectKind::Configuration);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(2, follower.lists);
}

// The store gave revision 5 out again, and what it lost below is not among the changes.
TEST(StoreWatching, ChangesOfAStoreThatCameBackOlderAreListedAnew)
{
    const std::string noChange = ofNextEra(answer(200, R"({"at":6,"events":[]})"));
    follow({ List, noChange, ofNextEra(NewerList) }, 2s);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(2, follower.lists);
}

TEST(StoreWatching, ARefusedWatchTellsThatTheStoreCameBackOlder)
{
    follow({ List, ofNextEra(answer(503, "")), ofNextEra(NewerList) }, 2s);
    CHECK_EQUAL(7, follower.newest);
    CHECK_EQUAL(2, follower.lists);
}
