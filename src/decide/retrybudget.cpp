#include "decide/retrybudget.h"

#include <algorithm>

namespace burdock {

RetryBudget::RetryBudget(RetryBudgetSettings settings)
    : m_settings(settings)
    , m_tokens(settings.initialTokens)
{
}

void RetryBudget::onSuccess()
{
    m_tokens = std::min(m_settings.maxTokens, m_tokens + m_settings.tokensPerSuccess);
}

void RetryBudget::setMaxTokens(double maxTokens)
{
    m_settings.maxTokens = maxTokens;
    m_tokens = std::min(m_tokens, maxTokens);
}

void RetryBudget::refund()
{
    m_tokens = std::min(m_settings.maxTokens, m_tokens + 1.0);
    m_spent--;
}

bool RetryBudget::trySpend()
{
    if (m_tokens < 1.0) {
        m_refused++;
        return false;
    }
    m_tokens -= 1.0;
    m_spent++;
    return true;
}

} // namespace burdock
