#include <burdock/endpoints/software_history.hpp>

#include <algorithm>

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

void SoftwareHistory::noteSeen(std::string_view service, u64 software, TimePoint now)
{
    auto &presence = m_presence[std::string(service)][software];
    presence.lastSeen = std::max(presence.lastSeen, now);
}

std::set<u64> SoftwareHistory::registered(std::string_view service) const
{
    return softwareSince(service, TimePoint::max());
}

std::set<u64> SoftwareHistory::softwareSince(std::string_view service, TimePoint since) const
{
    std::set<u64> found;
    const auto known = m_presence.find(service);
    if (known == m_presence.end()) {
        return found;
    }
    for (const auto &[software, presence] : known->second) {
        if (presence.endpoints > 0 || presence.lastSeen >= since) {
            found.insert(software);
        }
    }
    return found;
}

std::optional<u64> SoftwareHistory::sole(std::string_view service, TimePoint since) const
{
    const auto software = softwareSince(service, since);
    return software.size() == 1 ? std::optional(*software.begin()) : std::nullopt;
}

} // namespace burdock::endpoints
