// Model replicas that are never asked: orders and report requests get no answer.
#pragma once

#include "edge/ports.h"

namespace burdock {

struct NoEngines : public EngineControl
{
    boost::asio::awaitable<OrderAnswer> order(Endpoint, EngineCommand, Instant,
                                              SendCheck &) override
    {
        co_return OrderAnswer {};
    }
    boost::asio::awaitable<ReportAnswer> report(Endpoint, std::string, Instant) override
    {
        co_return ReportAnswer {};
    }
};

} // namespace burdock
