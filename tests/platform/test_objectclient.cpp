// Values read from the Object API.
#include "peer/ledgerwire.h"
#include "platform/objectclient.h"
#include "support/scriptedserver.h"

#include <CppUTest/TestHarness.h>

#include <optional>

using namespace burdock;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

std::string twoRecords()
{
    std::vector<LedgerRecord> records(2);
    records[0].order = { "order-app", "order-1" };
    records[1].order = { "order-app", "order-2" };
    return ledgerSegmentBytes(records);
}

} // namespace

TEST_GROUP(ObjectClient)
{
    asio::io_context io { 1 };
    HttpClient http { io };
    std::unique_ptr<ScriptedServer> platform;

    Result<StoredObject> read(const std::string &answer)
    {
        platform = std::make_unique<ScriptedServer>(io, std::vector { answer });
        ObjectClient objects(http, platform->endpoint(), 1s);
        std::optional<Result<StoredObject>> result;
        const auto run = [&]() -> asio::awaitable<void> {
            result = co_await objects.read("ledger/1");
        };
        asio::co_spawn(io, run(), asio::detached);
        const Instant limit = steadyNow() + 3s;
        while (!result && steadyNow() < limit)
            io.run_for(5ms);
        return std::move(*result);
    }
};

TEST(ObjectClient, LedgerSegmentCutAtARecordIsNotTakenAsWhole)
{
    const std::string whole = twoRecords();
    const std::string half = whole.substr(0, whole.size() / 2);
    CHECK(parseLedgerSegment(half).has_value()); // its format does not show the cut
    CHECK(!isOk(read("HTTP/1.1 200 OK\r\nETag: \"5\"\r\nX: Close-Now\r\n\r\n" + half)));
}

TEST(ObjectClient, ValueWithALengthIsRead)
{
    const std::string whole = twoRecords();
    const auto object = read("HTTP/1.1 200 OK\r\nETag: \"5\"\r\nContent-Length: "
                             + std::to_string(whole.size()) + "\r\n\r\n" + whole);
    CHECK(isOk(object));
    CHECK_EQUAL(whole, valueOf(object).value);
    CHECK_EQUAL(5, valueOf(object).version);
}
