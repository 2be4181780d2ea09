// An object store that is unreachable: reads return StoreUnavailable, writes return the default
// StoreWriteAnswer and removals have an unknown outcome. Tests override the calls that they need.
#pragma once

#include "edge/ports.h"

namespace burdock {

struct UnreachableStore : public ObjectStore
{
    boost::asio::awaitable<ListAnswer> list(ObjectKind) override { co_return StoreUnavailable {}; }
    boost::asio::awaitable<WatchAnswer> watch(ObjectKind, StoreRevision,
                                              std::chrono::milliseconds) override
    {
        co_return StoreUnavailable {};
    }
    boost::asio::awaitable<ReadAnswer> read(ObjectKind, std::string) override
    {
        co_return StoreUnavailable {};
    }
    boost::asio::awaitable<StoreWriteAnswer> write(ObjectKind, std::string, StoreRevision,
                                                   boost::json::value) override
    {
        co_return StoreWriteAnswer {};
    }
    boost::asio::awaitable<WriteOutcome> remove(ObjectKind, std::string) override
    {
        co_return WriteOutcome::Unknown;
    }
    std::uint64_t latestEra() const override { return 0; }
};

} // namespace burdock
