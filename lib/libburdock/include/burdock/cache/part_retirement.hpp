#pragma once

#include <burdock/weights/announced_weights.hpp>

#include <optional>
#include <string_view>

namespace burdock::cache {

/** @brief Times of the retirement of stored parts of superseded weights. */
struct RetirementPolicy
{
    /** Time from the announcement of newer weights to the retirement of the first parts. */
    Duration firstRetirementDelay = std::chrono::milliseconds(9000);
    /** Time over which the other parts are retired after the first ones. */
    Duration retirementSpread = std::chrono::milliseconds(4000);
    /** Maximum age of an entry's knowledge of announced weights for requesting fetches; most platform outages are shorter. */
    Duration maxKnowledgeAge = std::chrono::seconds(25);
    /** Maximum time from sending a request to the end of its fetch. */
    Duration maxFetchTime = std::chrono::milliseconds(3500);
    /** Covers clock drift and calls in progress. */
    Duration safetyMargin = std::chrono::milliseconds(300);
};

/**
 * @brief Decides until when parts of superseded weights are fetched and from when they are freed.
 *
 * Prevents a part from being freed during a fetch, which would run a prompt on memory that was reused for another part. The retirement
 * time of a part follows from the announcement of newer weights and the part's id. The part is freed only after every fetch that
 * an entry may have requested has ended: either all entries have reported that they know the announcement, or the knowledge
 * of an entry that missed it is too old to request fetches. Parts retire gradually because the replicas move to the newer weights
 * gradually too and need the space.
 */
class PartRetirement
{
public:
    explicit PartRetirement(const RetirementPolicy &policy);

    /**
     * @brief Returns whether a stored part may be fetched.
     * @param asOf time up to which all announcements are known
     */
    [[nodiscard]] bool mayFetch(const weights::AnnouncedWeights &announced, u64 version, std::string_view part, TimePoint asOf,
                                TimePoint now) const;

    /**
     * @brief Returns whether a stored part may be freed.
     * @param knownToAllSince time since which all entries are known to know the successor; nothing if some may not
     */
    [[nodiscard]] bool mayFree(const weights::AnnouncedWeights &announced, u64 version, std::string_view part,
                               std::optional<TimePoint> knownToAllSince, TimePoint now) const;

    /**
     * @brief Returns whether parts may be freed that all entries have promised not to use, whatever their age.
     * @param promisedSince time since which all entries are known to have promised it; nothing if some may not have
     */
    [[nodiscard]] bool mayFreeUnused(std::optional<TimePoint> promisedSince, TimePoint now) const;

    [[nodiscard]] const RetirementPolicy &policy() const;

private:
    [[nodiscard]] Duration ageAtRetirement(std::string_view part) const;

    RetirementPolicy m_policy;
};

} // namespace burdock::cache
