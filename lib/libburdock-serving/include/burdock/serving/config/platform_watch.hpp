#pragma once

#include <burdock/platform/object_store.hpp>
#include <burdock/serving/config/config_holder.hpp>

#include <atomic>

namespace burdock::serving {

/** @brief Id of the object whose conditional update accepts a bundle. */
[[nodiscard]] platform::ObjectId currentConfigId();

/** @brief Id of the immutable object that holds a signed bundle. */
[[nodiscard]] platform::ObjectId bundleId(const std::string &digest);

/** @brief Brings accepted bundles from the platform to a ConfigHolder. */
class PlatformWatch
{
public:
    PlatformWatch(Process &process, platform::ObjectStore &store, ConfigHolder &holder);

    /** @brief Watches until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Reads once; for processes that get later versions from peers. Retries until something is in force. */
    [[nodiscard]] boost::asio::awaitable<void> readOnce();

private:
    /** @brief Offers the bundle that is named; false if it could not be read. */
    [[nodiscard]] boost::asio::awaitable<bool> take(const std::string &currentConfig);

    Process &m_process;
    platform::ObjectStore &m_store;
    ConfigHolder &m_holder;
};

/** @brief A random time around a base, so that many processes don't call the platform in step. */
[[nodiscard]] Duration jittered(Duration base, runtime::RandomSource &random);

} // namespace burdock::serving
