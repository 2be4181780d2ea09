// Keys and quotas of organisations on the way of one request.
#include "support/requestflowfixture.h"

#include <unistd.h>

#include <functional>
#include <thread>

using namespace burdock;

namespace {

const char *const Secret = "secret-key-asnmgkcuyj8p";

/// Calls a function when a request has been admitted, before it is sent.
struct ActsAtSpending : public NoNodes
{
    void announceSpending() override { action(); }

    std::function<void()> action;
};

} // namespace

TEST_GROUP_BASE(RequestKeys, RequestFlowFixture)
{
    int pipe[2] = {};
    std::uint64_t version = 1;
    ActsAtSpending actor;

    void setup() override
    {
        RequestFlowFixture::setup();
        CHECK_EQUAL(0, ::pipe(pipe));
        state->log = EventLog(pipe[1], "n1");
        allow({ Secret });
    }

    void teardown() override
    {
        ::close(pipe[0]);
        ::close(pipe[1]);
        RequestFlowFixture::teardown();
    }

    /// Puts a configuration in force in which one organisation has these keys.
    void allow(std::vector<std::string> keys, double perSecond = 1'000.0)
    {
        ServingConfig config = *state->config;
        config.version = ++version;
        config.routes.push_back(route("/public/", false, true));
        config.routes.back().isPublic = true;
        config.organisations = { { "acme", std::move(keys), 0,
                                   Quota { perSecond, perSecond, true, 200.0 } } };
        state->applyConfig(config);
        pass(); // a new quota has an empty bucket
    }

    void pass()
    {
        std::this_thread::sleep_for(2ms);
    }

    void configKnownFor(Duration age)
    {
        state->configKnownAt = [age] {
            return steadyNow() - age;
        };
    }

    void playWith(const char *path, const std::vector<std::string> &keys)
    {
        sentKeys.clear();
        for (const std::string &key : keys)
            sentKeys.push_back({ "Key", key });
        play(path, { Good, Good }, actor);
    }

    /// @return what has been logged; no line may contain the key
    std::string logged()
    {
        state->log.flush();
        std::string text(64 * 1024, '\0');
        const ssize_t size = ::read(pipe[0], text.data(), text.size());
        text.resize(size > 0 ? std::size_t(size) : 0);
        CHECK_TEXT(text.find("event=done") != std::string::npos, "nothing was logged");
        CHECK_TEXT(text.find(Secret) == std::string::npos, "a log line contains a key");
        CHECK_TEXT(state->metrics.text().find(Secret) == std::string::npos, "a metric has a key");
        CHECK_TEXT(caller.body.find(Secret) == std::string::npos, "an answer contains a key");
        return text;
    }

    bool ran() const
    {
        return !servers.empty() && servers[0]->next > 0;
    }
    double level()
    {
        return state->quotas.status("acme", steadyNow())->level;
    }
};

TEST(RequestKeys, AKnownKeyIsServedAndItsOrganisationLogged)
{
    actor.action = [] {
    };
    playWith("/repeat/a", { Secret });
    CHECK_EQUAL(200, caller.status);
    CHECK(logged().find("organisation=acme") != std::string::npos);
}

TEST(RequestKeys, UnknownMissingEmptyAndRepeatedKeysGet401)
{
    const std::string other = std::string(Secret) + "x";
    const std::vector<std::vector<std::string>> all {
        { other }, {}, { "" }, { Secret, Secret }, { Secret, other }
    };
    for (const auto &keys : all) {
        caller = {};
        servers.clear();
        playWith("/repeat/a", keys);
        CHECK_EQUAL(401, caller.status);
        CHECK(!ran());
        logged();
    }
    CHECK_EQUAL(all.size(),
                state->metrics.counter("burdock_answers_total{outcome=\"unknown_key\"}"));
}

// The key may be in a version that this node has not heard of.
TEST(RequestKeys, AnUnknownKeyGets503FromANodeThatIsBehind)
{
    configKnownFor(state->profile.bounds.configApplyTime + 100ms);
    playWith("/repeat/a", { std::string(Secret) + "x" });
    CHECK_EQUAL(503, caller.status);
    CHECK(headerValue(caller.headers, "Retry-After").has_value());
    logged();
}

TEST(RequestKeys, AKnownKeyIsServedByANodeThatIsBehindUnlessRevocationIsStrict)
{
    actor.action = [] {
    };
    configKnownFor(state->profile.bounds.revocationTime + 100ms);
    playWith("/repeat/a", { Secret });
    CHECK_EQUAL(200, caller.status);

    caller = {};
    servers.clear();
    state->profile.bounds.revokesStrictly = true;
    playWith("/repeat/a", { Secret });
    CHECK_EQUAL(503, caller.status);
    CHECK(!ran());
    caller = {};
    servers.clear();
    playWith("/public/a", {});
    CHECK_EQUAL(200, caller.status);
}

TEST(RequestKeys, APublicRouteNeedsNoKey)
{
    actor.action = [] {
    };
    for (const std::vector<std::string> &keys :
         { std::vector<std::string> {}, { "unknown" }, { Secret }, { Secret, Secret } }) {
        caller = {};
        servers.clear();
        playWith("/public/a", keys);
        CHECK_EQUAL(200, caller.status);
    }
    logged();
}

TEST(RequestKeys, AKeyThatIsRemovedBeforeTheSendGets401)
{
    actor.action = [this] {
        allow({});
    };
    playWith("/once/a", { Secret });
    CHECK_EQUAL(401, caller.status);
    CHECK(!ran());
    logged();
}

// The request was encoded with the organisation, which no longer has the key.
TEST(RequestKeys, AKeyThatIsRemovedBeforeTheSendOnAPublicRouteNamesNoOrganisation)
{
    actor.action = [this] {
        allow({});
    };
    playWith("/public/a", { Secret });
    CHECK_EQUAL(200, caller.status);
    CHECK(logged().find("organisation=acme") == std::string::npos);
}

// A node that lost the store while the request waited does not know whether the key still holds.
TEST(RequestKeys, StrictRevocationHoldsForRequestsThatWait)
{
    state->profile.bounds.revokesStrictly = true;
    configKnownFor(0ms);
    actor.action = [this] {
        configKnownFor(state->profile.bounds.revocationTime + 100ms);
    };
    playWith("/once/a", { Secret });
    CHECK_EQUAL(503, caller.status);
    CHECK(!ran());
}

TEST(RequestKeys, BeyondTheQuotaARequestGets429AndATimeToComeBack)
{
    CHECK(!state->quotas.tryTake("acme", 1'500.0, steadyNow()));
    playWith("/repeat/a", { Secret });
    CHECK_EQUAL(429, caller.status);
    const double seconds = std::stod(*headerValue(caller.headers, "Retry-After"));
    CHECK(seconds > 0.5 && seconds < 3.1); // 1.5 s, and as much again at random
    CHECK(!ran());
    const std::string text = logged();
    CHECK(text.find("organisation=acme") != std::string::npos);
    CHECK(text.find(" quota 1000 own ") != std::string::npos);
}

TEST(RequestKeys, OnlyARequestThatRanIsPaidFor)
{
    actor.action = [] {
    };
    playWith("/once/a", { Secret });
    CHECK_EQUAL(200, caller.status);
    CHECK(level() < -150.0);

    servers.clear();
    caller = {};
    allow({ Secret }, 100'000.0);
    std::this_thread::sleep_for(10ms);
    const double before = level();
    sentKeys = { { "Key", Secret } };
    play("/once/a", { NotRun }, actor);
    CHECK_EQUAL(503, caller.status);
    CHECK(level() >= before);
}
