#include <burdock/admission/stop_schedule.hpp>

#include <algorithm>

namespace burdock::admission {

StopSchedule::StopSchedule(TimePoint signalAt, Duration gracePeriod, const StopPolicy &policy)
    : m_takeUntil(signalAt + std::min(policy.lameDuckPeriod, gracePeriod * policy.maxLameDuckPercent / 100))
    , m_cutAt(signalAt + std::max(Duration::zero(), gracePeriod - policy.shutdownMargin))
{
}

TimePoint StopSchedule::takeUntil() const
{
    return m_takeUntil;
}

TimePoint StopSchedule::cutAt() const
{
    return m_cutAt;
}

bool StopSchedule::mayTake(TimePoint now, Duration usualTime) const
{
    return now <= m_takeUntil && now + usualTime < m_cutAt;
}

} // namespace burdock::admission
