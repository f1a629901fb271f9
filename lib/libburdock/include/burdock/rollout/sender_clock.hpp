#pragma once

#include <burdock/types.hpp>

#include <optional>

namespace burdock::rollout {

/**
 * @brief Estimates on the own clock when messages of one other process were sent. Not thread-safe.
 *
 * The clocks of two VMs are unrelated but equally fast. The least difference between receipt and the sender's time is taken for their
 * offset; a message that waited in a socket buffer, was relayed or repeated shows as older by its larger difference. Messages that were all
 * received at once can't show how long they waited, so nothing is estimated until they were received over a longer time. Both clocks must
 * include time in which the VM was suspended.
 */
class SenderClock
{
public:
    /**
     * @brief Records a message.
     * @param sent time of the sender's clock
     * @return when it was sent, on the own clock and too late by the shortest delay of a message; nothing if that can't be told yet
     */
    std::optional<TimePoint> noteReceived(Duration sent, TimePoint now);

private:
    std::optional<TimePoint> m_firstReceivedAt;
    Duration m_leastDifference{};
};

} // namespace burdock::rollout
