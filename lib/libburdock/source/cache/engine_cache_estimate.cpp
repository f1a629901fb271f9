#include <burdock/cache/engine_cache_estimate.hpp>

#include <burdock/hash/digest.hpp>

namespace burdock::cache {

u64 partHash(std::string_view salt, std::string_view id)
{
    return hash::hash64(id, hash::hash64(salt));
}

void EngineCacheEstimate::noteSent(u64 part, u64 tokens, u64 capacity)
{
    const auto known = m_byPart.find(part);
    if (known != m_byPart.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front(Entry{part, tokens});
    m_byPart[part] = m_entries.begin();
    m_tokens += tokens;
    while (m_tokens > capacity && !m_entries.empty()) {
        m_tokens -= m_entries.back().tokens;
        m_byPart.erase(m_entries.back().part);
        m_entries.pop_back();
    }
}

bool EngineCacheEstimate::contains(u64 part) const
{
    return m_byPart.count(part) > 0;
}

void EngineCacheEstimate::clear()
{
    m_entries.clear();
    m_byPart.clear();
    m_tokens = 0;
}

} // namespace burdock::cache
