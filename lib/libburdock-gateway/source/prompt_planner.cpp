#include "prompt_planner.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

/** What fetching a token from another engine costs, in percent of reading it; from a store, see cache::FetchCostEstimator. */
constexpr u64 EngineFetchPercent = 10;
/** Fetched tokens from which the time of a fetch stands out from that of the engine. */
constexpr u64 TellingFetch = 2000;
/** Time for a fetch: some forty times what reading the tokens would take, as reading them again keeps others waiting too. */
constexpr Duration FetchPatiencePerToken = std::chrono::microseconds(450);
constexpr Duration ShortestFetch = std::chrono::milliseconds(150);

} // namespace

PromptPlanner::PromptPlanner(State &state, const CallFacts &facts, const routing::Customer *customer, TimePoint now)
    : m_state(state)
    , m_facts(facts)
    , m_customer(customer)
    , m_now(now)
{
}

u64 PromptPlanner::home() const
{
    if (m_facts.parts.empty()) {
        return hash::fast(m_facts.attemptId);
    }
    const std::size_t subject = m_facts.parts.size() >= 2 ? m_facts.parts.size() - 2 : 0;
    return hash::fast(m_facts.parts[subject].id);
}

u64 PromptPlanner::weightVersionOf(const endpoints::Endpoint &endpoint) const
{
    const auto version = endpoint.registration.weightVersions.find(m_facts.model);
    return version == endpoint.registration.weightVersions.end() ? 0 : version->second;
}

std::string PromptPlanner::saltFor(u64 weightVersion) const
{
    const bool isIsolated = m_customer != nullptr && m_customer->isIsolated;
    return cache::Salt{m_facts.model, weightVersion, isIsolated ? m_customer->name : ""}.text();
}

u64 PromptPlanner::prefillAt(const endpoints::Endpoint &endpoint) const
{
    if (m_facts.parts.empty()) {
        return m_facts.promptTokens;
    }
    const auto &parts = partsAt(weightVersionOf(endpoint));
    u64 tokens = m_facts.parts.back().tokens;
    for (std::size_t i = 0; i + 1 < m_facts.parts.size(); ++i) {
        tokens += endpoint.memory.contains(parts.hashes[i]) ? 0 : parts.fetchTokens[i];
    }
    return tokens;
}

u64 PromptPlanner::inPlaceAt(const endpoints::Endpoint &endpoint) const
{
    if (m_facts.parts.empty()) {
        return 0;
    }
    const auto &parts = partsAt(weightVersionOf(endpoint));
    u64 tokens = 0;
    for (std::size_t i = 0; i + 1 < m_facts.parts.size() && endpoint.memory.contains(parts.hashes[i]); ++i) {
        tokens += m_facts.parts[i].tokens;
    }
    return tokens;
}

const PromptPlanner::Parts &PromptPlanner::partsAt(u64 weightVersion) const
{
    const auto [found, isNew] = m_parts.try_emplace(weightVersion);
    auto &parts = found->second;
    if (!isNew) {
        return parts;
    }
    parts.salt = saltFor(weightVersion);
    for (const auto &part : m_facts.parts) {
        parts.hashes.push_back(cache::partHash(parts.salt, part.id));
        u64 percent = 100;
        const auto store = m_state.parts.findStore(parts.salt, part);
        if (isInMemoryOfAny(parts.hashes.back())) {
            percent = EngineFetchPercent;
        } else if (!store.empty() && m_state.fetchCosts.isWorthFetching(store, m_now)) {
            percent = static_cast<u64>(m_state.fetchCosts.percentOfPrefill(store, m_now));
        }
        parts.fetchTokens.push_back(part.tokens * percent / 100);
    }
    return parts;
}

bool PromptPlanner::isInMemoryOfAny(u64 part) const
{
    const auto &all = m_state.endpoints.all();
    return std::any_of(all.begin(), all.end(), [part](const auto &entry) { return entry.second.memory.contains(part); });
}

