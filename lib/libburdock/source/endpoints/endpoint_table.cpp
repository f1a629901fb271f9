#include <burdock/endpoints/endpoint_table.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <tuple>

namespace burdock::endpoints {

namespace {

constexpr std::array<std::string_view, 8> OutcomeNames{"answered",    "declined",  "failed",  "broken",
                                                       "unreachable", "abandoned", "expired", "too_long"};

/** Smoothing factor of the moving average of failed requests. */
constexpr double FailureRateSmoothing = 0.2;
/** Number of requests below which the failure rate is not evaluated. */
constexpr u32 MinFailureSamples = 5;
/** Smoothing factor of the moving average of an engine's slowdown, and the time in which its deviation from 1 halves. */
constexpr double SlowdownSmoothing = 0.08;
constexpr Duration SlowdownHalfLife = std::chrono::seconds(4);
constexpr double MinSlowdown = 0.3;
/** Smoothing factor of the moving average of the time in a slot. */
constexpr double RunTimeSmoothing = 0.05;
constexpr double MaxSlowdown = 20;
/** How long reports of other entries are valid. */
constexpr Duration PeerReportLifetime = std::chrono::milliseconds(1500);
/** Callers return to endpoints that have rested after this time at least, spread over the given time in so many steps. */
constexpr Duration MinReturnDelay = std::chrono::milliseconds(100);
constexpr Duration ReturnSpread = std::chrono::milliseconds(500);
constexpr u64 ReturnSpreadSteps = 512;
/** Estimated share of an engine's memory that cached parts take, in percent; prompts in progress take the rest. */
constexpr u64 CachedPartsPercent = 50;

constexpr std::array<std::string_view, 6> NoChoiceNames{"none", "no_endpoint", "no_room", "too_slow", "limited", "resting"};

constexpr std::array<std::string_view, 5> NewestWeightsNames{"chosen", "none_serves", "no_room", "too_slow", "later"};

bool hasOlderWeights(const Endpoint &endpoint, const SelectionRequest &request)
{
    const auto version = endpoint.registration.weightVersions.find(request.model);
    return version != endpoint.registration.weightVersions.end() && version->second < request.wantedVersion;
}

u64 requiredMemory(const Endpoint &endpoint, const SelectionRequest &request)
{
    const u64 residentTokens = request.residentTokens ? request.residentTokens(endpoint) : 0;
    return request.memory - std::min(request.memory - 1, residentTokens);
}

u64 softwareOf(const Registration &registration)
{
    return hash::hash64(registration.softwareVersion, hash::hash64(registration.service));
}

bool isRemovable(const Endpoint &endpoint)
{
    return endpoint.isDeregistered && endpoint.ownLoad.running == 0;
}

// The estimate decays towards 1 so that an engine that was slow for a while is tried again.
double currentSlowdown(const Endpoint &endpoint, TimePoint now)
{
    const double halfLives = toMilliseconds(now - endpoint.slowdownUpdatedAt) / toMilliseconds(SlowdownHalfLife);
    return 1 + (endpoint.slowdown - 1) * std::exp2(-halfLives);
}

} // namespace

std::string_view toString(Outcome outcome)
{
    return OutcomeNames.at(static_cast<std::size_t>(outcome));
}

std::string_view toString(SelectionFailure reason)
{
    return NoChoiceNames.at(static_cast<std::size_t>(reason));
}

std::string_view toString(NewestWeightsResult newest)
{
    return NewestWeightsNames.at(static_cast<std::size_t>(newest));
}

EndpointTable::EndpointTable(const Policy &policy, u64 own)
    : m_policy(policy)
    , m_permits(own)
    , m_notices(NoticePolicy{}, own)
    , m_turns(own)
    , m_peers(PeerReportLifetime)
{
}

void EndpointTable::setRegistration(const Registration &registration, TimePoint now)
{
    auto &endpoint = m_endpoints[registration.id];
    // An endpoint that restarts under the same id has a different start time. The state of the earlier instance, such as its requests
    // in progress, does not apply to the new one.
    const bool isRestarted = endpoint.registration.startTimeMs != registration.startTimeMs;
    if (isRestarted) {
        endpoint = Endpoint{};
    }
    // Answers report new weights sooner than the registration does.
    auto versions = endpoint.registration.weightVersions;
    endpoint.registration = registration;
    for (const auto &[model, version] : versions) {
        auto &known = endpoint.registration.weightVersions[model];
        known = std::max(known, version);
    }
    endpoint.hash = hash::hash64(registration.id);
    m_permits.limits().noteInstance(endpoint.hash, registration.startTimeMs);
    m_notices.noteInstance(endpoint.hash, registration.startTimeMs);
    endpoint.software = softwareOf(registration);
    m_softwareHistory.set(registration.id, registration.service, endpoint.software, now);
    m_byHash[endpoint.hash] = &endpoint;
    endpoint.isDeregistered = false;
    if (registration.remainingColdTime > Duration::zero()) {
        endpoint.coldUntil = std::max(endpoint.coldUntil, now + registration.remainingColdTime);
    }
}

void EndpointTable::remove(std::string_view id, TimePoint now)
{
    m_softwareHistory.remove(id, now);
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.isDeregistered = true;
        eraseIfUnused(found);
    }
}

