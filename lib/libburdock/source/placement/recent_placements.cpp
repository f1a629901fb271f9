#include <burdock/placement/recent_placements.hpp>

#include <algorithm>

namespace burdock::placement {

RecentPlacements::RecentPlacements(std::size_t capacity)
    : m_capacity(capacity)
{
}

void RecentPlacements::note(const cache::BlockKey &key, u64 endpoint)
{
    if (const auto known = m_byKey.find(key); known != m_byKey.end()) {
        known->second->endpoint = endpoint;
        m_placements.splice(m_placements.begin(), m_placements, known->second);
        return;
    }
    m_placements.push_front({key, endpoint});
    m_byKey.emplace(key, m_placements.begin());
    if (m_placements.size() > m_capacity) {
        m_byKey.erase(m_placements.back().key);
        m_placements.pop_back();
    }
}

u64 RecentPlacements::find(const std::vector<cache::BlockKey> &keys) const
{
    for (auto key = keys.rbegin(); key != keys.rend(); ++key) {
        if (const auto known = m_byKey.find(*key); known != m_byKey.end()) {
            return known->second->endpoint;
        }
    }
    return 0;
}

std::size_t RecentPlacements::size() const
{
    return m_placements.size();
}

} // namespace burdock::placement
