#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/limits/token_bucket.hpp>

#include <map>
#include <optional>
#include <set>

namespace burdock::cache {

/** @brief A block that may be worth keeping. */
struct ExportCandidate
{
    BlockKey key{};
    u64 bytes = 0;
    double recomputeCost = 0; ///< cost of computing the block again, in the units of CostWeights
    double returnChance = 0; ///< estimated chance that the prompt returns, 0 to 1
};

/**
 * @brief Chooses which blocks go over the export link, most valuable first, within its budget.
 *
 * Not thread-safe.
 */
class ExportQueue
{
public:
    /**
     * @param capacity candidates held at most; the least valuable is dropped first
     * @param budget   bytes a second over the link
     */
    ExportQueue(std::size_t capacity, limits::TokenBucket budget);

    /** @brief Adds a candidate unless the same block waits already. */
    void add(const ExportCandidate &candidate);

    /** @brief Takes the most valuable block that the budget allows now. */
    [[nodiscard]] std::optional<ExportCandidate> take(TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_capacity;
    limits::TokenBucket m_budget;
    std::multimap<double, ExportCandidate> m_byValue;
    std::set<BlockKey> m_waiting;
};

} // namespace burdock::cache
