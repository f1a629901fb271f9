#include <burdock/rollout/sender_clock.hpp>

#include <algorithm>

namespace burdock::rollout {

namespace {

/** Minimum time over which messages must have been received. */
constexpr Duration MinObservation = std::chrono::milliseconds(300);

} // namespace

std::optional<TimePoint> SenderClock::noteReceived(Duration sent, TimePoint now)
{
    const Duration difference = now.time_since_epoch() - sent;
    if (!m_firstReceivedAt) {
        m_firstReceivedAt = now;
        m_leastDifference = difference;
    }
    m_leastDifference = std::min(m_leastDifference, difference);
    if (now - *m_firstReceivedAt < MinObservation) {
        return std::nullopt;
    }
    return TimePoint(sent + m_leastDifference);
}

} // namespace burdock::rollout
