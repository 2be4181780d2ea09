// Counters and latency summaries, served in the usual text format.
//
// Index
//   LatencySummary   count, mean, median and 99th percentile of a time, by Boost.Accumulators
//   Metrics          named counters, gauges and summaries; text() prints them all
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace burdock {

class LatencySummary
{
public:
    LatencySummary();
    ~LatencySummary();

    void add(Duration time);

    std::uint64_t count() const;
    Duration mean() const;

    /// @return the estimated median
    Duration median() const;

    /// @return the estimated 99th percentile
    Duration percentile99() const;

private:
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
};

class Metrics
{
public:
    /// Adds to a counter.
    /// @param name e.g. "burdock_requests_total{class=\"fast\"}"
    void count(const std::string &name, std::uint64_t by = 1) { m_counters[name] += by; }

    /// Sets a gauge.
    void set(const std::string &name, double value) { m_gauges[name] = value; }

    /// Adds a time to a summary.
    /// @param name without labels, e.g. "burdock_first_byte_seconds"
    void observe(const std::string &name, Duration time) { m_summaries[name].add(time); }

    /// @return a counter's value
    std::uint64_t counter(const std::string &name) const;

    /// @return all metrics, a line each
    std::string text() const;

private:
    std::map<std::string, std::uint64_t> m_counters;
    std::map<std::string, double> m_gauges;
    std::map<std::string, LatencySummary> m_summaries;
};

} // namespace burdock
