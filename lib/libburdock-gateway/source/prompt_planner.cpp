#include "prompt_planner.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

/** Cost of fetching a token from another engine, in percent of its prefill; for fetches from stores, see cache::FetchCostEstimator. */
constexpr u64 EngineFetchPercent = 10;
/** Number of fetched tokens from which the time of a fetch can be told apart from the engine's own delay. */
constexpr u64 MinObservedFetchTokens = 2000;
/** Timeout of a fetch: about forty times the prefill time of its tokens, as a repeated prefill delays other prompts too. */
constexpr Duration FetchTimeoutPerToken = std::chrono::microseconds(450);
constexpr Duration MinFetchTimeout = std::chrono::milliseconds(150);

} // namespace

PromptPlanner::PromptPlanner(GatewayState &state, const RequestMetadata &requestMetadata, const routing::Customer *customer, TimePoint now)
    : m_state(state)
    , m_requestMetadata(requestMetadata)
    , m_customer(customer)
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
        tokens += endpoint.memory.contains(parts.hashes[i]) ? 0 : parts.fetchTokens[i];
    }
    return tokens;
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
        u64 percent = 100;
        const auto store = m_state.parts.findStore(parts.salt, part);
        if (isResidentAtAnyEngine(parts.hashes.back())) {
            percent = EngineFetchPercent;
        } else if (!store.empty() && m_state.fetchCosts.isWorthFetching(store, m_arrivedAt)) {
            percent = static_cast<u64>(m_state.fetchCosts.percentOfPrefill(store, m_arrivedAt));
        }
        parts.fetchTokens.push_back(part.tokens * percent / 100);
    }
    return parts;
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
    const u64 sharedTokens = m_requestMetadata.parts.empty()
        ? 0
        : m_requestMetadata.promptTokens - std::min(m_requestMetadata.promptTokens, m_requestMetadata.parts.back().tokens);
    const auto timeout
        = std::clamp(FetchTimeoutPerToken * static_cast<i64>(sharedTokens), MinFetchTimeout, m_state.retirement.policy().maxFetchTime);
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
        return isCurrent && m_state.fetchCosts.isWorthFetching(store, now);
    };
    rules.mayFetch = [&](std::string_view part) {
        return options.fetchDeadlineMs && m_state.retirement.mayFetch(announced, weightVersion, part, m_state.weightsAsOf, now);
    };
    rules.isResident = [&](std::size_t index) {
        return endpoint.memory.contains(parts.hashes[index]);
    };
    rules.findEngine = [&](std::size_t index) {
        const auto *source = m_state.endpoints.fetchSourceFor(parts.hashes[index], endpoint, now);
        return source == nullptr ? std::string() : source->registration.address;
    };
    options.parts = m_state.parts.plan(options.salt, m_requestMetadata.parts, rules, now);
    noteFetchSource(options.parts);
}

void PromptPlanner::noteFetchSource(const cache::PartPlan &plan)
{
    std::map<std::string_view, u64> tokens;
    for (std::size_t i = 0; i < plan.fetchFrom.size(); ++i) {
        const std::string_view source = plan.fetchFrom[i];
        const auto &stores = m_state.parts.stores();
        const bool isStore = std::any_of(stores.begin(), stores.end(), [source](const auto &store) { return store.address == source; });
        if (isStore) {
            tokens[source] += m_requestMetadata.parts[i].tokens;
        }
    }
    m_fetchedTokens = 0;
    for (const auto &[store, fetched] : tokens) {
        if (fetched > m_fetchedTokens) {
            m_fetchedTokens = fetched;
            m_fetchSource = store;
        }
    }
}

PromptPlanner::FetchObservation PromptPlanner::noteFirstEvent(Duration delay, Duration expected, Duration prefillTimePerToken,
                                                              TimePoint now)
{
    if (m_fetchedTokens < MinObservedFetchTokens) {
        return {};
    }
    const bool wasWorthIt = m_state.fetchCosts.isWorthFetching(m_fetchSource, now);
    const auto prefillTime = prefillTimePerToken * static_cast<i64>(m_fetchedTokens);
    const auto fetchShare = m_state.fetchCosts.percentOfPrefill(m_fetchSource, m_arrivedAt) / 100.0;
    const auto expectedFetch = std::chrono::duration_cast<Duration>(prefillTime * fetchShare);
    m_state.fetchCosts.noteFetch(m_fetchSource, prefillTime, delay - (expected - expectedFetch), now);
    const bool hasBecomeSlow = wasWorthIt && !m_state.fetchCosts.isWorthFetching(m_fetchSource, now);
    return {m_fetchSource, m_state.fetchCosts.percentOfPrefill(m_fetchSource, now), hasBecomeSlow};
}

} // namespace burdock::gateway
