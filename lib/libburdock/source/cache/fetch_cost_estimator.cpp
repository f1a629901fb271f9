#include <burdock/cache/fetch_cost_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::cache {

namespace {

/** Bounds the influence of one message. */
constexpr double MaxPeerSamples = 10;
constexpr u64 RandomSteps = 1000;

} // namespace

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
    const double count = std::min(1.0, toMilliseconds(prefillTime) / toMilliseconds(m_policy.fullWeightPrefill));
    update(store, sample, count, now);
    auto &own = m_ownSamples.try_emplace(std::string(store), FetchSamples{std::string(store), 0, 0}).first->second;
    own.count += count;
    own.meanPercent += (sample - own.meanPercent) * count / own.count;
}

void FetchCostEstimator::update(std::string_view store, double percent, double count, TimePoint now)
{
    const double current = percentOfPrefill(store, now);
    const double weight = 1 - std::pow(1 - m_policy.sampleWeight, count);
    m_estimates.insert_or_assign(std::string(store), Estimate{current + weight * (percent - current), now});
}

std::vector<FetchSamples> FetchCostEstimator::takeSamples()
{
    std::vector<FetchSamples> samples;
    for (auto &[store, own] : m_ownSamples) {
        samples.push_back(std::move(own));
    }
    m_ownSamples.clear();
    return samples;
}

void FetchCostEstimator::applySamples(const FetchSamples &samples, TimePoint now)
{
    const bool isPlausible = samples.meanPercent >= 0 && samples.meanPercent <= m_policy.maxSamplePercent;
    if (isPlausible && samples.count > 0) {
        update(samples.store, samples.meanPercent, std::min(samples.count, MaxPeerSamples), now);
    }
}

bool FetchCostEstimator::mayFetch(std::string_view store, u64 random, TimePoint now) const
{
    const double percent = percentOfPrefill(store, now);
    const double share = (m_policy.noUsePercent - percent) / (m_policy.noUsePercent - m_policy.fullUsePercent);
    return static_cast<double>(random % RandomSteps) < std::min(1.0, share) * static_cast<double>(RandomSteps);
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

const FetchCostPolicy &FetchCostEstimator::policy() const
{
    return m_policy;
}

} // namespace burdock::cache
