#include "decide/routingbaselines.h"

#include <algorithm>

namespace burdock {

BaselinePolicy::BaselinePolicy(const UpstreamTable &table)
    : m_table(table)
{
}

int BaselinePolicy::reportedLoad(const UpstreamRow &row)
{
    return row.report.running + row.report.waiting;
}

RoutingResult BaselinePolicy::choose(const RoutingRequest &request, Instant now)
{
    std::vector<const UpstreamRow *> rows;
    bool anyReachable = false;
    for (const UpstreamRow *row : m_table.holders(request.key)) {
        if (!mayReceive(m_table, *row, request, now))
            continue;
        anyReachable = true;
        if (std::max(reportedLoad(*row), row->ownInFlight) < m_table.slots(*row))
            rows.push_back(row);
    }
    if (rows.empty())
        return anyReachable ? NoRoute::NoFreeSlot : NoRoute::NoUpstream;

    const UpstreamRow *row = pick(rows, request);
    RoutingChoice choice;
    choice.upstream = row->info.name;
    choice.address = row->info.address;
    choice.loadsAdapter = !m_table.hasAdapter(*row, request.key, request.adapter);
    choice.load = reportedLoad(*row);
    choice.candidateCount = static_cast<int>(rows.size());
    choice.probe = row->state != UpstreamState::Reachable;
    return choice;
}

RandomPolicy::RandomPolicy(const UpstreamTable &table, std::uint64_t seed)
    : BaselinePolicy(table)
    , m_random(seed)
{
}

const UpstreamRow *RandomPolicy::pick(const std::vector<const UpstreamRow *> &rows,
                                      const RoutingRequest &)
{
    return rows[m_random.below(rows.size())];
}

const UpstreamRow *RoundRobinPolicy::pick(const std::vector<const UpstreamRow *> &rows,
                                          const RoutingRequest &request)
{
    return rows[m_next[request.key]++ % rows.size()];
}

const UpstreamRow *LeastLoadedPolicy::pick(const std::vector<const UpstreamRow *> &rows,
                                           const RoutingRequest &)
{
    return *std::min_element(rows.begin(), rows.end(),
                             [](const UpstreamRow *left, const UpstreamRow *right) {
                                 return reportedLoad(*left) < reportedLoad(*right);
                             });
}

TwoChoicesPolicy::TwoChoicesPolicy(const UpstreamTable &table, std::uint64_t seed)
    : BaselinePolicy(table)
    , m_random(seed)
{
}

const UpstreamRow *TwoChoicesPolicy::pick(const std::vector<const UpstreamRow *> &rows,
                                          const RoutingRequest &)
{
    const UpstreamRow *first = rows[m_random.below(rows.size())];
    const UpstreamRow *second = rows[m_random.below(rows.size())];
    return reportedLoad(*second) < reportedLoad(*first) ? second : first;
}

} // namespace burdock
