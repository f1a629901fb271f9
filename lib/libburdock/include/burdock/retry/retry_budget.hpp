#pragma once

#include <burdock/types.hpp>

namespace burdock::retry {

/**
 * @brief Bounds retries to a share of successes.
 *
 * Guards against retries that multiply load while many endpoints are down: it shows as attempts that grow faster than requests.
 * Each request earns a part of one retry, so attempts stay within (1 + share) × requests plus the fixed reserve.
 * Not thread-safe.
 */
class RetryBudget
{
public:
    /**
     * @param earnedPercent part of one retry that a request earns, in percent
     * @param reserve       retries that may be saved up, and that are there at the start
     */
    RetryBudget(u32 earnedPercent, u32 reserve);

    void noteRequest();
    [[nodiscard]] bool trySpend();
    void setEarnedPercent(u32 earnedPercent);

    /** @brief Sets how many retries may be saved up; what was spent of the reserve stays spent. */
    void setReserve(u32 reserve);

private:
    u32 m_earnedPercent;
    u64 m_reservePercent;
    u64 m_balancePercent;
};

} // namespace burdock::retry
