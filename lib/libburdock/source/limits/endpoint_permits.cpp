#include <burdock/limits/endpoint_permits.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/membership/turn_share.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::limits {

namespace {

/** How long a permit that came too late for its request can be used for another one. */
constexpr Duration UnusedPermitLifetime = std::chrono::milliseconds(300);
/** When to ask again if no coordinator can be asked. */
constexpr Duration NoCoordinatorRetryTime = std::chrono::milliseconds(100);
constexpr Duration TurnPeriod = std::chrono::seconds(1);
/** Share of the limit that entries use which take turns, as others may have a coordinator at the same time. */
constexpr double TurnShare = 0.5;

double toFraction(u64 hash)
{
    return static_cast<double>(hash) / std::pow(2.0, 64);
}

} // namespace

EndpointPermits::EndpointPermits(u64 own)
    : m_own(own)
    , m_limits(NamedLimitPolicy{})
    , m_coordinators(own, CoordinatorPolicy{})
{
}

NamedLimits &EndpointPermits::limits()
{
    return m_limits;
}

const NamedLimits &EndpointPermits::limits() const
{
    return m_limits;
}

PermitCoordinators &EndpointPermits::coordinators()
{
    return m_coordinators;
}

Permission EndpointPermits::tryTake(const PermitRequest &request, TimePoint now)
{
    const auto perSecond = m_limits.allowedPerSecond(request.endpoint, now);
    if (!perSecond) {
        return Permission::Granted;
    }
    auto &state = m_states[request.endpoint];
    if (tryTakeUnused(state, now)) {
        return Permission::Granted;
    }
    if (now < state.refusedUntil) {
        return Permission::Refused;
    }
    if (mayIssue(request.endpoint, now)) {
        const auto reply = state.bucket.take(*perSecond, request.priority, now);
        state.refusedUntil = now + reply.retryAfter;
        return reply.isGranted ? Permission::Granted : Permission::Refused;
    }
    if (!m_coordinators.hasMajority(now)) {
        return tryTakeTurn(state, request, *perSecond, now) ? Permission::Granted : Permission::Refused;
    }
    const auto coordinator = m_coordinators.coordinatorOf(request.endpoint, now);
    const bool canAsk = coordinator && *coordinator != m_own;
    return canAsk && request.mayAsk ? Permission::MustAsk : Permission::Refused;
}

void EndpointPermits::noteReply(u64 endpoint, const PermitReply &reply, TimePoint now)
{
    auto &state = m_states[endpoint];
    if (reply.isGranted) {
        state.unusedUntil.push_back(now + UnusedPermitLifetime);
    } else {
        state.refusedUntil = now + reply.retryAfter;
    }
}

PermitReply EndpointPermits::answer(u64 endpoint, u32 priority, TimePoint now)
{
    const auto perSecond = m_limits.allowedPerSecond(endpoint, now);
    if (!perSecond || !mayIssue(endpoint, now)) {
        return {false, NoCoordinatorRetryTime};
    }
    return m_states[endpoint].bucket.take(*perSecond, priority, now);
}

bool EndpointPermits::tryCountUnconditional(u64 endpoint, TimePoint now)
{
    const auto perSecond = m_limits.allowedPerSecond(endpoint, now);
    if (perSecond && mayIssue(endpoint, now)) {
        m_states[endpoint].bucket.takeUnconditionally(*perSecond, now);
        return true;
    }
    return !perSecond;
}

CoordinatorVotes EndpointPermits::votes(TimePoint now) const
{
    CoordinatorVotes votes;
    for (const auto &record : m_limits.inForceOrChangedSince(now)) {
        const auto coordinator = m_coordinators.coordinatorOf(record.endpoint, now);
        if (record.perSecond && coordinator) {
            votes[record.endpoint] = *coordinator;
        }
    }
    return votes;
}

void EndpointPermits::update(TimePoint now)
{
    for (const auto &record : m_limits.inForceOrChangedSince(now)) {
        static_cast<void>(mayIssue(record.endpoint, now));
    }
    m_coordinators.expire(now);
    std::erase_if(m_states, [&](const auto &entry) { return !m_limits.allowedPerSecond(entry.first, now); });
}

bool EndpointPermits::tryTakeUnused(State &state, TimePoint now) const
{
    std::erase_if(state.unusedUntil, [now](TimePoint until) { return until <= now; });
    if (state.unusedUntil.empty()) {
        return false;
    }
    state.unusedUntil.pop_back();
    return true;
}

bool EndpointPermits::tryTakeTurn(State &state, const PermitRequest &request, double perSecond, TimePoint now) const
{
    // The offset keeps the periods of all endpoints from starting at the same moment.
    const auto offset = static_cast<i64>(request.endpoint % static_cast<u64>(TurnPeriod.count()));
    const auto period = static_cast<u64>((request.timeOfDay.count() + offset) / TurnPeriod.count());
    if (state.turn != period) {
        const u64 seed = hash::mix64(request.endpoint + hash::mix64(period));
        const double expected = perSecond * TurnShare * toMilliseconds(TurnPeriod) / 1000.0;
        const auto total = static_cast<u32>(expected + toFraction(hash::mix64(~seed)));
        state.turn = period;
        state.turnPermits = membership::turnShare(seed, m_own, m_coordinators.others(now), total);
    }
    if (state.turnPermits == 0) {
        return false;
    }
    --state.turnPermits;
    return true;
}

// A coordinator that others have agreed on only now must not use what has gathered in its bucket before.
bool EndpointPermits::mayIssue(u64 endpoint, TimePoint now)
{
    const bool mayIssue = m_coordinators.mayIssue(endpoint, now);
    if (!mayIssue) {
        const auto state = m_states.find(endpoint);
        if (state != m_states.end()) {
            state->second.bucket = PermitBucket{PermitPolicy{}};
        }
    }
    return mayIssue;
}

} // namespace burdock::limits
