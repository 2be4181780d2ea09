#include "ctl/inforce.h"

#include "net/coroutines.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollInterval { 250 };

std::string joined(const std::vector<std::string> &phrases)
{
    std::string text;
    for (const std::string &phrase : phrases)
        text += (text.empty() ? "" : "; ") + phrase;
    return text;
}

struct InForce
{
    std::string summary;              // "revision 3 is in force on 2 of 3 nodes"
    std::vector<std::string> lagging; // one phrase for each process that lags
};

asio::awaitable<Result<InForce>> readInForce(Session &session, std::uint64_t revision)
{
    const FleetOptions &options = session.options.fleet;
    const auto targets = co_await findNodes(session.objects, options);
    if (!isOk(targets))
        co_return errorOf(targets);
    const auto fleet = co_await readFleet(session.http, valueOf(targets), options.callTimeout);
    InForce state;
    state.lagging = lagging(fleet, revision);
    state.summary = "revision " + std::to_string(revision) + " is in force on "
            + std::to_string(inForceCount(fleet, revision)) + " of " + std::to_string(fleet.size())
            + " nodes";
    co_return state;
}

} // namespace

asio::awaitable<void> waitUntilInForce(Session &session, std::uint64_t revision,
                                       std::chrono::seconds waitTime)
{
    if (waitTime.count() == 0)
        co_return;
    const Instant deadline = steadyNow() + waitTime;
    Result<InForce> state = InForce {};
    std::string shown;
    while (true) {
        state = co_await readInForce(session, revision);
        if (isOk(state) && valueOf(state).lagging.empty())
            break;
        if (steadyNow() >= deadline)
            break;
        if (isOk(state) && valueOf(state).summary != shown) {
            shown = valueOf(state).summary;
            session.output.progress(shown + "; " + joined(valueOf(state).lagging));
        }
        co_await sleepFor(PollInterval);
    }
    if (!isOk(state)) {
        session.output.error(errorOf(state));
        co_return;
    }
    const InForce &last = valueOf(state);
    json::array names;
    for (const std::string &phrase : last.lagging)
        names.emplace_back(phrase);
    session.output.set("lagging", std::move(names));
    if (last.lagging.empty())
        session.output.line(last.summary);
    else
        session.output.error(Error { ResultCode::PublishNotInForce,
                                     last.summary + "; " + joined(last.lagging) });
}

} // namespace burdock
