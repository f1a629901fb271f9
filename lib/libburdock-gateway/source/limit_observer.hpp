#pragma once

#include "gateway_state.hpp"

namespace burdock::gateway {

/** @brief The request whose response may name a limit. */
struct LimitSource
{
    std::string_view endpointId;
    u64 startTimeMs = 0; ///< identifies the instance of the endpoint
    TimePoint sentAt{};
};

/** @brief Records, logs and counts the limits that endpoints name in their responses. */
class LimitObserver
{
public:
    LimitObserver(const GatewayDependencies &dependencies, GatewayState &state);

    /** @brief Records what a response says about the limit of its endpoint. */
    void noteResponse(const LimitSource &source, const ResponseMetadata &metadata);

    /** @brief Applies a record of another entry. */
    void merge(const limits::NamedLimit &record, std::string_view entry);

private:
    void logUnreadable(std::string_view endpointId);
    void logChange(std::string_view endpoint, u64 endpointHash, std::string_view toldBy);

    const GatewayDependencies &m_dependencies;
    GatewayState &m_state;
    std::optional<TimePoint> m_unreadableLoggedAt;
};

} // namespace burdock::gateway
