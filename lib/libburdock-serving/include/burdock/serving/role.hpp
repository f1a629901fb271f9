#pragma once

#include <burdock/serving/process.hpp>
#include <burdock/settings.pb.h>

#include <boost/asio/awaitable.hpp>
#include <memory>

namespace burdock::serving {

/** @brief The role that a daemon runs in: entry or endpoint process. */
class Role
{
public:
    virtual ~Role() = default;

    /** @brief Starts all background loops. */
    virtual void start() = 0;

    /** @brief Shuts down gracefully: refuses new work and returns once all work under way has ended. */
    [[nodiscard]] virtual boost::asio::awaitable<void> drain() = 0;
};

/**
 * @brief Creates the role that the settings name. The settings must have been validated.
 * @throws std::runtime_error if a listen address can't be bound
 */
[[nodiscard]] std::unique_ptr<Role> makeRole(Process &process, const schema::DaemonSettings &settings);

} // namespace burdock::serving
