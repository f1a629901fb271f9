#pragma once

#include <burdock/types.hpp>

#include <list>
#include <string_view>
#include <unordered_map>

namespace burdock::cache {

/** @brief Returns a compact hash of a prompt part under a salt; it is the same on all entries. */
[[nodiscard]] u64 partHash(std::string_view salt, std::string_view id);

/**
 * @brief Estimates which prompt parts an engine still holds in memory, from the parts recently sent to it. Not thread-safe.
 *
 * Engines evict the least recently used parts, and the estimate does the same within a share of the engine's memory. It can be wrong
 * in both directions; an error costs time but never affects correctness.
 */
class EngineCacheEstimate
{
public:
    /**
     * @brief Records that a part was sent to the engine.
     * @param part     see partHash()
     * @param capacity share of the engine's memory that the estimate covers, in tokens
     */
    void noteSent(u64 part, u64 tokens, u64 capacity);

    [[nodiscard]] bool contains(u64 part) const;

    void clear();

private:
    struct Entry
    {
        u64 part = 0;
        u64 tokens = 0;
    };

    std::list<Entry> m_entries; // most recently used first
    std::unordered_map<u64, std::list<Entry>::iterator> m_byPart;
    u64 m_tokens = 0;
};

} // namespace burdock::cache
