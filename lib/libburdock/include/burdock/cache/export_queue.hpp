#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/limits/token_bucket.hpp>

#include <map>
#include <optional>
#include <set>

namespace burdock::cache {

/** @brief A block that could be exported to the store. */
struct ExportCandidate
{
    BlockKey key{};
    u64 bytes = 0;
    double recomputeCost = 0; ///< cost of recomputing the block, in the units of CostWeights
    double reuseProbability = 0; ///< estimated probability that the prompt is sent again, 0 to 1
};

/**
 * @brief Priority queue of blocks to export, ordered by expected saving per byte and limited by the bandwidth of the export link.
 *
 * Not thread-safe.
 */
class ExportQueue
{
public:
    /**
     * @param capacity maximum number of queued candidates; when exceeded, the least valuable one is dropped
     * @param budget   bandwidth budget of the link, in bytes per second
     */
    ExportQueue(std::size_t capacity, limits::TokenBucket budget);

    /** @brief Adds a candidate unless its block is already queued. */
    void add(const ExportCandidate &candidate);

    /** @brief Removes and returns the most valuable block, or nothing if the queue is empty or the budget does not allow it yet. */
    [[nodiscard]] std::optional<ExportCandidate> take(TimePoint now);

    [[nodiscard]] std::size_t size() const;

private:
    std::size_t m_capacity;
    limits::TokenBucket m_budget;
    std::multimap<double, ExportCandidate> m_byValue;
    std::set<BlockKey> m_queuedKeys;
};

} // namespace burdock::cache
