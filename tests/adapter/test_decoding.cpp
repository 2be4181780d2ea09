// What the platform sends, decoded: the traps of its names, and bad input.
#include "platform/hostsettings.h"
#include "platform/requestdialect.h"
#include "platform/storedecoder.h"

#include <boost/json/parse.hpp>

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace burdock;
using namespace std::chrono_literals;

namespace {

StoredItem item(const std::string &name, const char *json)
{
    StoredItem made;
    made.name = name;
    made.content = boost::json::parse(json);
    return made;
}

HttpRequest request(std::vector<HttpHeader> headers)
{
    HttpRequest made;
    made.method = "POST";
    made.target = "/a/b?c=d";
    made.host = "shop.example";
    made.headers = std::move(headers);
    return made;
}

bool hasHeader(const HttpRequest &request, const char *name)
{
    return headerValue(request.headers, name).has_value();
}

} // namespace

TEST_GROUP(StoreDecoder)
{
    StoreDecoder decoder;
};

TEST(StoreDecoder, ReadsAReplica)
{
    const auto info = decoder.replica(item("i-1", R"({"service":"s","address":"10.0.0.1:80",
        "zone":"z","slots":64,"state":"draining","cold_left_ms":250,"sequence":9,"born":1700,
        "models":[{"name":"m","version":1,"adapters":["a1"]}],
        "available":{"in_memory":["m"],"on_disk":["m","n"]}})"));
    CHECK(isOk(info));
    const ReplicaInfo &replica = valueOf(info);
    CHECK_EQUAL(std::string("i-1"), replica.id);
    CHECK(replica.draining);
    CHECK(replica.coldRemaining == 250ms);
    CHECK_EQUAL(1700, replica.startedMs);
    CHECK_EQUAL(std::string("a1"), replica.models.at(0).adapters.at(0));
    CHECK_EQUAL(2, replica.onDisk.size());
}

TEST(StoreDecoder, AnEntryOfAnotherWriterNamesNoReplica)
{
    const char *bad[] = {
        R"({"service":"s","address":"10.0.0.1:80"})",
        R"({"service":7,"address":"10.0.0.1:80","state":"ready"})",
        R"({"service":"s","address":"nowhere","state":"ready"})",
        R"({"service":"s","address":"10.0.0.1:80","state":"sleeping"})",
        R"([1,2,3])",
        R"("text")",
        R"(null)",
    };
    for (const char *json : bad)
        CHECK(!isOk(decoder.replica(item("i-1", json))));
}

TEST(StoreDecoder, OddFieldsBesideTheNeededOnesAreLeftOut)
{
    const auto info = decoder.replica(item("i-1", R"({"service":"s","address":"10.0.0.1:80",
        "state":"ready","slots":"many","models":[{"version":1},7,{"name":"m","adapters":[3]}]})"));
    CHECK(isOk(info));
    CHECK_EQUAL(0, valueOf(info).slots);
    CHECK_EQUAL(1, valueOf(info).models.size());
}

TEST(StoreDecoder, NumbersThatAreTooLargeAreLeftOut)
{
    const auto info = decoder.replica(item("i-1", R"({"service":"s","address":"10.0.0.1:80",
        "state":"ready","slots":8000000000,"cold_left_ms":1e999,
        "born":123456789012345678901234567890})"));
    CHECK(isOk(info));
    CHECK_EQUAL(0, valueOf(info).slots);
    CHECK_EQUAL(0, valueOf(info).startedMs);
    CHECK(valueOf(info).coldRemaining == 0ms);
}

TEST(StoreDecoder, AnAddressWithAPortOutOfRangeNamesNoReplica)
{
    for (const char *port : { "0", "65536", "-1", "99999999999999999999" }) {
        const std::string json = std::string(R"({"service":"s","address":"10.0.0.1:)") + port
                + R"(","state":"ready"})";
        CHECK(!isOk(decoder.replica(item("i-1", json.c_str()))));
    }
}

