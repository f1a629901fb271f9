#include <burdock/cache/fetch_time.hpp>

#include <algorithm>

namespace burdock::cache {

namespace {

/** How much longer a transfer to another zone takes. */
constexpr double OtherZoneFactor = 2.0;
/** Time of a fetch from a store whose bandwidth is unknown, as a share of the prefill time. */
constexpr double UnknownLinkShare = 0.25;
/** Covers the variation of short transfers. */
constexpr Duration MinFetchTimeLimit = std::chrono::milliseconds(40);
constexpr int ExpectedTimeMultiple = 2;

} // namespace

Duration linkTime(const PartStore &store, u64 tokens, std::string_view engineZone)
{
    if (store.tokensPerMs <= 0) {
        return Duration::zero();
    }
    const double factor = store.zone == engineZone ? 1.0 : OtherZoneFactor;
    return fromMilliseconds(factor * static_cast<double>(tokens) / store.tokensPerMs);
}

Duration fetchTime(const PartStore &store, u64 tokens, std::string_view engineZone, Duration prefillTime)
{
    const auto transfer
        = store.tokensPerMs > 0 ? linkTime(store, tokens, engineZone) : fromMilliseconds(toMilliseconds(prefillTime) * UnknownLinkShare);
    return store.transferDelay + transfer;
}

Duration fetchTimeLimit(const FetchWait &wait)
{
    const auto latest = wait.timeLeft - wait.readDelay;
    const auto least = std::max(MinFetchTimeLimit, wait.expectedFetch * ExpectedTimeMultiple);
    return std::min(wait.maxFetch, std::max(latest, least));
}

} // namespace burdock::cache
