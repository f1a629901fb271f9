#pragma once

#include <burdock/endpoints/peer_loads.hpp>

#include <optional>

namespace burdock::endpoints {

/** @brief The load that one message reports. */
struct LoadUpdate
{
    LoadsById loads;
    bool isSnapshot = true; ///< endpoints that are not listed have no load; otherwise their load is unchanged
};

/**
 * @brief Decides how often an entry reports its load to the other entries, and what each message contains. Not thread-safe.
 *
 * With many entries, and prompts that an engine processes in less time than passes between two messages, each entry takes engines for
 * idle to which others have just sent requests. Prompts then queue at some engines while others are idle. Reports that contain only
 * changes keep messages small enough to send several of them while one prompt is processed; periodic snapshots make up for lost ones.
 */
class LoadReporter
{
public:
    /**
     * @brief Returns the contents of the next message.
     * @param ownLoads current load of this entry
     * @param needsSnapshot whether the message must be a snapshot, because state that only snapshots contain has changed
     */
    [[nodiscard]] LoadUpdate nextUpdate(const LoadsById &ownLoads, bool needsSnapshot, TimePoint now);

    /** @brief Interval between two messages; grows with the number of other entries to bound the messages that each receives per second. */
    [[nodiscard]] static Duration period(std::size_t peerCount);

private:
    LoadsById m_lastSent;
    std::optional<TimePoint> m_snapshotSentAt;
};

} // namespace burdock::endpoints
