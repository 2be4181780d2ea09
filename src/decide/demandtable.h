// Demand per model, summed over the nodes that report it and smoothed.
//
// Index
//   DemandSettings   time constants
//   DemandTable      the system
//
// A rise is followed within seconds and a fall within many minutes, so that a burst finds its
// copies still there when it comes back.
#pragma once

#include "decide/placementtypes.h"

#include <map>
#include <string>

namespace burdock {

struct DemandSettings
{
    std::chrono::seconds attack { 10 };   // time constant of a rise
    std::chrono::seconds decay { 1'200 }; // time constant of a fall
    std::chrono::seconds expiry { 30 };   // a node's report counts for this long
};

class DemandTable
{
public:
    explicit DemandTable(DemandSettings settings);

    /// Replaces what that node reported before.
    void onReport(const DemandReport &report, Instant now);

    /// Moves the smoothed figures towards the present sums.
    void tick(Instant now);

    /// @return smoothed requests per second; 0 for a model that nobody asked for
    double demandOf(const std::string &model) const;

private:
    struct NodeRow
    {
        DemandReport report;
        Instant expiresAt;
    };

    DemandSettings m_settings;
    std::map<std::string, NodeRow> m_nodes;
    std::map<std::string, double> m_smoothed;
    Instant m_tickedAt;
};

} // namespace burdock
