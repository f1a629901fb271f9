#pragma once

#include <burdock/cache/block_keys.hpp>

#include <list>
#include <map>

namespace burdock::placement {

/** @brief Remembers where prompts ran lately, least recently used first out. Hints only; may be wrong. Not thread-safe. */
class RecentPlacements
{
public:
    explicit RecentPlacements(std::size_t capacity);

    void note(const cache::BlockKey &key, u64 endpoint);

    /** @brief The endpoint that ran the longest known prefix, or zero. */
    [[nodiscard]] u64 find(const std::vector<cache::BlockKey> &keys) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct Entry
    {
        cache::BlockKey key;
        u64 endpoint;
    };

    std::size_t m_capacity;
    std::list<Entry> m_entries; // newest first
    std::map<cache::BlockKey, std::list<Entry>::iterator> m_byKey;
};

} // namespace burdock::placement
