#pragma once

#include "gateway_state.hpp"

#include <burdock/weights/kept_promise.hpp>

#include <burdock/runtime/http/client.hpp>

#include <boost/asio/awaitable.hpp>

namespace burdock::gateway {

/** @brief Tracks the contents of one cache store and frees the parts there that belong to superseded weights. */
class CacheFollower
{
public:
    CacheFollower(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state, std::string store);

    /** @brief Runs until the store is removed from the configuration. */
    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] cache::StoreFreshness &freshness();
    [[nodiscard]] runtime::http::BodyLimit answerLimit();
    void noteClock(const CacheEvents &events);
    void queueForPeers(const CacheEvents &events);
    [[nodiscard]] bool isConfigured() const;
    [[nodiscard]] std::size_t rank() const;
    [[nodiscard]] boost::asio::awaitable<bool> followOnce();
    void applyPeerEvents(const CacheEvents &events);
    [[nodiscard]] boost::asio::awaitable<bool> readList();
    [[nodiscard]] boost::asio::awaitable<bool> readChanges();
    [[nodiscard]] boost::asio::awaitable<void> freeSupersededParts();
    [[nodiscard]] std::optional<TimePoint> noteKnownToAll(const std::string &model, u64 version);
    void notePromisedByAll(const std::string &model);
    [[nodiscard]] bool mayFreeUnused(const std::string &model, u64 version) const;
    void applyEvents(const CacheEvents &events);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    std::string m_store;
    runtime::http::KeepAliveClient m_client;
    /** @brief A version of a model's weights, and since when all entries report that they know it. */
    struct KnownVersion
    {
        u64 version = 0;
        std::optional<TimePoint> since;
    };
    std::map<std::string, KnownVersion, std::less<>> m_knownToAll; ///< by model
    std::map<std::string, weights::KeptPromise, std::less<>> m_promisedByAll; ///< by model
    TimePoint m_lastFreeAt{};
};

} // namespace burdock::gateway
