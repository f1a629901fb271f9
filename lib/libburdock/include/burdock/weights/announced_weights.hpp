#pragma once

#include <burdock/weights/announcement_history.hpp>

#include <map>
#include <optional>

namespace burdock::weights {

/**
 * @brief The weights that were named for one model, and since when each is known here. Not thread-safe.
 *
 * Superseded versions count too: weights expire by the bound after the first newer version was named, whatever was named later.
 */
class AnnouncedWeights
{
public:
    /**
     * @brief Takes note of a named version; versions that are not newer than the newest are ignored.
     * @param notBefore neither it nor a version since the newest was named before; nothing if that is unknown
     * @param heard     when it was heard of, so that it was certainly named by then
     * @return true if it is the newest
     */
    bool noteAnnounced(u64 version, std::optional<TimePoint> notBefore, TimePoint heard);

    /** @brief Takes over what another process knows for certain, with bounds on this process's clock. */
    void merge(const AnnouncementHistory &told, TimePoint heard);

    /** @brief Sets bounds that are less than certain, as they rest on clocks of several VMs; used where nothing better is known. */
    void setEstimate(const AnnouncementHistory &estimate, TimePoint heard);

    /** @brief The newest version; zero if none was named. */
    [[nodiscard]] u64 wanted() const;

    /**
     * @brief Until when requests may begin on a version, if newer ones must be in force after the given time.
     * @return nothing if no newer one was named; TimePoint::min() if it is unknown since when
     */
    [[nodiscard]] std::optional<TimePoint> expiryOf(u64 version, Duration bound) const;

    /** @brief Whether it is unknown for certain since when a version is superseded. */
    [[nodiscard]] bool isSupersededAtUnknownTime(u64 version) const;

    /** @brief A version, and between which times it was named. */
    struct Named
    {
        u64 version = 0;
        std::optional<TimePoint> notBefore; ///< nothing if it is unknown
        TimePoint heard{};
    };

    /** @brief The first version that was named after the given one. */
    [[nodiscard]] std::optional<Named> successorOf(u64 version) const;

    /** @brief What is known for certain, on this process's clock. */
    [[nodiscard]] const AnnouncementHistory &history() const;

    /** @brief What is taken to be so, certain or estimated. */
    [[nodiscard]] AnnouncementHistory effectiveHistory() const;

private:
    void setHistory(AnnouncementHistory history, TimePoint heard);

    AnnouncementHistory m_history;
    AnnouncementHistory m_estimate;
    std::map<u64, TimePoint> m_heard; ///< by version
};

} // namespace burdock::weights
