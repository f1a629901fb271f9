#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::endpoints {

/** @brief Limit of the requests in any second to one cold endpoint, over all entries: the rate of its service times factor, plus slack. */
struct ColdLimit
{
    double factor = 1;
    double slack = 0;
};

/** @brief Requests that one entry may send to one cold endpoint in one period of ColdAdmission. */
struct ColdQuota
{
    std::optional<u64> period; ///< to which `remaining` applies
    u32 remaining = 0;
};

/**
 * @brief Divides the requests that cold endpoints can take among all entries, without messages between them. Not thread-safe.
 *
 * Answers the load of many entries that have few requests each and meet many cold endpoints at once, such as after a zone has returned.
 * If each entry had its own rate limit, the bursts of all of them together would grow with their number. Instead, each endpoint has a
 * fixed number of requests per period, and a hash of the endpoint, the period and the entry decides which entries get them. So the sum
 * doesn't depend on the number of entries, and each entry gets requests of other endpoints in each period. Entries that disagree about
 * the list of entries or about the time compute other owners, which is as likely to lower the sum as to raise it.
 */
class ColdAdmission
{
public:
    static constexpr Duration Period = std::chrono::seconds(1);

    void setLimit(const ColdLimit &limit);

    /** @brief Sets the names of all entries, and of this one. Without this one on the list, it gets no requests. */
    void setEntries(std::string_view own, const std::vector<std::string> &entries);

    /**
     * @brief Takes one request from the quota of this entry; returns false if none is left in this period.
     * @param quota     state of the endpoint that the caller keeps
     * @param endpoint  hash of the endpoint
     * @param perSecond requests a second that the endpoint can take
     * @param timeOfDay time since an epoch that all entries share; differences between their clocks are tolerated
     */
    [[nodiscard]] bool tryTake(ColdQuota &quota, u64 endpoint, double perSecond, Duration timeOfDay) const;

    /** @brief Returns how many requests all entries together may send to a cold endpoint in one period. */
    [[nodiscard]] u32 requestsPerPeriod(double perSecond) const;

private:
    ColdLimit m_limit;
    std::vector<u64> m_others; ///< hashes of the names of the other entries
    u64 m_own = 0;
    bool m_isListed = false;
};

} // namespace burdock::endpoints
