#pragma once

#include <burdock/types.hpp>

#include <list>
#include <string>
#include <unordered_map>

namespace burdock::cache {

/**
 * @brief Guesses which parts one engine still has in memory, from what was sent there lately. Not thread-safe.
 *
 * Engines drop the least recently used parts; so does the guess, within a share of the engine's memory. It may be wrong both ways,
 * which costs time and never correctness.
 */
class MemoryGuess
{
public:
    /** @param key salt and id of a part */
    void note(const std::string &key, u64 tokens, u64 capacity);

    [[nodiscard]] bool holds(const std::string &key) const;

    void clear();

private:
    struct Entry
    {
        std::string key;
        u64 tokens = 0;
    };

    std::list<Entry> m_entries; // newest first
    std::unordered_map<std::string, std::list<Entry>::iterator> m_byKey;
    u64 m_tokens = 0;
};

} // namespace burdock::cache
