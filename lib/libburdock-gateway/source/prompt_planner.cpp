#include "prompt_planner.hpp"

#include <burdock/cache/fetch_time.hpp>
#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

/** Cost of fetching a token from another engine, in percent of its prefill; for fetches from stores, see cache::FetchCostEstimator. */
constexpr u64 EngineFetchPercent = 10;
/** Number of fetched tokens from which the time of a fetch can be told apart from the engine's own delay. */
constexpr u64 MinObservedFetchTokens = 2000;
constexpr double Percent = 100.0;

} // namespace

PromptPlanner::PromptPlanner(GatewayState &state, const RequestMetadata &requestMetadata, const routing::Customer *customer,
                             Duration target, TimePoint now)
    : m_state(state)
    , m_requestMetadata(requestMetadata)
    , m_customer(customer)
    , m_target(target)
    , m_arrivedAt(now)
{
}

u64 PromptPlanner::affinityHash() const
{
    if (m_requestMetadata.parts.empty()) {
        return hash::hash64(m_requestMetadata.attemptId);
    }
    const std::size_t lastShared = m_requestMetadata.parts.size() >= 2 ? m_requestMetadata.parts.size() - 2 : 0;
    return hash::hash64(m_requestMetadata.parts[lastShared].id);
}

u64 PromptPlanner::weightVersionOf(const endpoints::Endpoint &endpoint) const
{
    const auto version = endpoint.registration.weightVersions.find(m_requestMetadata.model);
    return version == endpoint.registration.weightVersions.end() ? 0 : version->second;
}

std::string PromptPlanner::saltFor(u64 weightVersion) const
{
    const bool isIsolated = m_customer != nullptr && m_customer->isIsolated;
    return cache::Salt{m_requestMetadata.model, weightVersion, isIsolated ? m_customer->name : ""}.text();
}

u64 PromptPlanner::prefillTokensAt(const endpoints::Endpoint &endpoint) const
{
    if (m_requestMetadata.parts.empty()) {
        return m_requestMetadata.promptTokens;
    }
    const auto &parts = partsFor(weightVersionOf(endpoint));
    u64 tokens = m_requestMetadata.parts.back().tokens;
    for (std::size_t i = 0; i + 1 < m_requestMetadata.parts.size(); ++i) {
        tokens += endpoint.memory.contains(parts.hashes[i]) ? 0 : costAt(parts, i, endpoint).tokens;
    }
    return tokens;
}

Duration PromptPlanner::storeLinkTimeAt(const endpoints::Endpoint &endpoint) const
{
    if (m_requestMetadata.parts.empty()) {
        return Duration::zero();
    }
    const auto &parts = partsFor(weightVersionOf(endpoint));
    Duration time{};
    for (std::size_t i = 0; i + 1 < m_requestMetadata.parts.size(); ++i) {
        time += endpoint.memory.contains(parts.hashes[i]) ? Duration::zero() : costAt(parts, i, endpoint).linkTime;
    }
    return time;
}

u64 PromptPlanner::residentTokensAt(const endpoints::Endpoint &endpoint) const
{
    if (m_requestMetadata.parts.empty()) {
        return 0;
    }
    const auto &parts = partsFor(weightVersionOf(endpoint));
    u64 tokens = 0;
    for (std::size_t i = 0; i + 1 < m_requestMetadata.parts.size() && endpoint.memory.contains(parts.hashes[i]); ++i) {
        tokens += m_requestMetadata.parts[i].tokens;
    }
    return tokens;
}

const PromptPlanner::SaltedParts &PromptPlanner::partsFor(u64 weightVersion) const
{
    const auto [entry, isNew] = m_saltedParts.try_emplace(weightVersion);
    auto &parts = entry->second;
    if (!isNew) {
        return parts;
    }
    parts.salt = saltFor(weightVersion);
    for (const auto &part : m_requestMetadata.parts) {
        parts.hashes.push_back(cache::partHash(parts.salt, part.id));
        const auto *store = m_state.parts.findStore(parts.salt, part);
        if (store != nullptr && mayFetchFrom(store->address)) {
            parts.storeZones.push_back(store->zone);
            parts.sameZoneCosts.push_back(partCost(part, *store, store->zone));
            parts.otherZoneCosts.push_back(partCost(part, *store, {}));
            continue;
        }
        const u64 percent = isResidentAtAnyEngine(parts.hashes.back()) ? EngineFetchPercent : 100;
        parts.storeZones.emplace_back();
        parts.sameZoneCosts.push_back({part.tokens * percent / 100, {}});
        parts.otherZoneCosts.push_back(parts.sameZoneCosts.back());
    }
    return parts;
}

