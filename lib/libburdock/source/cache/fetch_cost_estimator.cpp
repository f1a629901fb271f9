#include <burdock/cache/fetch_cost_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::cache {

FetchCostEstimator::FetchCostEstimator(const FetchCostPolicy &policy)
    : m_policy(policy)
{
}

void FetchCostEstimator::noteFetch(std::string_view store, Duration readTime, Duration taken, TimePoint now)
{
    if (readTime <= Duration::zero()) {
        return;
    }
    const double seen = std::clamp(100.0 * toMilliseconds(taken) / toMilliseconds(readTime), 0.0, m_policy.mostPercent);
    const double known = percentOfPrefill(store, now);
    m_learnt.insert_or_assign(std::string(store), Learnt{known + m_policy.latestWeight * (seen - known), now});
}

double FetchCostEstimator::percentOfPrefill(std::string_view store, TimePoint now) const
{
    const auto found = m_learnt.find(store);
    if (found == m_learnt.end()) {
        return m_policy.usualPercent;
    }
    const double halfLives = toMilliseconds(now - found->second.at) / toMilliseconds(m_policy.halfLife);
    return m_policy.usualPercent + (found->second.percent - m_policy.usualPercent) * std::exp2(-halfLives);
}

bool FetchCostEstimator::isWorthFetching(std::string_view store, TimePoint now) const
{
    return percentOfPrefill(store, now) <= m_policy.worthPercent;
}

} // namespace burdock::cache
