#include <burdock/endpoints/endpoint_table.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace burdock::endpoints {

namespace {

constexpr std::array<std::string_view, 7> OutcomeNames{"answered", "declined", "failed", "broken", "unreachable", "abandoned", "expired"};

/** Weight of the latest request in the moving average of failures. */
constexpr double LatestWeight = 0.2;
/** Requests before the average says anything. */
constexpr u32 EnoughSamples = 5;
/** Weight of the latest delay in an engine's slowness, and the time after which half of what was learnt is forgotten. */
constexpr double LatestDelayWeight = 0.08;
constexpr Duration SlownessHalfLife = std::chrono::seconds(4);
constexpr double LeastSlowness = 0.3;
constexpr double MostSlowness = 20;
/** How long the others' reports count. */
constexpr Duration PeerReportsCount = std::chrono::milliseconds(1500);
/** Share of an engine's memory that kept parts are guessed to take, in percent; the rest is taken by prompts under way. */
constexpr u64 KeptPercent = 50;

constexpr std::array<std::string_view, 4> NoChoiceNames{"none", "no_endpoint", "no_room", "too_slow"};

constexpr std::array<std::string_view, 5> NewestWeightsNames{"chosen", "none_serves", "no_room", "too_slow", "later"};

bool hasOlderWeights(const Endpoint &endpoint, const Need &need)
{
    const auto version = endpoint.registration.weightVersions.find(need.model);
    return version != endpoint.registration.weightVersions.end() && version->second < need.wantedVersion;
}

u64 memoryAt(const Endpoint &endpoint, const Need &need)
{
    const u64 inPlace = need.inPlace ? need.inPlace(endpoint) : 0;
    return need.memory - std::min(need.memory - 1, inPlace);
}

bool isEnd(const Endpoint &endpoint)
{
    return endpoint.hasLeft && endpoint.own.running == 0;
}

// What was learnt of an engine's pace fades, so that one which was slow for a time is tried again.
double slownessNow(const Endpoint &endpoint, TimePoint now)
{
    const double halfLives = toMilliseconds(now - endpoint.slownessAt) / toMilliseconds(SlownessHalfLife);
    return 1 + (endpoint.slowness - 1) * std::exp2(-halfLives);
}

} // namespace

std::string_view toString(Outcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view toString(NoChoice reason)
{
    return NoChoiceNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(NewestWeights newest)
{
    return NewestWeightsNames.at(static_cast<std::size_t>(newest));
}

EndpointTable::EndpointTable(const Policy &policy)
    : m_policy(policy)
    , m_peers(PeerReportsCount)
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
    endpoint.hash = hash::fast(registration.id);
    m_byHash[endpoint.hash] = &endpoint;
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
    for (auto endpoint = m_endpoints.begin(); endpoint != m_endpoints.end();) {
        dropIfDone(endpoint++);
    }
}

void EndpointTable::setEvacuated(std::set<std::string, std::less<>> zones)
{
    m_evacuated = std::move(zones);
}

void EndpointTable::setReturning(std::set<std::string, std::less<>> zones)
{
    m_returning = std::move(zones);
}

void EndpointTable::setServiceLimits(std::string_view service, u64 cacheTokens, double coldPerSecond)
{
    m_limits[std::string(service)] = ServiceLimits{cacheTokens, coldPerSecond};
}

void EndpointTable::setEntryCount(u32 entries)
{
    m_entries = std::max<u32>(1, entries);
}

const Policy &EndpointTable::policy() const
{
    return m_policy;
}

Choice EndpointTable::choose(const Need &need, TimePoint now)
{
    return need.memory == 0 ? choosePlain(need, now) : choosePrompt(need, now);
}

Choice EndpointTable::choosePlain(const Need &need, TimePoint now)
{
    std::vector<placement::EndpointView> views;
    std::vector<Endpoint *> behind;
    for (auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, need, now)) {
            placement::EndpointView view;
            view.id = endpoint.hash;
            view.load = loadAt(endpoint).running;
            view.limit = std::max<u32>(1, endpoint.registration.slots);
            views.push_back(view);
            behind.push_back(&endpoint);
        }
    }
    Choice choice;
    choice.reason = views.empty() ? NoChoice::NoEndpoint : NoChoice::NoRoom;
    for (const u32 index : m_leastLoaded.order({need.home, 0, need.random}, views, static_cast<u32>(views.size()))) {
        auto &endpoint = *behind[index];
        const u64 most = std::max<u64>(1, u64{endpoint.registration.slots} * m_policy.slotPercent / 100);
        if (loadAt(endpoint).running < most && bearsMore(endpoint, now)) {
            choice.id = endpoint.registration.id;
            choice.bornMs = endpoint.registration.bornMs;
            choice.reason = NoChoice::None;
            return choice;
        }
    }
    return choice;
}

