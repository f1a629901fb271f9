#include <burdock/endpoints/load_reporter.hpp>

#include <algorithm>

namespace burdock::endpoints {

namespace {

constexpr Duration MinPeriod = std::chrono::milliseconds(40);
constexpr Duration PeriodPerPeer = std::chrono::microseconds(1500);
constexpr Duration SnapshotPeriod = std::chrono::milliseconds(400);

} // namespace

LoadUpdate LoadReporter::nextUpdate(const LoadsById &ownLoads, bool needsSnapshot, TimePoint now)
{
    if (needsSnapshot || !m_snapshotSentAt || now - *m_snapshotSentAt >= SnapshotPeriod) {
        m_snapshotSentAt = now;
        m_lastSent = ownLoads;
        return {ownLoads, true};
    }
    LoadUpdate update{{}, false};
    for (const auto &[endpoint, load] : ownLoads) {
        const auto previous = m_lastSent.find(endpoint);
        if (previous == m_lastSent.end() || previous->second != load) {
            update.loads[endpoint] = load;
        }
    }
    for (const auto &[endpoint, load] : m_lastSent) {
        if (ownLoads.count(endpoint) == 0) {
            update.loads[endpoint] = Load{};
        }
    }
    m_lastSent = ownLoads;
    return update;
}

Duration LoadReporter::period(std::size_t peerCount)
{
    return std::max(MinPeriod, PeriodPerPeer * static_cast<int>(peerCount));
}

} // namespace burdock::endpoints
