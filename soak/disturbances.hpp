#pragma once

#include <burdock/types.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

/** @brief Randomized fault injection into real gateway processes, with checks of what callers and endpoints observe. */
namespace soak {

using namespace burdock;

/** @brief Current time on the monotonic clock that callers, endpoints and fault injection share. */
[[nodiscard]] inline TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** @brief Whether an operator causes a disturbance on purpose; a planned one must not cut off any request. */
enum class DisturbanceKind : u8 {
    Planned,
    Unplanned,
};

/** @brief Records when each part of the deployment was disturbed, as some bounds apply only to undisturbed parts. Thread-safe. */
class Disturbances
{
public:
    /** @param recoveryTime time after a disturbance until its subject counts as undisturbed */
    explicit Disturbances(Duration recoveryTime);

    void begin(const std::string &subject, DisturbanceKind kind, TimePoint at);
    void end(const std::string &subject, TimePoint at);

    /** @brief Whether the subject had no unplanned disturbance in the interval, nor one in its recovery time when the interval began. */
    [[nodiscard]] bool hadNoUnplanned(const std::string &subject, TimePoint from, TimePoint to) const;

    /** @brief Like hadNoUnplanned(), but counts planned disturbances too. */
    [[nodiscard]] bool wasUndisturbed(const std::string &subject, TimePoint from, TimePoint to) const;

private:
    struct Span
    {
        std::string subject;
        DisturbanceKind kind = DisturbanceKind::Unplanned;
        TimePoint from{};
        std::optional<TimePoint> to; ///< empty while the disturbance lasts
    };

    [[nodiscard]] bool hadNoDisturbance(const std::string &subject, TimePoint from, TimePoint to, bool includesPlanned) const;

    Duration m_recoveryTime;
    mutable std::mutex m_mutex;
    std::vector<Span> m_spans;
};

} // namespace soak
