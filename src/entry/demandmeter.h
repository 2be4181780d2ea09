// Counts what callers ask of each model, for the placement holder.
#pragma once

#include "decide/placementtypes.h"

#include <map>
#include <string>

namespace burdock {

class DemandMeter
{
public:
    /// Counts a request for a model, whether or not it is served.
    void count(const std::string &model) { ++m_counts[model]; }

    /// Makes a report of the rates since the last one.
    /// @param node this node
    /// @param now the time of the report
    DemandReport report(const std::string &node, Instant now);

private:
    std::map<std::string, std::uint64_t> m_counts;
    Instant m_since;
};

} // namespace burdock
