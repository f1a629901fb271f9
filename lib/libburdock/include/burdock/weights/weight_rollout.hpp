#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::weights {

/** @brief A replica of a model, as input for the order of the rollout. */
struct ReplicaWeights
{
    std::string id;
    u64 version = 0;
    u64 load = 0; ///< current load, in any unit
};

/**
 * @brief Decides which replicas load newly announced weights next. Not thread-safe.
 *
 * Only a few replicas load at a time, least loaded first, so that the others continue to serve and the loads do not slow each other.
 */
class WeightRollout
{
public:
    /** @param orderRetryDelay time after which the order to a replica that still has old weights is repeated */
    explicit WeightRollout(Duration orderRetryDelay);

    /** @brief Returns the ids of the replicas to which an order must be sent now. */
    [[nodiscard]] std::vector<std::string> nextReplicas(u64 wanted, const std::vector<ReplicaWeights> &replicas, TimePoint now);

    void noteOrdered(std::string_view id, u64 version, TimePoint now);

    /** @brief Records that a replica has finished its runs and is loading. */
    void noteLoading(std::string_view id);

    /** @brief Records that an order was refused or not sent; it may be repeated after a short delay. */
    void noteRefused(std::string_view id, TimePoint now);

    /** @brief Returns the ids of the replicas with a pending order. */
    [[nodiscard]] std::vector<std::string> pendingReplicas() const;

    /** @brief Returns how many of the replicas may load concurrently. */
    [[nodiscard]] static std::size_t maxConcurrentLoads(std::size_t replicas);

    /** @brief Returns how many of the replicas may have a pending order; those above maxConcurrentLoads() finish their runs meanwhile. */
    [[nodiscard]] static std::size_t maxPendingOrders(std::size_t replicas);

private:
    struct Order
    {
        u64 version = 0;
        TimePoint since{};
        bool isRefused = false;
        bool isLoading = false;
    };

    Duration m_orderRetryDelay;
    std::map<std::string, Order, std::less<>> m_orders; ///< by id of the replica
};

} // namespace burdock::weights
