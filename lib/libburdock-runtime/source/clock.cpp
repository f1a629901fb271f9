#include <burdock/runtime/clock.hpp>

namespace burdock::runtime {

TimePoint SteadyClock::now() const
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

} // namespace burdock::runtime
