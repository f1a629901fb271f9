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
        // What was heard in slow beats says little about now: the link gets as many fast beats as a new one to answer.
        m_lastHeard = now;
        m_lastBeat = TimePoint{};
        m_interval = m_options.interval;
    }
    return wasIdle;
}

HeartbeatSchedule::Step HeartbeatSchedule::step(TimePoint now)
{
    Step out;
    out.isSilent = now - m_lastHeard > m_interval * m_options.silentBeats;
    const bool isFlowing = m_hasHeard && now - m_lastHeard < m_options.interval;
    const bool isBeatDue = now - m_lastBeat >= m_options.interval * m_options.flowingFactor;
    out.sendsHeartbeat = !isFlowing || isBeatDue;
    if (out.sendsHeartbeat) {
        m_lastBeat = now;
    }
    m_interval = m_hasHeard && isIdle(now) ? m_options.interval * m_options.idleFactor : m_options.interval;
    out.next = m_interval;
    return out;
}

bool HeartbeatSchedule::isIdle(TimePoint now) const
{
    return now - m_lastWork > m_options.interval * m_options.idleAfterBeats;
}

} // namespace burdock::membership
