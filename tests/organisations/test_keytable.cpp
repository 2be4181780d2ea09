// Keys and the organisations that they identify, with odd configurations.
#include "organisations/keytable.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;

namespace {

Organisation organisation(const char *name, std::vector<std::string> keys)
{
    return { name, std::move(keys), 0, std::nullopt };
}

std::string nameOf(const KeyTable &table, std::string_view key)
{
    const Organisation *found = table.find(key);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_GROUP(KeyTable) {};

TEST(KeyTable, FindsTheOrganisationOfEachOfItsKeys)
{
    const std::vector<Organisation> all { organisation("a", { "k1", "k2" }),
                                          organisation("b", { "k3" }), organisation("c", {}) };
    const KeyTable table(all, 7);
    CHECK_EQUAL(std::string("a"), nameOf(table, "k1"));
    CHECK_EQUAL(std::string("a"), nameOf(table, "k2"));
    CHECK_EQUAL(std::string("b"), nameOf(table, "k3"));
    CHECK_EQUAL(3, table.size());
}

TEST(KeyTable, KnowsNothingOfOtherTexts)
{
    const std::vector<Organisation> all { organisation("a", { "k1" }) };
    const KeyTable table(all, 7);
    for (const std::string &key :
         { std::string("k2"), std::string("k"), std::string("k11"), std::string("K1"),
           std::string(), std::string("k1k1"), std::string("k1\0", 3), std::string(" k1") })
        CHECK_EQUAL(std::string(), nameOf(table, key));
    const std::vector<Organisation> without { organisation("a", {}) };
    CHECK_EQUAL(std::string(), nameOf(KeyTable(without, 7), "k1"));
    CHECK_EQUAL(std::string(), nameOf(KeyTable({}, 7), "k1"));
}

TEST(KeyTable, AKeyThatIsListedTwiceIsOneKey)
{
    const std::vector<Organisation> all { organisation("a", { "k1", "k1" }) };
    const KeyTable table(all, 7);
    CHECK_EQUAL(std::string("a"), nameOf(table, "k1"));
    CHECK_EQUAL(1, table.size());
    CHECK(table.conflicts().empty());
}

// Otherwise the order of the list would decide whose requests count as whose.
TEST(KeyTable, AKeyOfSeveralOrganisationsIdentifiesNone)
{
    const std::vector<Organisation> all { organisation("a", { "k1", "both" }),
                                          organisation("b", { "both" }),
                                          organisation("c", { "both", "both", "k3" }) };
    const KeyTable table(all, 7);
    CHECK_EQUAL(std::string(), nameOf(table, "both"));
    CHECK_EQUAL(std::string("a"), nameOf(table, "k1"));
    CHECK_EQUAL(std::string("c"), nameOf(table, "k3"));
    CHECK_EQUAL(3, table.conflicts().size());
}

TEST(KeyTable, AnEmptyKeyIdentifiesNoOrganisation)
{
    const std::vector<Organisation> all { organisation("a", { "", "k1" }) };
    const KeyTable table(all, 7);
    CHECK_EQUAL(std::string(), nameOf(table, ""));
    CHECK_EQUAL(1, table.size());
}

TEST(KeyTable, FindsEachOfManyKeys)
{
    constexpr int Count = 100'000;
    std::vector<Organisation> all;
    for (int index = 0; index < Count; ++index) {
        if (index % 100 == 0)
            all.push_back(organisation(std::to_string(index / 100).c_str(), {}));
        all.back().keys.push_back("key-" + std::to_string(index));
    }
    const KeyTable table(all, 7);
    CHECK_EQUAL(Count, table.size());
    for (int index = 0; index < Count; ++index) {
        CHECK_EQUAL(std::to_string(index / 100), nameOf(table, "key-" + std::to_string(index)));
        CHECK(table.find("kez-" + std::to_string(index)) == nullptr);
    }
}

TEST(KeyTable, TellsKeysOfAMegabyteApart)
{
    const std::string key(1'000'000, 'x');
    std::string other = key;
    other.back() = 'y';
    const std::vector<Organisation> all { organisation("a", { key }) };
    const KeyTable table(all, 7);
    CHECK_EQUAL(std::string("a"), nameOf(table, key));
    CHECK(table.find(other) == nullptr);
    CHECK(table.find(key + "x") == nullptr);
}

// A digest that were the same in all processes could be looked up for guessed keys.
TEST(KeyTable, TheDigestOfAKeyIsShortAndDependsOnTheSeed)
{
    CHECK_EQUAL(8, keyDigest("k1", 7).size());
    CHECK_EQUAL(keyDigest("k1", 7), keyDigest("k1", 7));
    CHECK(keyDigest("k1", 7) != keyDigest("k1", 8));
    CHECK(keyDigest("k1", 7) != keyDigest("k2", 7));
}
