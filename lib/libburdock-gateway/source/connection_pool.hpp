#pragma once

#include <burdock/runtime/http/connection.hpp>

#include <deque>
#include <map>
#include <memory>
#include <string>

namespace burdock::gateway {

/** @brief Deletes a connection, which then no longer counts as open. */
class ConnectionDeleter
{
public:
    ConnectionDeleter() = default;
    explicit ConnectionDeleter(std::shared_ptr<u32> openCount);

    void operator()(runtime::http::Connection *connection) const;

private:
    std::shared_ptr<u32> m_openCount; // requests may outlive the pool
};

using PooledConnection = std::unique_ptr<runtime::http::Connection, ConnectionDeleter>;

/** @brief Connections to endpoints: bounds their number, and keeps idle ones by endpoint id. Not thread-safe. */
class ConnectionPool
{
public:
    /** @param limit most connections at a time, idle ones included; zero for no limit */
    explicit ConnectionPool(u32 limit);

    /** @brief Whether a further request can have a connection. */
    [[nodiscard]] bool hasRoom() const;

    /** @brief Returns the most recently used idle connection that is still usable; null if there is none. */
    [[nodiscard]] PooledConnection acquire(const std::string &endpoint, TimePoint now);

    /** @brief Returns a new connection that isn't connected, for which an idle one is closed if need be. Requires hasRoom(). */
    [[nodiscard]] PooledConnection create(const boost::asio::any_io_executor &executor, const runtime::http::Address &address);

    /**
     * @brief Adds an idle connection.
     * @param keepAlive how long the endpoint keeps it open; zero if unknown
     */
    void release(const std::string &endpoint, PooledConnection connection, Duration keepAlive, TimePoint now);

    /** @brief Closes the idle connections to an endpoint. */
    void discard(const std::string &endpoint);

    /** @brief Closes connections that their endpoints are about to close. */
    void closeExpired(TimePoint now);

private:
    struct IdleConnection
    {
        PooledConnection connection;
        TimePoint expiresAt{};
    };

    [[nodiscard]] bool isFull() const;
    void closeOldestIdle();

    u32 m_limit;
    std::shared_ptr<u32> m_openCount = std::make_shared<u32>(0);
    std::map<std::string, std::deque<IdleConnection>, std::less<>> m_idle; ///< without empty queues
};

} // namespace burdock::gateway
