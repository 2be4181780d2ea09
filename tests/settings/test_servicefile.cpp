#include "settings/catalogcheck.h"
#include "settings/servicefile.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <set>
#include <string>
#include <vector>

using namespace burdock;

namespace {

// ---- The two shortest files ---------------------------------------------------------------------

const std::string PlainFile = R"({
    "service": "order-app",
    "routes": ["fast GET /stock", "at-most-once POST /orders"] // orders need a key
})";

const std::string ModelFile = R"({
    "service": "model-pool",
    "routes": ["may-wait POST /v1/chat/completions"],
    "models": [
        { "name": "promo-writer", "version": "3", "memory_mb": 14000, "adapters": ["north@2"] }
    ],
    "placement": { "loads_per_second": 2, "loads_at_once": 3 }
})";

Service good(const std::string &text)
{
    const Result<Service> result = parseService(text, "burdock.json");
    CHECK_TEXT(isOk(result), isOk(result) ? "" : errorOf(result).message.c_str());
    return valueOf(result);
}

// ---- Random services ----------------------------------------------------------------------------

std::string randomWord()
{
    return *rc::gen::suchThat(
            rc::gen::container<std::string>(rc::gen::elementOf(std::string("abcXYZ019._-"))),
            [](const std::string &word) {
                return !word.empty() && word.size() < 30
                        && std::isalnum(static_cast<unsigned char>(word[0]));
            });
}

std::set<std::string> randomWords(int atLeast)
{
    std::set<std::string> words;
    const int count = *rc::gen::inRange(atLeast, 5);
    while (static_cast<int>(words.size()) < count)
        words.insert(randomWord() + std::to_string(words.size()));
    return words;
}

Route randomRoute(const std::string &word)
{
    Route route;
    route.method = *rc::gen::element<std::string>("GET", "POST", "PUT", "DELETE");
    route.pathPrefix = "/" + word;
    route.requestClass =
            *rc::gen::element(RequestClass::Fast, RequestClass::MayWait, RequestClass::AtMostOnce);
    route.timeout = std::chrono::milliseconds(*rc::gen::inRange(1, 3'600'001));
    if (route.requestClass == RequestClass::AtMostOnce)
        route.keyRequired = *rc::gen::arbitrary<bool>();
    return route;
}

ModelEntry randomModel(const std::string &name)
{
    ModelEntry model;
    model.name = name;
    model.version = randomWord();
    model.memoryMb = *rc::gen::inRange(1, 10'000'001);
    model.minReplicas = *rc::gen::inRange(1, 10'001);
    for (const std::string &adapter : randomWords(0))
        model.adapters.push_back(AdapterEntry { adapter, randomWord() });
    return model;
}

Service randomService()
{
    Service service;
    service.name = randomWord();
    service.kind = *rc::gen::element(ServiceKind::Plain, ServiceKind::Models);
    service.upstreamGroup = randomWord();
    for (const std::string &word : randomWords(1))
        service.routes.push_back(randomRoute(word));
    if (service.kind == ServiceKind::Plain)
        return service;
    for (const std::string &word : randomWords(1))
        service.models.push_back(randomModel(word));
    service.placement.moveWeight = *rc::gen::inRange(0, 1'000'000'000) / 1'000.0;
    service.placement.loadsPerSecond = *rc::gen::inRange(1, 100'000'000) / 1'000.0;
    service.placement.loadsAtOnce = *rc::gen::inRange(1, 10'001);
    service.placement.adapterLoadsInFlight = *rc::gen::inRange(1, 100'001);
    return service;
}

bool same(const ModelEntry &left, const ModelEntry &right);

bool same(const Route &left, const Route &right)
{
    return left.method == right.method && left.pathPrefix == right.pathPrefix
            && left.requestClass == right.requestClass && left.timeout == right.timeout
            && left.keyRequired == right.keyRequired;
}

bool same(const AdapterEntry &left, const AdapterEntry &right)
{
    return left.name == right.name && left.version == right.version;
}

template <typename T>
bool sameLists(const std::vector<T> &left, const std::vector<T> &right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](const T &a, const T &b) { return same(a, b); });
}

bool same(const ModelEntry &left, const ModelEntry &right)
{
    return left.name == right.name && left.version == right.version
            && left.memoryMb == right.memoryMb && left.minReplicas == right.minReplicas
            && sameLists(left.adapters, right.adapters);
}

bool same(const Service &left, const Service &right)
{
    const PlacementPolicy &a = left.placement;
    const PlacementPolicy &b = right.placement;
    return left.name == right.name && left.kind == right.kind
            && left.upstreamGroup == right.upstreamGroup && sameLists(left.routes, right.routes)
            && sameLists(left.models, right.models) && a.moveWeight == b.moveWeight
            && a.loadsPerSecond == b.loadsPerSecond && a.loadsAtOnce == b.loadsAtOnce
            && a.adapterLoadsInFlight == b.adapterLoadsInFlight;
}

/// A text close to a good one: some bytes changed, dropped, doubled or swapped for JSON marks.
std::string mutate(std::string text)
{
    const int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes && !text.empty(); ++i) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, text.size());
        switch (*rc::gen::inRange(0, 4)) {
        case 0:
            text[at] = static_cast<char>(*rc::gen::inRange(-128, 128));
            break;
        case 1:
            text.erase(at, *rc::gen::inRange<std::size_t>(1, 12));
            break;
        case 2:
            text.insert(at, text.substr(at, *rc::gen::inRange<std::size_t>(1, 40)));
            break;
        default:
            text[at] = *rc::gen::elementOf(std::string("{}[]\",:0-/*"));
        }
    }
    return text;
}

