#pragma once

#include <burdock/types.hpp>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

/** @brief A randomized run of the real gateways under faults, with checks of what callers and endpoints see. */
namespace soak {

using namespace burdock;

/** @brief The clock that callers, endpoints and faults share. */
[[nodiscard]] inline TimePoint now()
{
    return std::chrono::time_point_cast<Duration>(std::chrono::steady_clock::now());
}

/** @brief Whether an operator plans a disturbance; what is planned must cut nothing. */
enum class Plan : u8 {
    Planned,
    Unplanned,
};

/** @brief When which part of the deployment was disturbed, so that bounds are only asked of parts that were left alone. */
class Disturbances
{
public:
    /** @param calmAfter time after a disturbance until its subject counts as left alone again */
    explicit Disturbances(Duration calmAfter);

    void begin(const std::string &subject, Plan plan, TimePoint at);
    void end(const std::string &subject, TimePoint at);

    /** @brief Whether no unplanned disturbance of the subject touched the time span, or the time before it that still counts. */
    [[nodiscard]] bool wasCalm(const std::string &subject, TimePoint from, TimePoint to) const;

    /** @brief The same for all disturbances, planned ones included. */
    [[nodiscard]] bool wasUntouched(const std::string &subject, TimePoint from, TimePoint to) const;

private:
    struct Span
    {
        std::string subject;
        Plan plan = Plan::Unplanned;
        TimePoint from{};
        std::optional<TimePoint> to; ///< nothing while it lasts
    };

    [[nodiscard]] bool isFree(const std::string &subject, TimePoint from, TimePoint to, bool countsPlanned) const;

    Duration m_calmAfter;
    mutable std::mutex m_mutex;
    std::vector<Span> m_spans;
};

} // namespace soak
