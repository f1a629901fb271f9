#include <burdock/cache/engine_cache_estimate.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

/** Engines hold their memory in blocks, and so no part takes less. It also bounds what the estimate itself holds. */
constexpr u64 MinPartTokens = 16;

} // namespace

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
    const u64 taken = std::max(tokens, MinPartTokens);
    m_entries.push_front(Entry{part, taken});
    m_byPart[part] = m_entries.begin();
    m_tokens += taken;
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
