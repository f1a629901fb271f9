#pragma once

#include "state.hpp"

#include <burdock/weights/leader_lease.hpp>
#include <burdock/weights/weight_rollout.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Brings replicas to newly named weights, while this process holds the duty's lease. */
class WeightDuty
{
public:
    WeightDuty(const GatewayParts &parts, const GatewaySettings &settings, State &state);

    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    /** @brief An order that it is time for. */
    struct DueOrder
    {
        std::string endpoint;
        std::string model;
        u64 version = 0;
    };

    [[nodiscard]] std::vector<weights::ReplicaWeights> replicasOf(std::string_view model) const;
    [[nodiscard]] boost::asio::awaitable<void> learnNamingTimes();
    [[nodiscard]] bool isWanted() const;
    [[nodiscard]] boost::asio::awaitable<void> keepLease(const std::vector<DueOrder> &due);
    [[nodiscard]] boost::asio::awaitable<void> readLease();
    [[nodiscard]] boost::asio::awaitable<void> writeLease(const weights::LeaderLease::Write &write);
    [[nodiscard]] std::vector<DueOrder> dueOrders();
    void giveOrders(const std::vector<DueOrder> &due);
    void lookAtOrdered();
    void markLoading();
    [[nodiscard]] int rank() const;
    [[nodiscard]] boost::asio::awaitable<void> order(std::string id, std::string address, std::string model, u64 version);
    [[nodiscard]] boost::asio::awaitable<std::optional<EngineReport>> report(const std::string &id, const std::string &address);
    [[nodiscard]] boost::asio::awaitable<void> look(std::string id, std::string model);
    void noteHolding();

    const GatewayParts &m_parts;
    State &m_state;
    weights::LeaderLease m_lease;
    std::map<std::string, weights::WeightRollout, std::less<>> m_rollouts;
    TimePoint m_leaseReadAt{};
    TimePoint m_lookedAt{};
    bool m_isHolding = false;
    std::string m_holder;
};

} // namespace burdock::gateway