void EndpointTable::keepOnly(const std::set<std::string, std::less<>> &ids, TimePoint now)
{
    for (auto &[id, endpoint] : m_endpoints) {
        if (ids.count(id) == 0) {
            endpoint.isDeregistered = true;
            m_softwareHistory.remove(id, now);
        }
    }
    for (auto endpoint = m_endpoints.begin(); endpoint != m_endpoints.end();) {
        eraseIfUnused(endpoint++);
    }
}

void EndpointTable::setEvacuatedZones(std::set<std::string, std::less<>> zones)
{
    m_evacuatedZones = std::move(zones);
}

void EndpointTable::setReturningZones(std::set<std::string, std::less<>> zones)
{
    m_returningZones = std::move(zones);
}

void EndpointTable::setServiceLimits(std::string_view service, u64 cacheTokens, double coldRequestsPerSecond)
{
    m_serviceLimits[std::string(service)] = ServiceLimits{cacheTokens, coldRequestsPerSecond};
}

ColdAdmission &EndpointTable::coldAdmission()
{
    return m_coldAdmission;
}

limits::EndpointPermits &EndpointTable::permits()
{
    return m_permits;
}

EndpointNotices &EndpointTable::notices()
{
    return m_notices;
}

PlacementTurns &EndpointTable::turns()
{
    return m_turns;
}

const Policy &EndpointTable::policy() const
{
    return m_policy;
}

const SoftwareHistory &EndpointTable::softwareHistory() const
{
    return m_softwareHistory;
}

void EndpointTable::noteSoftwareSeen(const Registration &registration, TimePoint now)
{
    m_softwareHistory.noteSeen(registration.service, softwareOf(registration), now);
}

Selection EndpointTable::choose(const SelectionRequest &request, TimePoint now)
{
    return request.memory == 0 ? choosePlain(request, now) : choosePrompt(request, now);
}

Selection EndpointTable::choosePlain(const SelectionRequest &request, TimePoint now)
{
    std::vector<placement::EndpointView> views;
    std::vector<Endpoint *> eligibleEndpoints;
    for (auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, request, now)) {
            placement::EndpointView view;
            view.id = endpoint.hash;
            view.load = loadAt(endpoint).running;
            view.limit = std::max<u32>(1, endpoint.registration.slots);
            views.push_back(view);
            eligibleEndpoints.push_back(&endpoint);
        }
    }
    Selection selection;
    selection.reason = views.empty() ? SelectionFailure::NoEndpoint : SelectionFailure::NoRoom;
    for (const u32 index : m_leastLoaded.order({request.affinityHash, 0, request.random}, views, static_cast<u32>(views.size()))) {
        auto &endpoint = *eligibleEndpoints[index];
        const u64 slotLimit = std::max<u64>(1, u64{endpoint.registration.slots} * m_policy.slotLimitPercent / 100);
        if (loadAt(endpoint).running >= slotLimit) {
            continue;
        }
        const auto admission = tryAdmit(endpoint, request, now);
        if (admission != Admission::Refused) {
            return chosen(endpoint, admission, now);
        }
    }
    applyLimits(selection, request, now);
    applyRests(selection, request, now);
    return selection;
}