PromptPlanner::PartCost PromptPlanner::partCost(const cache::PromptPart &part, const cache::PartStore &store,
                                                std::string_view engineZone) const
{
    const auto time = cache::fetchTime(store, part.tokens, engineZone, prefillTime(part.tokens))
        + extraFetchTime(store.address, part.tokens, m_arrivedAt);
    const double tokens = toMilliseconds(std::max(Duration::zero(), time)) / m_state.endpoints.policy().delayPerTokenMs;
    return {static_cast<u64>(tokens), cache::linkTime(store, part.tokens, engineZone)};
}

const PromptPlanner::PartCost &PromptPlanner::costAt(const SaltedParts &parts, std::size_t index, const endpoints::Endpoint &endpoint) const
{
    const bool isSameZone = parts.storeZones[index] == endpoint.registration.zone;
    return isSameZone ? parts.sameZoneCosts[index] : parts.otherZoneCosts[index];
}

Duration PromptPlanner::prefillTime(u64 tokens) const
{
    return fromMilliseconds(static_cast<double>(tokens) * m_state.endpoints.policy().delayPerTokenMs);
}

// Decided as of the arrival, so that an engine is chosen and its request is planned by the same sources.
bool PromptPlanner::mayFetchFrom(std::string_view store) const
{
    return m_state.fetchCosts.mayFetch(store, hash::hash64(m_requestMetadata.attemptId), m_arrivedAt);
}

// The estimator's default is the time at an idle link, which is known better here.
Duration PromptPlanner::extraFetchTime(std::string_view store, u64 tokens, TimePoint now) const
{
    const double extraPercent = m_state.fetchCosts.percentOfPrefill(store, now) - m_state.fetchCosts.policy().defaultPercent;
    return fromMilliseconds(toMilliseconds(prefillTime(tokens)) * extraPercent / Percent);
}

bool PromptPlanner::isResidentAtAnyEngine(u64 part) const
{
    const auto &all = m_state.endpoints.all();
    return std::any_of(all.begin(), all.end(), [part](const auto &entry) { return entry.second.memory.contains(part); });
}

void PromptPlanner::fillOptions(const endpoints::Endpoint &endpoint, ForwardingOptions &options, TimePoint now)
{
    const u64 version = weightVersionOf(endpoint);
    const auto &parts = partsFor(version);
    options.salt = parts.salt;
    if (version > 0) {
        options.weightVersion = version;
        planParts(endpoint, version, options, now);
    }
    PlacedParts placed;
    placed.endpoint = endpoint.hash;
    for (std::size_t i = 0; i < m_requestMetadata.parts.size(); ++i) {
        placed.parts.emplace_back(parts.hashes[i], m_requestMetadata.parts[i].tokens);
        m_state.endpoints.notePart(endpoint.hash, parts.hashes[i], m_requestMetadata.parts[i].tokens);
    }
    m_state.outgoingPlacements.push_back(std::move(placed));
}