// Where load is worst, prompts that wait behind others come too late, and so do those behind them. Counting what each engine
// has still to read, over all entries, and letting in only what can begin in time keeps those in time that are let in.
Choice EndpointTable::choosePrompt(const Need &need, TimePoint now)
{
    std::vector<Candidate> candidates;
    bool isAnyEligible = false;
    for (auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, need, now)) {
            isAnyEligible = true;
            const u64 memory = memoryAt(endpoint, need);
            if (!hasMemory(endpoint, memory)) {
                continue;
            }
            const auto candidate = candidateOf(endpoint, memory, need, now);
            // An engine works on what waits inside it, so that a prompt which is sent in time may begin too late.
            const auto begin = now + candidate.delay * m_policy.beginPercent / 100 + m_policy.beginSlack;
            if (!hasExpiredWeights(endpoint, need, begin)) {
                candidates.push_back(candidate);
            }
        }
    }
    // Among engines that are about as soon, the prompt's home comes first, at every entry the same.
    std::sort(candidates.begin(), candidates.end(), [this](const Candidate &left, const Candidate &right) {
        const auto leftBand = left.score / m_policy.equalWithin;
        const auto rightBand = right.score / m_policy.equalWithin;
        return std::tie(leftBand, left.rank) < std::tie(rightBand, right.rank);
    });
    Choice choice;
    choice.reason = isAnyEligible ? NoChoice::NoRoom : NoChoice::NoEndpoint;
    const auto longest = need.target * m_policy.admitPercent / 100;
    for (const auto &candidate : candidates) {
        if (need.target > Duration::zero() && candidate.delay > longest) {
            choice.reason = NoChoice::TooSlow;
            choice.expectedDelay = candidate.delay;
            continue;
        }
        if (bearsMore(*candidate.endpoint, now)) {
            const auto &chosen = candidate.endpoint->registration;
            const Work work{candidate.memory, candidate.prefill};
            const auto newest = newestWeights(candidate, candidates, need, now);
            return {chosen.id, NoChoice::None, work, candidate.delay, chosen.bornMs, newest};
        }
    }
    return choice;
}

NewestWeights EndpointTable::newestWeights(const Candidate &chosen, const std::vector<Candidate> &candidates, const Need &need,
                                           TimePoint now) const
{
    if (!hasOlderWeights(*chosen.endpoint, need)) {
        return NewestWeights::Chosen;
    }
    const auto longest = need.target * m_policy.admitPercent / 100;
    bool isAnyRoomy = false;
    for (const auto &candidate : candidates) {
        const bool isNewest = !hasOlderWeights(*candidate.endpoint, need);
        isAnyRoomy = isAnyRoomy || isNewest;
        if (isNewest && (need.target == Duration::zero() || candidate.delay <= longest)) {
            return NewestWeights::Later;
        }
    }
    if (isAnyRoomy) {
        return NewestWeights::TooSlow;
    }
    const bool serves = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
        return !hasOlderWeights(entry.second, need) && isEligible(entry.second, need, now);
    });
    return serves ? NewestWeights::NoRoom : NewestWeights::NoneServes;
}

