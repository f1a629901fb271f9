#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <vector>

namespace burdock::weights {

/** @brief One version of a model's weights in the history of their names. */
struct Announcement
{
    u64 version = 0;
    /**
     * Lower bound of the time of naming, of this version and of each other one since the entry before; nothing if it is unknown.
     * On a clock that all entries of the history share.
     */
    std::optional<Duration> notBefore;

    bool operator==(const Announcement &) const = default;
};

/**
 * @brief The versions of one model that are known to have been named, the oldest first.
 *
 * A process may miss versions that are superseded while it is away; the bound of the next entry covers these. What is unknown
 * counts as named long ago.
 */
using AnnouncementHistory = std::vector<Announcement>;

/** @brief Lower bound of the time at which the first version after the given one was named; nothing if it is unknown. */
[[nodiscard]] std::optional<Duration> firstAnnouncedAfter(const AnnouncementHistory &history, u64 version);

/**
 * @brief All that two histories on one clock say; where both have a bound, the later one, as both hold.
 *
 * Versions are named in order, so that the bound of a version holds for those after it too.
 */
[[nodiscard]] AnnouncementHistory tightest(const AnnouncementHistory &left, const AnnouncementHistory &right);

/** @brief The first history, completed by a second one on the same clock where the first knows nothing. */
[[nodiscard]] AnnouncementHistory completed(const AnnouncementHistory &history, const AnnouncementHistory &further);

/** @brief All that two histories say whose bounds may be too late; where both have one, the earlier. */
[[nodiscard]] AnnouncementHistory earliest(const AnnouncementHistory &left, const AnnouncementHistory &right);

/** @brief The history on another clock, which is ahead by the given time. */
[[nodiscard]] AnnouncementHistory shiftedBy(const AnnouncementHistory &history, Duration ahead);

/** @brief The entries up to a version. */
[[nodiscard]] AnnouncementHistory upTo(const AnnouncementHistory &history, u64 version);

/** @brief Whether versions rise and bounds don't fall, as in every history that a process keeps. */
[[nodiscard]] bool isOrdered(const AnnouncementHistory &history);

/** @brief Drops the oldest entries until no more than so many are left; their bound passes to the oldest one that stays. */
void keepNewest(AnnouncementHistory &history, std::size_t entries);

} // namespace burdock::weights
