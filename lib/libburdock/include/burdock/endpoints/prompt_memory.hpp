#pragma once

#include <burdock/types.hpp>

#include <optional>

namespace burdock::endpoints {

/** @brief Tokens of a prompt and its answer, as its caller states them. */
struct DeclaredSize
{
    u64 prompt = 0;
    u64 mostAnswer = 0;
    std::optional<u64> expectedAnswer; ///< a guess, right in the middle of many and often far off
};

/**
 * @brief Tokens of an engine's memory to count for a prompt with its answer; at least one.
 *
 * Load pattern: callers state far longer answers than they get. Counted in full, engines look full while half of their memory is free,
 * and prompts are refused that they would have room for. A guess counts twice, as one that is too low is made good for by
 * those that are too high, but never for more than the longest answer. A guess of zero is taken for none.
 */
[[nodiscard]] u64 promptMemory(const DeclaredSize &size);

} // namespace burdock::endpoints
