#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/serving/config/config_holder.hpp>
#include <burdock/serving/config/config_reader.hpp>

#include <functional>

namespace burdock::serving {

/** @brief Brings accepted configuration from the platform to a ConfigHolder. */
class PlatformWatch
{
public:
    PlatformWatch(Process &process, clients::ObjectStore &store, ConfigHolder &holder);

    /**
     * @brief Watches until the process stops, or looks now and then while others watch.
     * @param watches whether this process is one that watches; asked again and again
     */
    [[nodiscard]] boost::asio::awaitable<void> run(std::function<bool()> watches);

    /** @brief Reads once; for processes that get later versions from peers. Retries until something is in force. */
    [[nodiscard]] boost::asio::awaitable<void> readOnce();

    /** @brief Puts a later whole bundle under the changes that are kept, whenever they have become many. Until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> rebaseLoop();

private:
    /** @brief Offers what is accepted; false if it could not be read. */
    [[nodiscard]] boost::asio::awaitable<bool> take(const std::string &currentConfig);

    Process &m_process;
    clients::ObjectStore &m_store;
    ConfigReader m_reader;
    ConfigHolder &m_holder;
};

/** @brief A random time around a base, so that many processes don't call the platform in step. */
[[nodiscard]] Duration jittered(Duration base, runtime::RandomSource &random);

} // namespace burdock::serving