void PromptPlanner::instruct(const endpoints::Endpoint &endpoint, Instructions &told, TimePoint now)
{
    const u64 held = weightVersionOf(endpoint);
    const auto &parts = partsAt(held);
    told.salt = parts.salt;
    if (held > 0) {
        told.weightVersion = held;
        planParts(endpoint, held, told, now);
    }
    PlacedParts placed;
    placed.endpoint = endpoint.hash;
    for (std::size_t i = 0; i < m_facts.parts.size(); ++i) {
        placed.parts.emplace_back(parts.hashes[i], m_facts.parts[i].tokens);
        m_state.endpoints.notePart(endpoint.hash, parts.hashes[i], m_facts.parts[i].tokens);
    }
    m_state.placementsToTell.push_back(std::move(placed));
}

void PromptPlanner::planParts(const endpoints::Endpoint &endpoint, u64 weightVersion, Instructions &told, TimePoint now)
{
    const auto &parts = partsAt(weightVersion);
    const auto &named = m_state.weights[m_facts.model];
    const u64 shared = m_facts.parts.empty() ? 0 : m_facts.promptTokens - std::min(m_facts.promptTokens, m_facts.parts.back().tokens);
    const auto patience
        = std::clamp(FetchPatiencePerToken * static_cast<i64>(shared), ShortestFetch, m_state.retirement.policy().maxFetchTime);
    told.fetchPatience = patience;
    told.fetchUntilMs = m_state.endpointClockMs(now + patience);
    cache::PartIndex::PlanRules rules;
    const bool isNewest = weightVersion >= named.wanted();
    rules.maySaveTo = [this, now, isNewest](std::string_view store) {
        const auto news = m_state.storeFreshness.find(store);
        return isNewest && news != m_state.storeFreshness.end() && news->second.maySave(now);
    };
    rules.mayFetchFrom = [this, now](std::string_view store) {
        const auto news = m_state.storeFreshness.find(store);
        const bool isKnown = news != m_state.storeFreshness.end() && news->second.isCurrent(now);
        return isKnown && m_state.fetchCosts.isWorthFetching(store, now);
    };
    rules.mayFetch = [&](std::string_view part) {
        return told.fetchUntilMs && m_state.retirement.mayFetch(named, weightVersion, part, m_state.weightsAsOf, now);
    };
    rules.isResident = [&](std::size_t place) {
        return endpoint.memory.contains(parts.hashes[place]);
    };
    rules.findEngine = [&](std::size_t place) {
        const auto *source = m_state.endpoints.sourceOf(parts.hashes[place], endpoint, now);
        return source == nullptr ? std::string() : source->registration.address;
    };
    told.parts = m_state.parts.plan(told.salt, m_facts.parts, rules, now);
    noteFetches(told.parts);
}

void PromptPlanner::noteFetches(const cache::PartPlan &plan)
{
    std::map<std::string_view, u64> tokens;
    for (std::size_t i = 0; i < plan.fetchFrom.size(); ++i) {
        const std::string_view source = plan.fetchFrom[i];
        const auto &stores = m_state.parts.stores();
        const bool isStore = std::any_of(stores.begin(), stores.end(), [source](const auto &store) { return store.address == source; });
        if (isStore) {
            tokens[source] += m_facts.parts[i].tokens;
        }
    }
    m_fetchedTokens = 0;
    for (const auto &[store, fetched] : tokens) {
        if (fetched > m_fetchedTokens) {
            m_fetchedTokens = fetched;
            m_fetchedFrom = store;
        }
    }
}

PromptPlanner::FetchLesson PromptPlanner::noteFirstEvent(Duration delay, Duration expected, Duration readTimePerToken, TimePoint now)
{
    if (m_fetchedTokens < TellingFetch) {
        return {};
    }
    const bool wasWorthIt = m_state.fetchCosts.isWorthFetching(m_fetchedFrom, now);
    const auto readTime = readTimePerToken * static_cast<i64>(m_fetchedTokens);
    const auto fetchShare = m_state.fetchCosts.percentOfPrefill(m_fetchedFrom, m_now) / 100.0;
    const auto expectedFetch = std::chrono::duration_cast<Duration>(readTime * fetchShare);
    m_state.fetchCosts.noteFetch(m_fetchedFrom, readTime, delay - (expected - expectedFetch), now);
    const bool hasTurnedSlow = wasWorthIt && !m_state.fetchCosts.isWorthFetching(m_fetchedFrom, now);
    return {m_fetchedFrom, m_state.fetchCosts.percentOfPrefill(m_fetchedFrom, now), hasTurnedSlow};
}

} // namespace burdock::gateway
