#pragma once

#include <burdock/types.hpp>

namespace burdock::runtime {

/** @brief Monotonic time, as the decisions take it. */
class Clock
{
public:
    virtual ~Clock() = default;
    [[nodiscard]] virtual TimePoint now() const = 0;
};

/** @brief The machine's steady clock. */
class SteadyClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

/**
 * @brief The machine's clock since its boot, which also counts the time in which it was suspended.
 *
 * Guards against promises kept too long by a VM that was suspended: its steady clock stands still meanwhile.
 */
class BootClock : public Clock
{
public:
    [[nodiscard]] TimePoint now() const override;
};

} // namespace burdock::runtime
