#include <burdock/membership/beat_schedule.hpp>

namespace burdock::membership {

BeatSchedule::BeatSchedule(const BeatOptions &options)
    : m_options(options)
    , m_interval(options.beat)
{
}

void BeatSchedule::noteOpened(TimePoint now)
{
    m_lastHeard = now;
    m_hasHeard = false;
    m_interval = m_options.beat;
}

void BeatSchedule::noteHeard(TimePoint now)
{
    m_lastHeard = now;
    m_hasHeard = true;
}

bool BeatSchedule::noteWork(TimePoint now)
{
    const bool wasIdle = isIdle(now);
    m_lastWork = now;
    if (wasIdle) {
        // What was heard in slow beats says little about now: the link gets as many fast beats as a new one to answer.
        m_lastHeard = now;
        m_lastBeat = TimePoint{};
        m_interval = m_options.beat;
    }
    return wasIdle;
}

BeatSchedule::Step BeatSchedule::step(TimePoint now)
{
    Step out;
    out.isSilent = now - m_lastHeard > m_interval * m_options.silentBeats;
    const bool isFlowing = m_hasHeard && now - m_lastHeard < m_options.beat;
    const bool isBeatDue = now - m_lastBeat >= m_options.beat * m_options.flowingFactor;
    out.sendsBeat = !isFlowing || isBeatDue;
    if (out.sendsBeat) {
        m_lastBeat = now;
    }
    m_interval = m_hasHeard && isIdle(now) ? m_options.beat * m_options.idleFactor : m_options.beat;
    out.next = m_interval;
    return out;
}

bool BeatSchedule::isIdle(TimePoint now) const
{
    return now - m_lastWork > m_options.beat * m_options.idleAfterBeats;
}

} // namespace burdock::membership
