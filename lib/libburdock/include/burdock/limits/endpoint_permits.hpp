#pragma once

#include <burdock/limits/named_limits.hpp>
#include <burdock/limits/permit_bucket.hpp>
#include <burdock/limits/permit_coordinators.hpp>

#include <unordered_map>
#include <vector>

namespace burdock::limits {

/** @brief Whether a request may be sent to an endpoint. */
enum class Permission : u8 {
    Granted, ///< the endpoint has no limit, or a permit was taken
    Refused, ///< its limit is used up for now
    MustAsk, ///< the coordinator of the endpoint decides
};

/** @brief A request for which a permit is wanted. */
struct PermitRequest
{
    u64 endpoint = 0; ///< hash of the endpoint's id
    u32 priority = 0; ///< 0 is the most urgent
    Duration timeOfDay{}; ///< wall-clock time, by which entries take turns while no coordinator is agreed on
    bool mayAsk = true; ///< whether MustAsk is of use to the caller
};

/**
 * @brief Decides which requests of one entry go to endpoints with a limit, and issues permits to other entries.
 *
 * One entry, the coordinator, issues all permits of an endpoint. An entry that hears from too few others to agree on one takes turns by
 * hash and time of day instead, with half of the limit, as the others may have a coordinator. Not thread-safe.
 */
class EndpointPermits
{
public:
    /** @param own hash of the name of this entry */
    explicit EndpointPermits(u64 own);

    [[nodiscard]] NamedLimits &limits();
    [[nodiscard]] const NamedLimits &limits() const;
    [[nodiscard]] PermitCoordinators &coordinators();

    /** @brief Takes a permit for a request of this entry. */
    [[nodiscard]] Permission tryTake(const PermitRequest &request, TimePoint now);

    /** @brief Records the answer of a coordinator that was asked. A permit may be used for any request in the next moments. */
    void noteReply(u64 endpoint, const PermitReply &reply, TimePoint now);

    /** @brief Decides on a request of another entry. */
    [[nodiscard]] PermitReply answer(u64 endpoint, u32 priority, TimePoint now);

    /** @brief Counts a request that is sent in any case, if this entry issues the permits of the endpoint; otherwise returns false. */
    [[nodiscard]] bool tryCountUnconditional(u64 endpoint, TimePoint now);

    /** @brief Votes of this entry for the coordinators of the endpoints with a limit. */
    [[nodiscard]] CoordinatorVotes votes(TimePoint now) const;

    /** @brief Must be called several times a second. */
    void update(TimePoint now);

private:
    /** @brief What this entry knows of the permits of one endpoint. */
    struct State
    {
        PermitBucket bucket{PermitPolicy{}}; ///< used while this entry is the coordinator
        std::vector<TimePoint> unusedUntil; ///< permits of another coordinator
        TimePoint refusedUntil{};
        std::optional<u64> turn; ///< period to which `turnPermits` applies
        u32 turnPermits = 0;
    };

    [[nodiscard]] bool tryTakeUnused(State &state, TimePoint now) const;
    [[nodiscard]] bool tryTakeTurn(State &state, const PermitRequest &request, double perSecond, TimePoint now) const;
    [[nodiscard]] bool mayIssue(u64 endpoint, TimePoint now);

    u64 m_own;
    NamedLimits m_limits;
    PermitCoordinators m_coordinators;
    std::unordered_map<u64, State> m_states;
};

} // namespace burdock::limits