EndpointTable::Candidate EndpointTable::candidateOf(Endpoint &endpoint, u64 memory, const Need &need, TimePoint now) const
{
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.memory = memory;
    candidate.prefill = need.prefill(endpoint);
    candidate.delay = delayAt(endpoint, loadAt(endpoint).pending + candidate.prefill, now);
    candidate.score = candidate.delay;
    if (hasOlderWeights(endpoint, need)) {
        candidate.score += m_policy.oldWeightsPenalty;
    }
    candidate.rank = hash::fast(endpoint.registration.id, need.home);
    return candidate;
}

Duration EndpointTable::delayAt(const Endpoint &endpoint, u64 tokens, TimePoint now) const
{
    return fromMilliseconds(toMilliseconds(referenceDelay(tokens)) * slownessNow(endpoint, now));
}

Duration EndpointTable::referenceDelay(u64 tokens) const
{
    return m_policy.baseDelay + fromMilliseconds(static_cast<double>(tokens) * m_policy.delayPerTokenMs);
}

void EndpointTable::noteSent(std::string_view id, const Work &work, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    endpoint.own += Load{1, work.memory, work.prefill};
    if (!endpoint.waitingSince) {
        endpoint.waitingSince = now;
    }
}

void EndpointTable::noteFirstEvent(std::string_view id, const Choice &choice, Duration delay, DelayLesson lesson, TimePoint now)
{
    const auto found = findStart(id, choice.bornMs);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    endpoint.own -= Load{0, 0, choice.work.prefill};
    if (lesson == DelayLesson::Ignore) {
        return;
    }
    const double expectedAtReference = toMilliseconds(choice.expectedDelay) / slownessNow(endpoint, now);
    const double seen = std::clamp(toMilliseconds(delay) / std::max(1.0, expectedAtReference), LeastSlowness, MostSlowness);
    endpoint.slowness = slownessNow(endpoint, now) + LatestDelayWeight * (seen - slownessNow(endpoint, now));
    endpoint.slownessAt = now;
}

void EndpointTable::noteHeard(std::string_view id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.lastHeard = now;
        found->second.waitingSince = found->second.own.running > 0 ? std::optional(now) : std::nullopt;
    }
}

Duration EndpointTable::noteEnd(std::string_view id, u64 bornMs, const Work &left, Outcome outcome, TimePoint now)
{
    const auto found = findStart(id, bornMs);
    if (found == m_endpoints.end()) {
        return Duration::zero();
    }
    auto &endpoint = found->second;
    endpoint.own -= Load{1, left.memory, left.prefill};
    const bool isFailure = outcome == Outcome::Failed || outcome == Outcome::Broken || outcome == Outcome::Unreachable;
    if (outcome == Outcome::Answered || isFailure || outcome == Outcome::Declined) {
        const double sample = isFailure ? 1.0 : 0.0;
        endpoint.failureShare += LatestWeight * (sample - endpoint.failureShare);
        ++endpoint.samples;
    }
    if (outcome == Outcome::Answered) {
        endpoint.lastEjection = Duration::zero();
    }
    const bool fellSilent = endpoint.own.running == 0 && isSilent(endpoint, now);
    const bool failsOften = endpoint.samples >= EnoughSamples && endpoint.failureShare > m_policy.failureShare;
    if (endpoint.own.running == 0) {
        endpoint.waitingSince.reset();
    }
    const bool isUnresponsive = outcome == Outcome::Unreachable || fellSilent;
    const bool isEjected = isUnresponsive || failsOften;
    endpoint.isEjectedAsUnresponsive = isEjected ? isUnresponsive : endpoint.isEjectedAsUnresponsive;
    const auto ejectedFor = isEjected ? eject(endpoint, now) : Duration::zero();
    if (outcome == Outcome::Declined) {
        endpoint.ejectedUntil = std::max(endpoint.ejectedUntil, now + m_policy.declinePause);
    }
    dropIfDone(found);
    return ejectedFor;
}

