#include <burdock/limits/token_bucket.hpp>

#include <algorithm>

namespace burdock::limits {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Refills accumulate rounding errors; without the tolerance a full bucket could stay a fraction of a token short forever.
constexpr double RoundingTolerance = 1e-9;

} // namespace

TokenBucket::TokenBucket(double tokensPerSecond, double burst)
    : m_rate(tokensPerSecond)
    , m_burst(burst)
    , m_tokens(burst)
{
}

void TokenBucket::refill(TimePoint now)
{
    if (now <= m_lastRefill) {
        return;
    }
    const auto elapsed = static_cast<double>((now - m_lastRefill).count()) / MicrosecondsPerSecond;
    m_tokens = std::min(m_burst, m_tokens + elapsed * m_rate);
    m_lastRefill = now;
}

bool TokenBucket::tryTake(double amount, TimePoint now)
{
    refill(now);
    if (m_tokens + RoundingTolerance < std::min(amount, m_burst)) {
        return false;
    }
    m_tokens -= amount;
    return true;
}

Duration TokenBucket::timeUntil(double amount, TimePoint now)
{
    refill(now);
    const double missing = std::min(amount, m_burst) - m_tokens;
    if (missing <= RoundingTolerance) {
        return Duration::zero();
    }
    return Duration(static_cast<i64>(MicrosecondsPerSecond * missing / m_rate) + 1);
}

void TokenBucket::setRate(double tokensPerSecond, double burst, TimePoint now)
{
    refill(now);
    m_rate = tokensPerSecond;
    m_burst = burst;
    m_tokens = std::min(m_tokens, burst);
}

} // namespace burdock::limits