Selection EndpointTable::chosen(const Endpoint &endpoint, Admission admission, TimePoint now)
{
    Selection selection;
    selection.id = endpoint.registration.id;
    selection.startTimeMs = endpoint.registration.startTimeMs;
    if (admission == Admission::MustAsk) {
        selection.permitNeededFor = endpoint.hash;
    } else if (isLimited(endpoint, now)) {
        m_refusals[endpoint.registration.service].noteSent(now);
    }
    return selection;
}

// If all endpoints that could take the request have a limit, callers come back as these limits allow.
void EndpointTable::applyLimits(Selection &selection, const SelectionRequest &request, TimePoint now)
{
    if (m_permits.limits().inForceCount() == 0) {
        return;
    }
    double perSecond = 0;
    bool isAnyUnlimited = false;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, request, now)) {
            const auto limit = m_permits.limits().allowedPerSecond(endpoint.hash, now);
            isAnyUnlimited = isAnyUnlimited || !limit;
            perSecond += limit.value_or(0);
        }
    }
    if (perSecond > 0 && !isAnyUnlimited) {
        selection.reason = SelectionFailure::Limited;
        const auto entries = m_permits.coordinators().others(now).size() + 1;
        selection.retryAfter = m_refusals[std::string(request.service)].nextReturn(perSecond, entries, now);
    }
}

// Under overload, a prompt that queues behind others misses its target, and so do those queued behind it. Counting the tokens that each
// engine has yet to process, over all entries, and admitting only prompts that can start in time keeps the admitted ones on target.
Selection EndpointTable::choosePrompt(const SelectionRequest &request, TimePoint now)
{
    std::vector<Candidate> candidates;
    bool isAnyEligible = false;
    const bool isContinuation = request.software.has_value();
    const u32 memoryPercent = isContinuation ? m_policy.continuationMemoryLimitPercent : m_policy.memoryLimitPercent;
    const u32 delayPercent = isContinuation ? m_policy.continuationAdmissionPercent : m_policy.admissionPercent;
    for (auto &[id, endpoint] : m_endpoints) {
        if (isEligible(endpoint, request, now)) {
            isAnyEligible = true;
            const u64 memory = requiredMemory(endpoint, request);
            if (!hasMemory(endpoint, memory, memoryPercent)) {
                continue;
            }
            const auto candidate = makeCandidate(endpoint, memory, request, now);
            // Prompts queue inside the engine, so one that is sent before the weights expire may still start after that.
            const auto start = now + candidate.delay * m_policy.startDelayPercent / 100 + m_policy.startDelaySlack;
            if (!hasExpiredWeights(endpoint, request, start)) {
                candidates.push_back(candidate);
            }
        }
    }
    ignoreCachesOfLimited(candidates, request, now);
    closeEngines(candidates, request, now);
    // Engines that are closed to this entry come last, in the order of the hash. Among engines with about the same delay, the prompt's
    // affinity hash alone decides, so that all entries choose the same one.
    std::sort(candidates.begin(), candidates.end(), [this](const Candidate &left, const Candidate &right) {
        const bool isLeftClosed = !left.isOpen;
        const bool isRightClosed = !right.isOpen;
        const auto leftBand = left.isOpen ? left.score / m_policy.delayTolerance : 0;
        const auto rightBand = right.isOpen ? right.score / m_policy.delayTolerance : 0;
        return std::tie(isLeftClosed, leftBand, left.rank) < std::tie(isRightClosed, rightBand, right.rank);
    });
    Selection selection;
    selection.reason = isAnyEligible ? SelectionFailure::NoRoom : SelectionFailure::NoEndpoint;
    const auto maxDelay = request.target * delayPercent / 100;
    for (const auto &candidate : candidates) {
        if (request.target > Duration::zero() && candidate.delay > maxDelay) {
            selection.reason = SelectionFailure::TooSlow;
            selection.expectedDelay = candidate.delay;
            continue;
        }
        const auto admission = tryAdmit(*candidate.endpoint, request, now);
        if (admission == Admission::Refused) {
            continue;
        }
        selection = chosen(*candidate.endpoint, admission, now);
        selection.cost = {candidate.memory, candidate.prefill};
        selection.expectedDelay = candidate.delay;
        selection.newest = newestWeights(candidate, candidates, request, now);
        if (admission == Admission::Admitted) {
            m_turns.noteArrival(fromMilliseconds(static_cast<double>(candidate.prefill) * m_policy.delayPerTokenMs), now);
        }
        return selection;
    }
    applyLimits(selection, request, now);
    applyRests(selection, request, now);
    return selection;
}

