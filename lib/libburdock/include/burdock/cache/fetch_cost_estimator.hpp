#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::cache {

/** @brief Parameters of FetchCostEstimator; costs are in percent of the prefill time of the same tokens. */
struct FetchCostPolicy
{
    double defaultPercent = 25; ///< cost where no fetch is known
    double maxSamplePercent = 1000; ///< bound of a single measured fetch
    double sampleWeight = 0.15; ///< weight of the latest fetch in the moving average
    /** Prefill time from which a fetch has this weight. Of shorter ones, more is due to the variation of the engine's own delay. */
    Duration fullWeightPrefill = std::chrono::milliseconds(80);
    Duration halfLife = std::chrono::seconds(2); ///< time in which an estimate decays halfway to the default
    double maxWorthwhilePercent = 250; ///< above it, a store counts as slow
    double fullUsePercent = 200; ///< up to it, all parts are fetched
    double noUsePercent = 500; ///< from it on, none are; in between, the share falls evenly
};

/** @brief Fetches from one store that an entry observed. */
struct FetchSamples
{
    std::string store; ///< address
    double count = 0; ///< short fetches count for less than one
    double meanPercent = 0; ///< mean time in percent of the prefill time of the same tokens
};

/**
 * @brief Estimates the cost of fetches from each cache store relative to prefill. Not thread-safe.
 *
 * When a store's link is slow or overloaded, all prompts that fetch from it wait, the prompts queued behind them wait too, and many
 * fetches are abandoned for prefill in the end. Fetching less while the store is slow lets its link drain. Estimates decay to the
 * default, so that the store is tried again. Where many entries share a store, each of them observes too few fetches to notice in time, so
 * they exchange their samples. As all of them then reach the same estimate at the same time, the share of fetches changes gradually with
 * it.
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

    /**
     * @brief Returns whether a part is fetched: always at a low cost, for a smaller share of the prompts at a higher one.
     * @param random uniformly distributed, the same for all decisions about one prompt
     */
    [[nodiscard]] bool mayFetch(std::string_view store, u64 random, TimePoint now) const;

    /** @brief Returns what noteFetch() recorded since the previous call, to be sent to the other entries. */
    [[nodiscard]] std::vector<FetchSamples> takeSamples();

    /** @brief Applies samples of another entry; values that no entry can have observed are ignored. */
    void applySamples(const FetchSamples &samples, TimePoint now);

    [[nodiscard]] const FetchCostPolicy &policy() const;

private:
    struct Estimate
    {
        double percent = 0;
        TimePoint at{};
    };

    void update(std::string_view store, double percent, double count, TimePoint now);

    FetchCostPolicy m_policy;
    std::map<std::string, FetchSamples, std::less<>> m_ownSamples; ///< by address of the store
    std::map<std::string, Estimate, std::less<>> m_estimates; ///< by address of the store
};

} // namespace burdock::cache
