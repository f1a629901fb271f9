#pragma once

#include <burdock/cache/part_index.hpp>
#include <burdock/types.hpp>

#include <string_view>

/**
 * @brief Times of fetches from cache stores.
 *
 * A store sends the parts that engines fetch one after another over one link, and a transfer to another zone occupies it twice as long.
 * Where many prompts return, these links are busy most of the time.
 */
namespace burdock::cache {

/** @brief Returns how long the link of a store is occupied by a transfer to an engine in a zone; zero if its bandwidth is unknown. */
[[nodiscard]] Duration linkTime(const PartStore &store, u64 tokens, std::string_view engineZone);

/**
 * @brief Returns the expected time of a fetch at an idle link.
 * @param prefillTime time in which an engine processes the tokens instead
 */
[[nodiscard]] Duration fetchTime(const PartStore &store, u64 tokens, std::string_view engineZone, Duration prefillTime);

/** @brief Times that decide how long a prompt may wait for the parts that it fetches. */
struct FetchWait
{
    Duration timeLeft{}; ///< until the target time of the first event
    Duration readDelay{}; ///< time to the first event if the engine processes the whole prompt instead
    Duration expectedFetch{}; ///< expected time of the fetch
    Duration maxFetch{}; ///< longest time for which a fetch may run at all
};

/**
 * @brief Returns after which time a fetch is abandoned and the parts are processed instead.
 *
 * Answers the load of a store whose link became slow: a prompt that waits for it longer than this misses its target, although the engine
 * could process the parts in time. A prompt that can't reach its target by processing either gets twice the expected time.
 */
[[nodiscard]] Duration fetchTimeLimit(const FetchWait &wait);

} // namespace burdock::cache
