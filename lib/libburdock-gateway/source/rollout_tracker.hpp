#pragma once

#include "gateway_state.hpp"

#include <burdock/link.pb.h>
#include <burdock/rollout/order_participant.hpp>
#include <burdock/rollout/rollout_table.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdock::gateway {

/** @brief What this gateway knows of orders to move services to other software versions, and its part in them. */
class RolloutTracker
{
public:
    /** @brief A request that was sent to a replica of a service with an undecided order. */
    struct Ticket
    {
        std::string service;
        u64 order = 0;
        rollout::Side side = rollout::Side::Others;
        u64 replica = 0; ///< hash of the replica and its instance
    };

    /** @brief An order, as far as the holder of the lease needs it. */
    struct Tracked
    {
        u64 order = 0; ///< hash of the order, without its state
        StoredObject stored; ///< as last read
        rollout::OrderParticipant participant;
    };

    RolloutTracker(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state);

    /** @brief Whether requests may be sent: the orders have been listed, if there may be any. */
    [[nodiscard]] bool isReady() const;

    /** @brief Applies the complete list of orders. */
    void applyList(const std::vector<StoredObject> &objects);
    void apply(const StoredObject &object);
    void remove(const std::string &name);

    /** @brief Selects an endpoint whose software version may be used now. */
    [[nodiscard]] endpoints::Selection choose(endpoints::SelectionRequest request);

    /** @brief Records that a request is sent; nothing if the service has no undecided order. */
    [[nodiscard]] std::optional<Ticket> noteSent(const endpoints::Endpoint &endpoint);

    /**
     * @brief Records the end of a request.
     * @param isAnswer whether a replica has answered the caller's request for the first time
     */
    void noteEnd(const Ticket &ticket, const rollout::Observation &observation, bool isAnswer);

    /** @brief Judges by what was observed and told so far, and forgets what is over. */
    void update();

    /** @brief Adds what this gateway knows to a message for the other entries. */
    void addNews(schema::EntryLoad &message) const;
    void applyNews(const schema::EntryLoad &message);

    /** @brief Whether an order needs a holder of the lease. */
    [[nodiscard]] bool needsHolder() const;

    [[nodiscard]] std::vector<std::string> services() const;
    /** @brief Returns null if there is none. */
    [[nodiscard]] rollout::RolloutOrder *order(std::string_view service);
    [[nodiscard]] Tracked *tracked(std::string_view service);

private:
    [[nodiscard]] rollout::SoftwareRule ruleFor(std::string_view service);
    void noteServing(std::string_view service);
    void noteRejected(const StoredObject &object);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    rollout::RolloutTable m_table;
    std::map<std::string, Tracked, std::less<>> m_tracked; ///< by service
    std::map<std::string, u64> m_rejected; ///< revision of records that can't be read, by name
    bool m_isListed = false;
};

} // namespace burdock::gateway
