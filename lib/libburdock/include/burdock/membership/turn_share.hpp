#pragma once

#include <burdock/types.hpp>

#include <vector>

namespace burdock::membership {

/**
 * @brief Returns how many of `total` items are those of one member, by hash, so that the members need no messages to divide them.
 * @param seed   different for each set of items
 * @param own    hash of the member's name
 * @param others hashes of the names of all other members
 */
[[nodiscard]] u32 turnShare(u64 seed, u64 own, const std::vector<u64> &others, u32 total);

} // namespace burdock::membership
