#include <burdock/endpoints/endpoint_table.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>

namespace burdock::endpoints {

namespace {

constexpr std::array<std::string_view, 6> OutcomeNames{"answered", "declined", "failed", "broken", "unreachable", "abandoned"};

/** Weight of the latest request in the moving average of failures. */
constexpr double LatestWeight = 0.2;
/** Requests before the average says anything. */
constexpr u32 EnoughSamples = 5;
/** Load of a home, in percent of the mean, from which requests go to the next one. */
constexpr u32 BoundPercent = 150;
/** Tokens of room that count as one unit of load in placement. */
constexpr u64 TokensPerLoadUnit = 256;

bool isEnd(const Endpoint &endpoint)
{
    return endpoint.hasLeft && endpoint.running == 0;
}

} // namespace

std::string_view toString(Outcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

EndpointTable::EndpointTable(const Policy &policy)
    : m_policy(policy)
    , m_homes(placement::HomePolicyOptions{placement::LoadBound::Bounded, placement::HintUse::Ignore, BoundPercent})
{
}

void EndpointTable::setRegistration(const Registration &registration, TimePoint now)
{
    auto &endpoint = m_endpoints[registration.id];
    // Guards against an endpoint that starts again under its old id: it shows as another time of birth. What was learnt of the
    // earlier start, its requests under way among it, says nothing of this one.
    const bool isReborn = endpoint.registration.bornMs != registration.bornMs;
    if (isReborn) {
        endpoint = Endpoint{};
    }
    // Answers tell of new weights sooner than the registration does.
    auto versions = endpoint.registration.weightVersions;
    endpoint.registration = registration;
    for (const auto &[model, version] : versions) {
        auto &known = endpoint.registration.weightVersions[model];
        known = std::max(known, version);
    }
    endpoint.hasLeft = false;
    if (registration.coldLeft > Duration::zero()) {
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + registration.coldLeft);
    }
}

void EndpointTable::remove(std::string_view id)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.hasLeft = true;
        dropIfDone(found);
    }
}

void EndpointTable::keepOnly(const std::set<std::string, std::less<>> &ids)
{
    for (auto &[id, endpoint] : m_endpoints) {
        endpoint.hasLeft = endpoint.hasLeft || ids.count(id) == 0;
    }
    std::erase_if(m_endpoints, [](const auto &entry) { return isEnd(entry.second); });
}

void EndpointTable::setEvacuated(std::set<std::string, std::less<>> zones)
{
    m_evacuated = std::move(zones);
}

void EndpointTable::setServiceLimits(std::string_view service, u64 cacheTokens, double coldPerSecond)
{
    m_limits[std::string(service)] = ServiceLimits{cacheTokens, coldPerSecond};
}

void EndpointTable::setEntryCount(u32 entries)
{
    m_entries = std::max<u32>(1, entries);
}

Choice EndpointTable::choose(const Need &need, TimePoint now)
{
    std::vector<placement::EndpointView> views;
    std::vector<Endpoint *> behind;
    for (auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, need, now)) {
            views.push_back(viewOf(endpoint, need));
            behind.push_back(&endpoint);
        }
    }
    if (views.empty()) {
        return {{}, NoChoice::NoEndpoint};
    }
    const placement::PlacementPolicy &policy = need.tokens > 0 ? static_cast<const placement::PlacementPolicy &>(m_homes) : m_leastLoaded;
    const auto order = policy.order({need.home, 0, need.random}, views, static_cast<u32>(views.size()));
    for (const u32 index : order) {
        auto &endpoint = *behind[index];
        if (hasRoom(endpoint, need) && bearsMore(endpoint, now)) {
            return {endpoint.registration.id, NoChoice::None};
        }
    }
    return {{}, NoChoice::NoRoom};
}

void EndpointTable::noteSent(std::string_view id, u64 tokens, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    ++endpoint.running;
    endpoint.tokens += tokens;
    if (!endpoint.waitingSince) {
        endpoint.waitingSince = now;
    }
}

void EndpointTable::noteHeard(std::string_view id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.lastHeard = now;
        found->second.waitingSince = found->second.running > 0 ? std::optional(now) : std::nullopt;
    }
}

