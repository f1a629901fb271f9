#pragma once

#include "state.hpp"

#include <burdock/runtime/http/client.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Follows what one store of kept cache holds, and frees there what no weights need any more. */
class CacheFollower
{
public:
    CacheFollower(const GatewayParts &parts, const GatewaySettings &settings, State &state, std::string store);

    /** @brief Runs until the store is no longer in the configuration. */
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] cache::StoreFreshness &news();
    void noteClock(const CacheEvents &events);
    void tell(const CacheEvents &events);
    [[nodiscard]] bool isConfigured() const;
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] boost::asio::awaitable<bool> followOnce();
    void hear(const CacheEvents &events);
    [[nodiscard]] boost::asio::awaitable<bool> readAll();
    [[nodiscard]] boost::asio::awaitable<bool> readChanges();
    [[nodiscard]] boost::asio::awaitable<void> freeOutdated();
    [[nodiscard]] std::optional<TimePoint> noteKnownToAll(const std::string &model, u64 version);
    void take(const CacheEvents &events);

    const GatewayParts &m_parts;
    const GatewaySettings &m_settings;
    State &m_state;
    std::string m_store;
    runtime::http::KeptClient m_client;
    struct Known
    {
        u64 version = 0;
        std::optional<TimePoint> since;
    };
    std::map<std::string, Known, std::less<>> m_knownToAll; ///< by model
    TimePoint m_freedAt{};
};

} // namespace burdock::gateway
