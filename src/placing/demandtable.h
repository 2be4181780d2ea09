// Demand of callers for models and adapters: what each node reports, and the totals of the fleet.
//
// Index
//   CopyDemand          one row: demand for a model or adapter
//   DemandReporter        chooses the rows of a node's next report
//   DemandTable         the holder's table of all reports
//
// A node that serves callers of a large fleet knows the demand for hundreds of models and adapters,
// far more than a report holds. It reports those that changed most since they were last reported,
// and all others in turn. The holder keeps each row until it is reported again or too old, and the
// totals over all nodes up to date, so that a plan does not add them up anew.
#pragma once

#include "base/instant.h"

#include <cstddef>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdock {

struct CopyDemand
{
    std::string service;
    std::string model;
    std::string adapter;          // empty: all requests for the model
    double tokensPerSecond = 0.0; // requested prompt tokens, smoothed
};

/// @return the key of a row in tables: "service/model" or "service/model/adapter"
std::string demandKey(const CopyDemand &row);

// ---- Reports ------------------------------------------------------------------------------------

class DemandReporter
{
public:
    /// @param refreshTime a row is reported again after this time even if it has not changed
    explicit DemandReporter(Duration refreshTime)
        : m_refreshTime(refreshTime)
    {
    }

    /// @param rows the node's whole demand
    /// @param maxRows how many a report holds
    /// @return the rows to report now: those that are due for a refresh and those that changed most
    std::vector<CopyDemand> next(const std::vector<CopyDemand> &rows, std::size_t maxRows,
                                 Instant now);

    /// Begins anew, for a receiver that has no earlier reports.
    void restart() { m_reported.clear(); }

private:
    struct Reported
    {
        double tokensPerSecond = 0.0;
        Instant refreshAt; // zero: never reported
    };

    Duration m_refreshTime;
    std::unordered_map<std::string, Reported> m_reported; // by demandKey()
};

// ---- Totals -------------------------------------------------------------------------------------

class DemandTable
{
public:
    /// Takes a report; rows that it does not have stay as they were.
    /// @param lifetime each row is dropped after this time, unless it is reported again
    void onReport(const std::string &node, const std::vector<CopyDemand> &rows, Duration lifetime,
                  Instant now);

    /// Drops the rows whose time is over.
    void expire(Instant now);

    /// @return demand of the whole fleet by demandKey()
    const std::unordered_map<std::string, CopyDemand> &totals() const { return m_totals; }

private:
    struct Row
    {
        double tokensPerSecond = 0.0;
        Instant expiresAt;
    };

    void add(const std::string &key, double tokensPerSecond);

    std::map<std::string, std::unordered_map<std::string, Row>> m_nodes; // by node and key
    std::unordered_map<std::string, CopyDemand> m_totals;
};

} // namespace burdock
