#pragma once

#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/routing/configuration.hpp>

namespace burdock::retry {

/** @brief What happens after an attempt at an endpoint. */
enum class NextStep : u8 {
    Deliver, ///< the endpoint's answer goes to the caller
    TryElsewhere,
    Refuse, ///< provably not run: the caller may come again
    Fail, ///< may have run
};

[[nodiscard]] std::string_view toString(NextStep step);

/** @brief How far a request got. */
struct AttemptHistory
{
    routing::CallKind kind = routing::CallKind::AtMostOnce;
    bool isResumable = false;
    u32 maxAttempts = 1; ///< endpoints that may begin the request
    u32 begun = 0; ///< endpoints that may have begun it
    u32 declined = 0; ///< endpoints that provably did not
    bool isInTime = true; ///< there is time for another attempt
};

/**
 * @brief What to do after an attempt that ended so; the history counts it already.
 *
 * Another endpoint is asked only where the request may be repeated, or provably was not run. A step of TryElsewhere still needs
 * the retry budget's consent.
 */
[[nodiscard]] NextStep nextStep(const AttemptHistory &history, endpoints::Outcome outcome);

/** @brief The step where another endpoint can't be asked: neither budget nor endpoint is left. */
[[nodiscard]] NextStep lastStep(const AttemptHistory &history, endpoints::Outcome outcome);

} // namespace burdock::retry
