// What a VM bears, by what runs out first.
#include "fleet/vmcapacity.h"

#include <CppUTest/TestHarness.h>

using namespace burdock;

TEST_GROUP(VmCapacity) {};

TEST(VmCapacity, GrowsWithTheProcessor)
{
    const double small = requestCapacity({ 0.12, 512.0, 1'000.0 });
    const double large = requestCapacity({ 0.5, 512.0, 1'000.0 });
    CHECK(small >= 24.0 && small <= 27.0);
    CHECK(large > 4.0 * small);
}

TEST(VmCapacity, IsBoundByANarrowLinkOrLittleMemory)
{
    CHECK_EQUAL(25.0, requestCapacity({ 4.0, 8'192.0, 10.0 }));
    CHECK_EQUAL(32.0, requestCapacity({ 4.0, 160.0, 1'000.0 }));
}

TEST(VmCapacity, WhatIsNotStatedBindsNothing)
{
    CHECK_EQUAL(0.0, requestCapacity({}));
    CHECK_EQUAL(25.0, requestCapacity({ 0.0, 0.0, 10.0 }));
}

// Heartbeats tell whole numbers. Each node took itself for a little stronger than its equals, and
// two nodes of each zone watched the store.
TEST(VmCapacity, IsAWholeNumber)
{
    for (const double processor : { 0.12, 0.25, 0.333, 0.5 }) {
        const double capacity = requestCapacity({ processor, 512.0, 1'000.0 });
        CHECK_EQUAL(static_cast<double>(static_cast<int>(capacity)), capacity);
    }
}
