#pragma once

#include "gateway_state.hpp"
#include "limit_observer.hpp"

namespace burdock::gateway {

/** @brief Records, logs and counts which endpoints say in their responses that they want to rest, or that they leave. */
class NoticeObserver
{
public:
    NoticeObserver(const GatewayDependencies &dependencies, GatewayState &state);

    /** @brief Records what a response says about further requests to its endpoint. */
    void noteResponse(const LimitSource &source, const ResponseMetadata &metadata);

private:
    void log(const LimitSource &source, const endpoints::Notice &notice, bool wasLeaving);
    void logUnreadable(std::string_view endpointId);

    const GatewayDependencies &m_dependencies;
    GatewayState &m_state;
    std::optional<TimePoint> m_unreadableLoggedAt;
};

} // namespace burdock::gateway
