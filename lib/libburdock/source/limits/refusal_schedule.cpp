#include <burdock/limits/refusal_schedule.hpp>

#include <algorithm>
#include <cmath>

namespace burdock::limits {

namespace {

/** Time over which the requests that were sent are averaged. */
constexpr Duration AveragingTime = std::chrono::seconds(4);
constexpr Duration MinReturnTime = std::chrono::milliseconds(50);
constexpr Duration MaxReturnTime = std::chrono::seconds(30);

double decay(Duration time)
{
    return std::exp(-toMilliseconds(time) / toMilliseconds(AveragingTime));
}

} // namespace

void RefusalSchedule::noteSent(TimePoint now)
{
    m_recentlySent = m_recentlySent * decay(now - m_lastSent) + 1;
    m_lastSent = now;
}

// Entries with more callers get more of the permits, so each one counts with what it got lately, or an equal share.
Duration RefusalSchedule::nextReturn(double perSecond, std::size_t entries, TimePoint now)
{
    const double share = std::max(perSecond / static_cast<double>(std::max<std::size_t>(1, entries)), recentPerSecond(now));
    const double ownPerSecond = std::min(perSecond, share);
    const auto interval = ownPerSecond > 0 ? std::min(fromMilliseconds(1000.0 / ownPerSecond), MaxReturnTime) : MaxReturnTime;
    m_lastReturn = std::min(std::max(m_lastReturn, now) + interval, now + MaxReturnTime);
    return std::max(m_lastReturn - now, MinReturnTime);
}

double RefusalSchedule::recentPerSecond(TimePoint now) const
{
    return m_recentlySent * decay(now - m_lastSent) * 1000.0 / toMilliseconds(AveragingTime);
}

} // namespace burdock::limits