// If all endpoints rest, callers come back once the first has rested, but not all in the same moment.
void EndpointTable::applyRests(Selection &selection, const SelectionRequest &request, TimePoint now) const
{
    if (selection.reason != SelectionFailure::NoEndpoint) {
        return;
    }
    std::optional<TimePoint> first;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (!isServing(endpoint, request) || m_notices.isLeaving(endpoint.hash, now)) {
            continue;
        }
        const auto returnsAt = m_notices.returnOf(endpoint.hash);
        if (!returnsAt) {
            return;
        }
        first = std::min(first.value_or(*returnsAt), *returnsAt);
    }
    if (first) {
        selection.reason = SelectionFailure::Resting;
        const auto spread = ReturnSpread * static_cast<i64>(request.random % ReturnSpreadSteps) / static_cast<i64>(ReturnSpreadSteps);
        selection.retryAfter = std::max(*first - now, MinReturnDelay) + spread;
    }
}

// The parts that an engine in need has in memory must not bring it more prompts than other engines get.
void EndpointTable::ignoreCachesOfLimited(std::vector<Candidate> &candidates, const SelectionRequest &request, TimePoint now) const
{
    std::optional<u64> leastPrefill;
    for (const auto &candidate : candidates) {
        if (!isLimited(*candidate.endpoint, now)) {
            leastPrefill = std::min(leastPrefill.value_or(candidate.prefill), candidate.prefill);
        }
    }
    for (auto &candidate : candidates) {
        if (!isLimited(*candidate.endpoint, now)) {
            continue;
        }
        const u64 prefill = std::max(candidate.prefill, leastPrefill.value_or(0));
        candidate.score += delayAt(*candidate.endpoint, prefill, now) - delayAt(*candidate.endpoint, candidate.prefill, now);
        candidate.rank = hash::hash64(candidate.endpoint->registration.id, request.random);
    }
}

NewestWeightsResult EndpointTable::newestWeights(const Candidate &chosen, const std::vector<Candidate> &candidates,
                                                 const SelectionRequest &request, TimePoint now) const
{
    if (!hasOlderWeights(*chosen.endpoint, request)) {
        return NewestWeightsResult::Chosen;
    }
    const auto maxDelay = request.target * m_policy.admissionPercent / 100;
    bool hasNewestCandidate = false;
    for (const auto &candidate : candidates) {
        const bool isNewest = !hasOlderWeights(*candidate.endpoint, request);
        hasNewestCandidate = hasNewestCandidate || isNewest;
        if (isNewest && (request.target == Duration::zero() || candidate.delay <= maxDelay)) {
            return NewestWeightsResult::Later;
        }
    }
    if (hasNewestCandidate) {
        return NewestWeightsResult::TooSlow;
    }
    const bool hasServingEndpoint = std::any_of(m_endpoints.begin(), m_endpoints.end(), [&](const auto &entry) {
        return !hasOlderWeights(entry.second, request) && isEligible(entry.second, request, now);
    });
    return hasServingEndpoint ? NewestWeightsResult::NoRoom : NewestWeightsResult::NoneServes;
}

