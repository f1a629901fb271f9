#pragma once

#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/routing/configuration.hpp>

namespace burdock::retry {

/** @brief Next step after an attempt at an endpoint. */
enum class NextStep : u8 {
    Deliver, ///< forward the endpoint's answer to the caller
    TryElsewhere,
    Refuse, ///< the request was provably not run; the caller may retry
    Fail, ///< the request may have run
};

[[nodiscard]] std::string_view toString(NextStep step);

/** @brief Attempts of a request so far. */
struct AttemptHistory
{
    routing::CallKind kind = routing::CallKind::AtMostOnce;
    bool isResumable = false;
    u32 maxAttempts = 1; ///< limit for begun
    u32 begun = 0; ///< endpoints that may have started the request
    u32 declined = 0; ///< endpoints that provably did not start it
    bool hasTimeLeft = true; ///< for another attempt
    bool mustEnd = false; ///< the caller has received events that no other endpoint can continue
};

/**
 * @brief Next step after an attempt with this outcome; the history already includes the attempt.
 *
 * Another endpoint is tried only if the request is repeatable or was provably not run. TryElsewhere is also subject to the retry budget,
 * which is not checked here.
 */
[[nodiscard]] NextStep nextStep(const AttemptHistory &history, endpoints::Outcome outcome);

/** @brief Final step if no further attempt is possible, e.g. because the retry budget is spent or no endpoint is left. */
[[nodiscard]] NextStep finalStep(const AttemptHistory &history, endpoints::Outcome outcome);

} // namespace burdock::retry
