#pragma once

#include <burdock/types.hpp>

#include <map>
#include <set>
#include <string>
#include <utility>

namespace burdock::rollout {

/** @brief Versions that an order distinguishes. */
enum class Side : u8 {
    Others, ///< all versions but the target
    Target,
};

/** @brief What was observed of one version on one route since the order. All of it only ever grows. */
struct VersionCounts
{
    u64 answers = 0; ///< requests whose end says something about the version, failed ones included
    u64 failures = 0;
    u64 timed = 0; ///< answers whose time was compared
    u64 slow = 0;
    std::set<u64>
        broken; ///< hashes of the replicas with a lost request; the first one of each is counted neither in answers nor in failures

    /** @brief Answers, with one for each broken replica. */
    [[nodiscard]] u64 observed() const;
    /** @brief Failures, with one for each broken replica. */
    [[nodiscard]] u64 failed() const;

    /** @brief Takes the greater of each count, and the broken replicas of both. */
    void takeGreater(const VersionCounts &other);
    void add(const VersionCounts &other);

    bool operator==(const VersionCounts &other) const = default;
};

/** @brief By hash of the route's name, and version. */
using Evidence = std::map<std::pair<u64, Side>, VersionCounts>;

/** @brief Sums what all gateways tell of one order; each observation counts once, whatever is repeated, relayed or late. Not thread-safe.
 */
class EvidenceTotals
{
public:
    /**
     * @brief Takes what a process of a gateway told.
     * @param bootId of the process; what earlier processes of the gateway told stays
     * @return false if it was refused, because it contradicts itself or is too much
     */
    bool take(const std::string &gateway, u64 bootId, const Evidence &evidence);

    /** @brief Evidence of all gateways. */
    [[nodiscard]] const Evidence &totals() const;

private:
    std::map<std::pair<std::string, u64>, Evidence> m_bySource; ///< by gateway and boot id
    Evidence m_totals;
};

} // namespace burdock::rollout
