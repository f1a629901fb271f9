#pragma once

#include "gateway_state.hpp"

#include <burdock/weights/leader_lease.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Keeps the lease of one leader task in the platform's store. */
class LeaseKeeper
{
public:
    /** @param name name of the lease in the store and in logs */
    LeaseKeeper(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state, std::string_view name);

    [[nodiscard]] weights::LeaderLease &lease();

    /** @brief Reads the lease record. */
    [[nodiscard]] boost::asio::awaitable<void> read();

    /**
     * @brief Reads, acquires or renews the lease as far as that is due.
     * @param subjects subjects that this process will act on next
     */
    [[nodiscard]] boost::asio::awaitable<void> maintain(const std::vector<std::string> &subjects);

    /** @brief Returns whether this process holds the lease, and logs if that has changed. */
    bool noteLeadership();

private:
    [[nodiscard]] boost::asio::awaitable<void> write(const weights::LeaderLease::Write &write);
    [[nodiscard]] int rank() const;

    const GatewayDependencies &m_dependencies;
    GatewayState &m_state;
    std::string m_name;
    std::string m_vmName;
    weights::LeaderLease m_lease;
    TimePoint m_lastReadAt{};
    bool m_isLeader = false;
};

} // namespace burdock::gateway
