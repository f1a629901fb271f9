#pragma once

#include <burdock/types.hpp>

namespace burdock::config {

/** @brief Result of evaluating a configuration offered to this process. */
enum class OfferResult : u8 {
    Accept,
    AlreadyApplied,
    Stale, ///< the source is behind and is sent the current configuration
    Gap, ///< newer, but does not continue the current configuration; the whole bundle is needed
    Untrusted,
};

/** @brief Whether a bundle has a valid signature of a trusted signer. */
enum class Trust : u8 {
    Trusted,
    Untrusted,
};

/**
 * @brief Evaluates an offered bundle by version and trust.
 *
 * Prevents the configuration from being reverted when the platform, a peer or an operator hands out an older version after an outage.
 * Comparing versions is sufficient because a version is accepted by one conditional update of one object. Whether a change
 * continues the current configuration is checked by ChangeHistory.
 */
[[nodiscard]] constexpr OfferResult evaluateOffer(u64 currentVersion, u64 offeredVersion, Trust trust)
{
    if (trust == Trust::Untrusted) {
        return OfferResult::Untrusted;
    }
    if (offeredVersion == currentVersion) {
        return OfferResult::AlreadyApplied;
    }
    return offeredVersion > currentVersion ? OfferResult::Accept : OfferResult::Stale;
}

} // namespace burdock::config
