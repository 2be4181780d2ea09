// Limits the retries of the whole fleet without communication between its nodes.
//
// Each success earns a fixed fraction of a token and each retry spends one token, so a node that
// sees no successes soon has no tokens left. The retries of the fleet are the sum over its nodes.
// They are therefore limited by that fraction of the fleet's successes plus the initial tokens of
// each node, regardless of how callers are distributed over the nodes:
//
//   retries of the fleet <= tokensPerSuccess * successes of the fleet + nodes * initialTokens
#pragma once

#include <cstdint>

namespace burdock {

struct RetryBudgetSettings
{
    double tokensPerSuccess = 0.1; // tokens that one success earns
    double initialTokens = 3.0;    // lets a node with little traffic retry at all
    double maxTokens = 30.0;       // prevents a burst of retries after a long stable period
};

class RetryBudget
{
public:
    explicit RetryBudget(RetryBudgetSettings settings = {});

    /// Adds `tokensPerSuccess` tokens, up to `maxTokens`.
    void onSuccess();

    /// Sets the most tokens, and drops those beyond it. The fleet's tokens are shared by the nodes
    /// that are known, and more may become known.
    void setMaxTokens(double maxTokens);

    /// Spends one token.
    /// @return whether a token was available; if not, the request must not be retried
    bool trySpend();

    /// Returns a token that was spent for a retry of which nothing was sent.
    void refund();

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
