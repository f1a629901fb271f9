#pragma once

#include <burdock/types.hpp>

namespace burdock::admission {

/** @brief Parameters of StopSchedule. */
struct StopPolicy
{
    /** Time after the signal until load balancers have removed the process; new connections may still arrive. */
    Duration lameDuckPeriod = std::chrono::milliseconds(2800);
    /** Largest part of the grace period for that, in percent; the rest is for requests that are under way. */
    int maxLameDuckPercent = 35;
    /** Part of the grace period that is reserved for the last answers and the end of the process. */
    Duration shutdownMargin = std::chrono::milliseconds(350);
};

/** @brief Divides the grace period of a process that was told to stop. */
class StopSchedule
{
public:
    StopSchedule(TimePoint signalAt, Duration gracePeriod, const StopPolicy &policy = {});

    /** @brief Until when requests are taken. */
    [[nodiscard]] TimePoint takeUntil() const;

    /** @brief When requests that are still under way are given up. */
    [[nodiscard]] TimePoint cutAt() const;

    /**
     * @brief Whether to take a request.
     *
     * A caller whose request is refused can send it to another process at once, one whose request is cut off often can't.
     * @param usualTime time in which such requests usually end; zero if unknown
     */
    [[nodiscard]] bool mayTake(TimePoint now, Duration usualTime) const;

private:
    TimePoint m_takeUntil;
    TimePoint m_cutAt;
};

} // namespace burdock::admission
