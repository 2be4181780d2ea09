#include "net/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <sstream>

namespace burdock {

namespace acc = boost::accumulators;

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

using Quantile = acc::accumulator_set<double, acc::stats<acc::tag::p_square_quantile>>;

Duration toDuration(double microseconds)
{
    return Duration(static_cast<Duration::rep>(microseconds));
}

double toSeconds(Duration time)
{
    return static_cast<double>(time.count()) / MicrosecondsPerSecond;
}

} // namespace

struct LatencySummary::Accumulators
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean>> all;
    Quantile median { acc::quantile_probability = 0.5 };
    Quantile percentile99 { acc::quantile_probability = 0.99 };
};

LatencySummary::LatencySummary()
    : m_accumulators(std::make_unique<Accumulators>())
{
}

LatencySummary::~LatencySummary() = default;

void LatencySummary::add(Duration time)
{
    const auto microseconds = static_cast<double>(time.count());
    m_accumulators->all(microseconds);
    m_accumulators->median(microseconds);
    m_accumulators->percentile99(microseconds);
}

std::uint64_t LatencySummary::count() const
{
    return acc::count(m_accumulators->all);
}

Duration LatencySummary::mean() const
{
    return count() == 0 ? Duration(0) : toDuration(acc::mean(m_accumulators->all));
}

Duration LatencySummary::median() const
{
    return count() == 0 ? Duration(0) : toDuration(acc::p_square_quantile(m_accumulators->median));
}

Duration LatencySummary::percentile99() const
{
    return count() == 0 ? Duration(0)
                        : toDuration(acc::p_square_quantile(m_accumulators->percentile99));
}

std::uint64_t Metrics::counter(const std::string &name) const
{
    const auto found = m_counters.find(name);
    return found == m_counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    for (const auto &[name, value] : m_counters)
        out << name << ' ' << value << '\n';
    for (const auto &[name, value] : m_gauges)
        out << name << ' ' << value << '\n';
    for (const auto &[name, summary] : m_summaries) {
        out << name << "_count " << summary.count() << '\n';
        out << name << "{quantile=\"0.5\"} " << toSeconds(summary.median()) << '\n';
        out << name << "{quantile=\"0.99\"} " << toSeconds(summary.percentile99()) << '\n';
    }
    return out.str();
}

} // namespace burdock
