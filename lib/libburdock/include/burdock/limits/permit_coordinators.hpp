#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace burdock::limits {

/** @brief Which entry issues the permits of which endpoint, as one entry believes. */
using CoordinatorVotes = std::unordered_map<u64, u64>;

/** @brief Times after which entries count as lost and as agreed on. */
struct CoordinatorPolicy
{
    Duration minSilenceTimeout = std::chrono::milliseconds(1500);
    u32 silentReports = 4; ///< an entry is lost once that many of its reports have not come
    Duration agreementTime = std::chrono::seconds(1); ///< for which entries must agree on a coordinator before it issues permits
    Duration maxPause = std::chrono::seconds(1); ///< an entry that stood still for longer can't have kept its agreement
};

/**
 * @brief Decides which entry issues the permits of an endpoint, so that their sum doesn't depend on the number of entries.
 *
 * The entry with the highest hash among those that are heard from is the coordinator of an endpoint. Entries that disagree, because some
 * are cut off, stood still, or don't know each other yet, must not both issue permits. So an entry does only while it hears from more than
 * half of all entries, and while two thirds of those that say so have named it for some time. Not thread-safe.
 */
class PermitCoordinators
{
public:
    /** @param own hash of the name of this entry */
    PermitCoordinators(u64 own, const CoordinatorPolicy &policy);

    /**
     * @brief Sets the registered entries.
     * @param entries      hashes of their names, with this one
     * @param reportPeriod time between two reports of an entry
     */
    void setEntries(const std::vector<u64> &entries, Duration reportPeriod);

    /** @brief Records any message of another entry. */
    void noteHeard(u64 entry, TimePoint now);

    /** @brief Replaces the votes of another entry. */
    void noteVotes(u64 entry, CoordinatorVotes votes);

    /** @brief Returns the entry that should issue the permits of an endpoint; nothing if no entry is known. */
    [[nodiscard]] std::optional<u64> coordinatorOf(u64 endpoint, TimePoint now) const;

    /** @brief Whether this entry may issue the permits of an endpoint. Must be called regularly for endpoints with a limit. */
    [[nodiscard]] bool mayIssue(u64 endpoint, TimePoint now);

    /** @brief Forgets entries that are lost and not registered. */
    void expire(TimePoint now);

    /** @brief Whether this entry hears from more than half of all entries. */
    [[nodiscard]] bool hasMajority(TimePoint now) const;

    /** @brief Hashes of the names of the other entries that are registered or were heard from. */
    [[nodiscard]] std::vector<u64> others(TimePoint now) const;

private:
    struct Peer
    {
        TimePoint heardAt{};
        CoordinatorVotes votes;
    };
    struct Agreement
    {
        TimePoint since{};
        TimePoint checkedAt{};
    };

    [[nodiscard]] bool isFresh(const Peer &peer, TimePoint now) const;
    [[nodiscard]] bool isAgreedOn(u64 endpoint, TimePoint now) const;

    u64 m_own;
    CoordinatorPolicy m_policy;
    Duration m_silenceTimeout;
    bool m_isRegistered = false;
    std::unordered_set<u64> m_registered; ///< the others
    std::unordered_map<u64, Peer> m_peers;
    std::unordered_map<u64, Agreement> m_agreements; ///< on this entry, by endpoint
};

} // namespace burdock::limits
