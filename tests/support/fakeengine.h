// A fake model engine for placement tests: memory, fencing numbers, loads that take time.
//
// Index
//   FakeCopy, FakeEngine
#pragma once

#include "decide/engineaccount.h"
#include "decide/placementtypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace burdock::testing {

struct FakeCopy
{
    std::int64_t memoryMb = 0; // that it takes
    Instant readyAt;           // loading until then
};

struct FakeEngine
{
    EngineState state;                  // all but the copies, which are below
    std::map<CopyKey, FakeCopy> copies; // the truth
    bool checks = true;                 // refuses old numbers
    bool up = true;                     // the process runs
    bool listed = true;                 // in the VM list
    Instant orderedAt;                  // when the last order came
    bool leaving = false;               // as the VM list says

    /// @return whether the order was taken
    bool apply(const EngineOrder &order, Instant now, Duration loadTime)
    {
        orderedAt = now;
        if (!up || (checks && order.number < state.highestNumber))
            return false;
        state.highestNumber = std::max(state.highestNumber, order.number);
        state.seenOrders.push_back(order.number);
        const CopyKey key(order.model, order.version);
        if (order.kind == EngineOrderKind::Load)
            copies.try_emplace(key, FakeCopy { order.memoryMb, now + loadTime });
        if (order.kind == EngineOrderKind::Unload)
            copies.erase(key);
        return true;
    }

    EngineState report(Instant now, bool readyWhenOrdered)
    {
        ++state.sequence;
        EngineState result = state;
        for (const auto &[key, copy] : copies) {
            ResidentCopy row;
            row.model = key.first;
            row.version = key.second;
            row.memoryMb = copy.memoryMb;
            const bool ready = copy.readyAt <= now || readyWhenOrdered;
            row.state = ready ? CopyState::Ready : CopyState::Loading;
            result.copies.push_back(row);
        }
        return result;
    }

    void restart()
    {
        ++state.incarnation;
        state.sequence = 0;
        state.highestNumber = 0;
        state.seenOrders.clear();
        copies.clear();
    }

    std::int64_t usedMb() const
    {
        std::int64_t sum = 0;
        for (const auto &[key, copy] : copies)
            sum += copy.memoryMb;
        return sum;
    }

    bool isReady(const CopyKey &key, Instant now) const
    {
        const auto copy = copies.find(key);
        return up && copy != copies.end() && copy->second.readyAt <= now;
    }

    int loading(Instant now) const
    {
        int count = 0;
        for (const auto &[key, copy] : copies)
            count += copy.readyAt > now ? 1 : 0;
        return count;
    }
};

} // namespace burdock::testing
