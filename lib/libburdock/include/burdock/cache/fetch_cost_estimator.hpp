#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>

namespace burdock::cache {

/** @brief Figures of FetchCostEstimator. */
struct FetchCostPolicy
{
    double usualPercent = 25; ///< what fetching a token takes, in percent of reading it, where nothing else is known
    double mostPercent = 1000;
    double latestWeight = 0.15; ///< of the latest fetch in the moving average
    Duration halfLife = std::chrono::seconds(2); ///< after which half of what was learnt is forgotten
    double worthPercent = 250; ///< above it parts are read in place of being fetched
};

/**
 * @brief Learns how long fetches from each store of kept cache take. Not thread-safe.
 *
 * Load pattern: a store's link turns slow, or more is fetched than it carries. All prompts that fetch from it wait, those behind them too,
 * and many give the fetch up in the end and read all the same. Fetching less while it is slow lets its link drain; what was
 * learnt fades, so that it is tried again.
 */
class FetchCostEstimator
{
public:
    explicit FetchCostEstimator(const FetchCostPolicy &policy);

    /**
     * @brief Takes note of a fetch.
     * @param readTime what reading the fetched tokens would have taken
     * @param taken    what fetching them took
     */
    void noteFetch(std::string_view store, Duration readTime, Duration taken, TimePoint now);

    /** @brief What fetching a token takes now, in percent of reading it. */
    [[nodiscard]] double percentOfPrefill(std::string_view store, TimePoint now) const;

    /** @brief Whether fetching from a store is worth its time now. */
    [[nodiscard]] bool isWorthFetching(std::string_view store, TimePoint now) const;

private:
    struct Learnt
    {
        double percent = 0;
        TimePoint at{};
    };

    FetchCostPolicy m_policy;
    std::map<std::string, Learnt, std::less<>> m_learnt;
};

} // namespace burdock::cache
