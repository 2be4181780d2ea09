// Orders and report requests to model replicas over HTTP.
#include "net/httpclient.h"
#include "net/httpserver.h"
#include "platform/replicacontrol.h"
#include "support/scriptedserver.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

const std::string Signals = "Server-Limit: 2.5\r\nServer-Leaving: 1\r\n";

std::string answer(const std::string &status, const std::string &headers, const std::string &body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct AcceptingReplica : public HttpHandler
{
    asio::awaitable<void> handle(const HttpRequest &, HttpReply &reply) override
    {
        co_await reply.send(202, {}, "{}");
    }
};

struct FixedCheck : public SendCheck
{
    bool mayStillSend() override { return isAllowed; }
    bool isAllowed = true;
};

} // namespace

TEST_GROUP(ReplicaControl)
{
    asio::io_context io { 1 };
    HttpClient http { io };
    ReplicaControl control { http };
    FixedCheck check;

    template <typename Answer>
    Answer play(const std::string &script,
                const std::function<asio::awaitable<Answer>(Endpoint, Instant)> &call)
    {
        ScriptedServer server(io, { script });
        Answer result;
        const auto run = [&]() -> asio::awaitable<void> {
            result = co_await call(server.endpoint(), steadyNow() + 1s);
        };
        io.restart();
        asio::co_spawn(io, run(), asio::detached);
        io.run_for(300ms);
        return result;
    }

    OrderAnswer order(const std::string &script)
    {
        return play<OrderAnswer>(script, [this](Endpoint replica, Instant deadline) {
            return control.order(std::move(replica), EngineCommand {}, deadline, check);
        });
    }

    ReportAnswer report(const std::string &script)
    {
        return play<ReportAnswer>(script, [this](Endpoint replica, Instant deadline) {
            return control.report(std::move(replica), "i-1", deadline);
        });
    }
};

TEST(ReplicaControl, AnOrdersAnswerBringsWhatTheReplicaSaysOfItself)
{
    const OrderAnswer accepted = order(answer("202 Accepted", Signals, "{}"));
    CHECK(accepted.result == OrderResult::Accepted);
    DOUBLES_EQUAL(2.5, *accepted.signals.requestLimit, 1e-9);
    CHECK(accepted.signals.leaving);
    const OrderAnswer paused = order(answer("503 Busy", "Retry-After: 2\r\n", ""));
    CHECK(*paused.signals.pause == 2s);
}

// Guards against orders of a holder that lost its lease while the connection was being opened.
TEST(ReplicaControl, AnOrderIsWithheldWhenTheCheckSaysSoAtTheLastMoment)
{
    check.isAllowed = false;
    CHECK(order(answer("202 Accepted", Signals, "{}")).result == OrderResult::Conflict);
    check.isAllowed = true;
    CHECK(order(answer("202 Accepted", Signals, "{}")).result == OrderResult::Accepted);
}

// Guards against an earlier order's answer that comes once more on a kept connection and passes for
// that of the next order, which it does not name.
TEST(ReplicaControl, EachOrderHasAConnectionOfItsOwn)
{
    AcceptingReplica handler;
    HttpServer replica(io, {}, handler);
    std::uint16_t port = 0;
    do { // another process may take the free port first
        asio::ip::tcp::acceptor free(io, { asio::ip::make_address("127.0.0.1"), 0 });
        port = free.local_endpoint().port();
    } while (!isOk(replica.listen({ "127.0.0.1", port })));
    constexpr int Orders = 3;
    int accepted = 0;
    const auto run = [&]() -> asio::awaitable<void> {
        const EngineCommand command;
        const Endpoint endpoint { "127.0.0.1", port };
        for (int number = 0; number < Orders; ++number) {
            const OrderAnswer answer =
                    co_await control.order(endpoint, command, steadyNow() + 1s, check);
            accepted += answer.result == OrderResult::Accepted ? 1 : 0;
        }
    };
    asio::co_spawn(io, run(), asio::detached);
    io.run_for(300ms);
    CHECK_EQUAL(Orders, accepted);
    CHECK_EQUAL(std::uint64_t(Orders), http.connectionsOpened());
}

TEST(ReplicaControl, AReportBringsItToo)
{
    const ReportAnswer read = report(answer("200 OK", Signals, R"({"sequence":3})"));
    CHECK_EQUAL(3U, read.report->ordersAccepted);
    DOUBLES_EQUAL(2.5, *read.signals.requestLimit, 1e-9);
    const ReportAnswer paused = report(answer("503 Busy", "Retry-After: 2\r\n", ""));
    CHECK(!paused.report.has_value());
    CHECK(*paused.signals.pause == 2s);
}

// Adapters on their way were not read, so their slots counted as free.
TEST(ReplicaControl, AReportNamesTheAdaptersOnTheirWay)
{
    const ReportAnswer read = report(
            answer("200 OK", "", R"({"sequence":3,"pending":["m/a1@7","m/a@2@1","m@1",5]})"));
    CHECK_EQUAL(2U, read.report->pendingAdapters.size());
    CHECK_EQUAL(std::string("m/a1"), read.report->pendingAdapters[0]);
    CHECK_EQUAL(std::string("m/a@2"), read.report->pendingAdapters[1]);
    CHECK(report(answer("200 OK", "", R"({"sequence":3,"pending":"m/a1@7"})"))
                  .report->pendingAdapters.empty());
}

TEST(ReplicaControl, AnotherReplicaAtTheAddressSaysNothingOfThisOne)
{
    const std::string misdirected = answer("421 Misdirected", Signals, "");
    CHECK(order(misdirected).result == OrderResult::OtherReplica);
    CHECK(!order(misdirected).signals.leaving);
    CHECK(!report(misdirected).signals.requestLimit.has_value());
}
