#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>

namespace burdock::limits {

/** @brief Answer to an entry that wants to send a request to a limited endpoint. */
struct PermitReply
{
    bool isGranted = false;
    Duration retryAfter{}; ///< when to ask again; only if not granted
};

/** @brief Parameters of the permits for one endpoint. */
struct PermitPolicy
{
    double usedShare = 0.95; ///< of the limit; the rest covers differences between the clocks of entries and endpoints
    double maxBurst = 3; ///< permits that are kept for later, besides those of burstTime
    Duration burstTime = std::chrono::milliseconds(200);
    Duration maxBurstTime = std::chrono::seconds(4); ///< in which so many must have come besides the first, for endpoints with a low limit
    Duration urgencyMemory = std::chrono::seconds(2); ///< how long a permit is kept back after a more urgent request asked for one
    double returnsPerPermit = 4; ///< entries that are told to ask again for each permit, as some have no request by then
    Duration minRetryTime = std::chrono::milliseconds(5);
    Duration maxRetryTime = std::chrono::seconds(5);
};

/** @brief Issues the permits for one endpoint, as many as its limit allows. Not thread-safe. */
class PermitBucket
{
public:
    explicit PermitBucket(const PermitPolicy &policy);

    /**
     * @brief Decides on one request.
     * @param perSecond requests a second that the endpoint takes
     * @param priority  of the request; 0 is the most urgent
     */
    [[nodiscard]] PermitReply take(double perSecond, u32 priority, TimePoint now);

    /** @brief Takes a permit for a request that is sent in any case; later ones have to wait for it. */
    void takeUnconditionally(double perSecond, TimePoint now);

private:
    void refill(double perSecond, TimePoint now);
    [[nodiscard]] bool isMoreUrgentExpected(u32 priority, TimePoint now);
    [[nodiscard]] Duration nextReturn(double perSecond, u32 priority, TimePoint now);

    PermitPolicy m_policy;
    double m_permits = 0;
    std::optional<TimePoint> m_refilledAt;
    std::map<u32, TimePoint> m_lastAsked; ///< by priority
    std::map<u32, TimePoint> m_lastReturns; ///< by priority: latest time at which an entry was told to ask again
};

} // namespace burdock::limits
