#pragma once

#include <burdock/types.hpp>

namespace burdock::membership {

struct HeartbeatOptions
{
    Duration interval = std::chrono::milliseconds(250);
    /** Silent beats after which a link is replaced. */
    u32 silentBeats = 3;
    /** A link without work for so many beats is idle. */
    u32 idleAfterBeats = 20;
    /** An idle link beats so many times more slowly. */
    u32 idleFactor = 8;
    /** A link on which answers flow is its own sign of life; it still beats once in so many beats. */
    u32 flowingFactor = 20;
};

/**
 * @brief Decides when one end of a link sends a heartbeat and when the other end counts as silent.
 *
 * An entry has a few attended links that are idle most of the time and, at the target size, hundreds on which answers flow; both
 * would spend the budget for control traffic on beats that tell nothing new. Not thread-safe.
 */
class HeartbeatSchedule
{
public:
    explicit HeartbeatSchedule(const HeartbeatOptions &options);

    /** @brief A new connection is being opened; it beats fast until something was heard on it. */
    void noteOpened(TimePoint now);
    void noteHeard(TimePoint now);

    /** @brief Work went over the link; true if it was idle, so that step() is due now. */
    [[nodiscard]] bool noteWork(TimePoint now);

    struct Step
    {
        bool isSilent = false; ///< the link is to be replaced
        bool sendsHeartbeat = false;
        Duration next{}; ///< when to step again
    };

    /** @brief What is due now. */
    [[nodiscard]] Step step(TimePoint now);

private:
    [[nodiscard]] bool isIdle(TimePoint now) const;

    HeartbeatOptions m_options;
    TimePoint m_lastHeard{};
    TimePoint m_lastWork{};
    TimePoint m_lastBeat{};
    Duration m_interval;
    bool m_hasHeard = false;
};

} // namespace burdock::membership
