#pragma once

#include <burdock/types.hpp>

namespace burdock::limits {

/** @brief Token bucket that uses the caller's clock. Not thread-safe. */
class TokenBucket
{
public:
    /**
     * @param tokensPerSecond refill rate, greater than zero
     * @param burst           capacity in tokens; the bucket starts full
     */
    TokenBucket(double tokensPerSecond, double burst);

    /**
     * @brief Takes tokens if enough are available.
     *
     * An amount larger than the burst is taken from a full bucket and leaves a negative balance, so that a large item is delayed rather
     * than blocked forever.
     */
    [[nodiscard]] bool tryTake(double amount, TimePoint now);

    /** @brief Time until the amount can be taken; zero if it is available now. */
    [[nodiscard]] Duration timeUntil(double amount, TimePoint now);

    void setRate(double tokensPerSecond, double burst, TimePoint now);

private:
    void refill(TimePoint now);

    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_lastRefill{};
};

} // namespace burdock::limits
