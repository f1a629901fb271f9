#include <burdock/cache/store_pace.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::cache {

StorePace::StorePace(const StorePacePolicy &policy)
    : m_policy(policy)
{
}

void StorePace::note(std::string_view store, Duration readTime, Duration taken, TimePoint now)
{
    if (readTime <= Duration::zero()) {
        return;
    }
    const double seen = std::clamp(100.0 * toMilliseconds(taken) / toMilliseconds(readTime), 0.0, m_policy.mostPercent);
    const double known = percentAt(store, now);
    m_learnt.insert_or_assign(std::string(store), Learnt{known + m_policy.latestWeight * (seen - known), now});
}

double StorePace::percentAt(std::string_view store, TimePoint now) const
{
    const auto found = m_learnt.find(store);
    if (found == m_learnt.end()) {
        return m_policy.usualPercent;
    }
    const double halfLives = toMilliseconds(now - found->second.at) / toMilliseconds(m_policy.halfLife);
    return m_policy.usualPercent + (found->second.percent - m_policy.usualPercent) * std::exp2(-halfLives);
}

bool StorePace::isWorthIt(std::string_view store, TimePoint now) const
{
    return percentAt(store, now) <= m_policy.worthPercent;
}

} // namespace burdock::cache
