#pragma once

#include "state.hpp"

namespace burdock::gateway {

/** @brief What one prompt means to the endpoints: where it belongs, what they would have to read, and which parts move. */
class PromptPlanner
{
public:
    /** @param customer null on routes that need no key */
    PromptPlanner(State &state, const CallFacts &facts, const routing::Customer *customer);

    /** @brief Equal for prompts that share their parts. */
    [[nodiscard]] u64 home() const;

    /** @brief Weights of the prompt's model at an endpoint; zero if it did not tell them. */
    [[nodiscard]] u64 weightVersionOf(const endpoints::Endpoint &endpoint) const;

    /** @brief Prompt tokens that an endpoint would have to read, with fetched ones counted by what fetching costs. */
    [[nodiscard]] u64 prefillAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Fills in what an endpoint is told of the prompt's kept parts, and takes note of what it will have. */
    void instruct(const endpoints::Endpoint &endpoint, Instructions &told, TimePoint now);

private:
    [[nodiscard]] std::string saltFor(u64 weightVersion) const;
    void planParts(u64 weightVersion, Instructions &told, TimePoint now);

    State &m_state;
    const CallFacts &m_facts;
    const routing::Customer *m_customer;
};

} // namespace burdock::gateway
