#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/serving/config/config_holder.hpp>
#include <burdock/serving/config/config_reader.hpp>

#include <functional>

namespace burdock::serving {

/** @brief Reads the accepted configuration from the platform and passes it to a ConfigHolder. */
class ConfigWatcher
{
public:
    ConfigWatcher(Process &process, clients::ObjectStore &store, ConfigHolder &holder);

    /**
     * @brief Keeps the holder up to date until the process stops, by long polling or, while other processes do that, by occasional reads.
     * @param isWatcher whether this process uses long polling; evaluated before each read
     */
    [[nodiscard]] boost::asio::awaitable<void> run(std::function<bool()> isWatcher);

    /** @brief Reads until a first configuration is in force; for processes that receive later versions from peers. */
    [[nodiscard]] boost::asio::awaitable<void> loadInitial();

    /** @brief Replaces the whole bundle by a later one whenever too many changes are kept. Runs until the process stops. */
    [[nodiscard]] boost::asio::awaitable<void> rebaseLoop();

private:
    /** @brief Reads and applies the accepted configuration; false if it has to be read again because it was unreadable or left a gap. */
    [[nodiscard]] boost::asio::awaitable<bool> applyAccepted(const std::string &currentConfig);

    Process &m_process;
    clients::ObjectStore &m_store;
    ConfigReader m_reader;
    ConfigHolder &m_holder;
};

/** @brief A random duration between 50 % and 150 % of the base, so that processes don't call the platform in lockstep. */
[[nodiscard]] Duration jittered(Duration base, runtime::RandomSource &random);

} // namespace burdock::serving
