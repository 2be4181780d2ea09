// Simple routing policies that tests and experiments compare CostRouter with.
//
// Index
//   BaselinePolicy      common part: filters the upstreams that can take a request
//   RandomPolicy        a random upstream
//   RoundRobinPolicy    each upstream in turn
//   LeastLoadedPolicy   the upstream with the lowest reported load
//   TwoChoicesPolicy    the one with the lower reported load of two random upstreams
//
// All of them choose among the reachable upstreams that hold the request's key and have a free
// slot. The reported load is that of the newest load report, however old it is.
#pragma once

#include "base/random.h"
#include "decide/router.h"

#include <map>

namespace burdock {

/// Filters the upstreams that can take a request; a derived policy picks one of them.
class BaselinePolicy : public RoutingPolicy
{
public:
    explicit BaselinePolicy(const UpstreamTable &table);

    RoutingResult choose(const RoutingRequest &request, Instant now) override;

protected:
    /// @param rows upstreams that can take the request; at least one
    /// @return one of the rows
    virtual const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                                    const RoutingRequest &request) = 0;

    /// @return requests at the upstream according to its newest load report
    static int reportedLoad(const UpstreamRow &row);

private:
    const UpstreamTable &m_table;
};

class RandomPolicy : public BaselinePolicy
{
public:
    RandomPolicy(const UpstreamTable &table, std::uint64_t seed);

protected:
    const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                            const RoutingRequest &request) override;

private:
    Random m_random;
};

class RoundRobinPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                            const RoutingRequest &request) override;

private:
    std::map<std::string, std::size_t> m_next; // number of picks so far, by key
};

class LeastLoadedPolicy : public BaselinePolicy
{
public:
    using BaselinePolicy::BaselinePolicy;

protected:
    const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                            const RoutingRequest &request) override;
};

class TwoChoicesPolicy : public BaselinePolicy
{
public:
    TwoChoicesPolicy(const UpstreamTable &table, std::uint64_t seed);

protected:
    const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                            const RoutingRequest &request) override;

private:
    Random m_random;
};

} // namespace burdock
