// Bounds the retries of the whole fleet without any talk between its nodes.
//
// Each success earns a fixed share of a token and each retry spends one. A node that sees no
// success soon has none left. The fleet's retries are the sum of its nodes', so they are bounded by
// that share of the fleet's successes plus each node's initial tokens, whichever nodes the callers
// use:
//
//   retries of the fleet <= share * successes of the fleet + nodes * initial
#pragma once

#include <cstdint>

namespace burdock {

struct RetryBudgetSettings
{
    double share = 0.1;   // tokens that one success earns
    double initial = 3.0; // tokens at the start, so that a quiet node can retry at all
    double most = 30.0;   // tokens kept at most, so that a long calm saves up no storm
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Earns a share of a token.
    void onSuccess();

    /// Spends a token.
    /// @return whether there was one; when not, there must be no retry
    bool trySpend();

    double tokens() const { return m_tokens; }
    std::uint64_t spent() const { return m_spent; }
    std::uint64_t refused() const { return m_refused; }

private:
    RetryBudgetSettings m_settings;
    double m_tokens = 0.0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_refused = 0;
};

} // namespace burdock