void EndpointTable::notePart(u64 endpoint, u64 part, u64 tokens)
{
    const auto found = m_byHash.find(endpoint);
    if (found != m_byHash.end()) {
        const u64 capacity = limitsOf(found->second->registration.service).cacheTokens * KeptPercent / 100;
        found->second->memory.noteSent(part, tokens, capacity);
    }
}

const Endpoint *EndpointTable::sourceOf(u64 part, const Endpoint &fetching, TimePoint now) const
{
    const Endpoint *source = nullptr;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (&endpoint == &fetching || !endpoint.memory.contains(part) || !maySend(endpoint, now)) {
            continue;
        }
        const bool isNear = endpoint.registration.zone == fetching.registration.zone;
        if (source == nullptr || isNear) {
            source = &endpoint;
        }
        if (isNear) {
            break;
        }
    }
    return source;
}

// A source that is gone or busy loading costs the fetching engine more time than reading a short part would.
bool EndpointTable::maySend(const Endpoint &endpoint, TimePoint now) const
{
    const bool isLoading = m_loading.count(endpoint.hash) > 0 || m_peers.isLoading(endpoint.hash);
    return !endpoint.hasLeft && !isLoading && now >= endpoint.ejectedUntil && !isSilent(endpoint, now);
}

void EndpointTable::setLoading(std::unordered_set<u64> endpoints)
{
    m_loading = std::move(endpoints);
}

const std::unordered_set<u64> &EndpointTable::loading() const
{
    return m_loading;
}

PeerLoads &EndpointTable::peers()
{
    return m_peers;
}

std::vector<std::string> EndpointTable::takeReport(const std::string &entry, PeerLoads::Report report, TimePoint now)
{
    std::vector<std::pair<u64, std::size_t>> before;
    for (const u64 endpoint : report.unresponsive) {
        before.emplace_back(endpoint, m_peers.findUnresponsive(endpoint));
    }
    m_peers.take(entry, std::move(report), now);
    std::vector<std::string> ids;
    for (const auto &[endpoint, found] : before) {
        const auto known = m_byHash.find(endpoint);
        const bool isNews = found < m_policy.believedReports && m_peers.findUnresponsive(endpoint) >= m_policy.believedReports;
        if (isNews && known != m_byHash.end()) {
            ids.push_back(known->second->registration.id);
        }
    }
    return ids;
}

LoadsById EndpointTable::ownLoads() const
{
    LoadsById loads;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.own.running > 0) {
            loads[endpoint.hash] = endpoint.own;
        }
    }
    return loads;
}

std::vector<u64> EndpointTable::unresponsive(TimePoint now) const
{
    std::vector<u64> hashes;
    for (const auto &[id, endpoint] : m_endpoints) {
        const bool isEjected = endpoint.isEjectedAsUnresponsive && now < endpoint.ejectedUntil;
        if (isEjected || isSilent(endpoint, now)) {
            hashes.push_back(endpoint.hash);
        }
    }
    return hashes;
}

Load EndpointTable::loadAt(const Endpoint &endpoint) const
{
    Load load = m_peers.at(endpoint.hash);
    load += endpoint.own;
    return load;
}

void EndpointTable::noteWeights(std::string_view id, std::string_view model, u64 version)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        // Weights never go back while an endpoint runs, but its reports lag behind its answers.
        auto &known = found->second.registration.weightVersions[std::string(model)];
        known = std::max(known, version);
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
    if (m_loading.count(endpoint.hash) > 0 || m_peers.isLoading(endpoint.hash)) {
        return false;
    }
    return now >= endpoint.ejectedUntil && !hasExpiredWeights(endpoint, need, now) && !isSilent(endpoint, now)
        && !isSilentToOthers(endpoint, now);
}

