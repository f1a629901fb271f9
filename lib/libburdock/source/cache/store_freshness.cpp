#include <burdock/cache/store_freshness.hpp>

namespace burdock::cache {

StoreFreshness::StoreFreshness(const StoreFreshnessPolicy &policy)
    : m_policy(policy)
{
}

void StoreFreshness::noteListed(u64 epoch, u64 next, TimePoint now)
{
    if (epoch != m_epoch) {
        m_savesAllowedAt = now + m_policy.saveDelayAfterRestart;
    }
    m_isCurrent = true;
    m_epoch = epoch;
    m_next = next;
    m_lastContactAt = now;
}

EventBatchResult StoreFreshness::noteEvents(u64 epoch, u64 since, u64 next, TimePoint now)
{
    const bool isContinuous = m_isCurrent && epoch == m_epoch && since <= m_next;
    if (!isContinuous) {
        markOutdated();
        return EventBatchResult::Gap;
    }
    m_lastContactAt = now;
    if (next <= m_next) {
        return EventBatchResult::Duplicate;
    }
    m_next = next;
    return EventBatchResult::Applied;
}

void StoreFreshness::markOutdated()
{
    m_isCurrent = false;
}

bool StoreFreshness::isCurrent(TimePoint now) const
{
    return m_isCurrent && now - m_lastContactAt <= m_policy.maxSilence;
}

bool StoreFreshness::maySave(TimePoint now) const
{
    return isCurrent(now) && now >= m_savesAllowedAt;
}

u64 StoreFreshness::epoch() const
{
    return m_epoch;
}

u64 StoreFreshness::next() const
{
    return m_next;
}

} // namespace burdock::cache
