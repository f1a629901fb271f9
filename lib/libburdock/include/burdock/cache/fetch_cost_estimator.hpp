#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>

namespace burdock::cache {

/** @brief Parameters of FetchCostEstimator; costs are in percent of the prefill time of the same tokens. */
struct FetchCostPolicy
{
    double defaultPercent = 25; ///< cost where no fetch is known
    double maxSamplePercent = 1000; ///< bound of a single measured fetch
    double sampleWeight = 0.15; ///< weight of the latest fetch in the moving average
    Duration halfLife = std::chrono::seconds(2); ///< time in which an estimate decays halfway to the default
    double maxWorthwhilePercent = 250; ///< above it, parts are prefilled instead of fetched
};

/**
 * @brief Estimates the cost of fetches from each cache store relative to prefill. Not thread-safe.
 *
 * When a store's link is slow or overloaded, all prompts that fetch from it wait, the prompts queued behind them wait too, and many
 * fetches are abandoned for prefill in the end. Fetching less while the store is slow lets its link drain. Estimates decay to the
 * default, so that the store is tried again.
 */
class FetchCostEstimator
{
public:
    explicit FetchCostEstimator(const FetchCostPolicy &policy);

    /**
     * @brief Records a completed fetch.
     * @param prefillTime estimated time to prefill the fetched tokens
     * @param fetchTime   time that the fetch took
     */
    void noteFetch(std::string_view store, Duration prefillTime, Duration fetchTime, TimePoint now);

    /** @brief Returns the estimated time to fetch a token from a store, in percent of the time to prefill it. */
    [[nodiscard]] double percentOfPrefill(std::string_view store, TimePoint now) const;

    /** @brief Returns whether fetching from a store is currently worth its time. */
    [[nodiscard]] bool isWorthFetching(std::string_view store, TimePoint now) const;

private:
    struct Estimate
    {
        double percent = 0;
        TimePoint at{};
    };

    FetchCostPolicy m_policy;
    std::map<std::string, Estimate, std::less<>> m_estimates; ///< by address of the store
};

} // namespace burdock::cache
