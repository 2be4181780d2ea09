// A fake model engine for placement tests, with memory, fencing of orders and loads that take time.
//
// Index
//   FakeCopy     a copy of a model in the engine
//   FakeEngine   the engine: applies orders and reports its state
//
// The simulation sets the fields directly, e.g. `up` when the process stops. An order carries a
// fencing number; an engine that checks it refuses orders with a number below the highest seen.
#pragma once

#include "decide/engineaccount.h"
#include "decide/placementtypes.h"

#include <cstdint>
#include <map>
#include <string>

namespace burdock::testing {

struct FakeCopy
{
    std::int64_t memoryMb = 0; // memory of the copy
    Instant readyAt;           // end of its load
};

struct FakeEngine
{
    EngineState state;                  // state as reported, without its copies
    std::map<CopyKey, FakeCopy> copies; // copies, loading or ready
    bool checks = true;                 // whether it refuses orders with an old fencing number
    bool up = true;                     // whether the process is running
    bool listed = true;                 // whether it is in the VM list
    Instant orderedAt;                  // when the last order arrived
    bool leaving = false;               // whether the VM list says that it is about to stop

    /// Applies an order to load or unload a copy.
    /// @param loadTime time that a load takes
    /// @return whether the engine accepted the order
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

    /// @param readyWhenOrdered whether to report copies as ready while they are still loading
    /// @return the next state report
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

    /// Begins a new incarnation, with empty memory and no known orders.
    void restart()
    {
        ++state.incarnation;
        state.sequence = 0;
        state.highestNumber = 0;
        state.seenOrders.clear();
        copies.clear();
    }

    /// @return memory of all copies, in MB
    std::int64_t usedMb() const
    {
        std::int64_t sum = 0;
        for (const auto &[key, copy] : copies)
            sum += copy.memoryMb;
        return sum;
    }

    /// @return whether the process is running and holds that copy, completely loaded
    bool isReady(const CopyKey &key, Instant now) const
    {
        const auto copy = copies.find(key);
        return up && copy != copies.end() && copy->second.readyAt <= now;
    }

    /// @return number of copies that are being loaded
    int loading(Instant now) const
    {
        int count = 0;
        for (const auto &[key, copy] : copies)
            count += copy.readyAt > now ? 1 : 0;
        return count;
    }
};

} // namespace burdock::testing
