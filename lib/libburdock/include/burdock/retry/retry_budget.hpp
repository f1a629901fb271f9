#pragma once

#include <burdock/types.hpp>

namespace burdock::retry {

/**
 * @brief Limits retries to a share of requests.
 *
 * Prevents retries from multiplying the load while many endpoints are down. Each request earns a fraction of a retry, so attempts stay
 * within (1 + share) × requests plus the fixed reserve. Not thread-safe.
 */
class RetryBudget
{
public:
    /**
     * @param earnedPercent fraction of a retry that each request earns, in percent
     * @param reserve       maximum balance in retries, which is also the initial balance
     */
    RetryBudget(u32 earnedPercent, u32 reserve);

    /** @brief Adds what one request earns. */
    void noteRequest();

    /** @brief Takes one retry from the balance; returns false if the balance is too low. */
    [[nodiscard]] bool trySpend();

    void setEarnedPercent(u32 earnedPercent);

    /** @brief Sets the maximum balance in retries; the spent part of the reserve stays spent. */
    void setReserve(u32 reserve);

private:
    u32 m_earnedPercent;
    u64 m_reservePercent;
    u64 m_balancePercent;
};

} // namespace burdock::retry
