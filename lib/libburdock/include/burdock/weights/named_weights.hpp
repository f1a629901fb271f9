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
     * @return true if it is the newest
     */
    bool note(u64 version, TimePoint since);

    /** @brief The newest version; zero if none was named. */
    [[nodiscard]] u64 wanted() const;

    /** @brief The oldest version on which requests may still begin, if newer ones must be in force after the given time. */
    [[nodiscard]] u64 oldestAllowed(Duration bound, TimePoint now) const;

private:
    struct Named
    {
        u64 version = 0;
        TimePoint since{};
    };

    std::vector<Named> m_named; // oldest first
};

} // namespace burdock::weights