TEST(StoreDecoder, ReadsRoutesByWhatMayBeRepeated)
{
    const auto config = decoder.configuration(item("main", R"({"version":7,"routes":[
        {"name":"r1","host":"h","path_prefix":"/a/","type":"idempotent","service":"s","attempts":2},
        {"name":"r2","host":"h","path_prefix":"/b/","type":"non_idempotent","service":"s"},
        {"name":"r3","host":"h","path_prefix":"/c/","type":"streaming","service":"s"},
        {"name":"r4","host":"h","path_prefix":"/d/","type":"streaming","resumable":true,
         "split":[{"service":"s","weight":90},{"service":"t","weight":10}]}],
        "services":[{"name":"s","engine":{"models":[{"name":"m","load_s":1.6}]}}],
        "limits":{"idle_timeout_ms":15000}})"));
    CHECK(isOk(config));
    const auto &routes = valueOf(config).routes;
    CHECK(routes[0].repeatable && !routes[1].repeatable);
    CHECK(!routes[2].repeatable && routes[3].repeatable);
    CHECK_EQUAL(2, routes[3].targets.size());
    CHECK(valueOf(config).services.at("s").engine->models[0].storeLoadTime == 1'600ms);
    CHECK(valueOf(config).limits.idleTimeout == 15s);
}

TEST(StoreDecoder, RefusesAConfigurationWithoutVersion)
{
    CHECK(!isOk(decoder.configuration(item("main", R"({"routes":[]})"))));
    CHECK(!isOk(decoder.configuration(item("main", R"({"version":"7","routes":[]})"))));
}

TEST_GROUP(Organisations)
{
    StoreDecoder decoder;

    /// @param fields of the configuration beside its version and routes
    Result<ServingConfig> decode(const std::string &fields)
    {
        const std::string json = R"({"version":7,"routes":[])" + fields + "}";
        return decoder.configuration(item("main", json.c_str()));
    }
};

TEST(Organisations, AreReadWithKeysPriorityAndQuota)
{
    const auto config = decode(R"(,"tenants":[{"name":"hule930","api_keys":["k1","k2"],
        "priority":1,"unit":"token_based","plain_tokens":200,"rate_per_s":506919,"burst":4200.5},
        {"name":"free"},{"name":"counted","rate_per_s":5,"burst":null}])");
    CHECK(isOk(config));
    const std::vector<Organisation> &all = *valueOf(config).organisations;
    CHECK_EQUAL(3, all.size());
    CHECK_EQUAL(2, all[0].keys.size());
    CHECK_EQUAL(1, all[0].priority);
    DOUBLES_EQUAL(506'919.0, all[0].quota->perSecond, 1e-9);
    DOUBLES_EQUAL(4'200.5, all[0].quota->burst, 1e-9);
    DOUBLES_EQUAL(200.0, requestCost(*all[0].quota, 0, 0), 1e-9);
    DOUBLES_EQUAL(70.0, requestCost(*all[0].quota, 50, 20), 1e-9);
    CHECK(all[1].keys.empty() && !all[1].quota);
    DOUBLES_EQUAL(1.0, requestCost(*all[2].quota, 50, 20), 1e-9);
    CHECK(valueOf(config).problems.empty());
}

// Without the list no request needs a key; with an empty one no key is known.
TEST(Organisations, AnEmptyListIsNotAMissingOne)
{
    CHECK(!valueOf(decode("")).organisations.has_value());
    CHECK(!valueOf(decode(R"(,"tenants":null)")).organisations.has_value());
    CHECK(valueOf(decode(R"(,"tenants":[])")).organisations->empty());
    for (const char *bad : { "{}", "7", "\"all\"", "true" })
        CHECK(!isOk(decode(std::string(R"(,"tenants":)") + bad)));
}

TEST(Organisations, OneThatCannotBeReadCostsNoOther)
{
    const char *bad[] = {
        "7",
        "null",
        R"({"api_keys":["k"]})",
        R"({"name":""})",
        R"({"name":7})",
        R"({"name":"a\nTenant: b"})",
        R"({"name":"a\u0000"})",
        R"({"name":"a\u007f"})",
        R"({"name":"a","api_keys":[7]})",
        R"({"name":"a","api_keys":[""]})",
        R"({"name":"a","rate_per_s":-1})",
        R"({"name":"a","rate_per_s":"many"})",
        R"({"name":"a","rate_per_s":5,"burst":-1})",
        R"({"name":"a","rate_per_s":5,"plain_tokens":-1})",
        R"({"name":"a","rate_per_s":1e999})",
        R"({"name":"good"})",
    };
    for (const char *json : bad) {
        const auto config = decode(R"(,"tenants":[{"name":"good","api_keys":["k1"]},)"
                                   + std::string(json) + R"(,{"name":"last"}])");
        CHECK_TEXT(isOk(config), json);
        const ServingConfig &read = valueOf(config);
        CHECK_EQUAL_TEXT(2, read.organisations->size(), json);
        CHECK_EQUAL(std::string("k1"), read.organisations->at(0).keys.at(0));
        CHECK_EQUAL(std::string("last"), read.organisations->at(1).name);
        CHECK_EQUAL_TEXT(1, read.problems.size(), json);
    }
}

// Log records name what is wrong with an entry; its keys are secret.
TEST(Organisations, ProblemsStateNoKey)
{
    const auto config = decode(R"(,"tenants":[{"name":"a","api_keys":["secret",7]},
        {"name":"b","api_keys":["secret"],"rate_per_s":-1},{"api_keys":["secret"]}])");
    CHECK_EQUAL(3, valueOf(config).problems.size());
    for (const std::string &problem : valueOf(config).problems)
        CHECK(problem.find("secret") == std::string::npos);
}

