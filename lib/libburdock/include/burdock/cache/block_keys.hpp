#pragma once

#include <burdock/hash/digest.hpp>

#include <string_view>
#include <vector>

namespace burdock::cache {

/** @brief Scope of a KV cache block; blocks of different scopes never share a key. */
struct BlockScope
{
    std::string_view customer;
    std::string_view model;
    std::string_view adapter;
    std::string_view weightVersion;
};

using BlockKey = hash::Digest128;

/**
 * @brief Returns the keys of the full blocks of a prompt, in prompt order.
 *
 * Each key hashes the scope and all text up to the end of its block, so equal keys mean equal prefixes within one scope. A trailing
 * partial block has no key.
 *
 * @param blockBytes size of a block in bytes of prompt text; must not be zero
 */
[[nodiscard]] std::vector<BlockKey> blockKeys(const BlockScope &scope, std::string_view prompt, u32 blockBytes);

/** @brief Returns the hash that maps a prompt to its home endpoints; see placement/policy.hpp. */
[[nodiscard]] u64 homeHash(const BlockScope &scope, std::string_view prompt, const std::vector<BlockKey> &keys);

} // namespace burdock::cache
