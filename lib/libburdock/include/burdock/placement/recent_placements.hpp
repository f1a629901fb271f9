#pragma once

#include <burdock/cache/block_keys.hpp>

#include <list>
#include <map>

namespace burdock::placement {

/** @brief LRU cache of the endpoints on which recent prompts ran. Its results are hints and may be wrong. Not thread-safe. */
class RecentPlacements
{
public:
    explicit RecentPlacements(std::size_t capacity);

    /** @brief Records that the prompt prefix with this key ran at an endpoint. */
    void note(const cache::BlockKey &key, u64 endpoint);

    /** @brief The endpoint that ran the longest known prefix, or zero. Keys are ordered from the shortest prefix to the longest. */
    [[nodiscard]] u64 find(const std::vector<cache::BlockKey> &keys) const;

    [[nodiscard]] std::size_t size() const;

private:
    struct Placement
    {
        cache::BlockKey key;
        u64 endpoint;
    };

    std::size_t m_capacity;
    std::list<Placement> m_placements; // newest first
    std::map<cache::BlockKey, std::list<Placement>::iterator> m_byKey;
};

} // namespace burdock::placement
