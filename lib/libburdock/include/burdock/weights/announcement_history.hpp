#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <vector>

namespace burdock::weights {

/** @brief The announcement of one version of a model's weights. */
struct Announcement
{
    u64 version = 0;
    /**
     * Lower bound of the announcement time of this version and of every other version since the previous entry, on a clock that all
     * entries of the history share; nothing if it is unknown.
     */
    std::optional<Duration> notBefore;

    bool operator==(const Announcement &) const = default;
};

/**
 * @brief The versions of one model that are known to have been announced, oldest first.
 *
 * A process can miss versions that are superseded while it is disconnected; the bound of the next entry covers them. An unknown
 * announcement time is treated as long ago.
 */
using AnnouncementHistory = std::vector<Announcement>;

/** @brief Returns a lower bound of the time at which the first version after the given one was announced; nothing if unknown. */
[[nodiscard]] std::optional<Duration> firstAnnouncedAfter(const AnnouncementHistory &history, u64 version);

/**
 * @brief Merges two histories on one clock; where both have a bound, the later one is used because both are valid.
 *
 * Versions are announced in order, so the bound of a version also holds for later versions.
 */
[[nodiscard]] AnnouncementHistory mergeTightestBounds(const AnnouncementHistory &left, const AnnouncementHistory &right);

/** @brief Fills unknown bounds and missing versions of a history from a second one on the same clock. */
[[nodiscard]] AnnouncementHistory fillUnknownBounds(const AnnouncementHistory &history, const AnnouncementHistory &fallback);

/** @brief Merges two histories whose bounds may be too late; where both have a bound, the earlier one is used. */
[[nodiscard]] AnnouncementHistory mergeEarliestBounds(const AnnouncementHistory &left, const AnnouncementHistory &right);

/** @brief Converts a history to another clock, which is ahead by the given time. */
[[nodiscard]] AnnouncementHistory shiftedBy(const AnnouncementHistory &history, Duration ahead);

/** @brief Returns the entries up to and including a version. */
[[nodiscard]] AnnouncementHistory upTo(const AnnouncementHistory &history, u64 version);

/** @brief Returns whether versions increase and bounds do not decrease, as in every history that a process keeps. */
[[nodiscard]] bool isOrdered(const AnnouncementHistory &history);

/** @brief Drops the oldest entries above a maximum number; the bound of the dropped entries passes to the oldest remaining one. */
void keepNewest(AnnouncementHistory &history, std::size_t maxEntries);

} // namespace burdock::weights
