#include "connection_pool.hpp"

#include <algorithm>

namespace burdock::gateway {

namespace {

/** Idle time of connections to an endpoint that doesn't say how long it keeps them. */
constexpr Duration DefaultKeepAlive = std::chrono::seconds(4);
/** How much earlier than the endpoint a connection is given up, so that no request crosses its close. */
constexpr Duration KeepAliveMargin = std::chrono::milliseconds(800);

} // namespace

std::unique_ptr<runtime::http::Connection> ConnectionPool::take(const std::string &endpoint, TimePoint now)
{
    const auto found = m_idle.find(endpoint);
    while (found != m_idle.end() && !found->second.empty()) {
        Idle idle = std::move(found->second.back());
        found->second.pop_back();
        if (now < idle.until && idle.connection->isQuiet()) {
            return std::move(idle.connection);
        }
    }
    return nullptr;
}

void ConnectionPool::put(const std::string &endpoint, std::unique_ptr<runtime::http::Connection> connection, Duration keepAlive,
                         TimePoint now)
{
    const auto kept = keepAlive > Duration::zero() ? keepAlive : DefaultKeepAlive;
    if (kept > KeepAliveMargin) {
        m_idle[endpoint].push_back(Idle{std::move(connection), now + kept - KeepAliveMargin});
    }
}

void ConnectionPool::drop(const std::string &endpoint)
{
    m_idle.erase(endpoint);
}

void ConnectionPool::sweep(TimePoint now)
{
    for (auto &[endpoint, idle] : m_idle) {
        std::erase_if(idle, [now](const Idle &entry) { return now >= entry.until; });
    }
    std::erase_if(m_idle, [](const auto &entry) { return entry.second.empty(); });
}

} // namespace burdock::gateway
