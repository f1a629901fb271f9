#include <burdock/cache/store_news.hpp>

namespace burdock::cache {

StoreNews::StoreNews(const StoreNewsPolicy &policy)
    : m_policy(policy)
{
}

void StoreNews::noteListed(u64 epoch, u64 next, TimePoint now)
{
    if (epoch != m_epoch) {
        m_saveFrom = now + m_policy.restAfterRestart;
    }
    m_isKnown = true;
    m_epoch = epoch;
    m_next = next;
    m_heardAt = now;
}

EventStretch StoreNews::noteEvents(u64 epoch, u64 since, u64 next, TimePoint now)
{
    const bool follows = m_isKnown && epoch == m_epoch && since <= m_next;
    if (!follows) {
        noteLost();
        return EventStretch::Missed;
    }
    m_heardAt = now;
    if (next <= m_next) {
        return EventStretch::Old;
    }
    m_next = next;
    return EventStretch::Taken;
}

void StoreNews::noteLost()
{
    m_isKnown = false;
}

bool StoreNews::isKnown(TimePoint now) const
{
    return m_isKnown && now - m_heardAt <= m_policy.longestSilence;
}

bool StoreNews::maySave(TimePoint now) const
{
    return isKnown(now) && now >= m_saveFrom;
}

u64 StoreNews::epoch() const
{
    return m_epoch;
}

u64 StoreNews::next() const
{
    return m_next;
}

} // namespace burdock::cache