void EndpointTable::noteEnd(std::string_view id, u64 tokens, Outcome outcome, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    endpoint.running -= std::min<u32>(1, endpoint.running);
    endpoint.tokens -= std::min(tokens, endpoint.tokens);
    const bool isFailure = outcome == Outcome::Failed || outcome == Outcome::Broken || outcome == Outcome::Unreachable;
    if (outcome == Outcome::Answered || isFailure || outcome == Outcome::Declined) {
        const double sample = isFailure ? 1.0 : 0.0;
        endpoint.failureShare += LatestWeight * (sample - endpoint.failureShare);
        ++endpoint.samples;
    }
    if (outcome == Outcome::Answered) {
        endpoint.lastEjection = Duration::zero();
    }
    const bool fellSilent = endpoint.running == 0 && isSilent(endpoint, now);
    const bool failsOften = endpoint.samples >= EnoughSamples && endpoint.failureShare > m_policy.failureShare;
    if (endpoint.running == 0) {
        endpoint.waitingSince.reset();
    }
    if (outcome == Outcome::Unreachable || fellSilent || failsOften) {
        eject(endpoint, now);
    }
    dropIfDone(found);
}

void EndpointTable::noteWeights(std::string_view id, std::string_view model, u64 version)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.registration.weightVersions[std::string(model)] = version;
    }
}

void EndpointTable::noteCold(std::string_view id, Duration left, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.coldUntil = std::max(found->second.coldUntil, now + left);
    }
}

const Endpoint *EndpointTable::find(std::string_view id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const std::map<std::string, Endpoint, std::less<>> &EndpointTable::all() const
{
    return m_endpoints;
}

bool EndpointTable::isEligible(const Endpoint &endpoint, const Need &need, TimePoint now) const
{
    const auto &registration = endpoint.registration;
    if (registration.service != need.service || registration.isDraining || endpoint.hasLeft) {
        return false;
    }
    if (m_evacuated.count(registration.zone) > 0 || need.tried.count(registration.id) > 0) {
        return false;
    }
    return now >= endpoint.ejectedUntil && !isSilent(endpoint, now);
}

// Guards against an endpoint that went dark with its connections open: it shows as silence while requests are under way, on all
// connections at once, since a sound engine makes tokens for each of them all the time. It holds because one sign of life
// lifts the suspicion.
bool EndpointTable::isSilent(const Endpoint &endpoint, TimePoint now) const
{
    return endpoint.waitingSince && now - *endpoint.waitingSince > m_policy.silenceLimit;
}

bool EndpointTable::hasRoom(const Endpoint &endpoint, const Need &need) const
{
    if (need.tokens == 0) {
        const u64 most = std::max<u64>(1, u64{endpoint.registration.slots} * m_policy.slotPercent / 100);
        return endpoint.running + endpoint.othersRunning < most;
    }
    const u64 memory = limitsOf(endpoint.registration.service).cacheTokens * m_policy.roomPercent / 100;
    const u64 taken = endpoint.tokens + endpoint.othersTokens;
    // A prompt over the whole room is let in alone, or it could never run.
    return memory == 0 || taken == 0 || taken + need.tokens <= memory;
}

bool EndpointTable::bearsMore(Endpoint &endpoint, TimePoint now)
{
    const double perSecond = limitsOf(endpoint.registration.service).coldPerSecond / m_entries;
    if (perSecond <= 0 || now >= endpoint.coldUntil) {
        endpoint.coldBucket.reset();
        return true;
    }
    if (!endpoint.coldBucket) {
        endpoint.coldBucket.emplace(perSecond, 1.0);
    }
    return endpoint.coldBucket->tryTake(1.0, now);
}

placement::EndpointView EndpointTable::viewOf(const Endpoint &endpoint, const Need &need) const
{
    placement::EndpointView view;
    const auto &registration = endpoint.registration;
    view.id = hash::fast(registration.id);
    if (need.tokens == 0) {
        view.load = endpoint.running + endpoint.othersRunning;
        view.limit = std::max<u32>(1, registration.slots);
        return view;
    }
    view.load = static_cast<u32>((endpoint.tokens + endpoint.othersTokens) / TokensPerLoadUnit);
    view.limit = static_cast<u32>(std::max<u64>(1, limitsOf(registration.service).cacheTokens / TokensPerLoadUnit / 2));
    const auto version = registration.weightVersions.find(need.model);
    view.isLastResort = version != registration.weightVersions.end() && version->second < need.wantedVersion;
    return view;
}

const EndpointTable::ServiceLimits &EndpointTable::limitsOf(const std::string &service) const
{
    static const ServiceLimits s_none;
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? s_none : found->second;
}

void EndpointTable::eject(Endpoint &endpoint, TimePoint now) const
{
    const auto doubled = endpoint.lastEjection * 2;
    endpoint.lastEjection = std::clamp(doubled, m_policy.firstEjection, m_policy.longestEjection);
    endpoint.ejectedUntil = now + endpoint.lastEjection;
    endpoint.samples = 0;
    endpoint.failureShare = 0;
}

void EndpointTable::dropIfDone(Endpoints::iterator endpoint)
{
    if (isEnd(endpoint->second)) {
        m_endpoints.erase(endpoint);
    }
}

} // namespace burdock::endpoints
