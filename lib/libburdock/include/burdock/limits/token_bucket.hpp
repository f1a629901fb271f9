#pragma once

#include <burdock/types.hpp>

namespace burdock::limits {

/** @brief A token bucket on the caller's clock. Not thread-safe. */
class TokenBucket
{
public:
    /**
     * @param tokensPerSecond refill rate, more than zero
     * @param burst           tokens that the bucket holds at most; it starts full
     */
    TokenBucket(double tokensPerSecond, double burst);

    /**
     * @brief Takes tokens if they are there.
     *
     * An amount over the burst is taken from a full bucket and leaves a debt, so that one large item is late rather than stuck.
     */
    [[nodiscard]] bool tryTake(double amount, TimePoint now);

    /** @brief Time until the amount could be taken; zero if it can be taken now. */
    [[nodiscard]] Duration timeUntil(double amount, TimePoint now);

    void setRate(double tokensPerSecond, double burst, TimePoint now);

private:
    void refill(TimePoint now);

    double m_rate;
    double m_burst;
    double m_tokens;
    TimePoint m_last{};
};

} // namespace burdock::limits
