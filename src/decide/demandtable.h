// Demand per model, summed over the nodes that report it and smoothed.
//
// Index
//   DemandSettings   time constants of the smoothing
//   DemandTable      demand reports of the nodes and the smoothed demand of each model
//
// The smoothed demand follows a rise within seconds and a fall within many minutes, so that the
// copies loaded for a burst of requests are still there when the burst recurs.
#pragma once

#include "decide/placementtypes.h"

#include <map>
#include <string>

namespace burdock {

struct DemandSettings
{
    std::chrono::seconds attack { 10 };   // time constant of the smoothing when demand rises
    std::chrono::seconds decay { 1'200 }; // time constant of the smoothing when demand falls
    std::chrono::seconds expiry { 30 };   // period for which a node's report is valid
};

class DemandTable
{
public:
    explicit DemandTable(DemandSettings settings);

    /// Replaces the node's previous report.
    void onReport(const DemandReport &report, Instant now);

    /// Drops expired reports and moves the smoothed demand towards the sum of the current reports.
    void tick(Instant now);

    /// @return smoothed demand in requests per second; 0 for a model without demand
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
