#pragma once

#include <burdock/types.hpp>

namespace burdock::runtime {

/** @brief Source of the monotonic time that is passed to the decision logic; replaceable in tests. */
class Clock
{
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/** @brief std::chrono::steady_clock. */
class SteadyClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

/**
 * @brief Time since the VM booted, including the time for which it was suspended (CLOCK_BOOTTIME).
 *
 * The steady clock stops while the VM is suspended, so a deadline measured with it would be kept too long.
 */
class BootClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

} // namespace burdock::runtime
