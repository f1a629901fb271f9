#pragma once

#include "guarantee_checker.hpp"

#include <burdock/runtime/http/connection.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <pcg_random.hpp>

namespace soak {

/** @brief Where callers find a gateway now. */
struct GatewayFace
{
    std::string address;
    std::atomic<u32> incarnation{0};
    std::atomic<TimePoint> startedAt{TimePoint()}; ///< just before the process
};

/** @brief The keys that callers use, which operators change meanwhile. Thread-safe. */
class KeyRing
{
public:
    explicit KeyRing(std::string lasting);

    /** @brief The key that always holds, for an even word; else one of those that came last, taken away or not. */
    [[nodiscard]] std::string pick(u32 word) const;
    void addChanging(std::string key);

private:
    mutable std::mutex m_mutex;
    std::string m_lasting;
    std::vector<std::string> m_changing; ///< newest last
};

/** @brief One caller: sends calls of all kinds, one after the other, on its open connection for as long as the gateway keeps it. */
class Caller
{
public:
    Caller(u32 number, u64 seed, Ledger &ledger, const KeyRing &keys, std::vector<std::unique_ptr<GatewayFace>> &gateways,
           const std::atomic<bool> &isOver);

    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Sends one call to a gateway and waits for its end. */
    [[nodiscard]] boost::asio::awaitable<EndedCall> call(u32 gateway, CallKind kind, const std::string &key);

private:
    [[nodiscard]] boost::asio::awaitable<EndedCall> exchange(const runtime::http::Request &request);
    [[nodiscard]] boost::asio::awaitable<void> readBody(EndedCall &end);
    [[nodiscard]] u32 random(u32 below);

    u32 m_number;
    pcg32 m_random;
    Ledger &m_ledger;
    const KeyRing &m_keys;
    std::vector<std::unique_ptr<GatewayFace>> &m_gateways;
    const std::atomic<bool> &m_isOver;
    u32 m_calls = 0;
    u32 m_gateway = 0; ///< of the open connection
    std::unique_ptr<runtime::http::Connection> m_connection;
};

} // namespace soak
