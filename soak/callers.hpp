#pragma once

#include "guarantee_checker.hpp"

#include <burdock/runtime/http/connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <pcg_random.hpp>

namespace soak {

/** @brief Address and process incarnation of a gateway, as callers use them. */
struct GatewayTarget
{
    std::string address;
    std::atomic<u32> incarnation{0};
    std::atomic<TimePoint> startedAt{TimePoint()}; ///< just before the process started
};

/** @brief API keys that callers use while they are being rotated. Thread-safe. */
class KeyRing
{
public:
    explicit KeyRing(std::string permanentKey);

    /** @brief Returns the permanent key for an even choice, otherwise one of the latest rotating keys, which may be revoked. */
    [[nodiscard]] std::string pickKey(u32 choice) const;
    void addRotating(std::string key);

private:
    mutable std::mutex m_mutex;
    std::string m_permanentKey;
    std::vector<std::string> m_rotatingKeys; ///< newest last
};

/** @brief Sends calls of all kinds sequentially, on a persistent connection while the gateway keeps it open. */
class Caller
{
public:
    Caller(u32 number, u64 seed, GuaranteeChecker &checker, const KeyRing &keys, std::vector<std::unique_ptr<GatewayTarget>> &gateways,
           const std::atomic<bool> &isOver);

    /** @brief Sends calls until the run is over. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Sends one call to a gateway and waits for its outcome; status 0 if the connection fails. */
    [[nodiscard]] boost::asio::awaitable<CallOutcome> call(u32 gateway, CallKind kind, const std::string &key);

private:
    /** @brief Events of a stream that broke off, which a call continues. */
    struct StreamStart
    {
        std::string attempt; ///< that began the stream
        std::string events; ///< complete ones
        u32 lastEvent = 0;
    };

    [[nodiscard]] boost::asio::awaitable<CallOutcome> call(u32 gateway, CallKind kind, const std::string &key, const StreamStart &start);
    [[nodiscard]] boost::asio::awaitable<CallOutcome> sendRequest(const runtime::http::Request &request);
    [[nodiscard]] boost::asio::awaitable<void> readBody(CallOutcome &outcome);
    [[nodiscard]] CallKind nextKind();
    [[nodiscard]] u32 randomBelow(u32 limit);

    u32 m_number;
    pcg32 m_random;
    GuaranteeChecker &m_checker;
    const KeyRing &m_keys;
    std::vector<std::unique_ptr<GatewayTarget>> &m_gateways;
    const std::atomic<bool> &m_isOver;
    u32 m_callCount = 0;
    u32 m_currentGateway = 0; ///< of the open connection
    std::unique_ptr<runtime::http::Connection> m_connection;
};

} // namespace soak
