#include <burdock/endpoints/software_history.hpp>

namespace burdock::endpoints {

void SoftwareHistory::set(std::string_view endpoint, std::string_view service, u64 software, TimePoint now)
{
    const auto known = m_registered.find(endpoint);
    if (known != m_registered.end() && known->second.service == service && known->second.software == software) {
        return;
    }
    remove(endpoint, now);
    m_registered[std::string(endpoint)] = {std::string(service), software};
    ++m_presence[std::string(service)][software].endpoints;
}

void SoftwareHistory::remove(std::string_view endpoint, TimePoint now)
{
    const auto known = m_registered.find(endpoint);
    if (known == m_registered.end()) {
        return;
    }
    auto &presence = m_presence[known->second.service][known->second.software];
    --presence.endpoints;
    presence.lastSeen = now;
    m_registered.erase(known);
}

std::optional<u64> SoftwareHistory::sole(std::string_view service, TimePoint since) const
{
    const auto found = m_presence.find(service);
    std::optional<u64> sole;
    if (found == m_presence.end()) {
        return sole;
    }
    for (const auto &[software, presence] : found->second) {
        if (presence.endpoints == 0 && presence.lastSeen < since) {
            continue;
        }
        if (sole) {
            return std::nullopt;
        }
        sole = software;
    }
    return sole;
}

} // namespace burdock::endpoints
