#pragma once

#include "state.hpp"

namespace burdock::gateway {

/** @brief What one prompt means to the endpoints: where it belongs, what they would have to read, and which parts move. */
class PromptPlanner
{
public:
    /** @param customer null on routes that need no key */
    PromptPlanner(State &state, const CallFacts &facts, const routing::Customer *customer, TimePoint now);

    /** @brief Equal for prompts that share their parts. */
    [[nodiscard]] u64 home() const;

    /** @brief Weights of the prompt's model at an endpoint; zero if it did not tell them. */
    [[nodiscard]] u64 weightVersionOf(const endpoints::Endpoint &endpoint) const;

    /** @brief Prompt tokens that an endpoint would have to read, with fetched ones counted by what fetching costs. */
    [[nodiscard]] u64 prefillAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Tokens of the prompt's shared parts that are in an endpoint's memory, as far as guessed. */
    [[nodiscard]] u64 inPlaceAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Fills in what an endpoint is told of the prompt's kept parts, and takes note of what it will have. */
    void instruct(const endpoints::Endpoint &endpoint, Instructions &told, TimePoint now);

    /** @brief What the first event of a prompt told of a store. */
    struct FetchLesson
    {
        std::string_view store; ///< empty if no fetch can explain the delay, so that it tells of the engine
        double percent = 0; ///< what fetching takes there now, in percent of reading
        bool hasTurnedSlow = false; ///< fetching there isn't worth it from now on
    };

    /**
     * @brief Takes note of the first event after instruct(), and learns from it how long fetches take.
     * @param delay    from the send to the event
     * @param expected the same, as it was expected with the prefill of the choice
     */
    FetchLesson noteFirstEvent(Duration delay, Duration expected, Duration readTimePerToken, TimePoint now);

private:
    /** @brief The prompt's shared parts under the salt of one version of the weights. */
    struct Parts
    {
        std::string salt;
        std::vector<u64> hashes; ///< of all parts
        std::vector<u64> fetchTokens; ///< tokens that fetching each shared part counts for, or reading it where it is kept nowhere
    };

    [[nodiscard]] std::string saltFor(u64 weightVersion) const;
    [[nodiscard]] const Parts &partsAt(u64 weightVersion) const;
    [[nodiscard]] bool isInMemoryOfAny(u64 part) const;
    void noteFetches(const cache::PartPlan &plan);
    void planParts(const endpoints::Endpoint &endpoint, u64 weightVersion, Instructions &told, TimePoint now);

    State &m_state;
    const CallFacts &m_facts;
    const routing::Customer *m_customer;
    TimePoint m_now; ///< when the prompt came
    std::string m_fetchedFrom; ///< the store from which most is fetched, by the latest instructions
    u64 m_fetchedTokens = 0;
    mutable std::map<u64, Parts> m_parts; ///< by version of the weights, made when first asked for
};

} // namespace burdock::gateway
