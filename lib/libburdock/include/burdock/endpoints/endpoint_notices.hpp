#pragma once

#include <burdock/types.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <unordered_map>

namespace burdock::endpoints {

/** @brief What the answer of an endpoint says about further requests of this entry. */
struct Notice
{
    std::optional<Duration> rest; ///< the endpoint wants no requests for so long
    bool isLeaving = false; ///< it is about to stop
};

/** @brief Bounds on how long notices are followed, and how endpoints get work again. */
struct NoticePolicy
{
    /** Longest rest before a trial, as a wrong value must not take an endpoint out for good. No caller waits longer. */
    Duration maxRest = std::chrono::seconds(60);
    /** How long an endpoint that leaves gets nothing. One that is still registered after that has not left. */
    Duration leavingLifetime = std::chrono::seconds(60);
    /** Entries try an endpoint that has rested one after the other: this long for each, and no longer than this for all. */
    Duration returnSpreadPerEntry = std::chrono::milliseconds(100);
    Duration maxReturnSpread = std::chrono::seconds(2);
    /** How long a trial waits for its answer before there is another one. */
    Duration trialTimeout = std::chrono::seconds(1);
};

/**
 * @brief Which endpoints have told this entry that they want to rest, or that they leave. Not thread-safe.
 *
 * An endpoint that has rested gets one request as a trial. It gets work as before once it answers that without asking for rest.
 */
class EndpointNotices
{
public:
    /** @param own distinguishes this entry from the others */
    EndpointNotices(const NoticePolicy &policy, u64 own);

    /** @brief Sets the number of entries that may return to an endpoint at the same time. */
    void setEntryCount(std::size_t count);

    /**
     * @brief Records what the answer to a request of this entry says.
     * @param startTimeMs identifies the instance of the endpoint
     * @param sentAt when the request was sent; only answers to requests that were sent after a rest end it
     */
    void noteAnswer(u64 endpoint, u64 startTimeMs, const Notice &notice, TimePoint sentAt, TimePoint now);

    /** @brief Records that a request is sent; the first one after a rest is the trial. */
    void noteSent(u64 endpoint, TimePoint now);

    /** @brief Whether the endpoint may get a request now. */
    [[nodiscard]] bool mayUse(u64 endpoint, TimePoint now) const;

    [[nodiscard]] bool isLeaving(u64 endpoint, TimePoint now) const;

    /** @brief When an endpoint that has asked for rest may get a request again; nothing if it has not, or has rested since. */
    [[nodiscard]] std::optional<TimePoint> returnOf(u64 endpoint) const;

    /** @brief Number of endpoints that rest or leave. */
    [[nodiscard]] std::size_t countInForce(TimePoint now) const;

    /** @brief Removes what other instances of an endpoint have said. */
    void noteInstance(u64 endpoint, u64 startTimeMs);

    /** @brief Removes what no longer matters. */
    void expire(const std::function<bool(u64 endpoint)> &isKnown, TimePoint now);

private:
    struct Record
    {
        u64 startTimeMs = 0;
        std::optional<TimePoint> leavesUntil;
        std::optional<TimePoint> returnsAt; ///< end of the rest, with this entry's part of the spread
        std::optional<TimePoint> trialSentAt;
    };

    [[nodiscard]] Duration returnDelay(u64 endpoint) const;
    [[nodiscard]] bool isInForce(const Record &record, TimePoint now) const;

    NoticePolicy m_policy;
    u64 m_own;
    std::size_t m_entryCount = 1;
    std::unordered_map<u64, Record> m_records; ///< by hash of the endpoint's id; kept while its registration is missing
};

} // namespace burdock::endpoints
