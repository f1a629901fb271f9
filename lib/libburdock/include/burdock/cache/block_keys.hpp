#pragma once

#include <burdock/hash/digest.hpp>

#include <string_view>
#include <vector>

namespace burdock::cache {

/** @brief What a block of kept cache belongs to; blocks of different scopes never share a key. */
struct BlockScope
{
    std::string_view customer;
    std::string_view model;
    std::string_view adapter;
    std::string_view weightVersion;
};

using BlockKey = hash::Digest128;

/**
 * @brief Keys of the whole blocks of a prompt, in order.
 *
 * Each key covers the scope and all text up to the end of its block, so equal keys mean equal prefixes of one customer under one
 * weight version. A last part shorter than a block has no key.
 *
 * @param blockBytes bytes of prompt text in one block, more than zero
 */
[[nodiscard]] std::vector<BlockKey> blockKeys(const BlockScope &scope, std::string_view prompt, u32 blockBytes);

/** @brief Hash by which a prompt finds its home endpoints; see placement/policy.hpp. */
[[nodiscard]] u64 homeHash(const BlockScope &scope, std::string_view prompt, const std::vector<BlockKey> &keys);

} // namespace burdock::cache
