#pragma once

#include <burdock/types.hpp>

#include <initializer_list>
#include <string>
#include <string_view>

/** @brief Cryptographic and fast non-cryptographic hashes. */
namespace burdock::hash {

using Digest128 = std::array<u8, 16>;
using Digest256 = std::array<u8, 32>;

/**
 * @brief BLAKE2b of several fields, each preceded by its length.
 *
 * The lengths distinguish ("ab", "c") from ("a", "bc"), so that fields which concatenate to the same text have different digests.
 */
[[nodiscard]] Digest128 digest128(std::initializer_list<std::string_view> fields);
[[nodiscard]] Digest256 digest256(std::initializer_list<std::string_view> fields);

/** @brief BLAKE2b-256 of the text alone, without a length prefix; the form in which API keys are stored. */
[[nodiscard]] Digest256 plainDigest256(std::string_view text);

/** @brief Fast non-cryptographic 64-bit hash (XXH3) for tables and scores; must not be relied on to isolate customers from each other. */
[[nodiscard]] u64 hash64(std::string_view text, u64 seed = 0);

/** @brief Mixes the bits of a number (the finalizer of SplitMix64), to derive pseudo-random numbers from hashes that are at hand. */
[[nodiscard]] constexpr u64 mix64(u64 value)
{
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

[[nodiscard]] std::string toHex(std::string_view bytes);
[[nodiscard]] std::string_view asBytes(const Digest128 &digest);
[[nodiscard]] std::string_view asBytes(const Digest256 &digest);

} // namespace burdock::hash
