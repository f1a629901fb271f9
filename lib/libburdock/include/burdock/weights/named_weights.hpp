#pragma once

#include <burdock/types.hpp>

#include <vector>

namespace burdock::weights {

/**
 * @brief The weights that were named for one model, and since when each is known here. Not thread-safe.
 */
class NamedWeights
{
public:
    /**
     * @brief Takes note of a named version; versions that are not newer than the newest are ignored.
     * @param notBefore it was certainly not named before
     * @param heard     when it was heard of, so that it was certainly named by then
     * @return true if it is the newest
     */
    bool note(u64 version, TimePoint notBefore, TimePoint heard);

    /** @brief Takes note that a version was named earlier than was known. */
    void noteEarlier(u64 version, TimePoint notBefore);

    /** @brief The newest version; zero if none was named. */
    [[nodiscard]] u64 wanted() const;

    /** @brief The oldest version on which requests may still begin, if newer ones must be in force after the given time. */
    [[nodiscard]] u64 oldestAllowed(Duration bound, TimePoint now) const;

    /** @brief A version, and between which times it was named. */
    struct Named
    {
        u64 version = 0;
        TimePoint notBefore{};
        TimePoint heard{};
    };

    /** @brief The first version that was named after the given one, or null. */
    [[nodiscard]] const Named *successorOf(u64 version) const;

    /** @brief All versions that are known to have been named, the oldest first. */
    [[nodiscard]] const std::vector<Named> &all() const;

private:
    std::vector<Named> m_named; // oldest first
};

} // namespace burdock::weights
