#pragma once

#include <burdock/types.hpp>

#include <optional>

namespace burdock::endpoints {

/** @brief Sizes of a prompt and its answer in tokens, as declared by the caller. */
struct DeclaredSize
{
    u64 promptTokens = 0;
    u64 maxAnswerTokens = 0;
    std::optional<u64> expectedAnswerTokens; ///< the caller's estimate; about right in the median, but often far off for a single prompt
};

/**
 * @brief Engine memory in tokens to reserve for a prompt with its answer; at least one.
 *
 * Callers declare far longer maximum answers than they get. If these were reserved in full, engines would appear full with half of their
 * memory free, and prompts would be rejected that fit. An expected answer is reserved twice, since estimates that are too low are offset
 * by those that are too high, but never beyond the maximum answer. An expected answer of zero counts as not declared.
 */
[[nodiscard]] u64 promptMemory(const DeclaredSize &size);

} // namespace burdock::endpoints