TEST(Organisations, RoutesArePublicOnlyIfTheySaySo)
{
    const auto config = decoder.configuration(item("main", R"({"version":7,"routes":[
        {"name":"a","public":true},{"name":"b"},{"name":"c","public":"yes"}]})"));
    CHECK(valueOf(config).routes[0].isPublic);
    CHECK(!valueOf(config).routes[1].isPublic);
    CHECK(!valueOf(config).routes[2].isPublic);
}

TEST_GROUP(PlatformDialect)
{
    PlatformDialect dialect;
};

TEST(PlatformDialect, DecodesARequest)
{
    const auto decoded = dialect.decode(request({ { "Attempt-Id", "q1" },
                                                  { "Deadline-Ms", "1500" },
                                                  { "Model", "m/a3" },
                                                  { "Token-Count", "1460,80" },
                                                  { "Prompt-Prefix", "5c1e07a2:800,91bd3f06:410" },
                                                  { "Last-Event-Id", "12" } }));
    CHECK(isOk(decoded));
    const CallerRequest &caller = valueOf(decoded);
    CHECK(caller.timeLeft == 1'500ms);
    CHECK_EQUAL(std::string("m"), caller.model);
    CHECK_EQUAL(std::string("a3"), caller.adapter);
    CHECK_EQUAL(1460, caller.promptTokens);
    CHECK_EQUAL(80, caller.outputTokens);
    CHECK_EQUAL(2, caller.prompt.size());
    CHECK_EQUAL(410, caller.prompt[1].tokens);
    CHECK_EQUAL(12, *caller.resumeAfter);
}

TEST(PlatformDialect, CallersCannotSetWhatIsTheSystemsToSet)
{
    const auto decoded = dialect.decode(request({ { "Attempt-Id", "q1" },
                                                  { "hold", "h1" },
                                                  { "Pin-Ms", "9" },
                                                  { "KV-BACKUP", "10.0.0.1:80" },
                                                  { "Kv-From", "10.0.0.1:80/x" },
                                                  { "Expect-Instance", "i-9" },
                                                  { "Request-Urgency", "0" },
                                                  { "Connection", "keep-alive" },
                                                  { "X-Other", "kept" } }));
    const HttpRequest sent = dialect.encode(valueOf(decoded), { "i-1", 900ms, std::nullopt, 4 });
    for (const char *name :
         { "Hold", "Pin-Ms", "Kv-Backup", "Kv-From", "Connection", "Request-Urgency" })
        CHECK(!hasHeader(sent, name));
    CHECK(hasHeader(sent, "X-Other"));
    CHECK_EQUAL(std::string("i-1"), *headerValue(sent.headers, "Expect-Instance"));
    CHECK_EQUAL(std::string("900"), *headerValue(sent.headers, "Deadline-Ms"));
    CHECK_EQUAL(std::string("/a/b?c=d"), sent.target);
    CHECK_EQUAL(std::string("shop.example"), sent.host);
}

TEST(PlatformDialect, ARequestWithoutIdIsMalformed)
{
    CHECK(!isOk(dialect.decode(request({ { "Model", "m" } }))));
}

TEST(PlatformDialect, OddHeadersAreIgnored)
{
    const auto decoded = dialect.decode(request({ { "Attempt-Id", "q1" },
                                                  { "Deadline-Ms", "soon" },
                                                  { "Token-Count", "," },
                                                  { "Prompt-Prefix", ":,x,5c:,5c:-4,5c:7" } }));
    CHECK(isOk(decoded));
    CHECK(!valueOf(decoded).timeLeft.has_value());
    CHECK_EQUAL(0, valueOf(decoded).promptTokens);
    CHECK_EQUAL(1, valueOf(decoded).prompt.size());
}

TEST(PlatformDialect, KnowsWhoseAnswerItIsAndWhetherItRan)
{
    CallerRequest caller;
    caller.name = "q1";
    caller.model = "m";
    const auto read = [&](int status, std::vector<HttpHeader> headers) {
        return dialect.readHead({ status, std::move(headers) }, caller, "i-1");
    };
    CHECK(read(200, { { "Attempt-Id", "q2" }, { "Server-Seal", "s" } }).foreign);
    CHECK(read(200, { { "Attempt-Id", "q1" } }).foreign);
    CHECK(!read(200, { { "Attempt-Id", "q1" }, { "Server-Seal", "s" } }).foreign);
    CHECK(!read(500, { { "Attempt-Id", "q1" } }).foreign);
    CHECK(read(503, { { "Not-Executed", "1" } }).notRun);
    CHECK(!read(503, { { "Attempt-Id", "q1" } }).notRun);
    CHECK(read(421, { { "Instance-Id", "i-2" } }).otherReplica);
    CHECK(read(421, { { "Instance-Id", "i-1" } }).copyAbsent);
    const auto loaded = read(
            200, { { "Attempt-Id", "q1" }, { "Server-Seal", "s" }, { "Instance-Load", "3,1,8" } });
    CHECK_EQUAL(3, loaded.load->running);
    CHECK_EQUAL(8, loaded.load->slots);
    CHECK_EQUAL(0, loaded.load->workTimePercent);
    const auto load = [&](const char *text) {
        return read(200, { { "Instance-Load", text } }).load;
    };
    CHECK_EQUAL(140, load("3,1,8,140")->workTimePercent);
    for (const char *absurd : { "3,1,8,-5", "3,1,8,x", "3,1,8,99999999999" })
        CHECK_EQUAL(0, load(absurd)->workTimePercent);
    CHECK(!load("3,x,8,140")); // the figures must not be taken for one another
}

TEST(PlatformDialect, ReadsFromEveryAnswerWhetherItsReplicaLeaves)
{
    CallerRequest caller;
    caller.name = "q1";
    const auto leaves = [&](int status, std::vector<HttpHeader> headers) {
        headers.push_back({ "Server-Leaving", "1" });
        return dialect.readHead({ status, std::move(headers) }, caller, "i-1").leaving;
    };
    CHECK(leaves(200, { { "Attempt-Id", "q1" }, { "Server-Seal", "s" } }));
    CHECK(leaves(500, { { "Attempt-Id", "q1" } }));
    CHECK(leaves(503, { { "Not-Executed", "1" } }));
    CHECK(leaves(421, { { "Instance-Id", "i-1" } }));
    CHECK(!leaves(421, { { "Instance-Id", "i-2" } })); // another replica's word
    CHECK(!leaves(200, { { "Attempt-Id", "q2" }, { "Server-Seal", "s" } }));
}

TEST(PlatformDialect, ReadsForHowLongAReplicaWantsNoRequests)
{
    CallerRequest caller;
    caller.name = "q1";
    const auto read = [&](const std::vector<std::string> &values, int status = 503) {
        HttpResponseHead head { status, { { "Not-Executed", "1" } } };
        for (const std::string &value : values)
            head.headers.push_back({ "Retry-After", value });
        return dialect.readHead(head, caller, "i-1");
    };
    CHECK(*read({ "2" }).pause == 2s);
    CHECK(*read({ "0.25" }).pause == 250ms);
    CHECK(*read({ "1", "3" }).pause == 3s);
    CHECK(*read({ "1e300" }).pause == 24h);
    CHECK(!read({}).pause.has_value());
    CHECK(!read({ "2" }, 429).pause.has_value());
    for (const char *bad : { "-1", "soon", "2 s", "nan", "Fri, 04 Dec 2026 07:28:00 GMT", "" }) {
        const ReplicaAnswer answer = read({ bad });
        CHECK(!answer.pause.has_value());
        CHECK_EQUAL(std::string(bad), answer.malformedPause);
    }
}

TEST(PlatformDialect, ReadsHowManyRequestsAReplicaTakes)
{
    CallerRequest caller;
    caller.name = "q1";
    const auto read = [&](const std::vector<std::string> &values,
                          HttpResponseHead head = { 500, { { "Attempt-Id", "q1" } } }) {
        for (const std::string &value : values)
            head.headers.push_back({ "Server-Limit", value });
        return dialect.readHead(head, caller, "i-1");
    };
    DOUBLES_EQUAL(1.0, *read({ "1" }).requestLimit, 1e-9);
    DOUBLES_EQUAL(0.25, *read({ "0.25" }).requestLimit, 1e-9);
    DOUBLES_EQUAL(0.0, *read({ "0" }).requestLimit, 1e-9);
    DOUBLES_EQUAL(1.0, *read({ "3", "1" }).requestLimit, 1e-9);
    DOUBLES_EQUAL(2.0, *read({ "soon", "2" }).requestLimit, 1e-9);
    CHECK(!read({}).requestLimit.has_value());
    for (const char *bad : { "-1", "soon", "2/s", "nan", "inf", "1,5", "1e999", "" }) {
        const ReplicaAnswer answer = read({ bad });
        CHECK(!answer.requestLimit.has_value());
        CHECK_EQUAL(std::string(bad), answer.malformedLimit);
    }
    CHECK(read({ "1" }, { 503, { { "Not-Executed", "1" } } }).requestLimit.has_value());
    CHECK(read({ "1" }, { 421, { { "Instance-Id", "i-1" } } }).requestLimit.has_value());
    CHECK(!read({ "1" }, { 421, { { "Instance-Id", "i-2" } } }).requestLimit.has_value());
    CHECK(!read({ "1" }, { 200, { { "Attempt-Id", "q2" } } }).requestLimit.has_value());
}

TEST(PlatformDialect, AnswersWithAddresses)
{
    HttpRequest question;
    question.target = "/resolve?name=shop.example&region=r&zone=z%2Da";
    CHECK_EQUAL(std::string("z-a"), dialect.addressQuestion(question)->zone);
    question.target = "/other";
    CHECK(!dialect.addressQuestion(question).has_value());
    CHECK_EQUAL(std::string(R"({"addresses":["10.0.0.1:80"],"ttl_s":1E0})"),
                dialect.addressAnswer({ "10.0.0.1:80" }, 1s));
}

TEST(PlatformDialect, TellsWhenToComeBack)
{
    const auto headers = dialect.ownHeaders("q1", 1'250ms);
    CHECK_EQUAL(std::string("1.250"), *headerValue(headers, "Retry-After"));
    CHECK(!headerValue(dialect.ownHeaders("q1", 0ms), "Retry-After").has_value());
}

TEST_GROUP(HostSettings) {};

TEST(HostSettings, ReadsWhatIsThereAndIgnoresTheRest)
{
    const auto profile = decodeHostSettings(R"({"node_name":"n","ip":"10.0.0.1","zone":"z",
        "listen":{"frontend":"10.0.0.1:1","ready":"10.0.0.1:2","registry":"10.0.0.1:3"},
        "port_range":[7380,7395],"seed_nodes":["10.0.0.2:4","odd",7],"new_field":{"a":1},
        "bounds":{"grace_s":6,"lease_ms":2500,"retry_slack":54},
        "limits":{"max_fds":4100},"platform":{"address":"10.0.0.9:8"}})");
    CHECK(isOk(profile));
    CHECK(valueOf(profile).bounds.graceTime == 6s);
    CHECK(valueOf(profile).bounds.leaseTime == 2'500ms);
    CHECK_EQUAL(1, valueOf(profile).seeds.size());
    CHECK_EQUAL(7381, valueOf(profile).metrics.port);
    CHECK_EQUAL(0, valueOf(profile).control.port);
}

TEST(HostSettings, SaysWhatIsMissing)
{
    CHECK(!isOk(decodeHostSettings("{")));
    CHECK(!isOk(decodeHostSettings("{}")));
    CHECK(!isOk(decodeHostSettings(R"({"listen":{},"platform":{"address":"10.0.0.9:8"}})")));
}

// The figure that cannot be read was dropped, and the later ones were taken for earlier ones.
TEST(PlatformDialect, AFigureOfLoadThatCannotBeReadShiftsNoOther)
{
    CallerRequest caller;
    caller.name = "q1";
    const auto read = [&](const char *text) {
        return dialect
                .readHead({ 200,
                            { { "Attempt-Id", "q1" },
                              { "Server-Seal", "s" },
                              { "Instance-Load", text } } },
                          caller, "i-1")
                .load;
    };
    CHECK_EQUAL(130, read("3,1,8,130")->workTimePercent);
    CHECK_EQUAL(130, read(" 3, 1, 8, 130, 7")->workTimePercent);
    CHECK_EQUAL(0, read("3,1,8")->workTimePercent);
    for (const char *odd : { "3,1,8,", "3,1,8,x", "3,1,8,-5", "3,1,8,,130", "3,1,8,99999999999" }) {
        CHECK_EQUAL_TEXT(8, read(odd)->slots, odd);
        CHECK_EQUAL_TEXT(0, read(odd)->workTimePercent, odd);
    }
    for (const char *bad : { "", "3,1", "x,1,8,130", "3,x,8,130", "3,1,x,130", ",3,1,8" })
        CHECK_TEXT(!read(bad).has_value(), bad);
}

TEST(PlatformDialect, ReplacesKeyAndOrganisationOnlyIfOrganisationsAreInUse)
{
    const auto decoded = dialect.decode(request({ { "Attempt-Id", "q1" },
                                                  { "Key", "k1" },
                                                  { "tenant", "someone-else" },
                                                  { "TENANT", "another" } }));
    CHECK_EQUAL(1, valueOf(decoded).keys.size());
    ReplicaSend send { "i-1", 900ms, std::nullopt, 4 };
    const HttpRequest asSent = dialect.encode(valueOf(decoded), send);
    CHECK_EQUAL(std::string("k1"), *headerValue(asSent.headers, "Key"));
    CHECK_EQUAL(std::string("someone-else"), *headerValue(asSent.headers, "Tenant"));

    send.naming = CallerNaming::Organisation;
    const HttpRequest without = dialect.encode(valueOf(decoded), send);
    CHECK(!hasHeader(without, "Key"));
    CHECK(!hasHeader(without, "Tenant"));

    send.organisation = "hule930";
    const HttpRequest named = dialect.encode(valueOf(decoded), send);
    CHECK(!hasHeader(named, "Key"));
    CHECK_EQUAL(std::string("hule930"), *headerValue(named.headers, "Tenant"));
    CHECK_EQUAL(1,
                std::count_if(named.headers.begin(), named.headers.end(),
                              [](const HttpHeader &header) { return isNamed(header, "Tenant"); }));
}

TEST(PlatformDialect, KeepsEachKeyThatIsGiven)
{
    const auto decoded = dialect.decode(
            request({ { "Attempt-Id", "q1" }, { "Key", "k1" }, { "key", "k1" }, { "KEY", "" } }));
    CHECK_EQUAL(3, valueOf(decoded).keys.size());
    CHECK_EQUAL(std::string(), valueOf(decoded).keys[2]);
}