void PromptPlanner::planParts(const endpoints::Endpoint &endpoint, u64 weightVersion, ForwardingOptions &options, TimePoint now)
{
    const auto &parts = partsFor(weightVersion);
    const auto &announced = m_state.weights[m_requestMetadata.model];
    const auto timeout = fetchTimeout(endpoint, now);
    options.fetchTimeout = timeout;
    options.fetchDeadlineMs = m_state.endpointClockMs(now + timeout);
    cache::PartIndex::PlanRules rules;
    const bool isNewest = weightVersion >= announced.wanted();
    rules.maySaveTo = [this, now, isNewest](std::string_view store) {
        const auto freshness = m_state.storeFreshness.find(store);
        return isNewest && freshness != m_state.storeFreshness.end() && freshness->second.maySave(now);
    };
    rules.mayFetchFrom = [this, now](std::string_view store) {
        const auto freshness = m_state.storeFreshness.find(store);
        const bool isCurrent = freshness != m_state.storeFreshness.end() && freshness->second.isCurrent(now);
        return isCurrent && mayFetchFrom(store);
    };
    rules.mayFetch = [&](std::string_view part) {
        return options.fetchDeadlineMs && m_state.servedVersions.mayFetch(m_requestMetadata.model, weightVersion)
            && m_state.retirement.mayFetch(announced, weightVersion, part, m_state.weightsAsOf, now);
    };
    rules.isResident = [&](std::size_t index) {
        return endpoint.memory.contains(parts.hashes[index]);
    };
    rules.findEngine = [&](std::size_t index) {
        const auto *source = m_state.endpoints.fetchSourceFor(parts.hashes[index], endpoint, now);
        return source == nullptr ? std::string() : source->registration.address;
    };
    options.parts = m_state.parts.plan(options.salt, m_requestMetadata.parts, rules, now);
    noteFetchSource(options.parts, endpoint.registration.zone);
}

Duration PromptPlanner::fetchTimeout(const endpoints::Endpoint &endpoint, TimePoint now) const
{
    const auto maxFetch = m_state.retirement.policy().maxFetchTime;
    if (m_target <= Duration::zero() || m_requestMetadata.parts.empty()) {
        return maxFetch;
    }
    const auto &parts = partsFor(weightVersionOf(endpoint));
    u64 fetchTokens = 0;
    u64 promptTokens = m_requestMetadata.parts.back().tokens;
    for (std::size_t i = 0; i + 1 < m_requestMetadata.parts.size(); ++i) {
        const bool isResident = endpoint.memory.contains(parts.hashes[i]);
        fetchTokens += isResident ? 0 : costAt(parts, i, endpoint).tokens;
        promptTokens += isResident ? 0 : m_requestMetadata.parts[i].tokens;
    }
    cache::FetchWait wait;
    wait.timeLeft = m_target - (now - m_arrivedAt);
    wait.readDelay = m_state.endpoints.expectedDelay(endpoint, promptTokens, now);
    wait.expectedFetch = prefillTime(fetchTokens);
    wait.maxFetch = maxFetch;
    return cache::fetchTimeLimit(wait);
}

void PromptPlanner::noteFetchSource(const cache::PartPlan &plan, std::string_view engineZone)
{
    m_fetchedTokens = 0;
    for (const auto &store : m_state.parts.stores()) {
        u64 fetched = 0;
        for (std::size_t i = 0; i < plan.fetchFrom.size(); ++i) {
            fetched += plan.fetchFrom[i] == store.address ? m_requestMetadata.parts[i].tokens : 0;
        }
        if (fetched > m_fetchedTokens) {
            m_fetchedTokens = fetched;
            m_fetchSource = store.address;
            m_idleFetchTime = cache::fetchTime(store, fetched, engineZone, prefillTime(fetched));
        }
    }
}

PromptPlanner::FetchObservation PromptPlanner::noteFirstEvent(Duration delay, Duration expected, TimePoint now)
{
    if (m_fetchedTokens < MinObservedFetchTokens) {
        return {};
    }
    const bool wasWorthIt = m_state.fetchCosts.isWorthFetching(m_fetchSource, now);
    const auto defaultShare = m_state.fetchCosts.policy().defaultPercent / Percent;
    const auto prefill = prefillTime(m_fetchedTokens);
    const auto expectedFetch = m_idleFetchTime + extraFetchTime(m_fetchSource, m_fetchedTokens, m_arrivedAt);
    const auto fetch = delay - (expected - expectedFetch);
    // Without the difference between the idle link and the default, so that the estimate doesn't depend on the zone of the engine.
    const auto normalized = fetch - m_idleFetchTime + fromMilliseconds(toMilliseconds(prefill) * defaultShare);
    m_state.fetchCosts.noteFetch(m_fetchSource, prefill, normalized, now);
    const bool hasBecomeSlow = wasWorthIt && !m_state.fetchCosts.isWorthFetching(m_fetchSource, now);
    return {m_fetchSource, m_state.fetchCosts.percentOfPrefill(m_fetchSource, now), hasBecomeSlow};
}

} // namespace burdock::gateway
