#include <burdock/cache/fetch_cost_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::cache {

FetchCostEstimator::FetchCostEstimator(const FetchCostPolicy &policy)
    : m_policy(policy)
{
}

void FetchCostEstimator::noteFetch(std::string_view store, Duration prefillTime, Duration fetchTime, TimePoint now)
{
    if (prefillTime <= Duration::zero()) {
        return;
    }
    const double sample = std::clamp(100.0 * toMilliseconds(fetchTime) / toMilliseconds(prefillTime), 0.0, m_policy.maxSamplePercent);
    const double current = percentOfPrefill(store, now);
    m_estimates.insert_or_assign(std::string(store), Estimate{current + m_policy.sampleWeight * (sample - current), now});
}

double FetchCostEstimator::percentOfPrefill(std::string_view store, TimePoint now) const
{
    const auto found = m_estimates.find(store);
    if (found == m_estimates.end()) {
        return m_policy.defaultPercent;
    }
    const double halfLives = toMilliseconds(now - found->second.at) / toMilliseconds(m_policy.halfLife);
    return m_policy.defaultPercent + (found->second.percent - m_policy.defaultPercent) * std::exp2(-halfLives);
}

bool FetchCostEstimator::isWorthFetching(std::string_view store, TimePoint now) const
{
    return percentOfPrefill(store, now) <= m_policy.maxWorthwhilePercent;
}

} // namespace burdock::cache
