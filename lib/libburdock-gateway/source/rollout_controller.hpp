#pragma once

#include "lease_keeper.hpp"
#include "object_watcher.hpp"
#include "rollout_tracker.hpp"

namespace burdock::gateway {

/** @brief Follows the orders to move services to other software versions, and decides them while this process holds the lease. */
class RolloutController
{
public:
    RolloutController(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                      RolloutTracker &tracker, ReadingExchange &reading);

    /** @brief Follows the orders in the platform's store until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> follow();

    /** @brief Judges and decides until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> decide();

    /** @brief Keeps the lease and writes decisions to the platform's store until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> write();

private:
    [[nodiscard]] ObjectHandlers handlers();
    void decide(const std::string &service);
    [[nodiscard]] boost::asio::awaitable<void> writeDue(std::string service);
    [[nodiscard]] boost::asio::awaitable<void> readOrders();

    const GatewayDependencies &m_dependencies;
    GatewayState &m_state;
    RolloutTracker &m_tracker;
    LeaseKeeper m_keeper;
    ObjectWatcher m_watcher;
};

} // namespace burdock::gateway
