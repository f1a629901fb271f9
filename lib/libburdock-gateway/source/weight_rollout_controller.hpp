#pragma once

#include "lease_keeper.hpp"
#include "permit_exchange.hpp"

#include <burdock/runtime/http/client.hpp>
#include <burdock/weights/weight_rollout.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Orders replicas to load newly announced weights while this process holds the leader lease. */
class WeightRolloutController
{
public:
    WeightRolloutController(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                            LimitObserver &limits, PermitExchange &permits);

    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    /** @brief An order to be sent now. */
    struct DueOrder
    {
        std::string endpoint;
        std::string model;
        u64 version = 0;
    };

    [[nodiscard]] std::vector<weights::ReplicaWeights> replicasOf(std::string_view model) const;
    [[nodiscard]] boost::asio::awaitable<void> loadAnnouncementTimes();
    [[nodiscard]] bool hasOutdatedReplicas() const;
    [[nodiscard]] static std::vector<std::string> subjectsOf(const std::vector<DueOrder> &orders);
    [[nodiscard]] std::vector<DueOrder> dueOrders();
    void sendOrders(const std::vector<DueOrder> &orders);
    void pollOrderedReplicas();
    void updateLoading();
    [[nodiscard]] boost::asio::awaitable<void> sendOrder(std::string id, std::string address, std::string model, u64 version);
    [[nodiscard]] boost::asio::awaitable<runtime::http::Exchange> callEngine(std::string id, std::string address,
                                                                             runtime::http::Request request);
    [[nodiscard]] boost::asio::awaitable<std::optional<EngineStatus>> readStatus(const std::string &id, const std::string &address);
    [[nodiscard]] boost::asio::awaitable<void> pollReplica(std::string id, std::string model);

    const GatewayDependencies &m_dependencies;
    GatewayState &m_state;
    LimitObserver &m_limits;
    PermitExchange &m_permits;
    LeaseKeeper m_keeper;
    std::map<std::string, weights::WeightRollout, std::less<>> m_rollouts;
    TimePoint m_lastPolledAt{};
    bool m_isLeader = false;
    std::string m_vmName;
};

} // namespace burdock::gateway
