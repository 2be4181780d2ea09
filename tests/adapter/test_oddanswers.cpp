// Whoever reads an answer from the platform (callers' requests, orders, reports, the store) takes
// none of the bytes for one that a server in trouble sends in its place.
#include "platform/replicacontrol.h"
#include "platform/storeclient.h"
#include "support/oddanswers.h"
#include "support/requestflowfixture.h"
#include "support/resettingserver.h"

using namespace burdock;

namespace {

constexpr std::size_t UploadBytes = 4 * 1024 * 1024;
constexpr const char *Paths[] = { "/once/a", "/stream-once/a" };

struct AlwaysSend : public SendCheck
{
    bool mayStillSend() override { return true; }
};

} // namespace

struct OddAnswersFixture : public RequestFlowFixture
{
    /// Plays a request of its own, by itself.
    void playAnew(const char *path, const std::vector<std::string> &scripts)
    {
        servers.clear();
        caller = {};
        io.restart(); // the play before may have left it without work
        play(path, scripts);
        state->replicas.onDelisted("r0", {}, steadyNow());
    }

    template <typename Answer>
    Answer readAnswer(const std::string &text,
                      const std::function<asio::awaitable<Answer>(HttpClient &, Endpoint)> &call)
    {
        HttpClient http(io);
        ScriptedServer server(io, { text });
        std::optional<Answer> answer;
        const auto run = [&]() -> asio::awaitable<void> {
            answer.emplace(co_await call(http, server.endpoint()));
        };
        io.restart(); // the call before may have left it without work
        asio::co_spawn(io, run(), asio::detached);
        const Instant end = steadyNow() + 3s;
        while (!answer && steadyNow() < end)
            io.run_for(1ms);
        CHECK(answer.has_value());
        return std::move(*answer);
    }
};

TEST_GROUP_BASE(OddAnswers, OddAnswersFixture) {};

// Guards against the answer of a replica in trouble reaching the caller as one: status 000, interim
// answers and unknown framings did, with the replica's seal.
TEST(OddAnswers, NoneReachesACaller)
{
    for (const char *path : Paths) {
        for (const OddAnswer &odd : oddAnswers(Head)) {
            playAnew(path, { odd.text });
            CHECK_EQUAL_TEXT(502, caller.status, odd.name.c_str());
            CHECK_TEXT(!headerValue(caller.headers, "Server-Seal"), odd.name.c_str());
            CHECK_TEXT(caller.body.find("hello") == std::string::npos, odd.name.c_str());
        }
    }
}

// Guards against an interim answer that names the request ending it, while the final one follows.
TEST(OddAnswers, TheFinalAnswerBehindInterimOnesReachesTheCaller)
{
    for (const std::string &interim :
         { "HTTP/1.1 102 X\r\n" + Head + "\r\n", std::string("HTTP/1.1 100 Continue\r\n\r\n") }) {
        playAnew("/once/a", { interim + Good });
        CHECK_EQUAL(200, caller.status);
        CHECK_EQUAL(std::string("good"), caller.body);
    }
}

// Guards against a part of an answer reaching the caller as a whole one, after a reset under its
// upload.
TEST(OddAnswers, NoPartReachesTheCallerOfAnUploadThatIsReset)
{
    const std::string body(UploadBytes, 'u');
    for (const ResettingPlay &play :
         resetsUnderAnUpload("HTTP/1.1 200 OK\r\n" + Head, UploadBytes)) {
        ResettingServer replica(io, play);
        ReplicaInfo info;
        info.id = "r0";
        info.service = service;
        info.address = toText(replica.endpoint());
        info.startedMs = 1;
        info.slots = 4;
        caller = {};
        state->replicas.onAnnounced(info, steadyNow());
        HttpRequest request = callerRequest("/once/a");
        request.body = body;
        RequestFlow flow(*state, nodes, request, caller);
        asio::co_spawn(io, flow.run(), asio::detached);
        const Instant end = steadyNow() + 3s;
        while (!caller.ended && steadyNow() < end)
            io.run_for(5ms);
        io.run_for(20ms);
        CHECK_EQUAL(502, caller.status);
        state->replicas.onDelisted("r0", {}, steadyNow());
    }
}

// Guards against orders and reports that are answered by bytes which are no answer.
TEST(OddAnswers, OrdersAndReportsTakeNone)
{
    AlwaysSend check;
    for (const OddAnswer &odd : oddAnswers("Server-Leaving: 1\r\n")) {
        const auto order = readAnswer<OrderAnswer>(
                odd.text, [&](HttpClient &http, Endpoint replica) -> asio::awaitable<OrderAnswer> {
                    ReplicaControl control(http);
                    EngineCommand command;
                    co_return co_await control.order(replica, command, steadyNow() + 2s, check);
                });
        CHECK_TEXT(order.result == OrderResult::Unanswered, odd.name.c_str());
        CHECK_TEXT(!order.signals.leaving, odd.name.c_str());
        const auto report = readAnswer<ReportAnswer>(
                odd.text, [](HttpClient &http, Endpoint replica) -> asio::awaitable<ReportAnswer> {
                    ReplicaControl control(http);
                    co_return co_await control.report(replica, "i-1", steadyNow() + 2s);
                });
        CHECK_TEXT(!report.report && !report.signals.leaving, odd.name.c_str());
    }
}

// Guards against the same in answers of the store, whose era every process believes.
TEST(OddAnswers, TheStoresCallsTakeNone)
{
    for (const OddAnswer &odd : oddAnswers("Store-Era: 9\r\n")) {
        const auto read = readAnswer<ReadAnswer>(
                odd.text, [](HttpClient &http, Endpoint address) -> asio::awaitable<ReadAnswer> {
                    StoreClient client(http, address);
                    auto answer = co_await client.read(ObjectKind::Leases, "placement");
                    CHECK_EQUAL(0U, client.latestEra());
                    co_return answer;
                });
        CHECK_TEXT(std::holds_alternative<StoreUnavailable>(read), odd.name.c_str());
        const auto written = readAnswer<StoreWriteAnswer>(
                odd.text,
                [](HttpClient &http, Endpoint address) -> asio::awaitable<StoreWriteAnswer> {
                    StoreClient client(http, address);
                    const StoreRevision revision { 0, 5 };
                    boost::json::value content;
                    co_return co_await client.write(ObjectKind::Leases, "placement", revision,
                                                    content);
                });
        CHECK_TEXT(written.outcome == WriteOutcome::Unknown, odd.name.c_str());
    }
}
