#pragma once

#include <burdock/types.hpp>

#include <list>
#include <string_view>
#include <unordered_map>

namespace burdock::cache {

/** @brief Names a part under a salt in few bytes; equal for equal names at all entries. */
[[nodiscard]] u64 partHash(std::string_view salt, std::string_view id);

/**
 * @brief Guesses which parts one engine still has in memory, from what was sent there lately. Not thread-safe.
 *
 * Engines drop the least recently used parts; so does the guess, within a share of the engine's memory. It may be wrong both ways,
 * which costs time and never correctness.
 */
class EngineCacheEstimate
{
public:
    /** @param part see partHash() */
    void noteSent(u64 part, u64 tokens, u64 capacity);

    [[nodiscard]] bool contains(u64 part) const;

    void clear();

private:
    struct Entry
    {
        u64 part = 0;
        u64 tokens = 0;
    };

    std::list<Entry> m_entries; // newest first
    std::unordered_map<u64, std::list<Entry>::iterator> m_byPart;
    u64 m_tokens = 0;
};

} // namespace burdock::cache
