#pragma once

#include <burdock/types.hpp>

namespace burdock::limits {

/** @brief Spreads the return of refused callers over the time in which limited endpoints can take them. Not thread-safe. */
class RefusalSchedule
{
public:
    /** @brief Records that a request of this entry was sent to a limited endpoint. */
    void noteSent(TimePoint now);

    /**
     * @brief Returns when the caller of a refused request should come back.
     * @param perSecond requests a second that the limited endpoints take from all entries together
     * @param entries   number of entries that share them
     */
    [[nodiscard]] Duration nextReturn(double perSecond, std::size_t entries, TimePoint now);

private:
    [[nodiscard]] double recentPerSecond(TimePoint now) const;

    double m_recentlySent = 0; ///< decayed to the time of the last one
    TimePoint m_lastSent{};
    TimePoint m_lastReturn{};
};

} // namespace burdock::limits
