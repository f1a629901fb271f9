#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::weights {

/** @brief One replica of a model, for the order in which new weights are loaded. */
struct ReplicaWeights
{
    std::string id;
    u64 version = 0;
    u64 load = 0; ///< work under way, in any unit
};

/**
 * @brief Decides which replicas load newly named weights next. Not thread-safe.
 *
 * A few at a time, the least busy first, so that the others serve on, and loads don't slow each other.
 */
class WeightRollout
{
public:
    /** @param askAgainAfter time after which a replica that still has old weights is ordered again */
    explicit WeightRollout(Duration askAgainAfter);

    /** @brief Ids of the replicas to order now. */
    [[nodiscard]] std::vector<std::string> nextReplicas(u64 wanted, const std::vector<ReplicaWeights> &replicas, TimePoint now);

    void noteOrdered(std::string_view id, u64 version, TimePoint now);

    /** @brief Takes note that a replica has ended its runs and loads. */
    void noteLoading(std::string_view id);

    /** @brief Takes note that an order came to nothing; the replica may be ordered again after a moment. */
    void noteRefused(std::string_view id, TimePoint now);

    /** @brief Replicas with an order under way. */
    [[nodiscard]] std::vector<std::string> pendingReplicas() const;

    /** @brief How many replicas of so many load at once. */
    [[nodiscard]] static std::size_t atOnce(std::size_t replicas);

    /** @brief How many replicas of so many are under order at once; those beyond atOnce() end their runs meanwhile. */
    [[nodiscard]] static std::size_t underOrderAtOnce(std::size_t replicas);

private:
    struct Order
    {
        u64 version = 0;
        TimePoint since{};
        bool isRefused = false;
        bool isLoading = false;
    };

    Duration m_askAgainAfter;
    std::map<std::string, Order, std::less<>> m_orders;
};

} // namespace burdock::weights
