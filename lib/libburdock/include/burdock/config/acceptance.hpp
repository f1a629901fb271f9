#pragma once

#include <burdock/types.hpp>

namespace burdock::config {

/** @brief What a process does with a configuration that it is offered. */
enum class OfferResult : u8 {
    Accept,
    AlreadyApplied,
    Stale, ///< the source is behind and gets what we hold
    Gap, ///< newer, but it doesn't continue what is held; the whole bundle is needed
    Untrusted,
};

/** @brief Whether a bundle carries a valid signature of a trusted signer. */
enum class Trust : u8 {
    Trusted,
    Untrusted,
};

/**
 * @brief Decides about one offered bundle.
 *
 * Guards against configuration that reverts: it shows when the platform, a peer or an operator hands out an older version after
 * an outage. Comparing versions holds because a version is accepted by one conditional update of one object. That a change
 * continues what is held is ChangeHistory's to judge.
 */
[[nodiscard]] constexpr OfferResult evaluateOffer(u64 heldVersion, u64 offeredVersion, Trust trust)
{
    if (trust == Trust::Untrusted) {
        return OfferResult::Untrusted;
    }
    if (offeredVersion == heldVersion) {
        return OfferResult::AlreadyApplied;
    }
    return offeredVersion > heldVersion ? OfferResult::Accept : OfferResult::Stale;
}

} // namespace burdock::config
