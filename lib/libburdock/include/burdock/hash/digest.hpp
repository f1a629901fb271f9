#pragma once

#include <burdock/types.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

/** @brief Keyed and unkeyed hashes with unambiguous field boundaries. */
namespace burdock::hash {

using Digest128 = std::array<u8, 16>;
using Digest256 = std::array<u8, 32>;

/**
 * @brief BLAKE2b of several fields, each preceded by its length.
 *
 * The lengths keep ("ab", "c") and ("a", "bc") apart, so names that join to the same text never share a digest.
 */
[[nodiscard]] Digest128 digest128(std::initializer_list<std::string_view> fields);
[[nodiscard]] Digest256 digest256(std::initializer_list<std::string_view> fields);

/** @brief BLAKE2b-256 of the plain text, without a length in front; the form in which API keys are stored. */
[[nodiscard]] Digest256 plainDigest256(std::string_view text);

/** @brief Fast 64-bit hash for tables and scores; not for isolation between customers. */
[[nodiscard]] u64 hash64(std::string_view text, u64 seed = 0);

[[nodiscard]] std::string toHex(std::string_view bytes);
[[nodiscard]] std::string_view asBytes(const Digest128 &digest);
[[nodiscard]] std::string_view asBytes(const Digest256 &digest);

} // namespace burdock::hash
