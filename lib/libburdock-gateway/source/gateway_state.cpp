#include "gateway_state.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <cstdlib>

namespace burdock::gateway {

namespace {

/** Delay after which a save that no event has confirmed is tried again. */
constexpr Duration SaveRetryDelay = std::chrono::seconds(4);
/** How long streams are remembered, which is longer than callers wait for one, and how many of them. */
constexpr Duration OriginRetention = std::chrono::minutes(1);
constexpr std::size_t OriginCapacity = 65536;
/** Share of the retries allowed over all entries that is used; the rest covers entries that join before all others know of them. */
constexpr double RetryBudgetShare = 0.7;
/** Maximum age of the last confirmation of the configuration, in percent of the time within which a revocation must take effect. */
constexpr int MaxKeyAgePercent = 78;
/** Covers network latency to an engine, late timers, and CPU throttling until the next slice of the quota. */
constexpr Duration WeightExpiryMargin = std::chrono::milliseconds(250);
constexpr double Percent = 100.0;

/** Differences between estimates of the endpoints' clock up to this size are attributed to the latency of responses. */
constexpr i64 MaxClockNoiseMs = 1500;

i64 toWholeMs(TimePoint time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace

GatewayState::GatewayState(std::string_view name, u64 responseBytes, u64 clientBytes)
    : endpoints(endpoints::Policy{}, hash::hash64(name))
    , parts(SaveRetryDelay)
    , retirement(cache::RetirementPolicy{})
    , fetchCosts(cache::FetchCostPolicy{})
    , crashes(retry::CrashAttributionPolicy{})
    , connectionShedding(admission::ConnectionSheddingPolicy{})
    , streamOrigins(OriginRetention, OriginCapacity)
    , responseMemory(responseBytes)
    , clientMemory(clientBytes)
{
}

retry::RetryBudget &GatewayState::retryBudget(const std::string &service, const GatewaySettings &settings)
{
    // Until the number of entries is known, only one retry is certain to be allowed.
    const u32 share = entryCount == 0 ? 0 : static_cast<u32>(settings.retrySlack * RetryBudgetShare / entryCount);
    const u32 reserve = std::max<u32>(1, share);
    const auto found = budgets.find(service);
    if (found != budgets.end()) {
        // Only the reserve changes when an entry joins or leaves; what was spent stays spent. A new budget each time would allow more
        // retries than the reserve while many entries restart.
        found->second.setReserve(reserve);
        return found->second;
    }
    const auto earned = static_cast<u32>(settings.retryShare * RetryBudgetShare * Percent);
    return budgets.emplace(service, retry::RetryBudget(earned, reserve)).first->second;
}

void GatewayState::setEntryCount(u32 count)
{
    if (count == entryCount || count == 0) {
        return;
    }
    entryCount = count;
}

// A gateway that is cut off from the platform doesn't learn of revoked keys and would accept them long after the revocation. So all keys
// are rejected once the configuration is older than a revocation may take. The age counts from before the read that confirmed the
// configuration, on a clock that includes time in which the VM was suspended.
bool GatewayState::areKeysCurrent(TimePoint now, const GatewaySettings &settings) const
{
    return now - configurationAsOf < settings.maxRevocationDelay * MaxKeyAgePercent / 100;
}

void GatewayState::updateServedVersions()
{
    for (const auto &[model, announced] : weights) {
        if (announced.wanted() == 0) {
            continue;
        }
        std::optional<u64> lowest;
        for (const auto &[id, endpoint] : endpoints.all()) {
            const auto version = endpoint.registration.weightVersions.find(model);
            if (version != endpoint.registration.weightVersions.end()) {
                lowest = std::min(lowest.value_or(version->second), version->second);
            }
        }
        if (lowest) {
            servedVersions.noteLowestServed(model, *lowest);
        }
    }
}

std::optional<u64> GatewayState::endpointClockMs(TimePoint time) const
{
    if (!endpointClockOffsetMs) {
        return std::nullopt;
    }
    return static_cast<u64>(toWholeMs(time) + *endpointClockOffsetMs);
}

void GatewayState::noteEndpointClock(u64 clockMs, TimePoint now)
{
    const i64 ahead = static_cast<i64>(clockMs) - toWholeMs(now);
    const bool isJump = endpointClockOffsetMs && std::abs(ahead - *endpointClockOffsetMs) > MaxClockNoiseMs;
    // A response carries the time at which it was sent, so latency makes estimates too small and the largest one is the closest, unless
    // the clock was set.
    endpointClockOffsetMs = endpointClockOffsetMs && !isJump ? std::max(*endpointClockOffsetMs, ahead) : ahead;
}

u64 GatewayState::wantedVersion(std::string_view model) const
{
    const auto found = weights.find(model);
    return found == weights.end() ? 0 : found->second.wanted();
}

std::optional<TimePoint> GatewayState::weightExpiry(std::string_view model, u64 version, const GatewaySettings &settings) const
{
    const auto found = weights.find(model);
    return found == weights.end() ? std::nullopt : found->second.expiryOf(version, settings.maxStaleWeightTime - WeightExpiryMargin);
}

} // namespace burdock::gateway
