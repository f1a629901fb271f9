#pragma once

#include <burdock/weights/announced_weights.hpp>

#include <optional>
#include <string_view>

namespace burdock::cache {

/** @brief Times of the retirement of kept parts. */
struct RetirementPolicy
{
    /** Time from the naming of newer weights to the retirement of the first parts, and the time over which the others follow. */
    Duration first = std::chrono::milliseconds(9000);
    Duration spread = std::chrono::milliseconds(4000);
    /** Oldest knowledge of named weights with which an entry still has parts fetched; outages of the platform last less, mostly. */
    Duration knowledge = std::chrono::seconds(25);
    /** Longest time from the sending of a request to the end of its fetch. */
    Duration maxFetchTime = std::chrono::milliseconds(3500);
    /** Covers clocks that run apart, and calls that are under way. */
    Duration margin = std::chrono::milliseconds(300);
};

/**
 * @brief Decides until when parts of older weights are fetched, and from when they are freed.
 *
 * Guards against a part that is freed under a fetch: it shows as a prompt that runs on memory which was given to another one.
 * The time of each part's retirement follows from the naming of newer weights and the part's id. It is freed only when whoever may
 * still have had it fetched has surely seen the fetch end: all entries have said that they know of the naming, or an
 * entry that does not know has nothing fetched any more. Parts retire one after the other, as replicas move to the newer weights
 * one after the other too, and need the room.
 */
class PartRetirement
{
public:
    explicit PartRetirement(const RetirementPolicy &policy);

    /** @param asOf all weights that were named before are known */
    [[nodiscard]] bool mayFetch(const weights::AnnouncedWeights &named, u64 version, std::string_view part, TimePoint asOf,
                                TimePoint now) const;

    /** @param knownToAll since when all entries are known to know of the successor; nothing if some may not */
    [[nodiscard]] bool mayFree(const weights::AnnouncedWeights &named, u64 version, std::string_view part,
                               std::optional<TimePoint> knownToAll, TimePoint now) const;

    [[nodiscard]] const RetirementPolicy &policy() const;

private:
    [[nodiscard]] Duration ageAtRetirement(std::string_view part) const;

    RetirementPolicy m_policy;
};

} // namespace burdock::cache
