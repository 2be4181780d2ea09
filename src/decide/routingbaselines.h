// The policies that the product's policy is measured against.
//
// Index
//   RandomPolicy        any upstream that holds the key
//   RoundRobinPolicy    one after the other
//   LeastLoadedPolicy   the least loaded by its last report, however old
//   TwoChoicesPolicy    the less loaded of two drawn at random, by their last reports
//
// All of them look at reachability, residency and free slots as reported, as CostRouter does.
#pragma once

#include "base/random.h"
#include "decide/router.h"

#include <map>

namespace burdock {

/// Narrows a request to the upstreams that can take it; the rest is left to the policy.
class BaselinePolicy : public RoutingPolicy
{
public:
    explicit BaselinePolicy(const UpstreamTable &table);

    RoutingAnswer choose(const RoutingRequest &request, Instant now) override;

protected:
    /// @param rows upstreams with room, at least one
    /// @return one of them
    virtual const UpstreamRow *pick(const std::vector<const UpstreamRow *> &rows,
                                    const RoutingRequest &request) = 0;

    /// @return requests at the upstream by its last report alone
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
    std::map<std::string, std::size_t> m_next; // by key
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
