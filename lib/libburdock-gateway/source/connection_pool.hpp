#pragma once

#include <burdock/runtime/http/connection.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace burdock::gateway {

/** @brief Pool of idle connections to endpoints, keyed by endpoint id. Not thread-safe. */
class ConnectionPool
{
public:
    /** @brief Returns the most recently used idle connection that is still usable; null if there is none. */
    [[nodiscard]] std::unique_ptr<runtime::http::Connection> acquire(const std::string &endpoint, TimePoint now);

    /**
     * @brief Adds an idle connection.
     * @param keepAlive how long the endpoint keeps it open; zero if unknown
     */
    void release(const std::string &endpoint, std::unique_ptr<runtime::http::Connection> connection, Duration keepAlive, TimePoint now);

    /** @brief Closes the idle connections to an endpoint. */
    void discard(const std::string &endpoint);

    /** @brief Closes connections that their endpoints are about to close. */
    void closeExpired(TimePoint now);

private:
    struct IdleConnection
    {
        std::unique_ptr<runtime::http::Connection> connection;
        TimePoint expiresAt{};
    };

    std::map<std::string, std::deque<IdleConnection>, std::less<>> m_idle;
};

} // namespace burdock::gateway