EndpointTable::Candidate EndpointTable::makeCandidate(Endpoint &endpoint, u64 memory, const SelectionRequest &request, TimePoint now) const
{
    Candidate candidate;
    candidate.endpoint = &endpoint;
    candidate.memory = memory;
    candidate.prefill = request.prefill(endpoint);
    candidate.delay = expectedDelay(endpoint, candidate.prefill, now);
    candidate.score = candidate.delay + (request.sharedLinkTime ? request.sharedLinkTime(endpoint) : Duration::zero());
    if (hasOlderWeights(endpoint, request)) {
        candidate.score += m_policy.oldWeightsPenalty;
    }
    candidate.rank = hash::hash64(endpoint.registration.id, request.affinityHash);
    return candidate;
}

// Compares the engines without what the prompt finds there, as the prompts of the other entries find their parts elsewhere.
void EndpointTable::closeEngines(std::vector<Candidate> &candidates, const SelectionRequest &request, TimePoint now) const
{
    std::vector<EngineRoom> rooms;
    for (const auto &candidate : candidates) {
        const auto &endpoint = *candidate.endpoint;
        EngineRoom room;
        room.engine = endpoint.hash;
        room.delay = expectedDelay(endpoint, 0, now) + (hasOlderWeights(endpoint, request) ? m_policy.oldWeightsPenalty : Duration::zero());
        const u64 slots = endpoint.registration.slots;
        room.freeSlots = slots - std::min<u64>(slots, loadAt(endpoint).running);
        room.slack = request.target - candidate.delay;
        rooms.push_back(room);
    }
    const auto open = m_turns.openEngines(std::move(rooms), m_policy.delayTolerance, now);
    for (auto &candidate : candidates) {
        candidate.isOpen = open.count(candidate.endpoint->hash) > 0;
    }
}

Duration EndpointTable::expectedDelay(const Endpoint &endpoint, u64 tokens, TimePoint now) const
{
    return delayAt(endpoint, loadAt(endpoint).pending + tokens, now) + slotDelay(endpoint);
}

// An engine runs only as many prompts at once as it has slots. Where slots are few, they run out while there is still memory, above all
// where answers are long. Each prompt in front of a new one then has to wait for one of the running ones to end.
Duration EndpointTable::slotDelay(const Endpoint &endpoint) const
{
    const u64 slots = std::max<u32>(1, endpoint.registration.slots);
    const u64 running = loadAt(endpoint).running;
    if (running < slots) {
        return Duration::zero();
    }
    const auto runTime = m_runTimes.find(endpoint.registration.service);
    const auto timeInSlot = runTime == m_runTimes.end() ? m_policy.initialRunTime : runTime->second;
    return timeInSlot * static_cast<i64>(running - slots + 1) / static_cast<i64>(slots);
}

void EndpointTable::noteRunTime(std::string_view service, Duration time)
{
    auto &average = m_runTimes.try_emplace(std::string(service), m_policy.initialRunTime).first->second;
    average += fromMilliseconds(RunTimeSmoothing * toMilliseconds(time - average));
}

Duration EndpointTable::delayAt(const Endpoint &endpoint, u64 tokens, TimePoint now) const
{
    return fromMilliseconds(toMilliseconds(referenceDelay(tokens)) * currentSlowdown(endpoint, now));
}

Duration EndpointTable::referenceDelay(u64 tokens) const
{
    return m_policy.baseDelay + fromMilliseconds(static_cast<double>(tokens) * m_policy.delayPerTokenMs);
}

void EndpointTable::noteSent(std::string_view id, const RequestCost &cost, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    m_notices.noteSent(endpoint.hash, now);
    endpoint.ownLoad += Load{1, cost.memory, cost.prefill};
    if (!endpoint.waitingSince) {
        endpoint.waitingSince = now;
    }
}

