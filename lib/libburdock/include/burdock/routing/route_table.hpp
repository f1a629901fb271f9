#pragma once

#include <burdock/routing/configuration.hpp>

#include <string_view>
#include <unordered_map>

namespace burdock::routing {

/** @brief Indexes a configuration for lookups by request. Immutable. */
class RouteTable
{
public:
    explicit RouteTable(Configuration configuration);
    RouteTable(const RouteTable &) = delete;
    RouteTable &operator=(const RouteTable &) = delete;

    /** @brief The route of this host with the longest matching path prefix, or null. Ignores the host's case and port. */
    [[nodiscard]] const Route *find(std::string_view host, std::string_view path) const;

    /** @brief The customer with this API key, or null. */
    [[nodiscard]] const Customer *customerOf(std::string_view key) const;

    /** @brief The service with this name, or null. */
    [[nodiscard]] const Service *service(std::string_view name) const;
    [[nodiscard]] const Configuration &configuration() const;

private:
    Configuration m_configuration;
    std::unordered_map<std::string, std::vector<const Route *>> m_routesByHost; ///< longest prefix first
    std::unordered_map<std::string, const Customer *> m_customersByKey;
    std::unordered_map<std::string, const Service *> m_services;
};

/**
 * @brief Chooses the service for a request in proportion to the weights of the route's destinations.
 * @param selector equal selectors choose the same service as long as the weights do not change
 * @return null if the route has no destination of positive weight
 */
[[nodiscard]] const std::string *chooseDestination(const Route &route, u64 selector);

} // namespace burdock::routing