/// Each problem must stand on a line "FILE: $PATH: REASON" with a settings code.
bool isWellFormed(const std::vector<Error> &errors)
{
    for (const Error &error : errors) {
        const int code = static_cast<int>(error.code);
        const std::size_t reason = error.message.find(": ", std::string("f.json: $").size());
        if (code < 101 || code > 106 || !error.message.starts_with("f.json: $")
            || reason == std::string::npos || error.message.find('\n') != std::string::npos)
            return false;
    }
    return true;
}

} // namespace

TEST_GROUP(ServiceFile) {};

TEST(ServiceFile, ShortFilesTakeDefaults)
{
    const Service plain = good(PlainFile);
    CHECK(plain.kind == ServiceKind::Plain);
    STRCMP_EQUAL("order-app", plain.upstreamGroup.c_str());
    CHECK(findRoute(plain, "POST", "/orders/7")->requestClass == RequestClass::AtMostOnce);
    CHECK(findRoute(plain, "POST", "/orders")->keyRequired);

    const Service models = good(ModelFile);
    CHECK(models.kind == ServiceKind::Models);
    STRCMP_EQUAL("2", models.models.at(0).adapters.at(0).version.c_str());
    DOUBLES_EQUAL(2.0, models.placement.loadsPerSecond, 0.0);
}

TEST(ServiceFile, EachKindOfProblemIsRefusedWithFilePathAndReason)
{
    struct BadCase
    {
        std::string members; // beside "service"
        ResultCode code;
        std::string line; // beginning of the message after the file
    };
    const std::string route = R"("routes": ["fast GET /"])";
    const std::string models = R"("models": [{"name": "m", "memory_mb": 1}])";
    const std::vector<BadCase> cases = {
        { R"("x": 1)", ResultCode::SettingsMissingKey, "$.routes: this key is required" },
        { R"("routes": [])", ResultCode::SettingsOutOfRange, "$.routes: must hold a route" },
        { R"("routes": {})", ResultCode::SettingsWrongType, "$.routes: expected a list, found" },
        { R"("routes": [7])", ResultCode::SettingsWrongType,
          "$.routes[0]: expected an object, fou" },
        { R"("routes": ["GET /"])", ResultCode::SettingsOutOfRange, "$.routes[0]: must be \"CL" },
        { R"("routes": ["slow GET /"])", ResultCode::SettingsOutOfRange, "$.routes[0]: the class" },
        { R"("routes": ["fast got /"])", ResultCode::SettingsOutOfRange, "$.routes[0]: the meth" },
        { R"("routes": ["fast GET x"])", ResultCode::SettingsOutOfRange, "$.routes[0]: the path" },
        { R"("routes": ["fast GET /", "may-wait GET /"])", ResultCode::SettingsClash,
          "$.routes[1]: another route has GET /" },
        { R"("routes": [{"class": "fast", "method": "GET", "path": "/", "key": "required"}])",
          ResultCode::SettingsClash, "$.routes[0].key: only an at-most-once route" },
        { R"("routes": [{"class": "fast", "method": "GET", "path": "/", "timeout_ms": 0}])",
          ResultCode::SettingsOutOfRange, "$.routes[0].timeout_ms: 0 is outside" },
        { route + R"(, "kind": "models")", ResultCode::SettingsMissingKey, "$.models: a service" },
        { route + R"(, "models": [])", ResultCode::SettingsOutOfRange, "$.models: must hold" },
        { route + R"(, "kind": "plain", )" + models, ResultCode::SettingsClash,
          "$.models: a plai" },
        { route + R"(, "placement": {})", ResultCode::SettingsClash, "$.placement: a plain" },
        { route + R"(, "models": [{"name": "m"}])", ResultCode::SettingsMissingKey,
          "$.models[0].memory_mb: this key is required" },
        { route + R"(, "models": [{"name": "m", "memory_mb": 1, "adapters": ["a", "a@2"]}])",
          ResultCode::SettingsClash, "$.models[0].adapters[1]: the adapter a is listed twice" },
        { route + R"(, "models": [{"name": "m", "memory_mb": 1, "adapters": ["a@"]}])",
          ResultCode::SettingsOutOfRange, "$.models[0].adapters[0]: the adapter's version" },
        { route + R"(, "models": [{"name": "m", "memory_mb": 1, "adapters": [1]}])",
          ResultCode::SettingsWrongType, "$.models[0].adapters[0]: expected a text" },
        { route + ", " + models + R"(, "placement": {"move_weight": -1})",
          ResultCode::SettingsOutOfRange, "$.placement.move_weight: -1 is outside 0 to 1e+06" },
    };
    for (const BadCase &bad : cases) {
        const std::string text = R"({"service": "s", )" + bad.members + "}";
        const Result<Service> result = parseService(text, "b.json");
        CHECK_TEXT(!isOk(result), text.c_str());
        const std::string expected = "b.json: " + bad.line;
        STRNCMP_EQUAL(expected.c_str(), errorOf(result).message.c_str(), expected.size());
        LONGS_EQUAL_TEXT(static_cast<int>(bad.code), static_cast<int>(errorOf(result).code),
                         text.c_str());
    }
}

