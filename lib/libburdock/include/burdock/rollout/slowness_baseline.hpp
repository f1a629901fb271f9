#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <optional>

namespace burdock::rollout {

/** @brief Recent times of one route's answers by the replicas that aren't of the target version, to compare others with. Not thread-safe.
 */
class SlownessBaseline
{
public:
    /** @brief Records the time of an answer. */
    void add(Duration time, TimePoint now);

    /** @brief Returns whether a time is clearly beyond the third quartile of the recent ones; nothing if these are too few. */
    [[nodiscard]] std::optional<bool> isSlow(Duration time, TimePoint now);

private:
    struct Sample
    {
        TimePoint at{};
        Duration time{};
    };

    void removeOld(TimePoint now);

    std::deque<Sample> m_samples; ///< the oldest first
    TimePoint m_quartileAt{};
    std::optional<Duration> m_quartile;
};

} // namespace burdock::rollout
