#include "base/hashing.h"
#include "base/result.h"
#include "base/resultcode.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <set>

using namespace burdock;

TEST_GROUP(Base) {};

TEST(Base, ResultCodesAscendAndNamesAreUnique)
{
    std::set<std::string_view> names;
    int previous = -1;
    for (const ResultCodeRow &row : resultCodeRows()) {
        CHECK(static_cast<int>(row.code) > previous);
        CHECK(names.insert(row.name).second);
        previous = static_cast<int>(row.code);
    }
}

TEST(Base, ResultHoldsValueOrError)
{
    const Result<int> good = 3;
    const Result<int> bad = Error { ResultCode::UsageError, "no" };
    CHECK(isOk(good));
    LONGS_EQUAL(3, valueOf(good));
    CHECK(!isOk(bad));
    CHECK(errorOf(bad).code == ResultCode::UsageError);
}

TEST(Base, RendezvousMovesOnlyTheKeysOfALostCandidate)
{
    CHECK(rc::check("losing a candidate keeps the others in order", [] {
        const auto names =
                *rc::gen::container<std::set<std::string>>(rc::gen::arbitrary<std::string>());
        RC_PRE(!names.empty());
        const auto key = *rc::gen::arbitrary<std::string>();
        std::vector<std::string> candidates(names.begin(), names.end());
        std::vector<std::string> expected = rendezvousOrder(key, candidates);
        const std::string lost = candidates.front();
        candidates.erase(candidates.begin());
        expected.erase(std::find(expected.begin(), expected.end(), lost));
        RC_ASSERT(rendezvousOrder(key, candidates) == expected);
    }));
}
