#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

/** @brief Basic types that all libraries share. */
namespace burdock {

using u8 = std::uint8_t;
using u16 = std::uint16_t;
using u32 = std::uint32_t;
using u64 = std::uint64_t;
using i32 = std::int32_t;
using i64 = std::int64_t;

using Duration = std::chrono::microseconds;

/** @brief A time of the caller's monotonic clock; this library never reads a clock itself. */
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/** @brief Converts a duration to fractional milliseconds, for cost calculations. */
[[nodiscard]] constexpr double toMilliseconds(Duration duration)
{
    return static_cast<double>(duration.count()) / 1000.0;
}

/**
 * @brief Converts fractional milliseconds to a duration.
 *
 * Values beyond ten years, and NaN, become ten years or zero: converting them is undefined, and times are added to the result.
 */
[[nodiscard]] constexpr Duration fromMilliseconds(double milliseconds)
{
    constexpr double MaxMilliseconds = 10 * 365 * 86'400'000.0;
    if (!(milliseconds > -MaxMilliseconds)) {
        return milliseconds <= -MaxMilliseconds ? Duration(static_cast<i64>(-MaxMilliseconds * 1000.0)) : Duration::zero();
    }
    return Duration(static_cast<i64>((milliseconds < MaxMilliseconds ? milliseconds : MaxMilliseconds) * 1000.0));
}

} // namespace burdock
