#pragma once

#include "gateway_state.hpp"

namespace burdock::gateway {

/** @brief Plans cache use for one prompt: its affinity, what each engine would have to prefill, and which parts to fetch and save. */
class PromptPlanner
{
public:
    /** @param customer null on routes that need no API key */
    /** @param target target time to the first event; zero for none */
    PromptPlanner(GatewayState &state, const RequestMetadata &requestMetadata, const routing::Customer *customer, Duration target,
                  TimePoint now);

    /** @brief Returns a hash that is equal for prompts with the same shared parts. */
    [[nodiscard]] u64 affinityHash() const;

    /** @brief Returns the version of the prompt's model at an endpoint; zero if the endpoint reports none. */
    [[nodiscard]] u64 weightVersionOf(const endpoints::Endpoint &endpoint) const;

    /** @brief Returns the prompt tokens that an endpoint would have to prefill; fetched tokens count by the cost of the fetch. */
    [[nodiscard]] u64 prefillTokensAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Returns how long the fetches of a request to an endpoint occupy the links of cache stores. */
    [[nodiscard]] Duration storeLinkTimeAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Returns the estimated number of tokens of the prompt's leading shared parts that are in an endpoint's memory. */
    [[nodiscard]] u64 residentTokensAt(const endpoints::Endpoint &endpoint) const;

    /** @brief Sets salt, weights, fetches and saves for a request to an endpoint, and records the parts that the endpoint will hold. */
    void fillOptions(const endpoints::Endpoint &endpoint, ForwardingOptions &options, TimePoint now);

    /** @brief What the delay of a prompt's first event shows about fetches from a store. */
    struct FetchObservation
    {
        std::string_view store; ///< empty if no fetch can explain the delay, so that it measures the engine
        double percent = 0; ///< current time of a fetch there, in percent of the prefill time
        bool hasBecomeSlow = false; ///< fetching there is no longer worthwhile
    };

    /**
     * @brief Records the first event after fillOptions() and updates the cost of fetches from it.
     * @param delay    from the send to the event
     * @param expected the same delay as it was expected when the endpoint was chosen
     */
    FetchObservation noteFirstEvent(Duration delay, Duration expected, TimePoint now);

private:
    /** @brief What it takes to get one part into an engine that doesn't hold it. */
    struct PartCost
    {
        u64 tokens = 0; ///< time in prefill tokens: of the fetch, or of the prefill if no fetch is worthwhile
        Duration linkTime{}; ///< time for which a store's link is occupied
    };

    /** @brief The prompt's parts under the salt of one version of the weights. */
    struct SaltedParts
    {
        std::string salt;
        std::vector<u64> hashes; ///< of all parts
        std::vector<std::string> storeZones; ///< zone of the store from which each part would be fetched; empty if from none
        std::vector<PartCost> sameZoneCosts; ///< of each part at an engine in the store's zone
        std::vector<PartCost> otherZoneCosts; ///< of each part elsewhere
    };

    [[nodiscard]] std::string saltFor(u64 weightVersion) const;
    [[nodiscard]] const SaltedParts &partsFor(u64 weightVersion) const;
    [[nodiscard]] bool isResidentAtAnyEngine(u64 part) const;
    [[nodiscard]] PartCost partCost(const cache::PromptPart &part, const cache::PartStore &store, std::string_view engineZone) const;
    [[nodiscard]] const PartCost &costAt(const SaltedParts &parts, std::size_t index, const endpoints::Endpoint &endpoint) const;
    [[nodiscard]] Duration prefillTime(u64 tokens) const;
    [[nodiscard]] bool mayFetchFrom(std::string_view store) const;
    [[nodiscard]] Duration extraFetchTime(std::string_view store, u64 tokens, TimePoint now) const;
    [[nodiscard]] Duration fetchTimeout(const endpoints::Endpoint &endpoint, TimePoint now) const;
    void noteFetchSource(const cache::PartPlan &plan, std::string_view engineZone);
    void planParts(const endpoints::Endpoint &endpoint, u64 weightVersion, ForwardingOptions &options, TimePoint now);

    GatewayState &m_state;
    const RequestMetadata &m_requestMetadata;
    const routing::Customer *m_customer;
    Duration m_target; ///< target time to the first event; zero for none
    TimePoint m_arrivedAt; ///< when the prompt arrived
    std::string m_fetchSource; ///< store from which most tokens are fetched; only valid if m_fetchedTokens isn't zero
    u64 m_fetchedTokens = 0; ///< from that store, by the latest plan
    Duration m_idleFetchTime{}; ///< expected time of that fetch at an idle link
    mutable std::map<u64, SaltedParts> m_saltedParts; ///< by version of the weights, computed on first use
};

} // namespace burdock::gateway
