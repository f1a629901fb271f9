#pragma once

#include <burdock/weights/announcement_history.hpp>

#include <map>
#include <optional>

namespace burdock::weights {

/**
 * @brief The weight versions announced for one model, and when this process learned of each. Not thread-safe.
 *
 * A version is announced ("named" in records, logs and metrics) when the platform declares it the wanted version of the model.
 * Superseded versions count too: a version expires a fixed time after the first newer version was announced, regardless of later
 * announcements.
 */
class AnnouncedWeights
{
public:
    /**
     * @brief Records an announced version; versions that are not newer than the newest are ignored.
     * @param notBefore lower bound of the announcement time of this version and of all others since the newest; nothing if it is unknown
     * @param learnedAt time at which this process learned of the version, and thus an upper bound of its announcement time
     * @return true if the version is the newest
     */
    bool noteAnnounced(u64 version, std::optional<TimePoint> notBefore, TimePoint learnedAt);

    /** @brief Merges the certain knowledge of another process, with bounds on this process's clock. */
    void merge(const AnnouncementHistory &other, TimePoint learnedAt);

    /** @brief Sets estimated bounds, which depend on the clocks of several VMs; they are used only where no certain bound is known. */
    void setEstimate(const AnnouncementHistory &estimate, TimePoint learnedAt);

    /** @brief Returns the newest version; zero if none was announced. */
    [[nodiscard]] u64 wanted() const;

    /**
     * @brief Returns the time until which requests may begin on a version.
     * @param bound time after the announcement of a newer version at which the version expires
     * @return nothing if no newer version was announced; TimePoint::min() if its announcement time is unknown
     */
    [[nodiscard]] std::optional<TimePoint> expiryOf(u64 version, Duration bound) const;

    /** @brief Returns whether a version is superseded but no certain bound of the time is known. */
    [[nodiscard]] bool isSupersededAtUnknownTime(u64 version) const;

    /** @brief A version with the bounds of its announcement time. */
    struct AnnouncedVersion
    {
        u64 version = 0;
        std::optional<TimePoint> notBefore; ///< lower bound; nothing if it is unknown
        TimePoint learnedAt{}; ///< upper bound
    };

    /** @brief Returns the first version that was announced after the given one. */
    [[nodiscard]] std::optional<AnnouncedVersion> successorOf(u64 version) const;

    /** @brief Returns the certain history, on this process's clock. */
    [[nodiscard]] const AnnouncementHistory &history() const;

    /** @brief Returns the certain history with unknown bounds filled by the estimate. */
    [[nodiscard]] AnnouncementHistory effectiveHistory() const;

private:
    void setHistory(AnnouncementHistory history, TimePoint learnedAt);

    AnnouncementHistory m_history;
    AnnouncementHistory m_estimate;
    std::map<u64, TimePoint> m_learnedAt; ///< by version
};

} // namespace burdock::weights
