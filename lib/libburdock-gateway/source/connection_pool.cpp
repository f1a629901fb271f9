#include "connection_pool.hpp"

#include <algorithm>

namespace burdock::gateway {

namespace {

/** Lifetime of idle connections to an endpoint that doesn't announce a keep-alive timeout. */
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
/** Connections are closed this much before the endpoint's timeout, so that no request races with the endpoint's close. */
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(800);

} // namespace

ConnectionDeleter::ConnectionDeleter(std::shared_ptr<u32> openCount)
    : m_openCount(std::move(openCount))
{
}

void ConnectionDeleter::operator()(runtime::http::Connection *connection) const
{
    delete connection;
    --*m_openCount;
}

ConnectionPool::ConnectionPool(u32 limit)
    : m_limit(limit)
{
}

bool ConnectionPool::isFull() const
{
    return m_limit > 0 && *m_openCount >= m_limit;
}

bool ConnectionPool::hasRoom() const
{
    return !isFull() || !m_idle.empty();
}

PooledConnection ConnectionPool::acquire(const std::string &endpoint, TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    PooledConnection usable;
    while (found != m_idle.end() && !found->second.empty() && !usable) {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (now < idle.expiresAt && idle.connection->isIdle()) {
            usable = std::move(idle.connection);
        }
    }
    if (found != m_idle.end() && found->second.empty()) {
        m_idle.erase(found);
    }
    return usable;
}

PooledConnection ConnectionPool::create(const boost::asio::any_io_executor &executor, const runtime::http::Address &address)
{
    if (isFull()) {
        closeOldestIdle();
    }
    ++*m_openCount;
    return {new runtime::http::Connection(executor, address, runtime::http::Reuse::KeepAlive), ConnectionDeleter(m_openCount)};
}

void ConnectionPool::release(const std::string &endpoint, PooledConnection connection, Duration keepAlive, TimePoint now)
{
    const auto lifetime = keepAlive > Duration::zero() ? keepAlive : DefaultKeepAlive;
    if (lifetime > KeepAliveMargin) {
        m_idle[endpoint].push_back(IdleConnection{std::move(connection), now + lifetime - KeepAliveMargin});
    }
}

void ConnectionPool::discard(const std::string &endpoint)
{
    m_idle.erase(endpoint);
}

void ConnectionPool::closeExpired(TimePoint now)
{
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const IdleConnection &entry) { return now >= entry.expiresAt; });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

void ConnectionPool::closeOldestIdle()
{
    const auto oldest = std::min_element(m_idle.begin(), m_idle.end(), [](const auto &left, const auto &right) {
        return left.second.front().expiresAt < right.second.front().expiresAt;
    });
    if (oldest == m_idle.end()) {
        return;
    }
    oldest->second.pop_front();
    if (oldest->second.empty()) {
        m_idle.erase(oldest);
    }
}

} // namespace burdock::gateway
