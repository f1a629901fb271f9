#include <burdock/membership/heartbeat_schedule.hpp>

namespace burdock::membership {

HeartbeatSchedule::HeartbeatSchedule(const HeartbeatOptions &options)
    : m_options(options)
    , m_interval(options.interval)
{
}

void HeartbeatSchedule::noteOpened(TimePoint now)
{
    m_lastHeard = now;
    m_hasHeard = false;
    m_interval = m_options.interval;
}

void HeartbeatSchedule::noteHeard(TimePoint now)
{
    m_lastHeard = now;
    m_hasHeard = true;
}

bool HeartbeatSchedule::noteWork(TimePoint now)
{
    const bool wasIdle = isIdle(now);
    m_lastWork = now;
    if (wasIdle) {
        // Messages received at the slow idle rate may be old, so the peer gets as much time to answer as on a new link.
        m_lastHeard = now;
        m_lastHeartbeat = TimePoint{};
        m_interval = m_options.interval;
    }
    return wasIdle;
}

HeartbeatSchedule::Step HeartbeatSchedule::step(TimePoint now)
{
    Step out;
    out.isSilent = now - m_lastHeard > m_interval * m_options.missedBeatLimit;
    const bool isReceiving = m_hasHeard && now - m_lastHeard < m_options.interval;
    const bool isHeartbeatDue = now - m_lastHeartbeat >= m_options.interval * m_options.activeIntervalFactor;
    out.sendsHeartbeat = !isReceiving || isHeartbeatDue;
    if (out.sendsHeartbeat) {
        m_lastHeartbeat = now;
    }
    m_interval = m_hasHeard && isIdle(now) ? m_options.interval * m_options.idleIntervalFactor : m_options.interval;
    out.next = m_interval;
    return out;
}

bool HeartbeatSchedule::isIdle(TimePoint now) const
{
    return now - m_lastWork > m_options.interval * m_options.idleThresholdBeats;
}

} // namespace burdock::membership
