#include <burdock/retry/retry_budget.hpp>

#include <algorithm>

namespace burdock::retry {

namespace {

constexpr u64 PercentPerRetry = 100;

} // namespace

RetryBudget::RetryBudget(u32 earnedPercent, u32 reserve)
    : m_earnedPercent(earnedPercent)
    , m_reservePercent(reserve * PercentPerRetry)
    , m_balancePercent(reserve * PercentPerRetry)
{
}

void RetryBudget::noteRequest()
{
    m_balancePercent = std::min(m_reservePercent, m_balancePercent + m_earnedPercent);
}

bool RetryBudget::trySpend()
{
    if (m_balancePercent < PercentPerRetry) {
        return false;
    }
    m_balancePercent -= PercentPerRetry;
    return true;
}

void RetryBudget::setReserve(u32 reserve)
{
    const u64 spent = m_reservePercent - m_balancePercent;
    m_reservePercent = reserve * PercentPerRetry;
    m_balancePercent = m_reservePercent - std::min(m_reservePercent, spent);
}

void RetryBudget::setEarnedPercent(u32 earnedPercent)
{
    m_earnedPercent = earnedPercent;
}

} // namespace burdock::retry
