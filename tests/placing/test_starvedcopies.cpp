// Models and adapters that callers ask for are served, also on days that take replicas and holders
// away.
#include "support/placementday.h"

using namespace burdock;

namespace {

/// @return whether more copies were never served than is allowed
bool isShort(const PlacementDay &day, std::uint64_t seed)
{
    const std::vector<std::string> never = day.neverServed();
    if (never.size() <= day.allowedUnserved())
        return false;
    std::string names;
    for (const std::string &copy : never)
        names += " " + copy;
    UT_PRINT(StringFromFormat("seed %d, allowed %d, never served:%s", int(seed),
                              int(day.allowedUnserved()), names.c_str()));
    return true;
}

constexpr std::uint64_t Seeds = 40;

/// Two replicas leave at short notice, then three more while nobody holds the lease.
/// @param rising the first of the three holds a copy of a model whose demand rises
/// @return number of the days that were short
int shortDaysOfLeavingReplicas(bool rising)
{
    int shortDays = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PlacementDay day(seed);
        day.run(11s);
        for (int count = 0; count < 2; ++count)
            day.leave(day.anyStaying(), 1'600ms);
        day.run(6s);
        day.loseHolder(true);
        day.run(1s);
        if (rising)
            day.leaveHolderOf(PlacementDay::nameOf(day.hot[2]), 9'500ms);
        for (int count = rising ? 1 : 0; count < 3; ++count)
            day.leave(day.anyStaying(), 9'500ms);
        day.run(6s);
        day.shiftDemand();
        day.run(2s);
        day.takeOver();
        day.run(18s);
        shortDays += isShort(day, seed) ? 1 : 0;
    }
    return shortDays;
}

} // namespace

TEST_GROUP(StarvedCopies) {};

TEST(StarvedCopies, NoneWhileDemandMoves)
{
    int shortDays = 0;
    for (std::uint64_t seed = 1; seed <= Seeds; ++seed) {
        PlacementDay day(seed);
        for (int shift = 0; shift < 4; ++shift) {
            day.run(10s);
            day.shiftDemand();
        }
        shortDays += isShort(day, seed) ? 1 : 0;
    }
    CHECK_EQUAL(0, shortDays);
}

TEST(StarvedCopies, NoneWhenReplicasLeaveWhileNobodyMayPlace)
{
    CHECK_EQUAL(0, shortDaysOfLeavingReplicas(false));
}

TEST(StarvedCopies, NoneWhenTheOnlyCopyOfARisingModelLeaves)
{
    CHECK_EQUAL(0, shortDaysOfLeavingReplicas(true));
}
