#include "decide/engineaccount.h"

#include <algorithm>

namespace burdock {

namespace {

bool isResident(const EngineOrder &order, const EngineState &state)
{
    return std::any_of(state.copies.begin(), state.copies.end(),
                       [&order](const ResidentCopy &copy) {
                           return copy.model == order.model && copy.version == order.version;
                       });
}

bool isSeen(const EngineOrder &order, const EngineState &state)
{
    return std::find(state.seenOrders.begin(), state.seenOrders.end(), order.number)
            != state.seenOrders.end();
}

} // namespace

bool isSettled(const EngineOrder &order, const EngineState &state,
               UnfencedEnginePolicy unfencedPolicy)
{
    if (order.incarnation != state.incarnation)
        return order.incarnation < state.incarnation;
    if (state.checksFencing)
        return order.number <= state.highestNumber;
    if (order.kind == EngineOrderKind::Raise)
        return true;
    if (unfencedPolicy == UnfencedEnginePolicy::UnloadAfterSeen)
        return isSeen(order, state);
    return order.kind == EngineOrderKind::Load && isResident(order, state);
}

EngineAccount computeAccount(const EngineState &state, const std::vector<EngineOrder> &open)
{
    EngineAccount account;
    std::set<CopyKey> counted;
    for (const ResidentCopy &copy : state.copies) {
        counted.emplace(copy.model, copy.version);
        account.reservedMb += copy.memoryMb;
    }
    for (const EngineOrder &order : open) {
        const CopyKey key(order.model, order.version);
        if (order.kind == EngineOrderKind::Unload)
            account.unloading.insert(key);
        if (order.kind == EngineOrderKind::Load && counted.insert(key).second) {
            account.loading.insert(key);
            account.reservedMb += order.memoryMb;
        }
    }
    return account;
}

} // namespace burdock
