#pragma once

#include <burdock/types.hpp>

#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

namespace burdock::limits {

/** @brief The request rate to which an endpoint has limited all entries together. */
struct NamedLimit
{
    u64 endpoint = 0; ///< hash of the endpoint's id
    u64 startTimeMs = 0; ///< identifies the instance of the endpoint
    u64 version = 0; ///< increases with each change; of two records of one instance, that with the higher version applies
    std::optional<double> perSecond; ///< requests a second; nothing after the endpoint has lifted its limit
    TimePoint confirmedAt{}; ///< when the last response that named the limit was received, by any entry
    TimePoint changedAt{};
};

/** @brief Rates at which endpoints are tried whose limit is zero, or is no longer confirmed by responses. */
struct NamedLimitPolicy
{
    Duration confirmationLifetime = std::chrono::seconds(10);
    double minTrialsPerSecond = 0.1;
    double maxTrialsPerSecond = 1;
};

/**
 * @brief The limits that endpoints name in their responses, known to one entry. Not thread-safe.
 *
 * Entries exchange their records. As clocks differ and messages can be late, versions rather than times decide which record is newer. Where
 * the order of two observations is unknown, the lower limit applies.
 */
class NamedLimits
{
public:
    explicit NamedLimits(const NamedLimitPolicy &policy);

    /**
     * @brief Records what the response to a request of this entry says about the endpoint's limit.
     * @param perSecond the limit that it names, if any
     * @param sentAt when the request was sent; only responses to requests that were sent after the limit was last named can lift or raise
     * it
     * @return whether the record has changed
     */
    bool noteResponse(u64 endpoint, u64 startTimeMs, std::optional<double> perSecond, TimePoint sentAt, TimePoint now);

    /** @brief Applies a record of another entry, unless it is outdated; returns whether the own record has changed. */
    bool merge(const NamedLimit &record, TimePoint now);

    /** @brief Returns the record of an endpoint; null if none is known. */
    [[nodiscard]] const NamedLimit *find(u64 endpoint) const;

    /** @brief Returns the requests a second that all entries together may send to the endpoint now; nothing if it has no limit. */
    [[nodiscard]] std::optional<double> allowedPerSecond(u64 endpoint, TimePoint now) const;

    /** @brief Returns the records in force, and those that have changed since the given time. */
    [[nodiscard]] std::vector<NamedLimit> inForceOrChangedSince(TimePoint time) const;

    /** @brief Number of endpoints with a limit. */
    [[nodiscard]] std::size_t inForceCount() const;

    /** @brief Removes records of other instances of an endpoint. */
    void noteInstance(u64 endpoint, u64 startTimeMs);

    /** @brief Removes old records of endpoints that aren't known. */
    void expire(const std::function<bool(u64 endpoint)> &isKnown, TimePoint now);

private:
    [[nodiscard]] bool noteNamed(NamedLimit &record, double perSecond, TimePoint sentAt, TimePoint now) const;

    NamedLimitPolicy m_policy;
    std::unordered_map<u64, NamedLimit> m_records;
};

} // namespace burdock::limits