void EndpointTable::noteFirstEvent(std::string_view id, const Selection &selection, Duration delay, DelaySample sample, TimePoint now)
{
    const auto found = findInstance(id, selection.startTimeMs);
    if (found == m_endpoints.end()) {
        return;
    }
    auto &endpoint = found->second;
    endpoint.ownLoad -= Load{0, 0, selection.cost.prefill};
    if (sample == DelaySample::Ignore) {
        return;
    }
    const double expectedAtReference = toMilliseconds(selection.expectedDelay) / currentSlowdown(endpoint, now);
    const double measured = std::clamp(toMilliseconds(delay) / std::max(1.0, expectedAtReference), MinSlowdown, MaxSlowdown);
    endpoint.slowdown = currentSlowdown(endpoint, now) + SlowdownSmoothing * (measured - currentSlowdown(endpoint, now));
    endpoint.slowdownUpdatedAt = now;
}

void EndpointTable::noteHeard(std::string_view id, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.lastHeard = now;
        found->second.waitingSince = found->second.ownLoad.running > 0 ? std::optional(now) : std::nullopt;
    }
}

Duration EndpointTable::noteEnd(std::string_view id, u64 startTimeMs, const RequestCost &remaining, Outcome outcome, TimePoint now)
{
    const auto found = findInstance(id, startTimeMs);
    if (found == m_endpoints.end()) {
        return Duration::zero();
    }
    auto &endpoint = found->second;
    endpoint.ownLoad -= Load{1, remaining.memory, remaining.prefill};
    const bool isFailure
        = outcome == Outcome::Failed || outcome == Outcome::Broken || outcome == Outcome::Unreachable || outcome == Outcome::TooLong;
    if (outcome == Outcome::Answered || isFailure || outcome == Outcome::Declined) {
        const double sample = isFailure ? 1.0 : 0.0;
        endpoint.failureRate += FailureRateSmoothing * (sample - endpoint.failureRate);
        ++endpoint.sampleCount;
    }
    if (outcome == Outcome::Answered) {
        endpoint.lastEjection = Duration::zero();
    }
    const bool fellSilent = endpoint.ownLoad.running == 0 && isSilent(endpoint, now);
    const bool failsOften = endpoint.sampleCount >= MinFailureSamples && endpoint.failureRate > m_policy.maxFailureRate;
    if (endpoint.ownLoad.running == 0) {
        endpoint.waitingSince.reset();
    }
    const bool isUnresponsive = outcome == Outcome::Unreachable || fellSilent;
    const bool isEjected = isUnresponsive || failsOften || outcome == Outcome::TooLong;
    endpoint.isEjectedAsUnresponsive = isEjected ? isUnresponsive : endpoint.isEjectedAsUnresponsive;
    const auto ejectedFor = isEjected ? eject(endpoint, now) : Duration::zero();
    if (outcome == Outcome::Declined) {
        endpoint.ejectedUntil = std::max(endpoint.ejectedUntil, now + m_policy.declinedEjection);
    }
    eraseIfUnused(found);
    return ejectedFor;
}

void EndpointTable::notePart(u64 endpoint, u64 part, u64 tokens)
{
    const auto found = m_byHash.find(endpoint);
    if (found != m_byHash.end()) {
        const u64 capacity = limitsOf(found->second->registration.service).cacheTokens * CachedPartsPercent / 100;
        found->second->memory.noteSent(part, tokens, capacity);
    }
}

const Endpoint *EndpointTable::fetchSourceFor(u64 part, const Endpoint &fetching, TimePoint now) const
{
    const Endpoint *source = nullptr;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (&endpoint == &fetching || !endpoint.memory.contains(part) || !canServeFetch(endpoint, now)) {
            continue;
        }
        const bool isSameZone = endpoint.registration.zone == fetching.registration.zone;
        if (source == nullptr || isSameZone) {
            source = &endpoint;
        }
        if (isSameZone) {
            break;
        }
    }
    return source;
}

