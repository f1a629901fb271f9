#include <burdock/limits/permit_bucket.hpp>

#include <algorithm>

namespace burdock::limits {

namespace {

double toSeconds(Duration duration)
{
    return toMilliseconds(duration) / 1000.0;
}

} // namespace

PermitBucket::PermitBucket(const PermitPolicy &policy)
    : m_policy(policy)
{
}

PermitReply PermitBucket::take(double perSecond, u32 priority, TimePoint now)
{
    refill(perSecond, now);
    m_lastAsked[priority] = now;
    const double needed = isMoreUrgentExpected(priority, now) ? 2 : 1;
    if (m_permits >= needed) {
        m_permits -= 1;
        return {true, {}};
    }
    return {false, nextReturn(perSecond, priority, now)};
}

void PermitBucket::takeUnconditionally(double perSecond, TimePoint now)
{
    refill(perSecond, now);
    m_permits -= 1;
}

void PermitBucket::refill(double perSecond, TimePoint now)
{
    const double rate = perSecond * m_policy.usedShare;
    const double most = std::min(m_policy.maxBurst, 1 + rate * toSeconds(m_policy.maxBurstTime)) + rate * toSeconds(m_policy.burstTime);
    if (m_refilledAt) {
        m_permits = std::min(most, m_permits + rate * toSeconds(now - *m_refilledAt));
    }
    m_refilledAt = now;
}

bool PermitBucket::isMoreUrgentExpected(u32 priority, TimePoint now)
{
    std::erase_if(m_lastAsked, [&](const auto &entry) { return now - entry.second >= m_policy.urgencyMemory; });
    return m_lastAsked.begin()->first < priority;
}

// Entries that are told to come back one after the other neither ask all the time nor all at once.
Duration PermitBucket::nextReturn(double perSecond, u32 priority, TimePoint now)
{
    const auto interval = std::min(fromMilliseconds(1000.0 / (perSecond * m_policy.returnsPerPermit)), m_policy.maxRetryTime);
    auto &lastReturn = m_lastReturns[priority];
    lastReturn = std::min(std::max(lastReturn, now) + interval, now + m_policy.maxRetryTime);
    return std::max(lastReturn - now, m_policy.minRetryTime);
}

} // namespace burdock::limits
