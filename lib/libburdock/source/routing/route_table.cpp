#include <burdock/routing/route_table.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <numeric>

namespace burdock::routing {

namespace {

constexpr std::array<std::string_view, 3> KindNames{"idempotent", "once_only", "stream"};

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

} // namespace

std::string_view toString(CallKind kind)
{
    return KindNames.at(static_cast<std::size_t>(kind));
}

RouteTable::RouteTable(Configuration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &route : m_configuration.routes) {
        m_routesByHost[lowerCase(route.host)].push_back(&route);
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const Route *left, const Route *right) { return left->prefix.size() > right->prefix.size(); });
    }
    for (const auto &customer : m_configuration.customers) {
        for (const auto &key : customer.keys) {
            m_customersByKey.emplace(key, &customer);
        }
    }
    for (const auto &service : m_configuration.services) {
        m_services.emplace(service.name, &service);
    }
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_routesByHost.find(lowerCase(withoutPort(host)));
    if (routes == m_routesByHost.end()) {
        return nullptr;
    }
    for (const auto *route : routes->second) {
        if (path.substr(0, route->prefix.size()) == route->prefix) {
            return route;
        }
    }
    return nullptr;
}

const Customer *RouteTable::customerOf(std::string_view key) const
{
    const auto found = m_customersByKey.find(std::string(key));
    return found == m_customersByKey.end() ? nullptr : found->second;
}

const Service *RouteTable::service(std::string_view name) const
{
    const auto found = m_services.find(std::string(name));
    return found == m_services.end() ? nullptr : found->second;
}

const Configuration &RouteTable::configuration() const
{
    return m_configuration;
}

const std::string *chooseDestination(const Route &route, u64 selector)
{
    const u64 total = std::accumulate(route.destinations.begin(), route.destinations.end(), u64{0},
                                      [](u64 sum, const Destination &destination) { return sum + destination.weight; });
    if (total == 0) {
        return nullptr;
    }
    u64 position = selector % total;
    for (const auto &destination : route.destinations) {
        if (position < destination.weight) {
            return &destination.service;
        }
        position -= destination.weight;
    }
    return nullptr;
}

} // namespace burdock::routing