TEST(ServiceFile, RoundTrip)
{
    CHECK(rc::check("parse reads what serviceToJson writes", [] {
        Service service = randomService();
        const std::string text = serviceToJson(service);
        const Result<Service> parsed = parseService(text, "f.json");
        sortEntries(service);
        RC_ASSERT(isOk(parsed));
        RC_ASSERT(same(service, valueOf(parsed)));
        RC_ASSERT(serviceToJson(valueOf(parsed)) == text);
        RC_ASSERT(diffServices(&service, &valueOf(parsed)).empty());
    }));
}

TEST(ServiceFile, MutatedFilesNeverCrashAndNameFilePathAndReason)
{
    int refused = 0;
    CHECK(rc::check("mutated files", [&refused] {
        const std::string text =
                mutate(*rc::gen::element(PlainFile, ModelFile, serviceToJson(randomService())));
        std::vector<Error> errors;
        const Service service = parseService(text, "f.json", errors);
        RC_ASSERT(isWellFormed(errors));
        refused += errors.empty() ? 0 : 1;
        if (errors.empty())
            RC_ASSERT(isOk(parseService(serviceToJson(service), "f.json")));
    }));
    CHECK(refused > 0);
}

TEST(ServiceFile, RandomBytesNeverCrash)
{
    CHECK(rc::check("random bytes", [] {
        const auto text = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        std::vector<Error> errors;
        parseService(text, "f.json", errors);
        RC_ASSERT(!errors.empty() && isWellFormed(errors));
    }));
}

TEST(ServiceFile, DifferencesAreNamed)
{
    const Service before = good(ModelFile);
    Service after = before;
    after.models[0].version = "4";
    after.models[0].adapters = { AdapterEntry { "south", "1" } };
    after.placement.moveWeight = 2.5;
    const std::vector<std::string> expected = {
        "adapter promo-writer/south: added (version 1)",
        "model promo-writer: version 3 -> 4",
        "service model-pool: move_weight 1E0 -> 2.5E0",
        "adapter promo-writer/north: removed",
    };
    CHECK(diffServices(&before, &after) == expected);
    CHECK(diffServices(&before, &before).empty());
    CHECK(diffServices(&before, nullptr).size() == 4);
}

TEST(ServiceFile, CatalogIsCheckedAsOneWhole)
{
    const ServiceFile plain { "a/burdock.json", good(PlainFile) };
    const ServiceFile models { "b/burdock.json", good(ModelFile) };
    CHECK(isOk(buildCatalog({ plain, models })));

    ServiceFile copy = models;
    copy.fileName = "c/burdock.json";
    const std::vector<Error> errors = checkCatalog({ models, copy });
    LONGS_EQUAL(3, errors.size());
    STRCMP_EQUAL("c/burdock.json: $.service: model-pool is also published by b/burdock.json",
                 errors[0].message.c_str());
    STRCMP_EQUAL("c/burdock.json: $.upstreams: the group model-pool holds models and is also used "
                 "by b/burdock.json",
                 errors[1].message.c_str());
    STRCMP_EQUAL("c/burdock.json: $.models: the model promo-writer is also published by "
                 "b/burdock.json",
                 errors[2].message.c_str());
    CHECK(!isOk(buildCatalog({ models, copy })));
}

TEST(ServiceFile, ModelsMustFitTheirUpstreams)
{
    ServiceFile models { "b/burdock.json", good(ModelFile) };
    CHECK(checkCatalog({ models }, { { "model-pool", { 14'000, 14'000 } } }).empty());
    LONGS_EQUAL(2, checkCatalog({ models }, { { "model-pool", { 13'999, 13'999 } } }).size());
    models.service.models[0].minReplicas = 2;
    LONGS_EQUAL(1, checkCatalog({ models }, { { "model-pool", { 14'000, 27'999 } } }).size());
}
