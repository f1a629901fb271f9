#include "prompt_planner.hpp"

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::gateway {

namespace {

/** What fetching a kept token costs, in percent of reading it. */
constexpr u64 FetchPercent = 60;
/** Time for a fetch: some forty times what reading the tokens would take, as reading them again keeps others waiting too. */
constexpr Duration FetchPatiencePerToken = std::chrono::microseconds(450);
constexpr Duration ShortestFetch = std::chrono::milliseconds(150);

} // namespace

PromptPlanner::PromptPlanner(State &state, const CallFacts &facts, const routing::Customer *customer)
    : m_state(state)
    , m_facts(facts)
    , m_customer(customer)
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
    const auto salt = saltFor(weightVersionOf(endpoint));
    u64 tokens = m_facts.parts.back().tokens;
    for (std::size_t i = 0; i + 1 < m_facts.parts.size(); ++i) {
        const auto &part = m_facts.parts[i];
        if (endpoint.memory.holds(cache::partKey(salt, part.id))) {
            continue;
        }
        tokens += m_state.parts.holds(salt, part) ? part.tokens * FetchPercent / 100 : part.tokens;
    }
    return tokens;
}

void PromptPlanner::instruct(const endpoints::Endpoint &endpoint, Instructions &told, TimePoint now)
{
    const u64 held = weightVersionOf(endpoint);
    told.salt = saltFor(held);
    if (held > 0) {
        told.weightVersion = held;
        planParts(held, told, now);
    }
    for (const auto &part : m_facts.parts) {
        m_state.endpoints.notePart(told.endpointId, cache::partKey(told.salt, part.id), part.tokens);
    }
}

void PromptPlanner::planParts(u64 weightVersion, Instructions &told, TimePoint now)
{
    const auto &named = m_state.weights[m_facts.model];
    const u64 shared = m_facts.parts.empty() ? 0 : m_facts.promptTokens - std::min(m_facts.promptTokens, m_facts.parts.back().tokens);
    const auto patience = std::clamp(FetchPatiencePerToken * static_cast<i64>(shared), ShortestFetch, m_state.retirement.policy().fetch);
    told.fetchUntilMs = m_state.endpointClockMs(now + patience);
    cache::PartIndex::PlanRules rules;
    const bool isNewest = weightVersion >= named.wanted();
    rules.maySaveTo = [this, now, isNewest](std::string_view store) {
        const auto news = m_state.storeNews.find(store);
        return isNewest && news != m_state.storeNews.end() && news->second.maySave(now);
    };
    rules.mayFetchFrom = [this, now](std::string_view store) {
        const auto news = m_state.storeNews.find(store);
        return news != m_state.storeNews.end() && news->second.isKnown(now);
    };
    rules.mayFetch = [&](std::string_view part) {
        return told.fetchUntilMs && m_state.retirement.mayFetch(named, weightVersion, part, m_state.weightsAsOf, now);
    };
    told.parts = m_state.parts.plan(told.salt, m_facts.parts, rules, now);
}

} // namespace burdock::gateway
