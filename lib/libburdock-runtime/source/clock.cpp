#include <burdock/runtime/clock.hpp>

#include <ctime>

namespace burdock::runtime {

TimePoint SteadyClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

TimePoint BootClock::now() const
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    const auto sinceBoot = std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
    return TimePoint(std::chrono::duration_cast<Duration>(sinceBoot));
}

} // namespace burdock::runtime
