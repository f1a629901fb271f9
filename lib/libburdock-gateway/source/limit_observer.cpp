#include "limit_observer.hpp"

#include <burdock/hash/digest.hpp>

namespace burdock::gateway {

namespace {

using runtime::LogLevel;

/** Minimum time between two warnings about limits that can't be read, as an endpoint may name one in each response. */
constexpr Duration UnreadableLogInterval = std::chrono::seconds(10);

} // namespace

LimitObserver::LimitObserver(const GatewayDependencies &dependencies, GatewayState &state)
    : m_dependencies(dependencies)
    , m_state(state)
{
}

void LimitObserver::noteResponse(const LimitSource &source, const ResponseMetadata &metadata)
{
    if (metadata.hasUnreadableLimit) {
        logUnreadable(source.endpointId);
        return;
    }
    // A response that declines the request as meant for another endpoint may come from that one.
    if (metadata.isWrongEndpoint && !metadata.requestsPerSecond) {
        return;
    }
    const u64 endpoint = hash::hash64(source.endpointId);
    const auto now = m_dependencies.clock.now();
    auto &limits = m_state.endpoints.permits().limits();
    if (limits.noteResponse(endpoint, source.startTimeMs, metadata.requestsPerSecond, source.sentAt, now)) {
        logChange(source.endpointId, endpoint, {});
    }
}

void LimitObserver::merge(const limits::NamedLimit &record, std::string_view entry)
{
    if (!m_state.endpoints.permits().limits().merge(record, m_dependencies.clock.now())) {
        return;
    }
    const auto *endpoint = m_state.endpoints.findByHash(record.endpoint);
    logChange(endpoint == nullptr ? std::string_view() : endpoint->registration.id, record.endpoint, entry);
}

void LimitObserver::logUnreadable(std::string_view endpointId)
{
    m_dependencies.metrics.count("burdock_limits_unreadable_total");
    const auto now = m_dependencies.clock.now();
    if (m_unreadableLoggedAt && now - *m_unreadableLoggedAt < UnreadableLogInterval) {
        return;
    }
    m_unreadableLoggedAt = now;
    m_dependencies.logger.event(LogLevel::Warning, "endpoint_limit_unreadable", {{"endpoint", endpointId}});
}

void LimitObserver::logChange(std::string_view endpoint, u64 endpointHash, std::string_view toldBy)
{
    const auto *record = m_state.endpoints.permits().limits().find(endpointHash);
    if (record == nullptr || !record->perSecond) {
        m_dependencies.logger.event(LogLevel::Info, "endpoint_limit_lifted", {{"endpoint", endpoint}, {"told_by", toldBy}});
        return;
    }
    m_dependencies.logger.event(LogLevel::Warning, "endpoint_limited",
                                {{"endpoint", endpoint}, {"per_second", *record->perSecond}, {"told_by", toldBy}});
}

} // namespace burdock::gateway
