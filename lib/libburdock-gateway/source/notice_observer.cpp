#include "notice_observer.hpp"

#include <burdock/hash/digest.hpp>

namespace burdock::gateway {

namespace {

using runtime::LogLevel;

/** Minimum time between two warnings about rests that can't be read, as an endpoint may ask for one in each response. */
constexpr Duration UnreadableLogInterval = std::chrono::seconds(10);

} // namespace

NoticeObserver::NoticeObserver(const GatewayDependencies &dependencies, GatewayState &state)
    : m_dependencies(dependencies)
    , m_state(state)
{
}

void NoticeObserver::noteResponse(const LimitSource &source, const ResponseMetadata &metadata)
{
    // A response that declines the request as meant for another endpoint may come from that one.
    if (metadata.isWrongEndpoint) {
        return;
    }
    if (metadata.hasUnreadableRest) {
        logUnreadable(source.endpointId);
    }
    auto &notices = m_state.endpoints.notices();
    const u64 endpoint = hash::hash64(source.endpointId);
    const auto now = m_dependencies.clock.now();
    const bool wasLeaving = notices.isLeaving(endpoint, now);
    notices.noteAnswer(endpoint, source.startTimeMs, metadata.notice, source.sentAt, now);
    log(source, metadata.notice, wasLeaving);
}

void NoticeObserver::log(const LimitSource &source, const endpoints::Notice &notice, bool wasLeaving)
{
    if (notice.rest) {
        m_dependencies.metrics.count("burdock_rests_total");
        m_dependencies.logger.event(LogLevel::Warning, "endpoint_rests",
                                    {{"endpoint", source.endpointId}, {"for_ms", toMilliseconds(*notice.rest)}});
    }
    if (notice.isLeaving && !wasLeaving) {
        m_dependencies.logger.event(LogLevel::Info, "endpoint_leaves", {{"endpoint", source.endpointId}});
    }
}

void NoticeObserver::logUnreadable(std::string_view endpointId)
{
    m_dependencies.metrics.count("burdock_rests_unreadable_total");
    const auto now = m_dependencies.clock.now();
    if (m_unreadableLoggedAt && now - *m_unreadableLoggedAt < UnreadableLogInterval) {
        return;
    }
    m_unreadableLoggedAt = now;
    m_dependencies.logger.event(LogLevel::Warning, "endpoint_rest_unreadable", {{"endpoint", endpointId}});
}

} // namespace burdock::gateway
