#pragma once

#include <burdock/serving/process.hpp>
#include <burdock/settings.pb.h>

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace burdock::serving {

/** @brief What a daemon does: an entry or an endpoint process. */
class Role
{
public:
    virtual ~Role() = default;

    /** @brief Starts all loops. */
    virtual void start() = 0;

    /** @brief Graceful shutdown: takes nothing new and returns once nothing is left. */
    [[nodiscard]] virtual boost::asio::awaitable<void> drain() = 0;
};

/**
 * @brief The role that checked settings name.
 * @throws std::runtime_error if an address can't be bound
 */
[[nodiscard]] std::unique_ptr<Role> makeRole(Process &process, const schema::DaemonSettings &settings);

} // namespace burdock::serving
