#pragma once

#include <burdock/types.hpp>

namespace burdock::run {

/** @brief What the system knows of the bytes that a connection has been given to send. */
struct SendProgress
{
    u32 unacknowledgedSegments = 0;
    u64 unsentBytes = 0; ///< that the window of the peer has no room for
    u32 unansweredProbes = 0; ///< of a peer whose window is closed
    Duration retransmissionTimeout{};
    Duration sinceAcknowledgement{}; ///< since the peer was last heard
};

/** @brief What a peer has made of a request that it was sent. */
enum class Reception : u8 {
    Received, ///< it has all of it
    ReadsLate, ///< it is alive, but hasn't got all of it yet
    Silent, ///< it doesn't respond to what it is sent
};

/**
 * @brief Tells a peer that can't be reached from one that doesn't read yet.
 * @param patience the time after which a peer that is sent something counts as silent
 */
[[nodiscard]] Reception receptionOf(const SendProgress &progress, Duration patience);

} // namespace burdock::run
