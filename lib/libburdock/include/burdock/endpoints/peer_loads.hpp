#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

namespace burdock::endpoints {

/** @brief Work at one endpoint. */
struct Load
{
    u32 running = 0; ///< requests under way
    u64 memory = 0; ///< tokens that they take in the engine's memory
    u64 pending = 0; ///< prompt tokens that the engine has still to read for them

    Load &operator+=(const Load &other);
    Load &operator-=(const Load &other);
};

/** @brief Work at endpoints, by hash of the endpoint's id. */
using LoadsById = std::unordered_map<u64, Load>;

/**
 * @brief Sums what the other entries say of their work at endpoints. Not thread-safe.
 *
 * What an entry said counts for a short time only, so that an entry that died does not hold room for ever.
 */
class PeerLoads
{
public:
    /** @param validFor how long a report counts */
    explicit PeerLoads(Duration validFor);

    /** @param sequence rises with each report of one start of an entry; older ones are ignored */
    void take(const std::string &peer, u64 boot, u64 sequence, LoadsById loads, TimePoint now);

    /** @brief Forgets reports that count no longer. */
    void expire(TimePoint now);

    [[nodiscard]] Load at(u64 endpoint) const;

    /** @brief Entries whose reports count. */
    [[nodiscard]] std::size_t peers() const;

private:
    struct Report
    {
        u64 boot = 0;
        u64 sequence = 0;
        TimePoint at{};
        LoadsById loads;
    };

    void subtract(const LoadsById &loads);

    Duration m_validFor;
    std::map<std::string, Report, std::less<>> m_reports;
    LoadsById m_sums;
};

} // namespace burdock::endpoints
