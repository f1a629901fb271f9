#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace burdock::endpoints {

/** @brief Which software the endpoints of each service have and had. Not thread-safe. */
class SoftwareHistory
{
public:
    /** @brief Records the software of a registered endpoint. */
    void set(std::string_view endpoint, std::string_view service, u64 software, TimePoint now);

    /** @brief Records that an endpoint is no longer registered. */
    void remove(std::string_view endpoint, TimePoint now);

    /** @brief Records software that an endpoint had at a time at which it wasn't followed. */
    void noteSeen(std::string_view service, u64 software, TimePoint now);

    /** @brief The software of the endpoints of a service that are registered. */
    [[nodiscard]] std::set<u64> registered(std::string_view service) const;

    /** @brief The software that endpoints of a service have, or had since that time. */
    [[nodiscard]] std::set<u64> softwareSince(std::string_view service, TimePoint since) const;

    /** @brief The software of all endpoints of a service since that time; nothing if there was none, or more than one. */
    [[nodiscard]] std::optional<u64> sole(std::string_view service, TimePoint since) const;

private:
    struct Presence
    {
        u32 endpoints = 0;
        TimePoint lastSeen{}; ///< when its last endpoint was removed
    };

    struct Registered
    {
        std::string service;
        u64 software = 0;
    };

    std::map<std::string, Registered, std::less<>> m_registered; ///< by endpoint
    std::map<std::string, std::map<u64, Presence>, std::less<>> m_presence; ///< by service and software
};

} // namespace burdock::endpoints