// Fetching from a source that is gone or busy loading weights takes longer than processing a short part again.
bool EndpointTable::canServeFetch(const Endpoint &endpoint, TimePoint now) const
{
    const bool isLoading = m_loading.count(endpoint.hash) > 0 || m_peers.isLoading(endpoint.hash);
    return !endpoint.isDeregistered && !isLoading && now >= endpoint.ejectedUntil && !isSilent(endpoint, now);
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

std::vector<std::string> EndpointTable::applyReport(const std::string &entry, PeerLoads::Report report, TimePoint now)
{
    std::vector<std::pair<u64, std::size_t>> before;
    for (const u64 endpoint : report.unresponsive) {
        before.emplace_back(endpoint, m_peers.unresponsiveReportCount(endpoint));
    }
    m_peers.apply(entry, std::move(report), now);
    std::vector<std::string> ids;
    for (const auto &[endpoint, found] : before) {
        const auto known = m_byHash.find(endpoint);
        const bool reachesQuorum
            = found < m_policy.unresponsiveQuorum && m_peers.unresponsiveReportCount(endpoint) >= m_policy.unresponsiveQuorum;
        if (reachesQuorum && known != m_byHash.end()) {
            ids.push_back(known->second->registration.id);
        }
    }
    return ids;
}

LoadsById EndpointTable::ownLoads() const
{
    LoadsById loads;
    for (const auto &[id, endpoint] : m_endpoints) {
        if (endpoint.ownLoad.running > 0) {
            loads[endpoint.hash] = endpoint.ownLoad;
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
    load += endpoint.ownLoad;
    return load;
}

void EndpointTable::noteWeights(std::string_view id, std::string_view model, u64 version)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        // The weight version never decreases while an endpoint runs, but its reports lag behind its answers.
        auto &known = found->second.registration.weightVersions[std::string(model)];
        known = std::max(known, version);
    }
}

void EndpointTable::noteCold(std::string_view id, Duration remaining, TimePoint now)
{
    const auto found = m_endpoints.find(id);
    if (found != m_endpoints.end()) {
        found->second.coldUntil = std::max(found->second.coldUntil, now + remaining);
    }
}

const Endpoint *EndpointTable::find(std::string_view id) const
{
    const auto found = m_endpoints.find(id);
    return found == m_endpoints.end() ? nullptr : &found->second;
}

const Endpoint *EndpointTable::findByHash(u64 hash) const
{
    const auto found = m_byHash.find(hash);
    return found == m_byHash.end() ? nullptr : found->second;
}

const std::map<std::string, Endpoint, std::less<>> &EndpointTable::all() const
{
    return m_endpoints;
}

// Whether the endpoint is in service for such requests at all, though perhaps not at the moment.
bool EndpointTable::isServing(const Endpoint &endpoint, const SelectionRequest &request) const
{
    const auto &registration = endpoint.registration;
    if (registration.service != request.service || registration.isDraining || endpoint.isDeregistered) {
        return false;
    }
    return request.acceptsSoftwareOf(endpoint) && m_evacuatedZones.count(registration.zone) == 0;
}

bool EndpointTable::isEligible(const Endpoint &endpoint, const SelectionRequest &request, TimePoint now) const
{
    if (!isServing(endpoint, request) || request.tried.count(endpoint.registration.id) > 0) {
        return false;
    }
    if (m_loading.count(endpoint.hash) > 0 || m_peers.isLoading(endpoint.hash) || !m_notices.mayUse(endpoint.hash, now)) {
        return false;
    }
    return now >= endpoint.ejectedUntil && !hasExpiredWeights(endpoint, request, now) && !isSilent(endpoint, now)
        && !isUnresponsiveToPeers(endpoint, now);
}

bool EndpointTable::hasExpiredWeights(const Endpoint &endpoint, const SelectionRequest &request, TimePoint start) const
{
    const auto version = endpoint.registration.weightVersions.find(request.model);
    if (!request.expiry || version == endpoint.registration.weightVersions.end()) {
        return false;
    }
    const auto expiry = request.expiry(version->second);
    return expiry && start >= *expiry;
}

// Detects an endpoint that stopped responding with its connections still open. A healthy engine produces tokens all the time for each of
// its requests, so silence on all connections at once indicates a failure. Any received data clears the suspicion.
bool EndpointTable::isSilent(const Endpoint &endpoint, TimePoint now) const
{
    return endpoint.waitingSince && now - *endpoint.waitingSince > m_policy.silenceTimeout;
}

// Without the reports of others, every entry would lose requests of its own before it detects that an endpoint is down, so the losses would
// grow with the number of entries. The reports count only if this entry has not heard from the endpoint lately either. A quorum is
// needed because the endpoint may be cut off from a single entry only.
bool EndpointTable::isUnresponsiveToPeers(const Endpoint &endpoint, TimePoint now) const
{
    return now - endpoint.lastHeard > m_policy.silenceTimeout
        && m_peers.unresponsiveReportCount(endpoint.hash) >= m_policy.unresponsiveQuorum;
}

bool EndpointTable::hasMemory(const Endpoint &endpoint, u64 needed, u32 limitPercent) const
{
    const u64 memory = limitsOf(endpoint.registration.service).cacheTokens * limitPercent / 100;
    const u64 taken = loadAt(endpoint).memory;
    // A prompt larger than the whole memory is admitted to an idle engine; otherwise it could never run.
    return memory == 0 || taken == 0 || taken + needed <= memory;
}

EndpointTable::Admission EndpointTable::tryAdmit(Endpoint &endpoint, const SelectionRequest &request, TimePoint now)
{
    const double perSecond = limitsOf(endpoint.registration.service).coldRequestsPerSecond;
    const bool isCold = now < endpoint.coldUntil || m_returningZones.count(endpoint.registration.zone) > 0;
    if (perSecond > 0 && isCold && !m_coldAdmission.tryTake(endpoint.coldQuota, endpoint.hash, perSecond, request.timeOfDay)) {
        return Admission::Refused;
    }
    switch (m_permits.tryTake({endpoint.hash, request.priority, request.timeOfDay, request.mayAskPermit}, now)) {
    case limits::Permission::Granted:
        return Admission::Admitted;
    case limits::Permission::MustAsk:
        return Admission::MustAsk;
    case limits::Permission::Refused:
        break;
    }
    return Admission::Refused;
}

bool EndpointTable::isLimited(const Endpoint &endpoint, TimePoint now) const
{
    return m_permits.limits().allowedPerSecond(endpoint.hash, now).has_value();
}

const EndpointTable::ServiceLimits &EndpointTable::limitsOf(const std::string &service) const
{
    static const ServiceLimits s_none;
    const auto found = m_serviceLimits.find(service);
    return found == m_serviceLimits.end() ? s_none : found->second;
}

Duration EndpointTable::eject(Endpoint &endpoint, TimePoint now) const
{
    const auto doubled = endpoint.lastEjection * 2;
    endpoint.lastEjection = std::clamp(doubled, m_policy.minEjection, m_policy.maxEjection);
    endpoint.ejectedUntil = now + endpoint.lastEjection;
    endpoint.sampleCount = 0;
    endpoint.failureRate = 0;
    return endpoint.lastEjection;
}

// Requests to an earlier instance of an endpoint may end after the next one has started. They must be ignored, since the new instance
// starts with no requests in progress: otherwise an engine would get more than it can hold, or be ejected for failures of its predecessor.
EndpointTable::Endpoints::iterator EndpointTable::findInstance(std::string_view id, u64 startTimeMs)
{
    const auto found = m_endpoints.find(id);
    const bool isOtherInstance = found != m_endpoints.end() && found->second.registration.startTimeMs != startTimeMs;
    return isOtherInstance ? m_endpoints.end() : found;
}

void EndpointTable::eraseIfUnused(Endpoints::iterator endpoint)
{
    if (isRemovable(endpoint->second)) {
        m_byHash.erase(endpoint->second.hash);
        m_endpoints.erase(endpoint);
    }
}

} // namespace burdock::endpoints
