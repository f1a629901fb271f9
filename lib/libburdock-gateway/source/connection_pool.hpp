#pragma once

#include <burdock/runtime/http/connection.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace burdock::gateway {

/** @brief Idle connections to endpoints, by the endpoint's id. Not thread-safe. */
class ConnectionPool
{
public:
    /** @brief A connection that still looks sound, the one used last; null if there is none. */
    [[nodiscard]] std::unique_ptr<runtime::http::Connection> take(const std::string &endpoint, TimePoint now);

    /** @param keepAlive how long the endpoint keeps it */
    void put(const std::string &endpoint, std::unique_ptr<runtime::http::Connection> connection, Duration keepAlive, TimePoint now);

    /** @brief Closes the idle connections to an endpoint. */
    void drop(const std::string &endpoint);

    /** @brief Closes what the endpoints are about to close. */
    void sweep(TimePoint now);

private:
    struct Idle
    {
        std::unique_ptr<runtime::http::Connection> connection;
        TimePoint until{};
    };

    std::map<std::string, std::deque<Idle>, std::less<>> m_idle;
};

} // namespace burdock::gateway
