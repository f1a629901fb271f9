#pragma once

#include "gateway_state.hpp"

namespace burdock::gateway {

/** @brief What one prompt means to the endpoints: where it belongs, what they would have to read, and which parts move. */
class PromptPlanner
{
public:
    /** @param customer null on routes that need no key */
    PromptPlanner(GatewayState &state, const RequestMetadata &requestMetadata, const routing::Customer *customer, TimePoint now);

    /** @brief Equal for prompts that share their parts. */
    [[nodiscard]] u64 affinityHash() const;

    /** @brief Weights of the prompt's model at an endpoint; zero if it did not tell them. */
    [[nodiscard]] u64 weightVersionOf(const endpoints::Endpoint &endpoint) const;

    /** @brief Prompt tokens that an endpoint would have to read, with fetched ones counted by what fetching costs. */
    [[nodiscard]] u64 prefillTokensAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Tokens of the prompt's sharedTokens parts that are in an endpoint's memory, as far as guessed. */
    [[nodiscard]] u64 residentTokensAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Fills in what an endpoint is options of the prompt's kept parts, and takes note of what it will have. */
    void fillOptions(const endpoints::Endpoint &endpoint, ForwardingOptions &options, TimePoint now);

    /** @brief What the first event of a prompt options of a store. */
    struct FetchObservation
    {
        std::string_view store; ///< empty if no fetch can explain the delay, so that it tells of the engine
        double percent = 0; ///< what fetching takes there now, in percent of reading
        bool hasBecomeSlow = false; ///< fetching there isn't worth it from now on
    };

    /**
     * @brief Takes note of the first event after instruct(), and learns from it how long fetches take.
     * @param delay    from the send to the event
     * @param expected the same, as it was expected with the prefill of the choice
     */
    FetchObservation noteFirstEvent(Duration delay, Duration expected, Duration prefillTimePerToken, TimePoint now);

private:
    /** @brief The prompt's sharedTokens parts under the salt of one version of the weights. */
    struct SaltedParts
    {
        std::string salt;
        std::vector<u64> hashes; ///< of all parts
        std::vector<u64> fetchTokens; ///< tokens that fetching each sharedTokens part counts for, or reading it where it is kept nowhere
    };

    [[nodiscard]] std::string saltFor(u64 weightVersion) const;
    [[nodiscard]] const SaltedParts &partsFor(u64 weightVersion) const;
    [[nodiscard]] bool isResidentAtAnyEngine(u64 part) const;
    void noteFetchSource(const cache::PartPlan &plan);
    void planParts(const endpoints::Endpoint &endpoint, u64 weightVersion, ForwardingOptions &options, TimePoint now);

    GatewayState &m_state;
    const RequestMetadata &m_requestMetadata;
    const routing::Customer *m_customer;
    TimePoint m_arrivedAt; ///< when the prompt came
    std::string m_fetchSource; ///< the store from which most is fetched, by the latest instructions
    u64 m_fetchedTokens = 0;
    mutable std::map<u64, SaltedParts> m_saltedParts; ///< by version of the weights, made when first asked for
};

} // namespace burdock::gateway
