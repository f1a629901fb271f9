#include <burdock/cache/memory_guess.hpp>

namespace burdock::cache {

void MemoryGuess::note(const std::string &key, u64 tokens, u64 capacity)
{
    const auto known = m_byKey.find(key);
    if (known != m_byKey.end()) {
        m_entries.splice(m_entries.begin(), m_entries, known->second);
        return;
    }
    m_entries.push_front(Entry{key, tokens});
    m_byKey[key] = m_entries.begin();
    m_tokens += tokens;
    while (m_tokens > capacity && !m_entries.empty()) {
        m_tokens -= m_entries.back().tokens;
        m_byKey.erase(m_entries.back().key);
        m_entries.pop_back();
    }
}

bool MemoryGuess::holds(const std::string &key) const
{
    return m_byKey.count(key) > 0;
}

void MemoryGuess::clear()
{
    m_entries.clear();
    m_byKey.clear();
    m_tokens = 0;
}

} // namespace burdock::cache
