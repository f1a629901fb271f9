#pragma once

#include <burdock/routing/configuration.hpp>

#include <string_view>
#include <unordered_map>

namespace burdock::routing {

/**
 * @brief One configuration, indexed for look-ups by request. Immutable.
 */
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /** @brief The route of this host with the longest prefix of the path, or null. */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /** @brief The customer that holds an API key, or null. */
    [[nodiscard]] const Customer *customerOf(std::string_view key) const;

    [[nodiscard]] const Service *service(std::string_view name) const;
    [[nodiscard]] const Configuration &configuration() const;

private:
    Configuration m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost; ///< longest prefix first
    std::unordered_map<std::string, const Customer *> m_customersByKey;
    std::unordered_map<std::string, const Service *> m_services;
};

/**
 * @brief The service that answers a request, by the weights of the route's destinations.
 * @param selector same selector, same service while the weights stay
 * @return null if the route has no destination of positive weight
 */
[[nodiscard]] const std::string *chooseDestination(const Route &route, u64 selector);

} // namespace burdock::routing
