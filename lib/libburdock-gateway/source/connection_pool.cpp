#include "connection_pool.hpp"

#include <algorithm>

namespace burdock::gateway {

namespace {

/** Lifetime of idle connections to an endpoint that doesn't announce a keep-alive timeout. */
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
/** Connections are closed this much before the endpoint's timeout, so that no request races with the endpoint's close. */
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(800);

} // namespace

std::unique_ptr<runtime::http::Connection> ConnectionPool::acquire(const std::string &endpoint, TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        IdleConnection idle = std::move(found->second.back());
        found->second.pop_back();
        if (now < idle.expiresAt && idle.connection->isIdle()) {
            return std::move(idle.connection);
        }
    }
    return nullptr;
}

void ConnectionPool::release(const std::string &endpoint, std::unique_ptr<runtime::http::Connection> connection, Duration keepAlive,
                             TimePoint now)
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

} // namespace burdock::gateway