bool EndpointTable::hasExpiredWeights(const Endpoint &endpoint, const Need &need, TimePoint begin) const
{
    const auto version = endpoint.registration.weightVersions.find(need.model);
    if (!need.expiry || version == endpoint.registration.weightVersions.end()) {
        return false;
    }
    const auto expiry = need.expiry(version->second);
    return expiry && begin >= *expiry;
}

// Guards against an endpoint that went dark with its connections open: it shows as silence while requests are under way, on all
// connections at once, since a sound engine makes tokens for each of them all the time. It holds because one sign of life
// lifts the suspicion.
bool EndpointTable::isSilent(const Endpoint &endpoint, TimePoint now) const
{
    return endpoint.waitingSince && now - *endpoint.waitingSince > m_policy.silenceLimit;
}

// Guards against an endpoint that went dark and that each entry finds out about by losing requests of its own: it shows as the more
// lost requests the more entries there are. Believing others holds where this entry has heard nothing lately either; two of them,
// as an endpoint may be cut off from one alone.
bool EndpointTable::isSilentToOthers(const Endpoint &endpoint, TimePoint now) const
{
    return now - endpoint.lastHeard > m_policy.silenceLimit && m_peers.findUnresponsive(endpoint.hash) >= m_policy.believedReports;
}

bool EndpointTable::hasMemory(const Endpoint &endpoint, u64 needed) const
{
    const u64 memory = limitsOf(endpoint.registration.service).cacheTokens * m_policy.roomPercent / 100;
    const u64 taken = loadAt(endpoint).memory;
    // A prompt over the whole room is let in alone, or it could never run.
    return memory == 0 || taken == 0 || taken + needed <= memory;
}

// Guards against a share that was right among fewer entries: it shows as a cold endpoint that falls over once several entries have
// started. Setting the rate at each question holds, as the number of entries may change while an endpoint is cold; as long as none is
// known, there is no share.
bool EndpointTable::bearsMore(Endpoint &endpoint, TimePoint now)
{
    const double fromAll = limitsOf(endpoint.registration.service).coldPerSecond;
    const bool isCold = now < endpoint.coldUntil || m_returning.count(endpoint.registration.zone) > 0;
    if (fromAll <= 0 || !isCold) {
        endpoint.coldBucket.reset();
        return true;
    }
    if (m_entries == 0) {
        return false;
    }
    const double perSecond = fromAll / m_entries;
    if (!endpoint.coldBucket) {
        endpoint.coldBucket.emplace(perSecond, 1.0);
    }
    endpoint.coldBucket->setRate(perSecond, 1.0, now);
    return endpoint.coldBucket->tryTake(1.0, now);
}

const EndpointTable::ServiceLimits &EndpointTable::limitsOf(const std::string &service) const
{
    static const ServiceLimits s_none;
    const auto found = m_limits.find(service);
    return found == m_limits.end() ? s_none : found->second;
}

Duration EndpointTable::eject(Endpoint &endpoint, TimePoint now) const
{
    const auto doubled = endpoint.lastEjection * 2;
    endpoint.lastEjection = std::clamp(doubled, m_policy.firstEjection, m_policy.longestEjection);
    endpoint.ejectedUntil = now + endpoint.lastEjection;
    endpoint.samples = 0;
    endpoint.failureShare = 0;
    return endpoint.lastEjection;
}

// Guards against requests to an earlier start of an endpoint that end after the next one began: it shows as an engine that is given
// more than it holds, or is left out for what it did not do. Passing over them holds, as a new start begins with nothing under way.
EndpointTable::Endpoints::iterator EndpointTable::findStart(std::string_view id, u64 bornMs)
{
    const auto found = m_endpoints.find(id);
    const bool isOther = found != m_endpoints.end() && found->second.registration.bornMs != bornMs;
    return isOther ? m_endpoints.end() : found;
}

void EndpointTable::dropIfDone(Endpoints::iterator endpoint)
{
    if (isEnd(endpoint->second)) {
        m_byHash.erase(endpoint->second.hash);
        m_endpoints.erase(endpoint);
    }
}

} // namespace burdock::endpoints
