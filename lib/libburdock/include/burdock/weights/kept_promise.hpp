#pragma once

#include <burdock/types.hpp>

#include <optional>

namespace burdock::weights {

/** @brief Since when all entries have continuously promised to use no stored parts below a version. Not thread-safe. */
class KeptPromise
{
public:
    /**
     * @brief Records a check of what all entries promise.
     * @param version    the lowest version that any of them may use; zero if one hasn't promised anything
     * @param generation of their reports, see endpoints::PeerLoads::generation(); the promise counts anew when it changes
     */
    void note(u64 version, u64 generation, TimePoint now);

    [[nodiscard]] u64 version() const;
    /** @brief Nothing while some entry may use any version. */
    [[nodiscard]] std::optional<TimePoint> since() const;

private:
    u64 m_version = 0;
    u64 m_generation = 0;
    TimePoint m_checkedAt{};
    std::optional<TimePoint> m_since;
};

} // namespace burdock::weights
