#include <burdock/cache/store_freshness.hpp>

namespace burdock::cache {

StoreFreshness::StoreFreshness(const StoreFreshnessPolicy &policy)
    : m_policy(policy)
{
}

void StoreFreshness::noteListed(u64 epoch, u64 next, TimePoint now)
{
    if (epoch != m_epoch) {
        m_saveFrom = now + m_policy.restAfterRestart;
    }
    m_isKnown = true;
    m_epoch = epoch;
    m_next = next;
    m_heardAt = now;
}

EventBatchResult StoreFreshness::noteEvents(u64 epoch, u64 since, u64 next, TimePoint now)
{
    const bool follows = m_isKnown && epoch == m_epoch && since <= m_next;
    if (!follows) {
        markOutdated();
        return EventBatchResult::Gap;
    }
    m_heardAt = now;
    if (next <= m_next) {
        return EventBatchResult::Duplicate;
    }
    m_next = next;
    return EventBatchResult::Applied;
}

void StoreFreshness::markOutdated()
{
    m_isKnown = false;
}

bool StoreFreshness::isCurrent(TimePoint now) const
{
    return m_isKnown && now - m_heardAt <= m_policy.longestSilence;
}

bool StoreFreshness::maySave(TimePoint now) const
{
    return isCurrent(now) && now >= m_saveFrom;
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
