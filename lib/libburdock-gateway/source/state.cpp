#include "state.hpp"

#include <algorithm>
#include <cstdlib>

namespace burdock::gateway {

namespace {

/** Time after which a save that no event confirmed is tried again. */
constexpr Duration SaveAgainAfter = std::chrono::seconds(4);
/** How long a request that crashed endpoints is remembered, and how many of them. */
constexpr Duration SuspectMemory = std::chrono::minutes(2);
constexpr std::size_t SuspectCapacity = 4096;
/** Part of the retries allowed over all entries that is handed out; entries may join before all know of them. */
constexpr double BudgetUse = 0.7;
/** Part of the time to a revocation for which the configuration may go unconfirmed, in percent. */
constexpr int KeyAgePercent = 78;
/** Covers the way to an engine, late timers, and a processor that stands still until the next slice of its quota. */
constexpr Duration WeightExpiryMargin = std::chrono::milliseconds(250);
constexpr double Percent = 100.0;

/** Differences of an estimate of the endpoints' clock that come from the way of an answer. */
constexpr i64 MostClockNoiseMs = 1500;

i64 toWholeMs(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

State::State()
    : endpoints(endpoints::Policy{})
    , parts(SaveAgainAfter)
    , retirement(cache::RetirementPolicy{})
    , fetchCosts(cache::FetchCostPolicy{})
    , quarantine(SuspectMemory, SuspectCapacity)
{
}

retry::RetryBudget &State::budget(const std::string &service, const GatewaySettings &settings)
{
    // Before the others are known, one retry is all that is certainly allowed.
    const u32 share = entryCount == 0 ? 0 : static_cast<u32>(settings.retrySlack * BudgetUse / entryCount);
    const u32 reserve = std::max<u32>(1, share);
    const auto found = budgets.find(service);
    if (found != budgets.end()) {
        // Guards against retries that are allowed anew whenever an entry joins or leaves: it shows as more of them than the reserve in
        // a time of many restarts. Changing the reserve alone holds, as what was spent stays spent.
        found->second.setReserve(reserve);
        return found->second;
    }
    const auto earned = static_cast<u32>(settings.retryShare * BudgetUse * Percent);
    return budgets.emplace(service, retry::RetryBudget(earned, reserve)).first->second;
}

void State::setEntryCount(u32 count)
{
    if (count == entryCount || count == 0) {
        return;
    }
    entryCount = count;
    endpoints.setEntryCount(count);
}

// Guards against a key that was taken away while this gateway is cut off from the platform: it shows as requests that run long
// after the revocation. Refusing keys once the configuration is older than the revocation may take holds, as the age counts from
// before the read that confirmed it, on a clock that counts the time of a suspended VM.
bool State::keysAreCurrent(TimePoint now, const GatewaySettings &settings) const
{
    return now - configurationAsOf < settings.revocation * KeyAgePercent / 100;
}

std::optional<u64> State::endpointClockMs(TimePoint time) const
{
    if (!endpointClockAheadMs) {
        return std::nullopt;
    }
    return static_cast<u64>(toWholeMs(time) + *endpointClockAheadMs);
}

void State::noteEndpointClock(u64 clockMs, TimePoint now)
{
    const i64 ahead = static_cast<i64>(clockMs) - toWholeMs(now);
    const bool isJump = endpointClockAheadMs && std::abs(ahead - *endpointClockAheadMs) > MostClockNoiseMs;
    // An answer tells the time at which it was sent, so the latest estimate of all is the nearest; unless the clock was set.
    endpointClockAheadMs = endpointClockAheadMs && !isJump ? std::max(*endpointClockAheadMs, ahead) : ahead;
}

u64 State::wantedVersion(std::string_view model) const
{
    const auto found = weights.find(model);
    return found == weights.end() ? 0 : found->second.wanted();
}

std::optional<TimePoint> State::weightExpiry(std::string_view model, u64 version, const GatewaySettings &settings) const
{
    const auto found = weights.find(model);
    return found == weights.end() ? std::nullopt : found->second.expiryOf(version, settings.weightBound - WeightExpiryMargin);
}

} // namespace burdock::gateway
