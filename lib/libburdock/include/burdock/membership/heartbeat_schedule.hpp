#pragma once

#include <burdock/types.hpp>

namespace burdock::membership {

/** @brief Timing of the heartbeats on a link. */
struct HeartbeatOptions
{
    Duration interval = std::chrono::milliseconds(250);
    /** Heartbeat intervals without any message after which a link is replaced. */
    u32 missedBeatLimit = 3;
    /** Heartbeat intervals without work after which a link is idle. */
    u32 idleThresholdBeats = 20;
    /** Multiplies the heartbeat interval of an idle link. */
    u32 idleIntervalFactor = 8;
    /** Multiplies the heartbeat interval of a link that is receiving answers, which prove that the peer is alive. */
    u32 activeIntervalFactor = 20;
};

/**
 * @brief Decides when one end of a link sends a heartbeat and when the other end is considered silent.
 *
 * An entry has a few assigned links, mostly idle, and at the target size hundreds of links that are receiving answers. Heartbeats at full
 * rate on either kind carry no new information and would use up the budget for control traffic. Not thread-safe.
 */
class HeartbeatSchedule
{
public:
    explicit HeartbeatSchedule(const HeartbeatOptions &options);

    /** @brief Records that a connection is being opened; it uses the base interval until a message has been received. */
    void noteOpened(TimePoint now);

    /** @brief Records that a message was received on the link. */
    void noteHeard(TimePoint now);

    /** @brief Records that work was sent; returns true if the link was idle, in which case step() must be called now. */
    [[nodiscard]] bool noteWork(TimePoint now);

    struct Step
    {
        bool isSilent = false; ///< the link must be replaced
        bool sendsHeartbeat = false;
        Duration next{}; ///< time until the next step()
    };

    /** @brief Returns what to do now. */
    [[nodiscard]] Step step(TimePoint now);

private:
    [[nodiscard]] bool isIdle(TimePoint now) const;

    HeartbeatOptions m_options;
    TimePoint m_lastHeard{};
    TimePoint m_lastWork{};
    TimePoint m_lastHeartbeat{};
    Duration m_interval;
    bool m_hasHeard = false;
};

} // namespace burdock::membership
