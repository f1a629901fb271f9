#pragma once

#include <burdock/endpoints/peer_loads.hpp>

#include <optional>

namespace burdock::endpoints {

/** @brief What one message says of an entry's work. */
struct LoadUpdate
{
    LoadsById loads;
    bool isSnapshot = true; ///< there is no work at endpoints that it does not name; otherwise it is there as it was told before
};

/**
 * @brief Decides how often an entry tells the others of its work, and what each message says. Not thread-safe.
 *
 * Load pattern: many entries, and prompts that an engine reads in less time than lies between two messages. Each entry takes engines
 * for idle that others have just given work, so prompts wait behind each other at some engines while others stand idle. Telling
 * just what changed keeps messages small enough to go out several times while one prompt is read; whole ones in between make good
 * for those that were lost.
 */
class LoadReporter
{
public:
    /** @param hasNews there is something to tell besides work that only whole messages say */
    [[nodiscard]] LoadUpdate next(const LoadsById &own, bool hasNews, TimePoint now);

    /** @brief Time between two messages among so many other entries; the messages that each gets a second stay bounded. */
    [[nodiscard]] static Duration period(std::size_t peers);

private:
    LoadsById m_told;
    std::optional<TimePoint> m_toldWholeAt;
};

} // namespace burdock::endpoints
